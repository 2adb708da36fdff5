#include "control/voter_manager.h"

#include <algorithm>

namespace bulrush::control {

std::optional<membership_change>
voter_manager::nextChange(const replica_status &Status, instant Now) {
  if (Status.Role != replica_role::leader)
    return std::nullopt;
  const std::optional<voter_id> Lost = lostLearner(Status, Now);
  const std::size_t Voters = Status.Group.voterCount();
  const std::size_t Learners = Status.Group.Members.size() - Voters;
  const std::optional<vm_id> Silent = longestSilentVoter(Status, Now);
  if (!Status.Ready) {
    // The entries that the leader has yet to commit may need one more copy.
    const std::optional<vm_id> Joiner = joinCandidate(Status, Now);
    if (Joiner && Learners < Settings.MaxLearners &&
        (Silent || Voters < Settings.TargetVoters))
      return add_member{{}, *Joiner};
    return std::nullopt;
  }
  if (Silent && Voters > Settings.TargetVoters)
    return remove_member{{}, *Silent};
  if (Silent || Voters < Settings.TargetVoters) {
    if (const std::optional<voter_id> Learner = promotable(Status))
      return promote_member{{}, *Learner};
    const std::optional<vm_id> Joiner = joinCandidate(Status, Now);
    if (Joiner && Learners < Settings.MaxLearners)
      return add_member{{}, *Joiner};
  }
  if (Lost)
    return remove_learner{{}, *Lost};
  return std::nullopt;
}

std::optional<voter_id>
voter_manager::promotable(const replica_status &Status) {
  for (const follower_status &Each : Status.Followers)
    if (Each.IsPromotable)
      return Each.Id;
  return std::nullopt;
}

/// A learner that has not replied for `LearnerTimeout` since it was added. Its
/// VM may have failed before it was a member. Called in each step, as it also
/// records since when each learner is one.
std::optional<voter_id> voter_manager::lostLearner(const replica_status &Status,
                                                   instant Now) {
  std::erase_if(LearnersSeen, [&](const auto &Item) {
    const group_member *Member = Status.Group.find(Item.first);
    return !Member || Member->Role == member_role::voter;
  });
  std::optional<voter_id> Found;
  for (const follower_status &Each : Status.Followers) {
    if (Status.Group.hasVoter(Each.Id))
      continue;
    const instant SeenAt = LearnersSeen.try_emplace(Each.Id, Now).first->second;
    if (Now - std::max(SeenAt, Each.AckedSentAt) >= Settings.LearnerTimeout)
      Found = Each.Id;
  }
  return Found;
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
