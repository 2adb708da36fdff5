/// Persistent types of the replicated log: entries, hard state and snapshots.
#pragma once

#include "bulrushtray/ids.h"
#include "control/bootstrap.h"
#include "control/voter_group.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrush::control {

/// An immutable byte string that several messages share without copying.
using shared_bytes = std::shared_ptr<const std::string>;

inline shared_bytes shareBytes(std::string Bytes) {
  return std::make_shared<const std::string>(std::move(Bytes));
}

enum class entry_kind : std::uint8_t {
  noop,    ///< first entry of a leader's term
  command, ///< applied to the state machine
  group    ///< changes the group's members
};

/// A log entry. Entries with the same index and term are equal in all logs.
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

/// Records that a member had a committed entry, appended by the leader of
/// `Term`, on its disk. The last term and last index of that member's log never
/// fall below these again; a member that reports less runs on an outdated copy
/// of its data folder.
struct held_position {
  voter_id Voter;
  incarnation_id Boot; ///< the member's process incarnation at that time
  term_id Term;
  log_index Index;

  bool operator==(const held_position &) const = default;
};

/// State that must be on disk before a message that depends on it is sent.
struct hard_state {
  term_id Term;
  voter_id Vote = NoVoter;
  std::vector<held_position> HeldPositions;

  bool operator==(const hard_state &) const = default;
};

/// The state machine's state after the entry at `Index`.
struct log_snapshot {
  log_index Index;
  term_id Term;
  voter_group Group;
  shared_bytes Bytes = shareBytes({});
};

/// State recovered from the data folder when the process starts.
struct recovered_state {
  voter_id Self;
  vm_id Vm;
  incarnation_id Boot; ///< larger than at every earlier start of this folder
  hard_state Hard;
  std::optional<log_snapshot> Snapshot;
  std::vector<log_entry> Entries; ///< follow the snapshot without gaps
  std::optional<bootstrap_record> Bootstrap;
  /// Whether the folder holds files of a member that was given up, was damaged,
  /// or has lost its log.
  bool HasFormerMember = false;
};

} // namespace bulrush::control
