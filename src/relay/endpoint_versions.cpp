// Version policies: which endpoints of a service may get requests.
#include "relay/endpoint_set.h"

#include <utility>

namespace bulrush::relay {

namespace {

/// Without a message of the registry's leader for this long, the target of a
/// rollout gets nothing: the leader may have withdrawn it. Two heartbeats of
/// the leader, one every 400 ms, may be lost or late.
constexpr millis LeaderTimeout{1000};

} // namespace

bool endpoint_set::isInTouch(instant Now) const {
  return Now - LeaderHeardAt <= LeaderTimeout;
}

version_choice endpoint_set::choiceFor(const service_state &Service,
                                       bool IsFirstAttempt, instant Now) const {
  return Service.Split->choose(IsFirstAttempt, isInTouch(Now));
}

bool endpoint_set::on(const version_policies_arrived &Event, instant Now,
                      relay_actions &Out) {
  noteLeader(Now);
  bool IsChanged = false;
  std::set<service_name> Named;
  for (const version_policy &Each : Event.Policies) {
    Named.insert(Each.Service);
    IsChanged |= setPolicy(Each, Out);
  }
  if (!Event.IsFull)
    return IsChanged;
  for (auto &[Name, Service] : Services) {
    if (!Service->Split || Named.count(Service->Name))
      continue;
    Service->Split.reset();
    updateRoles(*Service, Out);
    IsChanged = true;
  }
  return IsChanged;
}

bool endpoint_set::setPolicy(const version_policy &Policy, relay_actions &Out) {
  service_state &Service = this->service(Policy.Service);
  if (Service.Split && Service.Split->policy() == Policy)
    return false;
  if (Service.Split)
    Service.Split->setPolicy(Policy);
  else
    Service.Split = std::make_unique<version_split>(Policy, Seed);
  Service.Split->setRelayCount(std::max(sharingRelays(Service), 1U));
  updateRoles(Service, Out);
  return true;
}

/// Sets the roles of the listed endpoints. Endpoints that get no requests any
/// more are withdrawn: attempts that wait for a connection would be sent later.
void endpoint_set::updateRoles(service_state &Service, relay_actions &Out) {
  role_set Listed;
  std::vector<endpoint_no> Used;
  for (const endpoint_no No : Service.Endpoints) {
    endpoint_state &Each = *Endpoints.at(No);
    if (Service.UsedRoles.contains(Each.versionRole()))
      Used.push_back(No);
    Each.setVersionRole(Service.Split
                            ? Service.Split->roleOf(Each.listed().Version)
                            : version_role::current);
    Listed = Listed.with({Each.versionRole()});
  }
  Service.UsedRoles = AllRoles;
  if (!Service.Split)
    return;
  Service.Split->setListed(Listed);
  Service.UsedRoles = Service.Split->used();
  for (const endpoint_no No : Used)
    if (!Service.UsedRoles.contains(Endpoints.at(No)->versionRole()))
      Out.push_back(withdraw_attempts{No});
}

/// Whether an attempt that no preferred endpoint accepts may go to the other
/// versions.
bool endpoint_set::canReplace(const version_choice &Choice,
                              const service_state &Service,
                              const std::vector<endpoint_no> &Tried,
                              const reply_timing &Timing, instant Now) const {
  if (Choice.Otherwise.isEmpty() || !Choice.IsLastResort)
    return !Choice.Otherwise.isEmpty();
  return availableOf(Choice.Preferred, Service, Now, Tried) ==
             availability::none &&
         nextPauseEndOf(Choice.Preferred, Service, Now, Tried) >
             Timing.LatestSendAt;
}

} // namespace bulrush::relay
