/// Implementation of `replica`, split into one replica_*.cpp file per topic.
#pragma once

#include "control/bootstrap.h"
#include "control/entry_log.h"
#include "control/replica.h"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace bulrush::control {

/// Replication progress of another member, as tracked by the leader.
struct member_progress {
  enum class mode : std::uint8_t { probe, replicate, snapshot };

  mode Mode = mode::probe;
  log_index Match;          ///< highest index known to be on the member's disk
  log_index Next;           ///< index of the next entry to send
  instant AckedSentAt;      ///< send time of the last acknowledged message
  bool Waiting = false;     ///< whether a probe or chunk is unacknowledged
  std::size_t InFlight = 0; ///< unacknowledged append requests
  std::uint64_t ChunkOffset = 0;      ///< snapshot bytes that the member has
  std::optional<std::uint32_t> Level; ///< announced by its latest message
};

/// A snapshot that is being received in chunks.
struct incoming_snapshot {
  voter_id From;
  term_id Term;
  log_index Index;
  std::string Bytes;
};

class replica_core {
public:
  replica_core(replica_options Options, recovered_state State,
               std::uint64_t Seed);
  void step(std::span<const event> Events, instant Time,
            std::vector<action> &Out);
  replica_status status() const;

private:
  // replica.cpp
  void on(const message_received &Event);
  void on(const tick &Event);
  void on(const propose &Event);
  void on(const persisted &Event);
  void on(const snapshot_taken &Event);
  void on(const add_member &Event);
  void on(const remove_member &Event);
  void on(const promote_member &Event);
  void on(const remove_learner &Event);
  void on(const bootstrap_group &Event);
  void on(const transfer_leadership &Event);
  void on(const vms_discovered &Event);
  void dispatch(const message &Message);
  void appendEntry(entry_kind Kind, shared_bytes Payload);
  bool acceptsProposals() const;
  void rejectProposal(proposal_id Proposal);
  void applyCommitted();
  void applyEntry(const log_entry &Entry);
  bool isSnapshotDue() const;
  void compactBefore(log_index Index);
  void replyTo(const message &From, message_body Body);

  // replica_output.cpp
  void emit(action Action);
  void queueMessage(vm_id Vm, voter_id To, message_body Body);
  void finishStep();
  void emitPersist();
  void releaseMessages();
  void markUnpersisted(log_index From);

  // replica_election.cpp
  double randomFraction();
  void resetElectionTimer();
  bool awaitsFirstLeader() const;
  double firstElectionFraction();
  void checkQuorum();
  void campaign(bool PreVote, bool Transfer);
  void countVotes();
  void becomeFollower(term_id NewTerm, voter_id NewLeader);
  void becomeLeader();
  void loseLeadership();
  void onMessage(const message &From, const vote_request &Body);
  void onMessage(const message &From, const vote_reply &Body);
  void onMessage(const message &From, const timeout_now &Body);
  void tryCompleteTransfer();
  bool hasLiveLeader() const;
  instant confirmedAt() const;

  // replica_append.cpp
  void onMessage(const message &From, const append_request &Body);
  void onMessage(const message &From, const append_reply &Body);
  bool validEntries(const append_request &Body) const;
  void followLeader(const message &From);
  void storeEntries(const append_request &Body);
  void dropEntriesFrom(log_index Index);
  void updateMatch(const message &From, member_progress &Member,
                   log_index Match);
  void handleRejection(member_progress &Member, const append_reply &Body);
  void replicateTo(const group_member &Member, bool Heartbeat);
  void replicateToAll(bool Heartbeat);
  void advanceCommit();
  log_index conflictHint(log_index Index) const;

  // replica_snapshot.cpp
  void onMessage(const message &From, const snapshot_chunk &Body);
  void onMessage(const message &From, const snapshot_reply &Body);
  void sendSnapshotChunk(const group_member &Member, member_progress &Progress);
  void install(const snapshot_chunk &Body, std::string Bytes);

