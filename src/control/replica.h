/// One member of a Raft-like replicated log, as a state machine without I/O.
///
/// The caller passes events to `step` and executes the returned actions in
/// order. Writes are asynchronous: on `persist` the caller writes and syncs the
/// data, then reports `persisted`. A message that depends on a write is
/// deferred and emitted as `send` only after that report. A step emits at most
/// one `persist`, as its first action. A leader sends its entries to the
/// followers before its own write completes; its own copy counts towards the
/// majority only once the write is durable.
#pragma once

#include "bulrushtray/outcome.h"
#include "control/replica_messages.h"

#include <memory>
#include <span>
#include <variant>
#include <vector>

namespace bulrush::control {

/// Identifies a proposal of the local caller; unique within one run of the
/// process.
using proposal_id = numeric_id<struct proposal_tag, std::uint64_t>;
/// Identifies a `persist` action; increases with each write.
using write_id = numeric_id<struct write_tag, std::uint64_t>;

struct replica_options {
  /// The seeds: VMs where other members are found, and of which a majority must
  /// agree on the first group (see control/bootstrap.h). A new data folder on
  /// the VM of an existing member replaces that member.
  std::vector<vm_id> Vms;
  /// Whether the fleet starts for the first time, with empty disks.
  bool IsFirstStart = false;
  /// Members of the replicated log that start for the first time, as stated; 0:
  /// unknown.
  std::uint32_t FleetSize = 0;
  /// Voters of a complete first group; 0: as many as `Vms`.
  std::size_t InitialSize = 0;
  /// Whether data folders that have not recorded a first start take part once
  /// all `FleetSize` folders are known to be without a group, and for how long
  /// they must be.
  bool AllowsUnrecorded = true;
  millis UnrecordedDelay{0};
  /// Minimum number of voters that must have an entry on disk before it is
  /// committed, in addition to the majority rule. Capped at the number of
  /// voters.
  std::size_t MinCommitCopies = 1;
  millis Heartbeat{50};
  millis ElectionMin{300}; ///< lower bound of the randomized election timeout
  millis ElectionMax{600}; ///< upper bound
  /// Upper bound of the election timeout until this process has heard from a
  /// leader, so that voters that start together elect one sooner. Without a
  /// value, the regular election timeout applies.
  std::optional<millis> FirstElectionMax;
  /// Whether leases rely on `ConfirmedAt`. If so, a restarted voter grants no
  /// vote for `ElectionMin`.
  bool HasLeases = true;
  /// A restarted voter grants no vote until enough peers have confirmed that
  /// its data folder is not an outdated copy, or until this timeout if they
  /// cannot be reached.
  millis CheckInTimeout{5000};
  std::size_t SnapshotEvery = 4096;  ///< applied entries between snapshots
  std::size_t CatchUpEntries = 1024; ///< entries kept before the snapshot
  /// Payload of the applied entries since the last snapshot, in bytes, at which
  /// the next one is taken even if they are fewer than `SnapshotEvery`.
  /// Not 0.
  std::size_t SnapshotBytes = 64 << 20;
  /// Maximum payload, in bytes, of the entries kept before the snapshot. A
  /// member that lacks more than these receives the snapshot.
  std::size_t CatchUpBytes = 16 << 20;
  std::size_t BatchBytes = 256 * 1024; ///< payload per append request
  std::size_t ChunkBytes = 256 * 1024; ///< payload per snapshot chunk
  std::size_t MaxInFlight = 64; ///< unacknowledged append requests per member
  /// Whether a leader promotes each learner that has caught up. Otherwise the
  /// caller decides with `promote_member`. A learner on the VM of a former
  /// member always takes its place.
  bool PromotesAllLearners = true;
  /// Level of this build, announced in each message; 0: announces none.
  std::uint32_t Level = 0;
};

// Events.
struct message_received {
  message Message;
};
/// Reports the passage of time. Expected at least twice per heartbeat interval.
struct tick {};
struct propose {
  proposal_id Proposal;
  shared_bytes Payload;
};
/// Reports that all writes up to and including `Write` are on disk.
struct persisted {
  write_id Write;
};
/// Answers `snapshot_requested` with the state machine's state after `Index`.
struct snapshot_taken {
  log_index Index;
  shared_bytes Bytes;
};
/// Adds the new data folder on a VM as a learner, which may be promoted to
/// voter once it has caught up. Rejected unless that folder has sent a
/// `join_request`.
struct add_member {
  proposal_id Proposal;
  vm_id Vm;
};
/// Removes the member on a VM. Rejected for the last voter.
struct remove_member {
  proposal_id Proposal;
  vm_id Vm;
};
/// Makes a learner a voter. Rejected unless it has caught up.
struct promote_member {
  proposal_id Proposal;
  voter_id Learner;
};
/// Removes a learner. Rejected if the member is none.
struct remove_learner {
  proposal_id Proposal;
  voter_id Learner;
};
/// Bootstraps a group on an empty data folder; ignored if the folder is not
/// empty.
struct bootstrap_group {
  voter_group Group;
  shared_bytes Bytes;    ///< initial snapshot of the state machine
  bool ElectsNow = true; ///< whether this member campaigns at once
};
/// Transfers leadership to the most up-to-date voter before a planned stop.
struct transfer_leadership {};
/// Adds VMs to which a member without a group sends `join_request`.
struct vms_discovered {
  std::vector<vm_id> Vms;
  /// VM that belongs to a group of these VMs, if they are one.
  std::optional<vm_id> GroupOn;
};

using event =
    std::variant<message_received, tick, propose, persisted, snapshot_taken,
                 add_member, remove_member, promote_member, remove_learner,
                 bootstrap_group, transfer_leadership, vms_discovered>;

// Actions.
/// Asks the caller to write the bootstrap record and the snapshot first, then
/// the hard state and the entries, and to sync. An entry replaces all stored
/// entries with the same or a larger index.
struct persist {
  write_id Write;
  hard_state Hard;
  std::vector<log_entry> Entries;
  std::optional<log_snapshot> Snapshot;
  std::optional<bootstrap_record> Bootstrap;
  bool DropLog = false; ///< discard all entries of earlier writes
};
struct send {
  vm_id Vm;
  message Message;
};
/// Applies a committed command to the state machine, in index order.
struct apply {
  log_index Index;
  term_id Term;
  shared_bytes Payload;
};
/// Replaces the whole state of the state machine.
struct install_snapshot {
  log_index Index;
  shared_bytes Bytes;
};
/// Asks the caller for a `snapshot_taken` event.
struct snapshot_requested {};
struct became_leader {
  term_id Term;
};
/// Reports that this leader has applied all entries of earlier terms and the
/// first entry of its own.
struct leader_ready {
  term_id Term;
};
struct lost_leadership {
  term_id Term;
};
/// Reports the outcome of a proposal: `answered` after its `apply`, `not_run`
/// if it was never appended to the log, otherwise `unknown`.
struct proposal_result {
  proposal_id Proposal;
  outcome Outcome = outcome::unknown;
  refusal Reason = refusal::none;
  log_index Index; ///< valid if answered
};
struct group_changed {
  voter_group Group;
  bool IsFirst = false; ///< formed by this member from empty data folders
};
/// Reports that the data folder is an outdated copy or that its member was
/// removed. The caller must retire the folder; the replica sends nothing more.
struct identity_lost {};

using action =
    std::variant<persist, send, apply, install_snapshot, snapshot_requested,
                 became_leader, leader_ready, lost_leadership, proposal_result,
                 group_changed, identity_lost>;

enum class replica_role : std::uint8_t {
  follower,
  pre_candidate,
  candidate,
  leader
};

/// A leader's view of another member.
struct follower_status {
  voter_id Id;
  vm_id Vm;
  /// When the leader sent the last message that this member acknowledged, at
  /// the earliest the start of the leader's term.
  instant AckedSentAt;
  /// Level that the member's latest message in this leader's term announced;
  /// none before the first message.
  std::optional<std::uint32_t> Level;
  /// A learner that has all committed entries and replies at present.
  bool IsPromotable = false;
};

/// The state of one member, for status pages and leases.
struct replica_status {
  replica_role Role = replica_role::follower;
  voter_id Self;
  voter_id Leader = NoVoter;
  vm_id LeaderVm; ///< valid if the leader is known
  term_id Term;
  log_index LastIndex;
  log_index Commit;
  log_index Applied;
  bool Ready = false; ///< leader that has applied all entries of earlier terms
  /// On a leader: the latest time at which a majority of voters is known to
  /// have followed it. No other member is elected in a larger term before that
  /// time plus `ElectionMin`, given clocks of equal rate and no leadership
  /// transfer. Leaders of smaller terms are no longer confirmed.
  instant ConfirmedAt;
  voter_group Group;
  std::vector<follower_status> Followers; ///< set on a leader only
  bootstrap_status Bootstrap;             ///< set without a group only
  std::optional<dropped_size> DroppedSize;
};

/// One member of the replicated log. Deterministic: `Seed` is the only source
/// of randomness.
class replica {
public:
  replica(replica_options Options, recovered_state State, std::uint64_t Seed);
  ~replica();
  replica(replica &&) noexcept;
  replica &operator=(replica &&) noexcept;

  /// Handles the events as one batch, so that their entries share one write,
  /// and appends the resulting actions to `Out`.
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
