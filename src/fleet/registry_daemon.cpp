#include "fleet/registry_daemon.h"

#include "control/build_level.h"
#include "fleet/endpoint_reader.h"
#include "fleet/handler_guard.h"
#include "fleet/operator_handler.h"
#include "fleet/process_start.h"
#include "fleet/process_watch.h"
#include "fleet/refused_messages.h"
#include "fleet/rollout_runner.h"
#include "fleet/subscribers.h"
#include "fleet/voter_folder.h"
#include "fleet/voter_links.h"
#include "http/listener.h"
#include "telemetry/log.h"
#include "wire/fleet_codec.h"

#include <unordered_set>

namespace bulrush::fleet {

namespace {

namespace asio = boost::asio;
using error_code = boost::system::error_code;
using telemetry::severity;

/// Time between two heartbeats of the leader to the other voters.
constexpr millis VoterHeartbeatInterval{100};
constexpr millis ElectionMin{400};
constexpr millis ElectionMax{800};
/// Short, because shortly after a start a voter has either received a heartbeat
/// from a leader or there is no leader.
constexpr millis FirstElectionMax{120};
/// Short, because the platform never restores a disk from an old image, and
/// other outdated copies of a data folder are detected within a few heartbeats.
constexpr millis CheckInTimeout{150};
/// Several heartbeat intervals, so that a group that knows this VM is heard.
constexpr millis UnrecordedDelay{1000};
constexpr millis TickInterval{50};
/// Tick interval while no leader is known. It is short because voters start
/// their first election in time slots by rank.
constexpr millis ElectionTickInterval{10};
/// Time between two heartbeats of the leader to its subscribers.
constexpr millis SubscriberHeartbeatInterval{400};
/// Time from SIGTERM to exit, for sending the remaining responses and
/// transferring leadership.
constexpr millis ShutdownDelay{500};
/// Maximum number of log lines per directory change; the log event
/// `endpoints_changed` has the full counts.
constexpr std::size_t MaxEndpointLogLines = 1000;
constexpr std::size_t MaxOrderBytes = 8 << 20;
constexpr std::size_t MaxTotalOrderBytes = 3 * MaxOrderBytes;
constexpr std::size_t SnapshotEvery = 128; ///< entries
constexpr std::size_t CatchUpEntries = 16;
/// Bytes; an entry may hold a whole catalog.
constexpr std::size_t SnapshotBytes = 8 << 20;
constexpr std::size_t CatchUpBytes = 8 << 20;
/// Time without a group until it is logged; a new fleet takes less to form one.
constexpr millis NoGroupLogDelay{1000};
/// Time between two `no_group` log lines without a change of the cause.
constexpr millis NoGroupLogInterval{10'000};
/// Time between two `record_refused` log lines.
constexpr millis RefusedRecordInterval{10'000};

std::string_view causeName(control::bootstrap_wait Wait) {
  switch (Wait) {
  case control::bootstrap_wait::none:
    return "none";
  case control::bootstrap_wait::older_build:
    return "older_build";
  case control::bootstrap_wait::group_elsewhere:
    return "group_elsewhere";
  case control::bootstrap_wait::settings_differ:
    return "settings_differ";
  case control::bootstrap_wait::missing_seeds:
    return "missing_seeds";
  case control::bootstrap_wait::too_few:
    return "too_few";
  case control::bootstrap_wait::no_record:
    return "no_record";
  case control::bootstrap_wait::incomplete:
    return "incomplete";
  case control::bootstrap_wait::in_progress:
    return "in_progress";
  }
  return "unknown";
}

class registry_process final : public operator_handler_host,
                               public voter_folder_host,
                               public rollout_runner_host {
public:
  registry_process(const adapter &Adapter, process_settings Given,
                   std::uint64_t SettingsStamp)
      : Settings(std::move(Given)), Self(*vmFromIp(Settings.Ip)),
        OperatorHandler(*Adapter.Operators, *this, Metrics),
        Listener(Io,
                 [this](asio::ip::tcp::socket Socket) {
                   accept(std::move(Socket));
                 }),
        Watch(
            Io, Adapter.Settings, SettingsStamp,
            [this](const process_settings &Read) { onSettings(Read); },
            [this] { shutDown(); }),
        Ticker(Io), ShutdownTimer(Io),
        Folder(Io, Settings.DataFolder, Self, *this),
        CatalogUpdates(Adapter.Catalogs),
        Subscribers(CatalogUpdates,
                    [this](const node_event &Event) { step(Event); }),
        Rollouts(Settings.Rollouts, *this, CatalogUpdates, Subscribers,
                 Metrics),
        VoterLinks(
            Io, Settings.FleetPort,
            [this](const std::string &Bytes) { onVoterLinkFrame(Bytes); }),
        Reader(Io, readerSettings(Settings), Adapter.Endpoints, Clock,
               [this](auto Found, instant StartedAt) {
                 onDirectory(std::move(Found), StartedAt);
               }) {}

  int run() {
    telemetry::logEvent(severity::info, "registry_started",
                        {{"node", Settings.Node},
                         {"zone", Settings.Zone},
                         {"first_start", Settings.IsFirstStart}});
    const auto Started = startServers();
    if (!Started)
      return failStart(Started.error());
    Watch.start();
    scheduleTick();
    Guard.run(Io);
    telemetry::logEvent(severity::info, "registry_stopped",
                        {{"node", Settings.Node}});
    return 0;
  }

private:
  static reader_settings readerSettings(const process_settings &Settings) {
    reader_settings Out;
    Out.Server = Settings.EndpointList;
    return Out;
  }

  expected<void> startServers() {
    http::server_settings Http;
    Http.Listen = Settings.Operators;
    Http.MaxBodyBytes = MaxOrderBytes;
    Http.MaxTotalBodyBytes = MaxTotalOrderBytes;
    Http.MaxConnections = maxConnections(Settings, Http.MaxConnections);
    Http.Budget = Budget;
    Operators.emplace(Io, Http, OperatorHandler, Metrics);
    auto Started = Operators->start();
    if (!Started)
      return Started;
    if (Settings.MetricsPort != 0) {
      MetricsServer.emplace(Io, metricsSettings(Settings, Budget), MetricsPage,
                            Metrics);
      if (auto Other = MetricsServer->start(); !Other)
        return Other;
    }
    // A voter that the others cannot reach would call one election after the
    // other.
    return Listener.open(tcpEndpoint(Self, Settings.FleetPort), [this] {
      if (!IsStopping)
        Folder.open();
    });
  }

  void accept(asio::ip::tcp::socket Socket) {
    auto Link = std::make_shared<frame_link>(std::move(Socket));
    const frame_link *Key = Link.get();
    AcceptedLinks.insert(Link);
    Link->start([this, Key](const std::string &Bytes) { onFrame(Key, Bytes); },
                [this, Weak = std::weak_ptr(Link)] {
                  const auto Closed = Weak.lock();
                  if (!Closed)
                    return;
                  Subscribers.onClosed(Closed.get(), Clock.now());
                  AcceptedLinks.erase(Closed);
                });
  }

  std::shared_ptr<frame_link> findLink(const frame_link *Key) const {
    for (const auto &Link : AcceptedLinks)
      if (Link.get() == Key)
        return Link;
    return nullptr;
  }

  void onFrame(const frame_link *Key, const std::string &Bytes) {
    auto Message = wire::decodeFleet(Bytes);
    if (!Message) {
      Refused.on(Bytes, Message.error(), Clock.now());
      return;
    }
    if (auto *Voter = std::get_if<control::message>(&*Message))
      onVoterMessage(Key, std::move(*Voter));
    else if (const auto *Request = std::get_if<subscribe>(&*Message))
      onSubscribe(Key, *Request);
    else if (const auto *Applied = std::get_if<applied>(&*Message))
      Subscribers.onApplied(Key, *Applied, Clock.now());
    else if (const auto *Limits = std::get_if<limit_reports>(&*Message))
      onLimitReports(Key, *Limits);
    else if (const auto *Quotas = std::get_if<quota_reports>(&*Message))
      onQuotaReports(Key, *Quotas);
    else if (const auto *Crashes = std::get_if<crash_reports>(&*Message))
      onCrashReports(*Crashes);
    else if (const auto *Reports = std::get_if<rollout_reports>(&*Message))
      Rollouts.onReports(Key, *Reports, Clock.now());
  }

  void onLimitReports(const frame_link *Key, const limit_reports &Message) {
    if (Node)
      Subscribers.onLimitReports(Key, Message, Clock.now());
  }

  void onQuotaReports(const frame_link *Key, const quota_reports &Message) {
    if (Node)
      Subscribers.onQuotaReports(Key, Message, Clock.now());
  }

  void onCrashReports(const crash_reports &Message) {
    if (!Node || Subscribers.count() == 0)
      return;
    for (const relay::verdict_notice &Each :
         Subscribers.onCrashReports(Message, Clock.now())) {
      if (Each.Verdict == relay::request_verdict::watched)
        continue;
      const bool IsHeld = Each.Verdict == relay::request_verdict::quarantined;
      const auto LeftMs = static_cast<std::uint64_t>(Each.QuarantineLeft.Count);
      step(quarantine_decided{
          {Each.Request.Value, IsHeld ? unixMillis() + LeftMs : 0}});
    }
  }

  /// The quarantines of the replicated state that have not ended.
  std::vector<relay::verdict_notice> storedQuarantines() const {
    std::vector<relay::verdict_notice> Out;
    const std::uint64_t NowMs = unixMillis();
    for (const auto &[Request, UntilMs] : Node->state().Quarantines)
      if (UntilMs > NowMs)
        Out.push_back({{Request},
                       relay::request_verdict::quarantined,
                       {static_cast<double>(UntilMs - NowMs)}});
    return Out;
  }

  void onVoterMessage(const frame_link *Key, control::message Message) {
    if (!Node)
      return;
    VoterLinks.onMessageFrom(Message.Vm, Clock.now());
    const bool IsJoining =
        std::holds_alternative<control::join_request>(Message.Body);
    if (IsJoining && !Voters.empty())
      if (const auto Link = findLink(Key))
        Link->send(wire::encode(known_voters{Voters}));
    step(control::event(control::message_received{std::move(Message)}));
  }

  /// Handles frames that other voters send back on links opened by this node.
  void onVoterLinkFrame(const std::string &Bytes) {
    const auto Message = wire::decodeFleet(Bytes);
    if (!Message)
      Refused.on(Bytes, Message.error(), Clock.now());
    if (!Message || !Node)
      return;
    if (const auto *Known = std::get_if<known_voters>(&*Message))
      step(control::event(control::vms_discovered{
          Known->Voters, Known->Voters.empty()
                             ? std::nullopt
                             : std::optional(Known->Voters.front())}));
  }

  void onSubscribe(const frame_link *Key, const subscribe &Request) {
    const auto Link = findLink(Key);
    if (!Link)
      return;
    if (RefusedRecord) {
      // The relay asks another registry.
      asio::post(Io, [Link] { Link->close(); });
      return;
    }
    std::erase_if(PendingSubscriptions,
                  [](const auto &Each) { return Each.first.expired(); });
    PendingSubscriptions.push_back({Link, Request});
    answerSubscriptions();
  }

  /// Accepts pending subscriptions if this node is the leader and redirects
  /// them otherwise. While no leader is known, they wait for the next one.
  void answerSubscriptions() {
    if (PendingSubscriptions.empty() || !Node)
      return;
    const auto Leader = leaderOf(Node->status());
    if (!Node->isLeader() && (!Leader || *Leader == Self))
      return;
    for (const auto &[Weak, Request] :
         std::exchange(PendingSubscriptions, {})) {
      const auto Link = Weak.lock();
      if (!Link || !Link->isOpen())
        continue;
      if (!Node->isLeader()) {
        Link->send(wire::encode(redirect{*Leader, Voters}));
        continue;
      }
      Subscribers.add(Link, Request, Node->state(), Voters, Node->fleetSize(),
                      Clock.now());
    }
  }

  static std::optional<vm_id> leaderOf(const control::replica_status &Status) {
    if (Status.Leader == control::NoVoter)
      return std::nullopt;
    return Status.LeaderVm;
  }

  /// A registry outside the group hears no leader, but knows a member, which
  /// redirects to the leader.
  static std::optional<vm_id>
  leaderOrMember(const control::replica_status &Status) {
    const control::bootstrap_status &Outside = Status.Bootstrap;
    const bool IsOutside =
        Outside.Wait == control::bootstrap_wait::group_elsewhere &&
        !Outside.Vms.empty();
    return IsOutside ? Outside.Vms.front() : leaderOf(Status);
  }

  // Data folder.

  void onFolderOpened(control::recovered_state State) override {
    // Another folder than the first one of this process may be a lost disk.
    if (FirstVoter != control::NoVoter && FirstVoter != State.Self)
      Settings.IsFirstStart = false;
    FirstVoter = State.Self;
    Node.emplace(nodeSettings(), std::move(State), drawSeed());
    step(control::event(control::tick{}));
  }

  void onPersisted(control::write_id Write) override {
    step(control::event(control::persisted{Write}));
  }

  void onFolderClosed() override {
    if (Node && Node->isLeader())
      onLeadership(false);
    Node.reset();
    Voters.clear();
    MustReopen = false;
    OperatorHandler.completeAll(call_end::unclear);
  }

  node_settings nodeSettings() const {
    node_settings Out;
    for (const std::string &Seed : Settings.Seeds)
      if (const auto Vm = vmFromIp(Seed))
        Out.Log.Vms.push_back(*Vm);
    Out.Log.IsFirstStart = Settings.IsFirstStart;
    Out.Log.FleetSize = Settings.FleetSize;
    Out.Log.InitialSize = 2 * Settings.MaxLostVms + 1;
    // Without losses to tolerate, an empty folder may be all that is left.
    Out.Log.AllowsUnrecorded = Settings.MaxLostVms > 0;
    Out.Log.UnrecordedDelay = UnrecordedDelay;
    Out.Log.MinCommitCopies = Settings.MaxLostVms + 1;
    Out.Log.Heartbeat = VoterHeartbeatInterval;
    Out.Log.ElectionMin = ElectionMin;
    Out.Log.ElectionMax = ElectionMax;
    Out.Log.FirstElectionMax = FirstElectionMax;
    Out.Log.HasLeases = false;
    Out.Log.CheckInTimeout = CheckInTimeout;
    Out.Log.SnapshotEvery = SnapshotEvery;
    Out.Log.CatchUpEntries = CatchUpEntries;
    Out.Log.SnapshotBytes = SnapshotBytes;
    Out.Log.CatchUpBytes = CatchUpBytes;
    Out.Log.Level = control::BuildLevel;
    Out.VoterManager.TargetVoters = 2 * Settings.MaxLostVms + 1;
    return Out;
  }

  /// Logs why this node belongs to no group, when the cause changes and once
  /// per `NoGroupLogInterval`.
  void logMissingGroup(instant Now) {
    if (!Node) {
      Metrics.set("registry_has_group", "", 0);
      return;
    }
    const control::replica_status Status = Node->status();
    const control::bootstrap_status &Cause = Status.Bootstrap;
    logDroppedSize(Status.DroppedSize);
    Metrics.set("registry_has_group", "", Status.Group.Members.empty() ? 0 : 1);
    if (!Status.Group.Members.empty()) {
      LoggedWait = control::bootstrap_wait::none;
      NoGroupSince = Never;
      return;
    }
    NoGroupSince = std::min(NoGroupSince, Now);
    if (Now - NoGroupSince < NoGroupLogDelay)
      return;
    if (Cause.Wait == LoggedWait && Now - NoGroupLoggedAt < NoGroupLogInterval)
      return;
    LoggedWait = Cause.Wait;
    NoGroupLoggedAt = Now;
    std::string Vms;
    for (const vm_id Each : Cause.Vms)
      Vms += (Vms.empty() ? "" : ",") + toText(Each);
    telemetry::logEvent(severity::warning, "no_group",
                        {{"node", Settings.Node},
                         {"cause", causeName(Cause.Wait)},
                         {"waits_for", Vms},
                         {"known", Cause.Known},
                         {"needed", Cause.Needed},
                         {"first_start", Settings.IsFirstStart}});
  }

  void logDroppedSize(const std::optional<control::dropped_size> &Dropped) {
    if (!Dropped || std::exchange(IsSizeDropped, true))
      return;
    telemetry::logEvent(severity::warning, "registries_contradicted",
                        {{"node", Settings.Node},
                         {"registries", Dropped->Stated},
                         {"known", Dropped->Known}});
  }

  // Registry node.

  void step(const node_event &Event) {
    if (!Node || MustReopen)
      return;
    std::vector<node_action> Actions;
    if (!Guard.call([&] { Node->step(Event, Clock.now(), Actions); })) {
      reopenFolder();
      return;
    }
    for (node_action &Action : Actions)
      Guard.call([&] { std::visit([this](auto &Each) { on(Each); }, Action); });
    answerSubscriptions();
  }

  /// A failed step may have lost a write that the node counts on. The node is
  /// built anew from what the folder holds.
  void reopenFolder() {
    MustReopen = true;
    asio::post(Io, [this] {
      if (IsStopping || RefusedRecord)
        Folder.close();
      else
        Folder.reopen();
    });
  }

  void on(control::persist &Action) {
    if (!Guard.call([&] { Folder.write(std::move(Action)); }))
      reopenFolder();
  }
  void on(control::send &Action) {
    if (Action.Vm != Self)
      VoterLinks.send(Action.Vm, std::move(Action.Message), Clock.now());
  }
  void on(control::group_changed &Action) {
    if (Action.IsFirst)
      logFirstGroup(Action.Group);
    Voters.clear();
    std::string Text;
    for (const control::group_member &Each : Action.Group.Members) {
      Voters.push_back(Each.Vm);
      Text += (Text.empty() ? "" : ",") + toText(Each.Vm) +
              (Each.Role == control::member_role::learner ? "(learner)" : "");
    }
    telemetry::logEvent(severity::info, "voters_changed", {{"members", Text}});
  }
  /// Two lines with different groups would show that two groups were formed.
  static void logFirstGroup(const control::voter_group &Group) {
    std::string Text;
    for (const control::group_member &Each : Group.Members)
      Text += (Text.empty() ? "" : ",") + toText(Each.Vm) + ":" +
              std::to_string(Each.Id.Value);
    telemetry::logEvent(severity::info, "group_formed", {{"group", Text}});
  }
  void on(control::identity_lost &) {
    telemetry::logEvent(severity::warning, "identity_lost",
                        {{"node", Settings.Node}});
    asio::post(Io, [this] { Folder.replace(); });
  }
  void on(call_ended &Action) { OperatorHandler.complete(Action); }
  void on(state_changed &) {
    const control::registry_state &State = Node->state();
    Metrics.set("registry_revision", "", State.Revision.Value);
    if (!Node->isLeader())
      return;
    telemetry::logEvent(severity::info, "state_changed",
                        {{"revision", State.Revision.Value},
                         {"catalog_version", State.CatalogVersion},
                         {"zones_out", State.ZonesOut.size()}});
    CatalogUpdates.update(State);
    Rollouts.onState(Clock.now());
    Subscribers.updateQuotas(Clock.now());
    Subscribers.sendState(State, Voters);
    publishWithheld();
  }
  /// The process stays without a voter and says so until operators start the
  /// newer build: a supervisor would only start this one again and again.
  void on(record_refused &Action) {
    RefusedRecord = Action;
    asio::post(Io, [this] {
      Folder.close();
      logRefusedRecord(Clock.now());
      for (const auto &[Weak, Request] :
           std::exchange(PendingSubscriptions, {}))
        if (const auto Link = Weak.lock())
          Link->close();
    });
  }
  void logRefusedRecord(instant Now) {
    if (!RefusedRecord || Now - RefusedRecordLoggedAt < RefusedRecordInterval)
      return;
    RefusedRecordLoggedAt = Now;
    telemetry::logEvent(severity::error, "record_refused",
                        {{"record", RefusedRecord->Record},
                         {"index", RefusedRecord->Index.Value},
                         {"kind", RefusedRecord->Kind},
                         {"level", RefusedRecord->Level},
                         {"build_level", control::BuildLevel},
                         {"error", RefusedRecord->Reason}});
  }
  void on(level_raised &Action) {
    telemetry::logEvent(severity::info, "level_raised",
                        {{"level", Action.Level}});
  }
  void on(join_refused &Action) {
    telemetry::logEvent(severity::warning, "join_refused",
                        {{"machine", toText(Action.Vm)},
                         {"level", Action.Level},
                         {"min_level", Action.MinLevel}});
  }
  void on(leadership_changed &Action) { onLeadership(Action.IsLeader); }

  void onLeadership(bool IsLeader) {
    const control::replica_status Status = Node->status();
    telemetry::logEvent(severity::info, IsLeader ? "leading" : "not_leading",
                        {{"node", Settings.Node},
                         {"term", Status.Term.Value},
                         {"revision", Node->state().Revision.Value}});
    Metrics.set("registry_leads", "", IsLeader ? 1 : 0);
    if (IsLeader) {
      logMissingVoters(Status.Group.voterCount());
      Sequence = 0;
      CatalogUpdates.update(Node->state());
      Rollouts.onState(Clock.now());
      Subscribers.startQuotas(Node->fleetSize(), Clock.now());
      Subscribers.loadQuarantines(storedQuarantines(), Clock.now());
      Reader.start();
      return;
    }
    Reader.stop();
    Rollouts.clear();
    Withheld.clear();
    asio::post(Io, [this] { Subscribers.clear(); });
  }

  void logMissingVoters(std::size_t Voters) {
    const std::size_t Wanted = 2 * Settings.MaxLostVms + 1;
    const millis Wait = Node->voterWait();
    if (Voters < Wanted)
      telemetry::logEvent(severity::warning, "voters_missing",
                          {{"node", Settings.Node},
                           {"voters", Voters},
                           {"wanted", Wanted},
                           {"orders_wait_ms", Wait.Count}});
  }

  // Endpoint list of the platform.

  void onDirectory(std::vector<relay::listed_endpoint> Found,
                   instant StartedAt) {
    if (!Node || !Node->isLeader())
      return;
    DirectoryReadAt = StartedAt;
    Metrics.add("endpoint_list_readings");
    publishPermitted(std::move(Found));
  }

  /// Publishes endpoints that were withheld from relays until they had the
  /// policy of their service.
  void publishWithheld() {
    if (!Withheld.empty())
      publishPermitted(std::exchange(Withheld, {}));
  }

  void publishPermitted(std::vector<relay::listed_endpoint> Found) {
    Withheld.clear();
    if (Rollouts.onDirectory(Found)) {
      Withheld = Found;
      Rollouts.removeWithheld(Found);
    }
    publishDirectory(std::move(Found));
  }

  void publishDirectory(std::vector<relay::listed_endpoint> Found) {
    relay::directory Directory;
    Directory.Endpoints = std::move(Found);
    Directory.Version = {Node->status().Term.Value, Sequence + 1};
    Directory.ReadAt = DirectoryReadAt;
    if (Sequence > 0)
      relay::keepCountDowns(LastDirectory, Directory);
    relay::directory_change Change =
        Sequence == 0 ? fullChange(Directory)
                      : changeBetween(LastDirectory, Directory);
    if (!Change.isFull() && Change.Endpoints.empty() &&
        Change.Removed.empty()) {
      LastDirectory.Endpoints = std::move(Directory.Endpoints);
      LastDirectory.ReadAt = Directory.ReadAt;
      return;
    }
    ++Sequence;
    telemetry::logEvent(severity::info, "endpoints_changed",
                        {{"sequence", Sequence},
                         {"endpoints", Directory.Endpoints.size()},
                         {"changed", Change.Endpoints.size()},
                         {"gone", Change.Removed.size()}});
    logChange(Change);
    LastDirectory = Directory;
    Subscribers.setDirectory(std::move(Directory), std::move(Change),
                             Clock.now());
  }

  /// Logs a directory change once for all relays. Relays don't log it: they
  /// receive the same directory, also after a restart.
  static void logChange(const relay::directory_change &Change) {
    std::size_t Lines = 0;
    for (const relay::listed_endpoint &Each : Change.Endpoints) {
      if (++Lines > MaxEndpointLogLines)
        break;
      telemetry::logEvent(severity::info, "endpoint_listed",
                          {{"endpoint", Each.Identity.Instance},
                           {"service", Each.Service.Value},
                           {"zone", Each.Zone},
                           {"leaving", Each.IsLeaving},
                           {"cold_ms", Each.ColdFor.Count}});
    }
    for (const relay::endpoint_identity &Each : Change.Removed) {
      if (++Lines > MaxEndpointLogLines)
        break;
      telemetry::logEvent(severity::info, "endpoint_gone",
                          {{"endpoint", Each.Instance}});
    }
  }

  // Operators.

  void submitCommand(call_id Call, control::registry_command Command) override {
    if (Node)
      step(command_received{Call, std::move(Command)});
    else
      OperatorHandler.complete({Call, call_end::unclear});
  }
  void submitRead(call_id Call) override {
    if (Node)
      step(read_received{Call});
    else
      OperatorHandler.complete({Call, call_end::unclear});
  }
  std::optional<address> leader() const override {
    const auto Vm = Node ? leaderOrMember(Node->status()) : std::nullopt;
    if (!Vm || *Vm == Self)
      return std::nullopt;
    return address{toText(*Vm), Settings.Operators.Port};
  }
  const control::registry_state &state() const override {
    return Node->state();
  }
  bool isUnknown(const relay::service_name &Service) const override {
    return Node && Node->isLeader() && !CatalogUpdates.current().find(Service);
  }
  bool isBetweenVersions(std::uint64_t Version) const override {
    return Node && Node->isLeader() &&
           CatalogUpdates.isBetweenVersions(Version);
  }
  std::uint64_t statedVersion() const override {
    return CatalogUpdates.statedVersion();
  }

  // Rollouts.

  const registry_node &node() const override { return *Node; }
  void propose(control::registry_command Command) override {
    step(rollout_decided{std::move(Command)});
  }

  void setGauges() {
    const auto Set = [this](const char *Name, auto Value) {
      Metrics.set(Name, "", Value);
    };
    Set("listening_operators", Operators->isListening() ? 1 : 0);
    Set("listening_registries", Listener.isOpen() ? 1 : 0);
    Set("registry_has_folder", Node ? 1 : 0);
    Set("registry_record_refused", RefusedRecord ? 1 : 0);
    Set("registry_subscribers", Subscribers.count());
    Set("registry_endpoint_limits", Subscribers.limitCount());
    const bool IsLeader = Node && Node->isLeader();
    Set("registry_quotas", IsLeader ? Subscribers.quotaCount() : 0);
    Set("registry_quotas_limited",
        IsLeader ? Subscribers.limitedQuotaCount() : 0);
    Set("registry_quarantines", Subscribers.quarantineCount(Clock.now()));
    Set("registry_endpoints", LastDirectory.Endpoints.size());
    Set("registry_list_age_ms", (Clock.now() - DirectoryReadAt).Count);
    Set("http_memory_bytes", Budget->usedBytes());
    Set("http_memory_max_bytes", Budget->maxBytes());
    Set("log_lines_dropped", telemetry::droppedLines());
    Rollouts.setGauges();
    if (!Node)
      return;
    const control::replica_status Status = Node->status();
    Set("registry_term", Status.Term.Value);
    Set("registry_log_index", Status.LastIndex.Value);
    Set("registry_voters", Status.Group.voterCount());
    Set("registry_members", Status.Group.Members.size());
    Set("registry_catalog_version", Node->state().CatalogVersion);
    Set("registry_zones_out", Node->state().ZonesOut.size());
    Set("registry_fleet_size", Node->fleetSize());
    Set("registry_level", Node->level());
    Set("registry_lowest_relay_level", Subscribers.lowestLevel());
  }

  // Timers, settings and shutdown.

  void scheduleTick() {
    const bool HasLeader =
        Node && (Node->isLeader() || leaderOf(Node->status()));
    Ticker.expires_after(
        toChrono(HasLeader ? TickInterval : ElectionTickInterval));
    Ticker.async_wait([this](error_code Error) {
      if (Error)
        return;
      Guard.call([this] { onTick(); });
      scheduleTick();
    });
  }

  void onTick() {
    const instant Now = Clock.now();
    step(control::event(control::tick{}));
    Subscribers.dropSilent(Now);
    Subscribers.tickQuotas(Now);
    Subscribers.sendRosterChange();
    if (Node && Node->isLeader())
      Rollouts.step(Clock.now());
    if (Now - HeartbeatAt < SubscriberHeartbeatInterval)
      return;
    HeartbeatAt = Now;
    logMissingGroup(Now);
    logRefusedRecord(Now);
    VoterLinks.closeIdle(Now);
    if (Node && Node->isLeader())
      Subscribers.sendHeartbeat(Node->state().Revision, Node->fleetSize());
  }

  void onSettings(const process_settings &Read) {
    control::vms_discovered Known;
    for (const std::string &Seed : Read.Seeds)
      if (const auto Vm = vmFromIp(Seed))
        Known.Vms.push_back(*Vm);
    step(control::event(Known));
    Rollouts.setLimits(Read.Rollouts);
  }

  void shutDown() {
    if (IsStopping)
      return;
    IsStopping = true;
    telemetry::logEvent(severity::info, "stopping", {{"node", Settings.Node}});
    Operators->closeAfterResponses();
    step(control::event(control::transfer_leadership{}));
    ShutdownTimer.expires_after(toChrono(ShutdownDelay));
    ShutdownTimer.async_wait([this](error_code) {
      Folder.close();
      Io.stop();
    });
  }

  process_settings Settings;
  vm_id Self;
  asio::io_context Io{1};
  boot_clock_source Clock;
  telemetry::metrics Metrics;
  handler_guard Guard{Metrics};
  metrics_page MetricsPage{Metrics, [this] { setGauges(); }};
  refused_messages Refused{Metrics};
  operator_handler OperatorHandler;
  const std::shared_ptr<http::memory_budget> Budget =
      makeMemoryBudget(Settings);
  std::optional<http::server> Operators;
  std::optional<http::server> MetricsServer;
  http::listener Listener;
  process_watch Watch;
  asio::steady_timer Ticker;
  asio::steady_timer ShutdownTimer;
  voter_folder Folder;
  std::unordered_set<std::shared_ptr<frame_link>> AcceptedLinks;
  catalog_updates CatalogUpdates;
  subscribers Subscribers;
  rollout_runner Rollouts;
  std::vector<std::pair<std::weak_ptr<frame_link>, subscribe>>
      PendingSubscriptions;
  voter_links VoterLinks;
  endpoint_reader Reader;
  std::optional<registry_node> Node;
  control::voter_id FirstVoter; ///< of the first folder that was opened
  std::vector<vm_id> Voters;
  relay::directory LastDirectory; ///< as published
  /// The last reading if it lists endpoints that are withheld from relays.
  std::vector<relay::listed_endpoint> Withheld;
  instant DirectoryReadAt;
  std::uint64_t Sequence = 0; ///< number of directory versions in this term
  instant HeartbeatAt{-1e300};
  control::bootstrap_wait LoggedWait = control::bootstrap_wait::none;
  instant NoGroupSince = Never;
  instant NoGroupLoggedAt{-1e300};
  bool IsSizeDropped = false; ///< logged
  bool IsStopping = false;
  /// The folder stays closed once this is set.
  std::optional<record_refused> RefusedRecord;
  instant RefusedRecordLoggedAt{-1e300};
  bool MustReopen = false; ///< the node is not stepped until it is built anew
};

} // namespace

int runRegistry(const adapter &Adapter, std::uint32_t FleetSize) {
  startProcessLog("registry");
  const std::uint64_t Stamp = Adapter.Settings->stamp();
  auto Settings =
      awaitSettings(*Adapter.Settings, {&process_settings::Operators});
  if (!Settings)
    return 0;
  startProcessLog(Settings->Node);
  // A size that is too small would let two groups form.
  const std::size_t Voters = 2 * Settings->MaxLostVms + 1;
  if (FleetSize == Voters)
    Settings->FleetSize = FleetSize;
  else if (FleetSize > 0)
    telemetry::logEvent(severity::warning, "registries_ignored",
                        {{"registries", FleetSize}, {"voters", Voters}});
  return registry_process(Adapter, std::move(*Settings), Stamp).run();
}

} // namespace bulrush::fleet
