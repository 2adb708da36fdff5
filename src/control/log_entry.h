/// What the replicated log keeps: entries, votes and snapshots.
#pragma once

#include "bulrushtray/ids.h"
#include "control/voter_group.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrush::control {

/// Bytes that several messages share without copying them.
using shared_bytes = std::shared_ptr<const std::string>;

inline shared_bytes shareBytes(std::string Bytes) {
  return std::make_shared<const std::string>(std::move(Bytes));
}

enum class entry_kind : std::uint8_t {
  noop,    ///< first entry of a leader's term
  command, ///< for the state machine
  group    ///< a change of the members
};

/// One entry. Two logs that hold the same index and term hold the same entry.
struct log_entry {
  log_index Index;
  term_id Term;
  entry_kind Kind = entry_kind::noop;
  shared_bytes Payload = shareBytes({});

  bool operator==(const log_entry &Other) const {
    return Index == Other.Index && Term == Other.Term && Kind == Other.Kind &&
           *Payload == *Other.Payload;
  }
};

/// A member was seen to hold a committed entry on its disk that the leader of
/// `Term` made. Whatever it holds later ends in no smaller term and index; a
/// member that shows less runs on an old copy.
struct held_position {
  voter_id Voter;
  incarnation_id Boot; ///< the life of the process in which it was seen
  term_id Term;
  log_index Index;

  bool operator==(const held_position &) const = default;
};

/// What must be on disk before a message that depends on it leaves.
struct hard_state {
  term_id Term;
  voter_id Vote = NoVoter;
  std::vector<held_position> Held;

  bool operator==(const hard_state &) const = default;
};

/// The state machine after `Index`.
struct log_snapshot {
  log_index Index;
  term_id Term;
  voter_group Group;
  shared_bytes Bytes = shareBytes({});
};

/// What a data folder held when the process started.
struct recovered_state {
  voter_id Self;
  vm_id Vm;
  incarnation_id Boot; ///< larger than in every earlier life of the folder
  hard_state Hard;
  std::optional<log_snapshot> Snapshot;
  std::vector<log_entry> Entries; ///< after the snapshot, without gaps
};

} // namespace bulrush::control
