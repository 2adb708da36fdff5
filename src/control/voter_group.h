/// The members of the replicated log.
#pragma once

#include "bulrushtray/error.h"
#include "bulrushtray/ids.h"

#include <string>
#include <string_view>
#include <vector>

namespace bulrush::control {

/// One data folder that takes part in the log. Drawn at random when the folder
/// is created, so that an empty disk never counts as its former self.
using voter_id = numeric_id<struct voter_tag, std::uint64_t>;

/// Stands for no voter.
inline constexpr voter_id NoVoter{0};

/// A learner receives the log and has no vote.
enum class member_role : std::uint8_t { learner, voter };

/// One member and the machine that it runs on.
struct group_member {
  voter_id Id;
  vm_id Vm;
  member_role Role = member_role::voter;

  bool operator==(const group_member &) const = default;
};

/// All members, ascending by id.
struct voter_group {
  std::vector<group_member> Members;

  bool operator==(const voter_group &) const = default;

  /// The member with this id, or null.
  const group_member *find(voter_id Id) const;
  /// The member on this machine, a voter first, or null.
  const group_member *findOn(vm_id Vm) const;
  bool hasVoter(voter_id Id) const;
  std::size_t voterCount() const;
  /// Votes that make a majority; at least 1.
  std::size_t majority() const { return voterCount() / 2 + 1; }

  /// Copies with one member put in place or taken away.
  voter_group with(group_member Member) const;
  voter_group without(voter_id Id) const;
};

/// The payload of a log entry that changes the group, and back.
std::string encodeGroup(const voter_group &Group);
expected<voter_group> decodeGroup(std::string_view Bytes);

} // namespace bulrush::control
