#include "fleet/relay_daemon.h"

#include "fleet/decision_log.h"
#include "fleet/endpoint_links.h"
#include "fleet/handler_guard.h"
#include "fleet/peer_links.h"
#include "fleet/process_start.h"
#include "fleet/process_watch.h"
#include "fleet/refused_messages.h"
#include "fleet/registry_follower.h"
#include "fleet/voter_links.h"
#include "relay/relay.h"
#include "telemetry/log.h"

namespace bulrush::fleet {

namespace {

namespace asio = boost::asio;
using error_code = boost::system::error_code;
using telemetry::severity;

/// Time from SIGTERM until the platform sends no new connections: it probes
/// readiness every second and stops after two failed probes.
constexpr millis DrainTime{2600};
constexpr millis ShutdownPollInterval{100};
/// Time until the relay's timer fires after a step that failed.
constexpr millis TimerRetryDelay{10};
/// The process exits this long before the platform kills it, so that the last
/// responses are sent.
constexpr millis ShutdownMargin{400};
constexpr std::size_t MaxClientConnections = 3000;
constexpr std::size_t MaxReadinessConnections = 250;
/// Accounts with a quota that have metrics of their own.
constexpr std::size_t MaxAccountSeries = 100;

class readiness_handler final : public http::handler {
public:
  void handle(http::request, http::responder Respond) override {
    http::response Out;
    Out.Status = IsReady() ? 200 : 503;
    Out.Body = "{}";
    Respond(std::move(Out));
  }
  std::function<bool()> IsReady;
};

class relay_process final : public http::handler, public follower_host {
public:
  relay_process(const adapter &Adapter, process_settings Given,
                std::uint64_t SettingsStamp)
      : Adapter(Adapter), Settings(std::move(Given)),
        Relay(Settings.Relay, drawSeed()),
        EndpointLinks(Io, Adapter.Requests, Metrics,
                      [this](const relay::relay_event &Event) { step(Event); }),
        PeerLinks(
            Io, Settings.Relay.Self, Settings.FleetPort,
            [this](const relay::relay_event &Event) { step(Event); },
            [this](const std::string &Bytes, const error &Error) {
              onRefused(Bytes, Error);
            }),
        Follower(Io, followerSettings(Settings), Clock, *this), Log(Metrics),
        RelayTimer(Io), ShutdownTimer(Io),
        Watch(
            Io, Adapter.Settings, SettingsStamp,
            [this](const process_settings &Read) {
              Follower.addVms(vmsOf(Read.Seeds));
            },
            [this] { shutDown(); }) {
    ReadinessHandler.IsReady = [this] {
      return Relay.isReady() && !IsStopping && Clients->isListening() &&
             PeerLinks.isListening();
    };
  }

  int run() {
    telemetry::logEvent(severity::info, "relay_started",
                        {{"node", Settings.Node}, {"zone", Settings.Zone}});
    const auto Started = startServers();
    if (!Started)
      return failStart(Started.error());
    step(relay::timer_fired{}); // the relay measures its startup time from here
    Watch.start();
    Guard.run(Io);
    telemetry::logEvent(severity::info, "relay_stopped",
                        {{"node", Settings.Node}});
    return 0;
  }

private:
  static follower_settings followerSettings(const process_settings &Settings) {
    follower_settings Out;
    Out.Node = Settings.Node;
    Out.Zone = Settings.Zone;
    Out.Self = Settings.Relay.Self;
    Out.Port = Settings.FleetPort;
    Out.Seeds = vmsOf(Settings.Seeds);
    Out.Incarnation = {unixMillis()};
    return Out;
  }

  static std::vector<vm_id> vmsOf(const std::vector<std::string> &Seeds) {
    std::vector<vm_id> Out;
    for (const std::string &Seed : Seeds)
      if (const auto Vm = vmFromIp(Seed))
        Out.push_back(*Vm);
    return Out;
  }

