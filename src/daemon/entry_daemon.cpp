#include "daemon/entry_daemon.h"

#include "control/control_agent.h"
#include "daemon/caller_api.h"
#include "daemon/endpoint_gateway.h"
#include "daemon/event_gate.h"
#include "daemon/explain_text.h"
#include "daemon/ledger_link.h"
#include "daemon/peer_mail.h"
#include "daemon/peer_watch.h"
#include "daemon/process.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"
#include "wire/daemon_codec.h"
#include "wire/generated/bulrush.pb.h"
#include "wire/query_codec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <optional>
#include <set>

namespace bulrush::daemon {

namespace {

using telemetry::logEvent;
using telemetry::severity;
using error_code = boost::system::error_code;

constexpr auto AgentTick = std::chrono::milliseconds(50);
/// After SIGTERM the daemon says that it is not ready and still serves, so that
/// the balancer has time to see it.
constexpr millis NotReadyFirst{1'000};

wire::link_settings linkSettings(const settings::entry_settings &Settings,
                                 incarnation_id Incarnation,
                                 std::optional<wire::link_keys> Keys) {
  wire::link_settings Out;
  Out.Self = {Settings.Self.Id, wire::role::entry};
  Out.Incarnation = Incarnation;
  Out.Bind = Settings.Self.Peers;
  Out.Keys = std::move(Keys);
  for (const vm &Vm : Settings.Deployment.Vms) {
    if (Vm.Id != Settings.Self.Id)
      Out.Peers.push_back({{Vm.Id, wire::role::entry}, Vm.Peers});
    if (Vm.HasDisk)
      Out.Peers.push_back({{Vm.Id, wire::role::control}, Vm.Control});
  }
  return Out;
}

/// How far a planned stop has got.
enum class stop_stage { running, announced, finishing };

} // namespace

struct entry_daemon::state final : caller_api_host {
  settings::entry_settings Settings;
  steady_clock_source Clock;
  telemetry::metrics Metrics;
  incarnation_id Incarnation = drawIncarnation();
  boost::asio::io_context Io{1};
  caller_api Api{Settings.Deployment, *this, Metrics, Clock};
  std::optional<http::server> Server;
  std::optional<wire::link_set> Links;
  std::optional<peer_mail> Mail;
  std::optional<endpoint_gateway> Gateway;
  std::optional<data_path> Path;
  std::optional<event_gate> Gate;
  std::optional<ledger_link> Ledger;
  control::control_agent Agent;
  peer_watch Watch;
  std::vector<wire::process_id> Voters;
  boost::asio::steady_timer AgentTimer{Io};
  boost::asio::steady_timer RouterTimer{Io};
  boost::asio::steady_timer OwnerTimer{Io};
  boost::asio::signal_set Signals{Io};
  std::set<endpoint_id> Owned;
  bool WasFresh = false;
  instant SentOwnedUntil{};
  stop_stage Stage = stop_stage::running;
  instant StopAskedAt{};
  exit_status Exit = exit_status::stopped;

  explicit state(settings::entry_settings Given) : Settings(std::move(Given)) {}

  // caller_api_host
  bool isReady() const override {
    return Stage == stop_stage::running && Agent.leases().isFresh(Clock.now());
  }
  void submit(query::router_event Event) override {
    Gate->push(std::move(Event));
  }
  void explain(const std::string &Target, http::responder Respond) override;
  http::response cutLinks(const std::string &Body) override;

  bool start();
  void onMessage(wire::process_id From, const wire::Envelope &Message);
  void noteSign(vm_id Vm, incarnation_id Peer, instant Now);
  void onEvents(std::vector<data_event> Events);

  void run(query::send_batch &Action);
  void run(query::send_cancel &Action) { Mail->send(Action); }
  void run(query::send_answer &Action) {
    Api.answer(Action.Query, Action.Answer);
  }
  void run(query::ledger_start &Action) { Ledger->start(Action); }
  void run(query::ledger_record &Action) { Ledger->record(Action); }
  void run(query::count_refusal &Action) {
    Metrics.add("refused", toString(Action.Reason), Action.Count);
  }
  void run(query::count_retry &Action) {
    Metrics.add("retried", toString(Action.Reason), Action.Count);
  }
  void run(query::log_snapshot_moved &Action);

