#include "daemon/entry_state.h"
#include "telemetry/log.h"
#include "wire/daemon_codec.h"
#include "wire/generated/bulrush.pb.h"

namespace bulrush::daemon {

namespace {

using telemetry::logEvent;
using telemetry::severity;

} // namespace

void entry_daemon::state::stepAgent(const control::agent_event &Event) {
  std::vector<control::agent_action> Actions;
  Agent.step(Event, Clock.now(), Actions);
  for (const control::agent_action &Action : Actions)
    std::visit([this](const auto &Each) { run(Each); }, Action);
  if (Agent.leases().ownedUntil() != PublishedOwnedUntil)
    publishGrants();
  checkFreshness();
}

void entry_daemon::state::run(const control::send_heartbeat &Action) {
  wire::Envelope Message;
  wire::toProto(Action.Heartbeat, *Message.mutable_heartbeat());
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
  Metrics.set("revision", {}, Config.Revision.Value);
  Batcher->push(query::router_event(query::config_changed{Config}));
  Batcher->push(query::owner_event(query::config_changed{Config}));
}

void entry_daemon::state::run(const control::members_changed &) {
  logEvent(severity::info, "membership_changed",
           {{"epoch", Agent.members().Epoch},
            {"live", Agent.members().Live.size()}});
  Batcher->push(
      query::router_event(query::membership_changed{Agent.members()}));
}

void entry_daemon::state::publishGrants() {
  const control::lease_holder &Leases = Agent.leases();
  PublishedOwnedUntil = Leases.ownedUntil();
  query::ownership_changed Event;
  std::set<endpoint_id> Granted;
  for (const auto &[Endpoint, InheritedUntil] : Leases.granted()) {
    Event.Grants.push_back({Endpoint, PublishedOwnedUntil, InheritedUntil});
    Granted.insert(Endpoint);
    if (!Owned.contains(Endpoint))
      Gateway->preconnect(Endpoint);
  }
  for (const endpoint_id Endpoint : Owned)
    if (!Granted.contains(Endpoint))
      Gateway->retire(Endpoint);
  Owned = std::move(Granted);
  Metrics.set("owned_endpoints", {}, Owned.size());
  Batcher->push(query::owner_event(std::move(Event)));
}

void entry_daemon::state::checkFreshness() {
  const bool IsFresh = Agent.leases().isFresh(Clock.now());
  if (IsFresh == WasFresh)
    return;
  WasFresh = IsFresh;
  logEvent(IsFresh ? severity::info : severity::warning, "freshness_changed",
           {{"fresh", IsFresh}});
  Metrics.add("freshness_changed", IsFresh ? "gained" : "lost");
  Batcher->push(query::router_event(query::readiness_changed{IsFresh}));
}

} // namespace bulrush::daemon