  expected<void> startServers() {
    http::server_settings ClientSettings;
    ClientSettings.Listen = Settings.Clients;
    ClientSettings.CancelOnDisconnect = true;
    ClientSettings.MaxConnections =
        maxConnections(Settings, MaxClientConnections);
    ClientSettings.Budget = Budget;
    Clients.emplace(Io, ClientSettings, *this, Metrics);
    http::server_settings ReadinessSettings;
    ReadinessSettings.Listen = Settings.Readiness;
    ReadinessSettings.MaxConnections = MaxReadinessConnections;
    ReadinessSettings.Budget = Budget;
    Readiness.emplace(Io, ReadinessSettings, ReadinessHandler, Metrics);
    for (http::server *Server : {&*Clients, &*Readiness})
      if (auto Started = Server->start(); !Started)
        return Started;
    // The registry tells the other relays of this one, so they must reach it.
    if (auto Listening = PeerLinks.listen([this] {
          if (!IsStopping)
            Follower.start();
        });
        !Listening)
      return Listening;
    if (Settings.MetricsPort == 0)
      return {};
    MetricsServer.emplace(Io, metricsSettings(Settings, Budget), MetricsPage,
                          Metrics);
    return MetricsServer->start();
  }

  // Clients.

  void handle(http::request Request, http::responder Respond) override {
    const query_id Id{Request.Token};
    Responders[Id] = std::move(Respond);
    const relay::client_path Client{Request.RoundTrip,
                                    Request.IsFirstOnConnection};
    try {
      client_request Decoded = Adapter.Requests->decode(std::move(Request));
      step(relay::request_arrived{Id, std::move(Decoded.Content),
                                  Decoded.ClientTimeout, Client});
    } catch (...) {
      Responders.erase(Id);
      throw;
    }
  }

  void onClientDisconnected(http::request_token Token) override {
    if (Responders.erase({Token}) == 0)
      return;
    asio::post(Io,
               [this, Token] { step(relay::client_disconnected{{Token}}); });
  }

  // Relay actions.

  void step(const relay::relay_event &Event) {
    relay::relay_actions Actions;
    try {
      Relay.step(Event, Clock.now(), Actions);
    } catch (...) {
      // The timer may have been due to be set.
      Actions.push_back(relay::set_timer{Clock.now() + TimerRetryDelay});
      perform(Actions);
      throw;
    }
    perform(Actions);
  }

  void perform(const relay::relay_actions &Actions) {
    for (const relay::relay_action &Action : Actions)
      Guard.call(
          [&] { std::visit([this](const auto &Each) { on(Each); }, Action); });
  }

  void on(const relay::send_attempt &Action) { EndpointLinks.send(Action); }
  void on(const relay::cancel_attempt &Action) { EndpointLinks.cancel(Action); }
  void on(const relay::preconnect_endpoint &Action) {
    EndpointLinks.preconnect(Action);
  }
  void on(const relay::probe_endpoint &Action) { EndpointLinks.probe(Action); }
  void on(const relay::open_endpoint &Action) { EndpointLinks.open(Action); }
  void on(const relay::close_endpoint &Action) { EndpointLinks.close(Action); }
  void on(const relay::withdraw_attempts &Action) {
    EndpointLinks.withdraw(Action);
  }
  void on(const relay::send_shard_request &Action) { PeerLinks.send(Action); }
  void on(const relay::cancel_shard_request &Action) { PeerLinks.send(Action); }
  void on(const relay::grant_retry &Action) { PeerLinks.send(Action); }
  void on(const relay::send_shard_reply &Action) { PeerLinks.send(Action); }
  void on(const relay::send_limit_reports &Action) {
    Follower.send(limit_reports{Action.Reports});
  }
  void on(const relay::send_crash_reports &Action) {
    Follower.send(crash_reports{Action.Reports});
  }
  void on(const relay::send_rollout_reports &Action) {
    for (const relay::rollout_report &Each : Action.Reports)
      Log.count(Each);
    Follower.send(rollout_reports{Action.Reports});
  }
  void on(const relay::send_quota_reports &Action) {
    Follower.send(quota_reports{Action.IsFirst, Action.Reports});
  }
  void on(const relay::report_reach &Action) {
    Follower.setReach(Action.HasReach);
  }
  void on(const relay::request_log_event &LogEvent) {
    Log.write(LogEvent, Clock.now());
  }
  void on(const relay::attempt_log_event &LogEvent) {
    Log.write(LogEvent, Clock.now());
  }
  void on(const relay::crash_log_event &LogEvent) {
    Log.write(LogEvent, Clock.now());
  }
  void on(const relay::endpoint_log_event &LogEvent) {
    Log.write(LogEvent, Clock.now());
  }
  void on(const relay::peer_log_event &LogEvent) {
    Log.write(LogEvent, Clock.now());
  }
  void on(const relay::requester_log_event &LogEvent) {
    Log.write(LogEvent, Clock.now());
  }
  void on(const relay::ignored_reply_event &Event) { Log.count(Event); }
  void on(const relay::reach_log_event &LogEvent) {
    Log.write(LogEvent, Clock.now());
  }