  void run(query::send_to_endpoint &Action);
  void run(query::cancel_at_endpoint &Action) { Gateway->run(Action); }
  void run(query::reply_to_entry &Action) { Mail->add(std::move(Action)); }
  void run(query::probe_health &Action) { Gateway->run(Action); }
  void run(query::publish_report &Action) {
    Mail->add(std::move(Action.Report));
  }
  void run(query::endpoint_event &Action);
  void run(query::owner_drained &) {}

  template <class Fired>
  void setTimer(boost::asio::steady_timer &Timer, instant At);

  void stepAgent(const control::agent_event &Event);
  void run(const control::send_heartbeat &Action);
  void run(const control::config_changed &);
  void run(const control::members_changed &);
  void run(const control::grants_changed &) { publishGrants(); }
  void publishGrants();
  void checkFreshness();
  void tick();
  void waitForSignal();
  void onSignal(int Number);
  void continueStop();
  void finish(exit_status Status);
};

bool entry_daemon::state::start() {
  auto Keys = loadKeys(Settings.KeysFile);
  if (!Keys) {
    logEvent(severity::error, "start_failed", {{"why", Keys.error().Message}});
    return false;
  }
  Links.emplace(Io, linkSettings(Settings, Incarnation, *Keys), Metrics,
                [this](wire::process_id From, const wire::Envelope &Message) {
                  onMessage(From, Message);
                });
  Mail.emplace(*Links, Settings.Deployment, Settings.Self.Id);
  Settings.Router.Seed ^= drawSeed();
  Path.emplace(data_path_options{Settings.Deployment, Settings.Self.Id,
                                 Incarnation, Settings.Router, Settings.Owner});
  Gate.emplace(Io, [this](std::vector<data_event> Events) {
    onEvents(std::move(Events));
  });
  Gateway.emplace(
      Io, Settings.Deployment, Clock, Metrics,
      [this](query::owner_event Event) { Gate->push(std::move(Event)); });
  for (const vm &Vm : Settings.Deployment.Vms)
    if (Vm.HasDisk)
      Voters.push_back({Vm.Id, wire::role::control});
  Ledger.emplace(control::daemon_id{Settings.Self.Id, Incarnation}, *Links,
                 Voters, Metrics, [this](query::router_event Event) {
                   Gate->push(std::move(Event));
                 });
  http::server_settings Http;
  Http.Listen = Settings.Self.Callers;
  Http.MaxConnections = Settings.Callers.MaxConnections;
  Http.MaxPipelined = Settings.Callers.MaxPipelined;
  Http.MaxBodyBytes = Settings.Callers.MaxBodyBytes;
  Http.IdleTimeout = Settings.Callers.IdleTimeout;
  Http.WriteTimeout = Settings.Callers.WriteTimeout;
  Server.emplace(Io, Http, Api, Metrics);
  auto Started = Links->start();
  if (Started)
    Started = Server->start();
  if (!Started) {
    logEvent(severity::error, "start_failed",
             {{"why", Started.error().Message}});
    return false;
  }
  waitForSignal();
  tick();
  logEvent(severity::info, "started",
           {{"vm", Settings.Self.Id.Value},
            {"zone", Settings.Deployment.Zones[Settings.Self.Zone.Value].Name},
            {"callers_port", Settings.Self.Callers.Port},
            {"encrypted", Keys->has_value()}});
  return true;
}

void entry_daemon::state::noteSign(vm_id Vm, incarnation_id Peer, instant Now) {
  const peer_watch::news News = Watch.heard(Vm, Peer, Now);
  if (News.WasSilent)
    Gate->push(query::router_event(query::vm_recovered{Vm}));
  if (News.WasSilent || News.HasStarted)
    Mail->greet(Vm, Owned);
}

void entry_daemon::state::onMessage(wire::process_id From,
                                    const wire::Envelope &Message) {
  const instant Now = Clock.now();
  if (From.Role == wire::role::entry)
    noteSign(From.Vm, {Message.incarnation()}, Now);
  switch (Message.body_case()) {
  case wire::Envelope::kSubBatch: {
    auto Batch = wire::take(From.Vm, Message.sub_batch());
    Batch.Incarnation.Value = Message.incarnation();
    Gate->push(query::owner_event(query::batch_arrived{std::move(Batch)}));
    return;
  }
  case wire::Envelope::kSubCancel:
    Gate->push(query::owner_event(query::cancel_arrived{
        From.Vm, {Message.incarnation()}, wire::take(Message.sub_cancel())}));
    return;
  case wire::Envelope::kSubReplies:
    if (Message.sub_replies().for_incarnation() == Incarnation.Value)
      Gate->push(query::router_event(
          query::replies_arrived{From.Vm, wire::take(Message.sub_replies())}));
    return;
  case wire::Envelope::kEndpointReports:
    Gate->push(query::owner_event(
        query::reports_heard{wire::take(Message.endpoint_reports())}));
    Gate->push(query::router_event(query::reports_arrived{
        From.Vm, wire::take(Message.endpoint_reports())}));
    return;
  case wire::Envelope::kHeartbeatReply: {
    const auto Reply = wire::take(Message.heartbeat_reply());
    if (!Reply) {
      Metrics.add("link_refused", "malformed");
      return;
    }
    Ledger->heardLeader(From);
    stepAgent(control::agent_reply{*Reply});
    return;
  }
  case wire::Envelope::kLedgerAnswer: {
    const auto Answer = wire::take(Message.ledger_answer());
    if (Answer)
      Ledger->take(*Answer, Now);
    else
      Metrics.add("link_refused", "malformed");
    return;
  }
  default:
    Metrics.add("link_refused", "unexpected");
  }
}

void entry_daemon::state::onEvents(std::vector<data_event> Events) {
  data_actions Actions;
  Path->step(std::move(Events), Clock.now(), Actions);
  for (query::router_action &Action : Actions.Router) {
    if (const auto *Timer = std::get_if<query::set_timer>(&Action)) {
      setTimer<query::router_event>(RouterTimer, Timer->At);
      continue;
    }
    std::visit(
        [this](auto &Each) {
          if constexpr (!std::is_same_v<std::decay_t<decltype(Each)>,
                                        query::set_timer>)
            run(Each);
        },
        Action);
  }
  for (query::owner_action &Action : Actions.Owner) {
    if (const auto *Timer = std::get_if<query::set_timer>(&Action)) {
      setTimer<query::owner_event>(OwnerTimer, Timer->At);
      continue;
    }
    std::visit(
        [this](auto &Each) {
          if constexpr (!std::is_same_v<std::decay_t<decltype(Each)>,
                                        query::set_timer>)
            run(Each);
        },
        Action);
  }
  Mail->flush();
}

template <class Fired>
void entry_daemon::state::setTimer(boost::asio::steady_timer &Timer,
                                   instant At) {
  if (At == Never) {
    Timer.cancel();
    return;
  }
  const millis Left = At - Clock.now();
  Timer.expires_after(std::chrono::microseconds(
      static_cast<std::int64_t>(std::max(Left.Count, 0.0) * 1000)));
  Timer.async_wait([this](error_code Error) {
    if (!Error)
      Gate->push(Fired(query::timer_fired{}));
  });
}

/// A batch that could not be queued did not run: the router may go elsewhere.
void entry_daemon::state::run(query::send_batch &Action) {
  if (Mail->send(Action))
    return;
  query::replies_arrived Event;
  Event.From = Action.To;
  for (const query::sub_request &Item : Action.Batch.Items) {
    query::sub_reply &Reply = Event.Replies.emplace_back();
    Reply.Sub = Item.Sub;
    Reply.Query = Item.Query;
    Reply.Endpoint = Item.Endpoint;
    Reply.Shard = Item.Shard;
    Reply.Snapshot = Item.Snapshot;
    Reply.Outcome = outcome::not_run;
    Reply.Reason = refusal::link_down;
  }
  Gate->push(query::router_event(std::move(Event)));
}

void entry_daemon::state::run(query::log_snapshot_moved &Action) {
  logEvent(severity::info, "snapshot_moved",
           {{"pool", Settings.Deployment.Pools[Action.Pool.Value].Name},
            {"from", Action.From.Value},
            {"to", Action.To.Value},
            {"why", query::toString(Action.Why)},
            {"promised", Action.Promised},
            {"total", Action.Total}});
}

/// The last check before work leaves: a pause may have outlived the leases.
void entry_daemon::state::run(query::send_to_endpoint &Action) {
  const instant Now = Clock.now();
  const endpoint_id Endpoint = Action.Request.Endpoint;
  const control::lease_holder &Leases = Agent.leases();
  if (Leases.owns(Endpoint, Now) && Leases.isFresh(Now)) {
    Gateway->run(Action);
    return;
  }
  Metrics.add("send_withheld", "lease_lost");
  query::endpoint_replied Event;
  Event.Endpoint = Endpoint;
  Event.Attempt = Action.Attempt;
  Event.What = query::reply_kind::connect_refused;
  Gate->push(query::owner_event(std::move(Event)));
}

void entry_daemon::state::run(query::endpoint_event &Action) {
  Metrics.add("endpoint_change", query::toString(Action.Change));
  logEvent(severity::info, "endpoint_changed",
           {{"endpoint", Action.Endpoint.Value},
            {"change", query::toString(Action.Change)},
            {"cause", query::toString(Action.Cause)},
            {"limit", Action.Limit},
            {"in_flight", Action.InFlight}});
}

void entry_daemon::state::stepAgent(const control::agent_event &Event) {
  std::vector<control::agent_action> Actions;
  Agent.step(Event, Clock.now(), Actions);
  for (const control::agent_action &Action : Actions)
    std::visit([this](const auto &Each) { run(Each); }, Action);
  if (Agent.leases().ownedUntil() != SentOwnedUntil)
    publishGrants();
  checkFreshness();
}

void entry_daemon::state::run(const control::send_heartbeat &Action) {
  wire::Envelope Message;
  wire::put(Action.Beat, *Message.mutable_heartbeat());
  for (const wire::process_id &Voter : Voters)
    Links->send(Voter, Message);
}

void entry_daemon::state::run(const control::config_changed &) {
  const fleet_config &Config = Agent.config();
  logEvent(severity::info, "config_applied",
           {{"revision", Config.Revision.Value},
            {"intents", Config.Intents.size()},
            {"zones_out", Config.ZonesOut.size()},
            {"leaving", Config.Leaving.size()}});
  Metrics.set("revision", {}, static_cast<double>(Config.Revision.Value));
  Gate->push(query::router_event(query::config_changed{Config}));
  Gate->push(query::owner_event(query::config_changed{Config}));
}

void entry_daemon::state::run(const control::members_changed &) {
  logEvent(severity::info, "membership_changed",
           {{"epoch", Agent.members().Epoch},
            {"live", Agent.members().Live.size()}});
  Gate->push(query::router_event(query::membership_changed{Agent.members()}));
}

void entry_daemon::state::publishGrants() {
  const control::lease_holder &Leases = Agent.leases();
  SentOwnedUntil = Leases.ownedUntil();
  query::ownership_changed Event;
  std::set<endpoint_id> Now;
  for (const auto &[Endpoint, InheritedUntil] : Leases.granted()) {
    Event.Grants.push_back({Endpoint, SentOwnedUntil, InheritedUntil});
    Now.insert(Endpoint);
    if (!Owned.contains(Endpoint))
      Gateway->warm(Endpoint);
  }
  for (const endpoint_id Endpoint : Owned)
    if (!Now.contains(Endpoint))
      Gateway->retire(Endpoint);
  Owned = std::move(Now);
  Metrics.set("owned_endpoints", {}, static_cast<double>(Owned.size()));
  Gate->push(query::owner_event(std::move(Event)));
}

void entry_daemon::state::checkFreshness() {
  const bool IsFresh = Agent.leases().isFresh(Clock.now());
  if (IsFresh == WasFresh)
    return;
  WasFresh = IsFresh;
  logEvent(IsFresh ? severity::info : severity::warning, "freshness_changed",
           {{"fresh", IsFresh}});
  Metrics.add("freshness_changed", IsFresh ? "gained" : "lost");
  Gate->push(query::router_event(query::readiness_changed{IsFresh}));
}

void entry_daemon::state::tick() {
  stepAgent(control::agent_tick{});
  Ledger->tick(Clock.now());
  Mail->beat(Clock.now());
  for (const vm_id Vm : Watch.newlySilent(Clock.now()))
    Gate->push(query::router_event(query::vm_suspected{Vm}));
  if (Stage != stop_stage::running)
    continueStop();
  AgentTimer.expires_after(AgentTick);
  AgentTimer.async_wait([this](error_code Error) {
    if (!Error)
      tick();
  });
}

void entry_daemon::state::waitForSignal() {
  if (Stage == stop_stage::running) {
    Signals.add(SIGTERM);
    Signals.add(SIGINT);
  }
  Signals.async_wait([this](error_code Error, int Number) {
    if (!Error)
      onSignal(Number);
  });
}

void entry_daemon::state::onSignal(int Number) {
  if (Stage != stop_stage::running) {
    logEvent(severity::warning, "stop_forced", {{"signal", Number}});
    finish(exit_status::bound_reached);
    return;
  }
  logEvent(severity::info, "stop_asked", {{"signal", Number}});
  Stage = stop_stage::announced;
  StopAskedAt = Clock.now();
  waitForSignal();
}

void entry_daemon::state::continueStop() {
  const instant Now = Clock.now();
  if (Stage == stop_stage::announced && Now >= StopAskedAt + NotReadyFirst) {
    Stage = stop_stage::finishing;
    Server->stopAccepting();
    Gate->push(query::router_event(query::stop_requested{}));
    Gate->push(query::owner_event(query::stop_requested{}));
    stepAgent(control::agent_leave{});
    return;
  }
  const bool IsIdle = Path->activeQueries() == 0 && Path->pendingWork() == 0 &&
                      Server->inWork() == 0 && Ledger->waiting() == 0;
  const bool HasLeft =
      Agent.leases().hasLeft() || Now >= Agent.leases().ownedUntil();
  if (Stage == stop_stage::finishing && IsIdle && HasLeft)
    finish(exit_status::stopped);
  else if (Now >= StopAskedAt + NotReadyFirst + Settings.StopBound)
    finish(exit_status::bound_reached);
}

void entry_daemon::state::finish(exit_status Status) {
  logEvent(severity::info, "stopped",
           {{"queries_cut", Path->activeQueries()},
            {"work_cut", Path->pendingWork()}});
  Exit = Status;
  Io.stop();
}

void entry_daemon::state::explain(const std::string &Target,
                                  http::responder Respond) {
  std::string Text = explainText(Path->explain(), Settings.Deployment, Target);
  http::response Response;
  Response.Status = Text.empty() ? 404 : 200;
  Response.Body =
      Text.empty() ? R"({"message":"nothing is remembered"})" : std::move(Text);
  Respond(std::move(Response));
}

http::response entry_daemon::state::cutLinks(const std::string &Body) {
  http::response Response;
  if (!Settings.Testing) {
    Response.Status = 404;
    return Response;
  }
  Links->cut(Body.find("true") == std::string::npos
                 ? std::vector<wire::process_id>{}
                 : allProcesses(Settings.Deployment));
  return Response;
}

entry_daemon::entry_daemon(settings::entry_settings Settings)
    : State(std::make_unique<state>(std::move(Settings))) {}

entry_daemon::~entry_daemon() = default;

exit_status entry_daemon::run() {
  if (!State->start())
    return exit_status::failed;
  runAsActor(State->Io);
  return State->Exit;
}

} // namespace bulrush::daemon
