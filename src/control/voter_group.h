/// Membership of the replicated log's group.
#pragma once

#include "bulrushtray/error.h"
#include "bulrushtray/ids.h"

#include <string>
#include <string_view>
#include <vector>

namespace bulrush::control {

/// Identifies a data folder that takes part in the log. Chosen at random when
/// the folder is created, so that a wiped disk gets a new identity.
using voter_id = numeric_id<struct voter_tag, std::uint64_t>;

/// The absence of a voter.
inline constexpr voter_id NoVoter{0};

/// A learner receives the log but doesn't vote.
enum class member_role : std::uint8_t { learner, voter };

/// A member and the VM on which it runs.
struct group_member {
  voter_id Id;
  vm_id Vm;
  member_role Role = member_role::voter;

  bool operator==(const group_member &) const = default;
};

/// A group configuration: all members, in ascending order of their ids.
struct voter_group {
  std::vector<group_member> Members;

  bool operator==(const voter_group &) const = default;

  /// Returns the member with this id, or null.
  const group_member *find(voter_id Id) const;
  /// Returns the member on this VM, preferably a voter, or null.
  const group_member *findByVm(vm_id Vm) const;
  bool hasVoter(voter_id Id) const;
  std::size_t voterCount() const;
  /// The number of votes that form a majority; at least 1.
  std::size_t majority() const { return voterCount() / 2 + 1; }

  /// Return a copy of the group with one member added or replaced, or removed.
  voter_group with(group_member Member) const;
  voter_group without(voter_id Id) const;
};

/// Encode and decode the payload of a log entry of kind `group`.
std::string encodeGroup(const voter_group &Group);
expected<voter_group> decodeGroup(std::string_view Bytes);

} // namespace bulrush::control