  void on(const relay::send_answer &Answer) {
    const auto Found = Responders.find(Answer.Request);
    if (Found == Responders.end())
      return;
    const http::responder Respond = std::move(Found->second);
    Responders.erase(Found);
    Respond(Adapter.Requests->encode(Answer));
  }

  void on(const relay::set_timer &Action) {
    const millis Delay = Action.At - Clock.now();
    RelayTimer.expires_after(toChrono(std::max(Delay, millis{0})));
    RelayTimer.async_wait([this](error_code Error) {
      if (!Error)
        step(relay::timer_fired{});
    });
  }

  // Registry updates.

  bool onState(const fleet_state &State) override {
    // Applied before the catalog: requests that wait for the catalog must not
    // be sent to a zone that is out of service.
    step(relay::zones_out_changed{
        {State.ZonesOut.begin(), State.ZonesOut.end()}});
    step(relay::version_policies_arrived{State.Policies, true});
    if (State.Catalog && !applyCatalog(*State.Catalog, State.Level))
      return false;
    telemetry::logEvent(severity::info, "state_in_force",
                        {{"revision", State.Revision.Value},
                         {"catalog_version", Relay.version().Value},
                         {"zones_out", State.ZonesOut.size()}});
    return true;
  }

  bool applyCatalog(const relay::catalog_change &Change,
                    std::uint32_t LeaderLevel) {
    auto Next = relay::applyChange(*Catalog, Change);
    if (!Next)
      return false;
    Catalog = std::make_shared<const relay::catalog>(std::move(*Next));
    Clients->setLimits(Catalog->Limits.MaxHeaderBytes,
                       Catalog->Limits.MaxBodyBytes,
                       Catalog->Limits.IdleTimeout);
    step(relay::catalog_arrived{Catalog, Change.isFull() && LeaderLevel > 0});
    return true;
  }

  void onDirectory(endpoint_directory Directory) override {
    step(relay::directory_arrived{
        std::make_shared<const relay::directory_change>(
            std::move(Directory.Change)),
        Directory.Age});
  }

  void onFleetSize(std::uint32_t Count) override {
    step(relay::peer_count_changed{Count});
  }

  void onRoster(const relay_list &Relays) override {
    relay::peers_changed Event;
    for (const auto &[Vm, Relay] : Relays)
      Event.Peers.push_back(Relay);
    step(Event);
  }

  void onLimitGrants(const limit_grants &Message) override {
    step(relay::limit_grants_arrived{Message.Grants});
  }

  void onQuotaGrants(const quota_grants &Message) override {
    step(relay::quota_grants_arrived{Message.Grants});
  }

  void onVerdicts(const request_verdicts &Message) override {
    step(relay::verdicts_arrived{Message.Notices});
  }
  void onRefused(const std::string &Bytes, const error &Error) override {
    Refused.on(Bytes, Error, Clock.now());
  }
  void onVersionPolicies(const version_policies &Message) override {
    step(relay::version_policies_arrived{Message.Policies, false});
  }
  void onLeaderFound() override { step(relay::leader_found{}); }

  std::vector<vm_id> seeds() override {
    const auto Read = Adapter.Settings->read();
    return Read ? vmsOf(Read->Seeds) : std::vector<vm_id>{};
  }

  void setGauges() {
    const relay::relay_gauges Now = Relay.gauges(Clock.now());
    const auto Set = [this](const char *Name, auto Value) {
      Metrics.set(Name, "", Value);
    };
    Set("requests_active", Now.Requests);
    Set("requests_waiting", Now.Waiting);
    Set("attempts_in_flight", Now.InFlight);
    Set("endpoints", Now.Endpoints);
    Set("endpoints_cold", Now.Cold);
    Set("endpoints_suspected", Now.Suspects);
    Set("peers_silent", Now.UnresponsivePeers);
    Set("requests_quarantined", Now.Quarantined);
    Set("reach_lost", Now.IsReachLost ? 1 : 0);
    Set("catalog_version", Relay.version().Value);
    Set("revision", Follower.revision().Value);
    Set("registry_silent_ms", Follower.leaderSilence().Count);
    Set("log_lines_dropped", telemetry::droppedLines());
    Set("listening_clients", Clients->isListening() ? 1 : 0);
    Set("listening_relays", PeerLinks.isListening() ? 1 : 0);
    Set("http_memory_bytes", Budget->usedBytes());
    Set("http_memory_max_bytes", Budget->maxBytes());
    Set("stopping", IsStopping ? 1 : 0);
  }

