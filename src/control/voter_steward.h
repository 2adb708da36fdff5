/// Keeps the group of voters whole without an operator: new machines join, and
/// a voter that is gone for good leaves once another has taken its place.
#pragma once

#include "control/replica.h"

#include <map>
#include <optional>
#include <variant>

namespace bulrush::control {

struct voter_manager_settings {
  /// Voters that the fleet wants: twice the machines that may be lost, and one.
  std::size_t TargetVoters = 3;
  /// A voter that was silent for so long is replaced if another is at hand.
  millis SilenceLimit{2500};
  /// A machine that asked to join so long ago is no candidate any more.
  millis JoinLimit{1500};
};

/// What the steward wants done next; at most one at a time.
using membership_change = std::variant<add_member, remove_member>;

/// Decides while this node leads. Deterministic.
class voter_manager {
public:
  explicit voter_manager(voter_manager_settings Settings)
      : Settings(Settings) {}

  /// A folder on `Vm`, which is no member, asked to join.
  void recordJoinRequest(vm_id Vm, instant Now) { Joiners[Vm] = Now; }

  /// The next change of the group, or nothing. The proposal's number is left to
  /// the caller.
  std::optional<membership_change> nextChange(const replica_status &Status,
                                              instant Now);

private:
  std::optional<vm_id> silentVoter(const replica_status &Status,
                                   instant Now) const;
  std::optional<vm_id> joiner(const replica_status &Status, instant Now);

  voter_manager_settings Settings;
  std::map<vm_id, instant> Joiners; ///< when they asked last
};

} // namespace bulrush::control
