/// Maintains the target number of voters without an operator: adds VMs that
/// ask to join as learners, promotes one of those that have caught up, and
/// removes an unresponsive voter once a replacement has become a voter.
///
/// Repairs wait for no particular VM: while a voter is missing or silent, each
/// VM that asks becomes a learner, and the first to catch up is promoted.
#pragma once

#include "control/replica.h"

#include <map>
#include <optional>
#include <variant>

namespace bulrush::control {

struct voter_manager_settings {
  /// Target number of voters: 2f + 1 to tolerate the loss of f VMs.
  std::size_t TargetVoters = 3;
  /// A voter that has acknowledged no message for this long is replaced if
  /// another VM asks to join.
  millis SilenceTimeout{2500};
  /// How long a request to join stays valid.
  millis JoinRequestTimeout{1500};
  /// A learner that has acknowledged no message for this long is removed.
  millis LearnerTimeout{10'000};
  /// Maximum number of learners; bounds the size of the group.
  std::size_t MaxLearners = 8;
};

/// A change of the group that the voter manager requests.
using membership_change =
    std::variant<add_member, remove_member, promote_member, remove_learner>;

/// Chooses membership changes while this node is the leader. Deterministic.
class voter_manager {
public:
  explicit voter_manager(voter_manager_settings Settings)
      : Settings(Settings) {}

  /// Records that a data folder on `Vm` that is not a member asked to join.
  void recordJoinRequest(vm_id Vm, instant Now) { JoinRequests[Vm] = Now; }

  /// Returns the next change of the group, if any. The caller sets its proposal
  /// id.
  std::optional<membership_change> nextChange(const replica_status &Status,
                                              instant Now);

private:
  std::optional<vm_id> longestSilentVoter(const replica_status &Status,
                                          instant Now) const;
  std::optional<vm_id> joinCandidate(const replica_status &Status, instant Now);
  static std::optional<voter_id> promotable(const replica_status &Status);
  std::optional<voter_id> lostLearner(const replica_status &Status,
                                      instant Now);

  voter_manager_settings Settings;
  std::map<vm_id, instant> JoinRequests;    ///< time of the latest request
  std::map<voter_id, instant> LearnersSeen; ///< since when they are learners
};

} // namespace bulrush::control
