#include "control/distributor.h"

#include <algorithm>

namespace bulrush::control {

distributor::distributor(const deployment &Deployment, instant ElectedAt) {
  const instant End = ElectedAt + worstCase(FreshnessLease);
  for (const vm &Vm : Deployment.Vms)
    Followers[Vm.Id].FreshEnd = End;
}

void distributor::heard(const daemon_id &Daemon, const heartbeat &Beat) {
  follower &Follower = Followers[Daemon.Vm];
  if (Daemon.Incarnation < Follower.Incarnation)
    return;
  const bool IsNew = Daemon.Incarnation > Follower.Incarnation;
  Follower.Incarnation = Daemon.Incarnation;
  Follower.Applied =
      IsNew ? Beat.Applied : std::max(Follower.Applied, Beat.Applied);
}

void distributor::grantTo(const daemon_id &Daemon, instant HeardAt,
                          const heartbeat &Beat, const state_machine &Machine,
                          heartbeat_reply &Reply) {
  const revision Accepted = Machine.config().Revision;
  Reply.Revision = Accepted;
  Reply.Freshness = FreshnessLease;
  if (Beat.Applied < Accepted || Accepted == revision{})
    Reply.Config = updateFrom(Beat.Applied, Machine);
  follower &Follower = Followers[Daemon.Vm];
  Follower.FreshEnd =
      std::max(Follower.FreshEnd, HeardAt + worstCase(FreshnessLease));
}

rollout_status distributor::status(revision Revision, instant Now) const {
  rollout_status Out{Revision, false, {}, {}};
  for (const auto &[Vm, Follower] : Followers) {
    if (Follower.Applied >= Revision)
      continue;
    if (Now < Follower.FreshEnd)
      Out.Behind.push_back(Vm);
    else if (Follower.Incarnation != incarnation_id{})
      Out.Suspended.push_back(Vm);
  }
  Out.IsInForce = Out.Behind.empty();
  return Out;
}

config_update updateFrom(revision Base, const state_machine &Machine) {
  const fleet_config &Config = Machine.config();
  config_update Out;
  Out.Digest = digest(Config);
  const auto &History = Machine.history();
  const bool Reaches = Base != revision{} && !History.empty() &&
                       History.front().Revision.Value <= Base.Value + 1 &&
                       Base < Config.Revision;
  if (!Reaches) {
    Out.Whole = Config;
    return Out;
  }
  Out.Base = Base;
  for (const history_entry &Entry : History)
    if (Entry.Revision > Base)
      Out.Changes.push_back(Entry.Change);
  return Out;
}

bool config_follower::take(const config_update &Update) {
  fleet_config Next;
  if (Update.Whole) {
    Next = *Update.Whole;
  } else {
    if (NeedsWhole || Update.Base != Config.Revision)
      return false;
    Next = Config;
    for (const change &Change : Update.Changes)
      applyTo(Next, Change);
  }
  if (Next.Revision < Config.Revision)
    return false;
  if (digest(Next) != Update.Digest) {
    NeedsWhole = true;
    return false;
  }
  NeedsWhole = false;
  const bool Changed = !(Next == Config);
  Config = std::move(Next);
  return Changed;
}

} // namespace bulrush::control