  /// By account: the first `MaxAccountSeries`, and the sum of the rest.
  void setQuotaGauges() {
    std::size_t Count = 0;
    relay::quota_counters Rest;
    const auto Set = [this](const std::string &Account, const auto &Counters) {
      Metrics.set("account_admitted", Account, Counters.Admitted);
      Metrics.set("account_over_quota", Account, Counters.OverQuota);
    };
    for (const auto &[Name, Each] : Relay.quotas(Clock.now())) {
      if (++Count <= MaxAccountSeries) {
        Set(Name.Value, Each);
        Metrics.set("account_quota_state", Name.Value,
                    static_cast<std::uint32_t>(Each.State));
        continue;
      }
      Rest.Admitted += Each.Admitted;
      Rest.OverQuota += Each.OverQuota;
    }
    if (Count > MaxAccountSeries)
      Set("(others)", Rest);
  }

  // Shutdown.

  /// Reports not ready at once, but accepts new connections for `DrainTime`,
  /// until the platform sends no more. Then stops once all open requests are
  /// answered and their clients have received the answers, or the grace period
  /// ends.
  void shutDown() {
    if (IsStopping)
      return;
    IsStopping = true;
    ShutdownDeadline = Clock.now() + Settings.GraceTime - ShutdownMargin;
    telemetry::logEvent(
        severity::info, "stopping",
        {{"node", Settings.Node}, {"requests", Relay.active()}});
    Clients->closeAfterResponses();
    Follower.announceLeaving();
    ShutdownTimer.expires_after(toChrono(DrainTime));
    ShutdownTimer.async_wait([this](error_code Error) {
      if (Error)
        return;
      Clients->stopAccepting();
      stopWhenIdle();
    });
  }

  void stopWhenIdle() {
    Clients->closeIdle();
    const bool IsDone = Clients->connectionCount() == 0 && Relay.active() == 0;
    if (IsDone || Clock.now() >= ShutdownDeadline) {
      Io.stop();
      return;
    }
    ShutdownTimer.expires_after(toChrono(ShutdownPollInterval));
    ShutdownTimer.async_wait([this](error_code Error) {
      if (!Error)
        stopWhenIdle();
    });
  }

  const adapter &Adapter;
  process_settings Settings;
  asio::io_context Io{1};
  boot_clock_source Clock;
  telemetry::metrics Metrics;
  handler_guard Guard{Metrics};
  metrics_page MetricsPage{Metrics, [this] {
                             setGauges();
                             setQuotaGauges();
                           }};
  refused_messages Refused{Metrics};
  readiness_handler ReadinessHandler;
  relay::relay Relay;
  endpoint_links EndpointLinks;
  peer_links PeerLinks;
  registry_follower Follower;
  std::shared_ptr<const relay::catalog> Catalog =
      std::make_shared<const relay::catalog>();
  decision_log Log;
  std::unordered_map<query_id, http::responder> Responders;
  const std::shared_ptr<http::memory_budget> Budget =
      makeMemoryBudget(Settings);
  std::optional<http::server> Clients;
  std::optional<http::server> Readiness;
  std::optional<http::server> MetricsServer;
  asio::steady_timer RelayTimer;
  asio::steady_timer ShutdownTimer;
  process_watch Watch;
  bool IsStopping = false;
  instant ShutdownDeadline;
};

} // namespace

int runRelay(const adapter &Adapter) {
  startProcessLog("relay");
  const std::uint64_t Stamp = Adapter.Settings->stamp();
  auto Settings =
      awaitSettings(*Adapter.Settings,
                    {&process_settings::Clients, &process_settings::Readiness});
  if (!Settings)
    return 0;
  startProcessLog(Settings->Node);
  Settings->Relay.Self = *vmFromIp(Settings->Ip);
  return relay_process(Adapter, std::move(*Settings), Stamp).run();
}

} // namespace bulrush::fleet
