#include "control/config_distributor.h"

#include <algorithm>

namespace bulrush::control {

config_distributor::config_distributor(const deployment &Deployment,
                                       instant ElectedAt) {
  const instant End = ElectedAt + withMaxDrift(FreshnessLease);
  for (const vm &Vm : Deployment.Vms)
    Daemons[Vm.Id].FreshUntil = End;
}

void config_distributor::onHeartbeat(const daemon_id &Daemon,
                                     const heartbeat &Heartbeat) {
  daemon_state &State = Daemons[Daemon.Vm];
  if (Daemon.Incarnation < State.Incarnation)
    return;
  const bool IsNew = Daemon.Incarnation > State.Incarnation;
  State.Incarnation = Daemon.Incarnation;
  State.Applied =
      IsNew ? Heartbeat.Applied : std::max(State.Applied, Heartbeat.Applied);
}

void config_distributor::renewLease(const daemon_id &Daemon, instant ReceivedAt,
                                    const heartbeat &Heartbeat,
                                    const state_machine &Machine,
                                    heartbeat_reply &Reply) {
  const revision Accepted = Machine.config().Revision;
  Reply.Revision = Accepted;
  Reply.Freshness = FreshnessLease;
  if (Heartbeat.Applied < Accepted || Accepted == revision{})
    Reply.Config = updateSince(Heartbeat.Applied, Machine);
  daemon_state &State = Daemons[Daemon.Vm];
  State.FreshUntil =
      std::max(State.FreshUntil, ReceivedAt + withMaxDrift(FreshnessLease));
}

rollout_status config_distributor::status(revision Revision,
                                          instant Now) const {
  rollout_status Out{Revision, false, {}, {}};
  for (const auto &[Vm, State] : Daemons) {
    if (State.Applied >= Revision)
      continue;
    if (Now < State.FreshUntil)
      Out.Behind.push_back(Vm);
    else if (State.Incarnation != incarnation_id{})
      Out.Suspended.push_back(Vm);
  }
  Out.IsInForce = Out.Behind.empty();
  return Out;
}

config_update updateSince(revision Base, const state_machine &Machine) {
  const fleet_config &Config = Machine.config();
  config_update Out;
  Out.Digest = digest(Config);
  const auto &History = Machine.history();
  const bool CoversBase = Base != revision{} && !History.empty() &&
                          History.front().Revision.Value <= Base.Value + 1 &&
                          Base < Config.Revision;
  if (!CoversBase) {
    Out.FullConfig = Config;
    return Out;
  }
  Out.Base = Base;
  for (const history_entry &Entry : History)
    if (Entry.Revision > Base)
      Out.Changes.push_back(Entry.Change);
  return Out;
}

bool config_replica::apply(const config_update &Update) {
  fleet_config Next;
  if (Update.FullConfig) {
    Next = *Update.FullConfig;
  } else {
    if (NeedsFullConfig || Update.Base != Config.Revision)
      return false;
    Next = Config;
    for (const change &Change : Update.Changes)
      applyTo(Next, Change);
  }
  if (Next.Revision < Config.Revision)
    return false;
  if (digest(Next) != Update.Digest) {
    NeedsFullConfig = true;
    return false;
  }
  NeedsFullConfig = false;
  const bool Changed = !(Next == Config);
  Config = std::move(Next);
  return Changed;
}

} // namespace bulrush::control
