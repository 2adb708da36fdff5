/// The inside of `replica`. Each replica_*.cpp holds one part of it.
#pragma once

#include "control/entry_log.h"
#include "control/replica.h"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace bulrush::control {

/// What a leader knows of another member.
struct member_progress {
  enum class mode : std::uint8_t { probe, replicate, snapshot };

  mode Mode = mode::probe;
  log_index Match;      ///< on its disk
  log_index Next;       ///< sent next
  instant FollowedAt;   ///< when the last message that it answered was sent
  bool Waiting = false; ///< a probe or a chunk is not answered yet
  std::size_t InFlight = 0;
  std::uint64_t ChunkOffset = 0; ///< bytes of the snapshot that it has
};

/// A snapshot that arrives in chunks.
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
  void on(const bootstrap_group &Event);
  void on(const transfer_leadership &Event);
  void on(const machines_discovered &Event);
  void dispatch(const message &Message);
  void appendOwn(entry_kind Kind, shared_bytes Payload);
  bool acceptsProposals() const;
  void refuse(proposal_id Proposal);
  void applyCommitted();
  void applyEntry(const log_entry &Entry);
  void replyTo(const message &From, message_body Body);

  // replica_output.cpp
  void emit(action Action);
  void post(vm_id Vm, voter_id To, message_body Body);
  void flush();
  void emitWrite();
  void releaseMessages();
  void noteChange(log_index From);

  // replica_election.cpp
  double randomShare();
  void resetElectionTimer();
  bool awaitsFirstLeader() const;
  double firstElectionShare();
  void checkQuorum();
  void campaign(bool PreVote, bool Transfer);
  void countVotes();
  void becomeFollower(term_id NewTerm, voter_id NewLeader);
  void becomeLeader();
  void loseLeadership();
  void onMessage(const message &From, const vote_request &Body);
  void onMessage(const message &From, const vote_reply &Body);
  void onMessage(const message &From, const timeout_now &Body);
  void finishTransfer();
  bool hearsLeader() const;
  instant confirmedAt() const;

  // replica_append.cpp
  void onMessage(const message &From, const append_request &Body);
  void onMessage(const message &From, const append_reply &Body);
  bool validEntries(const append_request &Body) const;
  void followLeader(const message &From);
  void storeEntries(const append_request &Body);
  void dropEntriesFrom(log_index Index);
  void noteMatch(const message &From, member_progress &Member, log_index Match);
  static void stepBack(member_progress &Member, const append_reply &Body);
  void sendTo(const group_member &Member, bool Heartbeat);
  void sendToAll(bool Heartbeat);
  void advanceCommit();
  log_index hintBefore(log_index Index) const;
  std::size_t copiesToCommit() const;

  // replica_snapshot.cpp
  void onMessage(const message &From, const snapshot_chunk &Body);
  void onMessage(const message &From, const snapshot_reply &Body);
  void sendChunk(const group_member &Member, member_progress &Progress);
  void install(const snapshot_chunk &Body, std::string Bytes);

  // replica_members.cpp
  void onMessage(const message &From, const join_request &Body);
  void onMessage(const message &From, const identity_refused &Body);
  void onMessage(const message &From, const check_in &Body);
  void onMessage(const message &From, const check_in_reply &Body);
  void checkIn();
  void endCheckIn();
  std::size_t peersToCheck() const;
  bool admit(const message &Message);
  bool isOldCopy(const message &Message) const;
  bool isRemoved(const message &Message) const;
  void retire();
  void learnHeld(const std::vector<held_position> &Positions);
  void noteHeld(voter_id Voter, incarnation_id Life, log_index Match);
  void recordHeld(held_position Position);
  void adoptGroup(log_index Index, voter_group Group);
  void dropGroupsFrom(log_index Index);
  const voter_group &group() const { return Groups.back().second; }
  const voter_group &groupAt(log_index Index) const;
  bool groupChangePending() const;
  void forgetOthers();
  void changeGroup(const voter_group &Group);
  void promoteLearners();
  void seekGroup();

  replica_options Options;
  voter_id Self;
  vm_id Vm;
  incarnation_id Boot;
  std::mt19937_64 Random;

  // State that is written before messages depend on it.
  term_id Term;
  voter_id Vote = NoVoter;
  entry_log Log;
  std::optional<log_snapshot> Snapshot;
  /// Groups by the index of the entry that set them; the first is the
  /// snapshot's.
  std::vector<std::pair<log_index, voter_group>> Groups;
  std::map<voter_id, held_position> Held;
  std::map<voter_id, incarnation_id> Boots; ///< latest life seen

  // Writes.
  struct write_in_flight {
    write_id Write;
    term_id Term;
    log_index Last;
  };
  struct held_message {
    write_id Write;
    send Send;
  };
  bool HardChanged = false;
  bool SnapshotChanged = false;
  bool LogDropped = false;
  std::optional<log_index> ChangedFrom;
  write_id LastWrite;
  std::deque<write_in_flight> Writes;
  std::vector<send> Posted;
  std::deque<held_message> HeldBack;
  term_id DurableTerm;
  log_index DurableIndex;

  // Volatile state.
  instant Now;
  std::vector<action> *Sink = nullptr;
  std::size_t StepBegin = 0; ///< the place in `Sink` of this step's write
  replica_role Role = replica_role::follower;
  voter_id Leader = NoVoter;
  instant LeaderSeen{-1e300};
  instant ElectionAt;
  bool Started = false;
  bool HasHeardLeader = false; ///< in this life, itself included
  bool Retired = false;
  bool InstallPending = false;
  log_index Commit;
  log_index Applied;
  bool SnapshotAsked = false;
  std::set<voter_id> Votes;
  std::optional<incoming_snapshot> Incoming;

  // As leader.
  std::map<voter_id, member_progress> Progress;
  std::map<log_index, proposal_id> Proposals;
  log_index FirstOwn; ///< the first entry of the own term
  bool Ready = false;
  std::map<vm_id, voter_id> Joiners; ///< new folders that asked to join
  instant LeadsSince;
  instant HeartbeatAt;
  std::optional<voter_id> TransferTo;
  instant TransferEnds;

  // After a start, until the folder is known to be no old copy.
  bool CheckedIn = true;
  std::set<voter_id> CheckedBy;
  instant CheckInAt;
  instant CheckInEnds;

  // Before a group is known.
  std::map<vm_id, voter_id> EmptyFolders;
  std::set<vm_id> SeenBy;
  std::set<vm_id> Machines; ///< that are asked for a group
  instant SeekAt;
};

} // namespace bulrush::control
