/// One member of the replicated log, as a pure state machine.
///
/// The shell hands in events and carries out the actions in their order. Writes
/// are asynchronous: after `persist` the shell writes, syncs and answers with
/// `persisted`. A message that depends on a write is held inside and only
/// appears as `send` after that answer. A step writes once at most, and
/// `persist` is its first action. Entries of a leader leave before its own
/// write ends; its own copy counts towards the majority afterwards.
#pragma once

#include "bulrushtray/outcome.h"
#include "control/replica_messages.h"

#include <memory>
#include <span>
#include <variant>
#include <vector>

namespace bulrush::control {

/// One proposal of the local shell; unique in one life of the process.
using proposal_id = numeric_id<struct proposal_tag, std::uint64_t>;
/// One write; a later write has the larger number.
using write_id = numeric_id<struct write_tag, std::uint64_t>;

struct replica_options {
  /// The machines of the first group. It forms by itself once every one of them
  /// has an empty folder. A new folder on a member's machine replaces it.
  std::vector<vm_id> Vms;
  /// Whether an empty folder may take part in forming the first group.
  bool MayForm = true;
  /// An entry is committed once so many voters, and a majority, hold it on
  /// disk; fewer where there are not as many.
  std::size_t CommitCopies = 1;
  millis Heartbeat{50};
  millis ElectionMin{300}; ///< silence before an election, lower bound
  millis ElectionMax{600};
  /// Silence before an election while no leader was heard in this life, so that
  /// voters that all start at once need not wait. Nothing: as before any other
  /// election.
  std::optional<millis> FirstElectionMax;
  /// Whether `ConfirmedAt` backs leases: a restarted voter gives no vote for
  /// `ElectionMin` then.
  bool HasLeases = true;
  /// A restarted voter gives no vote before its peers have confirmed that it is
  /// no old copy, or for this long where they cannot be reached.
  millis CheckInLimit{5000};
  std::size_t SnapshotEvery = 4096; ///< applied entries between snapshots
  std::size_t KeepEntries = 1024;   ///< entries kept before the snapshot
  std::size_t BatchBytes = 256 * 1024;
  std::size_t ChunkBytes = 256 * 1024;
  std::size_t MaxInFlight = 64; ///< unanswered messages to one member
};

// Events.
struct message_received {
  message Message;
};
/// Time passes. Wanted at least every half heartbeat.
struct tick {};
struct propose {
  proposal_id Proposal;
  shared_bytes Payload;
};
/// All writes up to and including `Write` are on disk.
struct persisted {
  write_id Write;
};
/// The answer to `snapshot_wanted`: the state machine after `Index`.
struct snapshot_taken {
  log_index Index;
  shared_bytes Bytes;
};
/// Adds the new folder on a machine as a learner; it becomes a voter once it
/// has caught up. Refused until that folder has asked to join.
struct add_member {
  proposal_id Proposal;
  vm_id Vm;
};
/// Removes the member on a machine; refused for the last voter.
struct remove_member {
  proposal_id Proposal;
  vm_id Vm;
};
/// Starts a group on an empty folder; ignored on any other.
struct form_group {
  voter_group Group;
  shared_bytes Bytes; ///< the first state of the state machine
};
/// Hands the leadership to the member that is furthest; for a planned stop.
struct transfer_leadership {};
/// Further machines that may know a group; an empty folder asks them too.
struct machines_known {
  std::vector<vm_id> Vms;
};

using event = std::variant<message_received, tick, propose, persisted,
                           snapshot_taken, add_member, remove_member,
                           form_group, transfer_leadership, machines_known>;

// Actions.
/// Write in this order and sync: the snapshot, then the hard state and the
/// entries. An entry replaces all earlier ones with its index or a larger one.
struct persist {
  write_id Write;
  hard_state Hard;
  std::vector<log_entry> Entries;
  std::optional<log_snapshot> Snapshot;
  bool DropLog = false; ///< no entry before this write is kept
};
struct send {
  vm_id Vm;
  message Message;
};
/// A committed command for the state machine, in the order of indexes.
struct apply {
  log_index Index;
  term_id Term;
  shared_bytes Payload;
};
/// Replaces the whole state machine.
struct install_snapshot {
  log_index Index;
  shared_bytes Bytes;
};
/// The shell should answer with `snapshot_taken`.
struct snapshot_wanted {};
struct became_leader {
  term_id Term;
};
/// The leader has applied every entry committed before its term.
struct leader_ready {
  term_id Term;
};
struct lost_leadership {
  term_id Term;
};
/// How a proposal ended: `answered` after its `apply`, `not_run` when it is in
/// no log, else `unknown`.
struct proposal_result {
  proposal_id Proposal;
  outcome Outcome = outcome::unknown;
  refusal Reason = refusal::none;
  log_index Index; ///< when answered
};
struct group_changed {
  voter_group Group;
};
/// The data folder is an old copy and must be given up; nothing more is sent.
struct identity_lost {};

using action =
    std::variant<persist, send, apply, install_snapshot, snapshot_wanted,
                 became_leader, leader_ready, lost_leadership, proposal_result,
                 group_changed, identity_lost>;

enum class replica_role : std::uint8_t {
  follower,
  pre_candidate,
  candidate,
  leader
};

/// What a leader knows of another member.
struct follower_view {
  voter_id Id;
  vm_id Vm;
  instant FollowedAt; ///< it followed at this time or later
};

/// A view of one member for status pages and leases.
struct replica_status {
  replica_role Role = replica_role::follower;
  voter_id Self;
  voter_id Leader = NoVoter;
  vm_id LeaderVm; ///< only with a known leader
  term_id Term;
  log_index LastIndex;
  log_index Commit;
  log_index Applied;
  bool Ready = false; ///< leader, and all earlier entries are applied
  /// As leader: the latest time at which a majority is known to have followed
  /// it. Nobody is elected in a larger term before that time plus
  /// `ElectionMin`, on clocks of equal speed and without a planned transfer; a
  /// leader of a smaller term is confirmed no more.
  instant ConfirmedAt;
  voter_group Group;
  std::vector<follower_view> Followers; ///< as leader
};

/// One member of the log. Deterministic: all randomness comes from `Seed`.
class replica {
public:
  replica(replica_options Options, recovered_state State, std::uint64_t Seed);
  ~replica();
  replica(replica &&) noexcept;
  replica &operator=(replica &&) noexcept;

  /// Handles the events as one batch, so that their entries share one write.
  void step(std::span<const event> Events, instant Now,
            std::vector<action> &Out);
  void step(const event &Event, instant Now, std::vector<action> &Out) {
    step(std::span<const event>(&Event, 1), Now, Out);
  }

  replica_status status() const;

private:
  std::unique_ptr<class replica_core> Core;
};

} // namespace bulrush::control
