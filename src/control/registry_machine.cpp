#include "control/registry_machine.h"

#include <algorithm>

namespace bulrush::control {

namespace {

bool isSameOrder(const start_rollout &Order,
                 const relay::software_version &Target, millis Duration) {
  return Order.Target == Target && Order.Duration == Duration;
}

/// Returns whether the order was accepted before, as `Known` or as an order
/// that `Known` has replaced. `Age` is the time since `Known` was accepted.
bool isResend(const start_rollout &Order, const rollout &Known, millis Age) {
  const bool IsRolledBack = Known.State == relay::rollout_state::rolled_back;
  if (isSameOrder(Order, Known.Target, Known.Duration) &&
      (!IsRolledBack || Age < ResendTime))
    return true;
  return std::any_of(Known.Replaced.begin(), Known.Replaced.end(),
                     [&](const replaced_order &Each) {
                       return isSameOrder(Order, Each.Target, Each.Duration) &&
                              Each.Age + Age < ResendTime;
                     });
}

/// Returns the orders that were accepted less than `ResendTime` ago.
std::vector<replaced_order> recentOrders(const rollout &Known, millis Age) {
  std::vector<replaced_order> Out;
  for (const replaced_order &Each : Known.Replaced)
    if (Each.Age + Age < ResendTime)
      Out.push_back({Each.Target, Each.Duration, Each.Age + Age});
  if (Age < ResendTime)
    Out.push_back({Known.Target, Known.Duration, Age});
  if (Out.size() > MaxReplacedOrders)
    Out.erase(Out.begin());
  return Out;
}

} // namespace

std::vector<relay::version_policy>
versionPolicies(const registry_state &State) {
  std::map<relay::service_name, relay::version_policy> Out;
  for (const auto &[Service, Version] : State.Established)
    Out[Service].Established = Version;
  for (const auto &[Service, Rollout] : State.Rollouts) {
    relay::version_policy &Policy = Out[Service];
    Policy.Rollout = Rollout.Id;
    Policy.State = Rollout.State;
    Policy.Target = Rollout.Target;
    Policy.Barred = Rollout.Barred;
  }
  std::vector<relay::version_policy> Policies;
  for (auto &[Service, Policy] : Out) {
    Policy.Service = Service;
    Policies.push_back(std::move(Policy));
  }
  return Policies;
}

bool registry_machine::apply(log_index Index, const registry_command &Command) {
  Applied = Index;
  Result = {};
  const bool IsChanged =
      std::visit([this](const auto &Each) { return on(Each); }, Command);
  Result.HasNewRevision = IsChanged;
  if (IsChanged)
    State.Revision = {Index.Value};
  return IsChanged;
}

bool registry_machine::on(const put_catalog &Command) {
  if (Command.Version <= State.CatalogVersion)
    return false;
  State.CatalogVersion = Command.Version;
  State.Catalog = Command.Bytes;
  return true;
}

bool registry_machine::on(const set_zone &Command) {
  if (Command.IsOut)
    return State.ZonesOut.insert(Command.Zone).second;
  return State.ZonesOut.erase(Command.Zone) > 0;
}

/// Returns false to keep the revision, as no daemon acts on the fleet size
/// alone.
bool registry_machine::on(const set_fleet_size &Command) {
  State.FleetSize = Command.Daemons;
  return false;
}

/// Returns false to keep the revision: the leader tells the daemons itself,
/// before the command is committed.
bool registry_machine::on(const set_quarantine &Command) {
  if (Command.UntilMs == 0) {
    State.Quarantines.erase(Command.Request);
    return false;
  }
  State.Quarantines[Command.Request] = Command.UntilMs;
  if (State.Quarantines.size() > MaxQuarantines)
    State.Quarantines.erase(std::min_element(
        State.Quarantines.begin(), State.Quarantines.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; }));
  return false;
}

/// Returns false to keep the revision: no daemon acts on the replicated level.
bool registry_machine::on(const raise_level &Command) {
  State.Level = std::max(State.Level, Command.Level);
  return false;
}

rollout *registry_machine::find(const relay::service_name &Service,
                                relay::rollout_id Id) {
  const auto Found = State.Rollouts.find(Service);
  return Found != State.Rollouts.end() && Found->second.Id == Id
             ? &Found->second
             : nullptr;
}

/// Decides here and not at the proposer, since two orders may be in the log at
/// once.
bool registry_machine::on(const start_rollout &Command) {
  rollout New;
  New.Id = {Applied.Value};
  New.Target = Command.Target;
  New.Duration = Command.Duration;
  const auto Found = State.Rollouts.find(Command.Service);
  if (Found != State.Rollouts.end()) {
    const rollout &Known = Found->second;
    const millis Age = Known.Id == Command.Known
                           ? std::max(Known.Elapsed, Command.KnownElapsed)
                           : Known.Elapsed;
    if (isResend(Command, Known, Age))
      return false;
    if (Known.State == relay::rollout_state::in_progress) {
      Result = {Known.Target, true};
      return false;
    }
    New.Replaced = recentOrders(Known, Age);
    New.Barred = Known.Barred;
    std::erase(New.Barred, Command.Target);
  }
  // Rolling back to the version that the service uses would leave it without
  // any, so such an order has no effect on requests and is complete at once.
  const auto Established = State.Established.find(Command.Service);
  if (Established != State.Established.end() &&
      Established->second == Command.Target)
    New.State = relay::rollout_state::complete;
  State.Rollouts[Command.Service] = std::move(New);
  return true;
}

/// Returns false to keep the revision, as relays do not act on the time. Also
/// records the time of a rollout that has ended, for resends of its order.
bool registry_machine::on(const advance_rollout &Command) {
  if (rollout *Rollout = find(Command.Service, Command.Id))
    Rollout->Elapsed = std::max(Rollout->Elapsed, Command.Elapsed);
  return false;
}

bool registry_machine::on(const end_rollout &Command) {
  rollout *Rollout = find(Command.Service, Command.Id);
  if (!Rollout || Rollout->State != relay::rollout_state::in_progress)
    return false;
  Rollout->Elapsed = std::max(Rollout->Elapsed, Command.Elapsed);
  Rollout->State = Command.State;
  if (Command.State == relay::rollout_state::complete) {
    State.Established[Command.Service] = Rollout->Target;
    return true;
  }
  Rollout->Barred.push_back(Rollout->Target);
  if (Rollout->Barred.size() > MaxBarredVersions)
    Rollout->Barred.erase(Rollout->Barred.begin());
  return true;
}

bool registry_machine::on(const establish_version &Command) {
  return State.Established.emplace(Command.Service, Command.Version).second;
}

void registry_machine::load(log_index Index, registry_state NewState) {
  Applied = Index;
  NewState.Level = std::max(NewState.Level, State.Level);
  State = std::move(NewState);
}

} // namespace bulrush::control
