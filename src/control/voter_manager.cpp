#include "control/voter_manager.h"

#include <algorithm>

namespace bulrush::control {

std::optional<membership_change>
voter_manager::nextChange(const replica_status &Status, instant Now) {
  if (Status.Role != replica_role::leader || !Status.Ready)
    return std::nullopt;
  const auto &Members = Status.Group.Members;
  const bool HasLearner =
      std::any_of(Members.begin(), Members.end(), [](const group_member &Each) {
        return Each.Role == member_role::learner;
      });
  const std::size_t Voters = Status.Group.voterCount();
  const std::optional<vm_id> Silent = longestSilentVoter(Status, Now);
  if (Silent && Voters > Settings.TargetVoters)
    return remove_member{{}, *Silent};
  if (HasLearner || (Voters >= Settings.TargetVoters && !Silent))
    return std::nullopt;
  if (const std::optional<vm_id> Joiner = joinCandidate(Status, Now))
    return add_member{{}, *Joiner};
  return std::nullopt;
}

std::optional<vm_id>
voter_manager::longestSilentVoter(const replica_status &Status,
                                  instant Now) const {
  std::optional<vm_id> Found;
  instant Since = Never;
  for (const follower_status &Each : Status.Followers) {
    const bool IsVoter = Status.Group.hasVoter(Each.Id);
    if (!IsVoter || Now - Each.AckedSentAt < Settings.SilenceTimeout ||
        Each.AckedSentAt >= Since)
      continue;
    Found = Each.Vm;
    Since = Each.AckedSentAt;
  }
  return Found;
}

std::optional<vm_id> voter_manager::joinCandidate(const replica_status &Status,
                                                  instant Now) {
  std::erase_if(JoinRequests, [&](const auto &Item) {
    return Now - Item.second > Settings.JoinRequestTimeout;
  });
  for (const auto &[Vm, RequestedAt] : JoinRequests)
    if (!Status.Group.findByVm(Vm))
      return Vm;
  return std::nullopt;
}

} // namespace bulrush::control