  // replica_members.cpp
  void onMessage(const message &From, const join_request &Body);
  void onMessage(const message &From, const identity_refused &Body);
  void onMessage(const message &From, const check_in &Body);
  void onMessage(const message &From, const check_in_reply &Body);
  void checkIn();
  void endCheckIn();
  std::size_t checkInQuorum() const;
  bool acceptMessage(const message &Message);
  bool isRolledBack(const message &Message) const;
  bool isRemoved(const message &Message) const;
  void retire();
  void mergeHeldPositions(const std::vector<held_position> &Positions);
  void recordMemberPosition(voter_id Voter, incarnation_id Incarnation,
                            log_index Match);
  void updateHeldPosition(held_position Position);
  void adoptGroup(log_index Index, voter_group Group, bool IsFirst = false);
  void dropGroupsFrom(log_index Index);
  const voter_group &group() const { return Groups.back().second; }
  const voter_group &groupAt(log_index Index) const;
  bool groupChangePending() const;
  void dropNonMembers();
  void changeGroup(const voter_group &Group);
  bool isPromotable(const group_member &Member) const;
  const group_member *formerMemberOf(const group_member &Learner) const;
  void promote(const group_member &Learner);
  void promoteLearners();
  void noteGroup(const message &Message);
  template <class body>
  void onBootstrapMessage(const message &From, const body &Body);
  void onMessage(const message &From, const bootstrap_prepare &Body);
  void onMessage(const message &From, const bootstrap_promise &Body);
  void onMessage(const message &From, const bootstrap_accept &Body);
  void onMessage(const message &From, const bootstrap_accepted &Body);
  void onMessage(const message &From, const bootstrap_chosen &Body);
  void discoverGroup();
  void finishBootstrap();

  replica_options Options;
  voter_id Self;
  vm_id Vm;
  incarnation_id Boot;
  std::mt19937_64 Random;

  // State that must be on disk before a message that depends on it is sent.
  term_id Term;
  voter_id Vote = NoVoter;
  entry_log Log;
  std::optional<log_snapshot> Snapshot;
  /// Group configurations with the index of the entry that introduced them,
  /// ascending; the first one comes from the snapshot.
  std::vector<std::pair<log_index, voter_group>> Groups;
  std::map<voter_id, held_position> HeldPositions;
  std::map<voter_id, incarnation_id> Incarnations; ///< latest known incarnation

  // Pending writes and the messages that depend on them.
  struct write_in_flight {
    write_id Write;
    term_id Term;
    log_index Last;
  };
  struct deferred_message {
    write_id Write;
    send Send;
  };
  bool HardChanged = false;
  bool SnapshotChanged = false;
  bool LogDropped = false;
  std::optional<log_index> UnpersistedFrom;
  write_id LastWrite;
  std::deque<write_in_flight> Writes;
  std::vector<send> QueuedMessages;
  std::deque<deferred_message> DeferredMessages;
  term_id DurableTerm;
  log_index DurableIndex;

  // Volatile state.
  instant Now;
  std::vector<action> *Actions = nullptr;
  std::size_t FirstAction = 0; ///< where this step inserts its `persist`
  replica_role Role = replica_role::follower;
  voter_id Leader = NoVoter;
  instant LeaderHeardAt{-1e300}; ///< initially before any possible time
  instant ElectionAt;
  bool Started = false;
  bool HasHeardLeader = false; ///< since process start; true once leader itself
  bool HasCampaigned = false;  ///< since process start
  std::size_t FirstPreVotes = 0; ///< since process start
  bool Retired = false;
  bool InstallPending = false;
  log_index Commit;
  log_index Applied;
  std::size_t AppliedBytes = 0; ///< payload applied since the snapshot
  bool SnapshotRequested = false;
  std::set<voter_id> Votes;
  std::optional<incoming_snapshot> Incoming;

  // Leader state.
  std::map<voter_id, member_progress> Progress;
  std::map<log_index, proposal_id> Proposals;
  log_index TermStartIndex; ///< index of this term's first entry
  bool Ready = false;
  std::map<vm_id, voter_id> JoinRequests; ///< non-members that asked to join
  instant ElectedAt;
  instant NextHeartbeatAt;
  std::optional<voter_id> TransferTarget;
  instant TransferDeadline;

  // Check-in after a start: peers confirm that the data folder is not an
  // outdated copy.
  bool CheckedIn = true;
  std::set<voter_id> CheckInConfirmedBy;
  instant NextCheckInAt;
  instant CheckInDeadline;

  bootstrap_agreement Bootstrap; ///< while this member has no group
  bool BootstrapChanged = false;
};

} // namespace bulrush::control
