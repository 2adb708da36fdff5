#include "daemon/entry_daemon.h"

#include "daemon/entry_state.h"
#include "daemon/explain_text.h"
#include "telemetry/log.h"

#include <csignal>

namespace bulrush::daemon {

namespace {

using telemetry::logEvent;
using telemetry::severity;
using error_code = boost::system::error_code;

constexpr auto AgentTickInterval = std::chrono::milliseconds(50);
/// After SIGTERM, /readyz reports not ready for this time while queries are
/// still served, so that the load balancer can stop routing callers here first.
constexpr millis NotReadyPeriod{1'000};

} // namespace

expected<void> entry_daemon::state::start() {
  auto Keys = loadKeys(Settings.KeysFile);
  if (!Keys)
    return fail(Keys.error());
  Links.emplace(
      Io,
      linkSettings(Settings.Deployment, {Settings.Self.Id, wire::role::entry},
                   Settings.Self.Peers, Incarnation, *Keys),
      Metrics, [this](wire::process_id From, const wire::Envelope &Message) {
        onMessage(From, Message);
      });
  Messenger.emplace(*Links, Settings.Deployment, Settings.Self.Id);
  Settings.Router.Seed ^= drawSeed();
  DataPath.emplace(data_path_options{Settings.Deployment, Settings.Self.Id,
                                     Incarnation, Settings.Router,
                                     Settings.Owner});
  Batcher.emplace(Io, [this](std::vector<data_event> Events) {
    onEvents(std::move(Events));
  });
  Gateway.emplace(
      Io, Settings.Deployment, Clock, Metrics,
      [this](query::owner_event Event) { Batcher->push(std::move(Event)); });
  for (const vm &Vm : Settings.Deployment.Vms)
    if (Vm.HasDisk)
      Voters.push_back({Vm.Id, wire::role::control});
  Ledger.emplace(control::daemon_id{Settings.Self.Id, Incarnation}, *Links,
                 Voters, Metrics, [this](query::router_event Event) {
                   Batcher->push(std::move(Event));
                 });
  http::server_settings Http;
  Http.Listen = Settings.Self.Callers;
  Http.MaxConnections = Settings.Callers.MaxConnections;
  Http.MaxPipelined = Settings.Callers.MaxPipelined;
  Http.MaxBodyBytes = Settings.Callers.MaxBodyBytes;
  Http.Budget =
      std::make_shared<http::memory_budget>(Settings.Callers.MaxMemoryBytes);
  Http.IdleTimeout = Settings.Callers.IdleTimeout;
  Http.WriteTimeout = Settings.Callers.WriteTimeout;
  Server.emplace(Io, Http, Api, Metrics);
  if (auto Started = Links->start(); !Started)
    return Started;
  if (auto Started = Server->start(); !Started)
    return Started;
  waitForSignal();
  tick();
  logEvent(severity::info, "started",
           {{"vm", Settings.Self.Id.Value},
            {"zone", Settings.Deployment.Zones[Settings.Self.Zone.Value].Name},
            {"callers_port", Settings.Self.Callers.Port},
            {"encrypted", Keys->has_value()}});
  return {};
}

void entry_daemon::state::tick() {
  stepAgent(control::agent_tick{});
  Ledger->tick(Clock.now());
  Messenger->sendHeartbeat(Clock.now());
  for (const vm_id Vm : FailureDetector.detectSilentPeers(Clock.now()))
    Batcher->push(query::router_event(query::vm_suspected{Vm}));
  if (Stage != stop_stage::running)
    continueStop();
  AgentTimer.expires_after(AgentTickInterval);
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
  Stage = stop_stage::not_ready;
  StopRequestedAt = Clock.now();
  waitForSignal();
}

void entry_daemon::state::continueStop() {
  const instant Now = Clock.now();
  if (Stage == stop_stage::not_ready &&
      Now >= StopRequestedAt + NotReadyPeriod) {
    Stage = stop_stage::draining;
    Server->stopAccepting();
    Batcher->push(query::router_event(query::stop_requested{}));
    Batcher->push(query::owner_event(query::stop_requested{}));
    stepAgent(control::agent_leave{});
    return;
  }
  const bool IsIdle = DataPath->activeQueries() == 0 &&
                      DataPath->pendingSubRequests() == 0 &&
                      Server->inFlightRequests() == 0 && Ledger->waiting() == 0;
  const bool HasLeft =
      Agent.leases().hasLeft() || Now >= Agent.leases().ownedUntil();
  if (Stage == stop_stage::draining && IsIdle && HasLeft)
    finish(exit_status::stopped);
  else if (Now >= StopRequestedAt + NotReadyPeriod + Settings.StopBound)
    finish(exit_status::bound_reached);
}

void entry_daemon::state::finish(exit_status Status) {
  logEvent(severity::info, "stopped",
           {{"queries_cut", DataPath->activeQueries()},
            {"work_cut", DataPath->pendingSubRequests()}});
  Exit = Status;
  Io.stop();
}

void entry_daemon::state::explain(const std::string &Target,
                                  http::responder Respond) {
  std::string Text =
      explainText(DataPath->explain(), Settings.Deployment, Target);
  http::response Response;
  Response.Status = Text.empty() ? 404 : 200;
  Response.Body =
      Text.empty() ? R"({"message":"no records found"})" : std::move(Text);
  Respond(std::move(Response));
}

http::response entry_daemon::state::cutLinks(const std::string &Body) {
  return handleTestCut(*Links, Settings.Deployment, Settings.Testing, Body);
}

entry_daemon::entry_daemon(settings::entry_settings Settings)
    : State(std::make_unique<state>(std::move(Settings))) {}

entry_daemon::~entry_daemon() = default;

exit_status entry_daemon::run() {
  if (auto Started = State->start(); !Started) {
    logEvent(severity::error, "start_failed",
             {{"why", Started.error().Message}});
    return exit_status::failed;
  }
  runAsActor(State->Io);
  return State->Exit;
}

} // namespace bulrush::daemon
