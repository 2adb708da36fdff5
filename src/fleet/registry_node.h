/// Combines one voter's replicated log with the registry's state machine.
/// Handles commands and reads of operators and tracks which revision each
/// subscriber has applied.
#pragma once

#include "control/registry_machine.h"
#include "control/replica.h"
#include "control/voter_manager.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace bulrush::fleet {

/// Identifies a command or a read of an operator; unique within one run of the
/// process.
using call_id = numeric_id<struct call_tag, std::uint64_t>;
/// Identifies a relay daemon that is subscribed to this node.
using subscriber_id = numeric_id<struct subscriber_tag, std::uint64_t>;

// Events in addition to those of the replicated log.
struct command_received {
  call_id Call;
  control::registry_command Command;
};
struct read_received {
  call_id Call;
};
struct subscriber_joined {
  subscriber_id Subscriber;
};
struct subscriber_left {
  subscriber_id Subscriber;
};
struct subscriber_applied {
  subscriber_id Subscriber;
  revision Revision;
};

/// The leader has decided on a request under which endpoints went down.
struct quarantine_decided {
  control::set_quarantine Command;
};

/// The leader has decided on a rollout: a command of control/rollout.h without
/// a caller.
struct rollout_decided {
  control::registry_command Command;
};

using node_event =
    std::variant<control::event, command_received, read_received,
                 subscriber_joined, subscriber_left, subscriber_applied,
                 quarantine_decided, rollout_decided>;

/// Result of a command or a read.
enum class call_end : std::uint8_t {
  done, ///< the command has taken effect, or `state()` is current for the read
  not_leading, ///< not executed; to be sent to the leader
  unclear,  ///< outcome unknown, a command may still take effect; safe to retry
  conflict, ///< refused because of a rollout in progress
  unsupported ///< not executed: a member of the group would misread the command
};

struct call_ended {
  call_id Call;
  call_end End = call_end::unclear;
  relay::software_version Running = {}; ///< target of that rollout, if refused
  /// Whether a command that is `done` has changed what daemons act on.
  bool HasNewRevision = true;
};

/// The registry's state has changed and is to be sent to subscribers.
struct state_changed {};

/// This node has started or stopped serving commands and reads as the leader.
struct leadership_changed {
  bool IsLeader = false;
};

/// This node has applied an entry that raised the replicated level.
struct level_raised {
  std::uint32_t Level = 0;
};

/// The leader does not add a member whose build does not understand the
/// replicated level. Emitted at most once a minute for each vm.
struct join_refused {
  vm_id Vm;
  std::uint32_t Level = 0;    ///< of the build that asked to join
  std::uint32_t MinLevel = 0; ///< that a new member needs
};

/// A log entry or snapshot that this build cannot read. The node has stopped
/// for good: it applies, sends and writes nothing more, as it would lose what
/// the record says.
struct record_refused {
  std::string Record; ///< `log_entry` or `snapshot`
  log_index Index;
  std::uint32_t Kind = 0;
  std::uint32_t Level = 0;
  std::string Reason;
};

using node_action = std::variant<control::persist, control::send,
                                 control::group_changed, control::identity_lost,
                                 call_ended, state_changed, leadership_changed,
                                 level_raised, join_refused, record_refused>;

struct node_settings {
  control::replica_options Log;
  control::voter_manager_settings VoterManager;
  /// Time from a command's arrival after which a committed command completes
  /// even if some subscribers have not applied it.
  millis PropagationTimeout{700};
  /// Time from arrival after which a command that is not committed, or a read
  /// that is not confirmed, ends as `unclear`. Operators send the call to
  /// another node after one second.
  millis CallTimeout{900};
  /// Time after which a leader accepts commands with fewer than `TargetVoters`
  /// voters: since its election, or since it has known that voters are missing.
  /// More than the time for which a VM that is back may lag behind, and less
  /// than operators wait for an order.
  millis VoterWaitTimeout{4500};
  /// A leader transfers its leadership once disk writes have been pending
  /// without interruption for this long.
  millis SlowWriteThreshold{600};
  /// Time for which fewer daemons must have been subscribed before the
  /// replicated fleet size is lowered.
  millis FleetShrinkDelay{30'000};
};

/// The registry node without I/O and clock; deterministic for a given seed.
class registry_node {
public:
  registry_node(node_settings Settings, control::recovered_state State,
                std::uint64_t Seed);

  void step(const node_event &Event, instant Now,
            std::vector<node_action> &Out);

  const control::registry_state &state() const { return StateMachine.state(); }
  control::replica_status status() const { return Log.status(); }
  bool isLeader() const { return IsLeader; }
  /// Returns the replicated level: commands of a higher level must not be
  /// proposed, as a member of the group may not understand them.
  std::uint32_t level() const { return StateMachine.state().Level; }
  /// Returns whether new work whose commands have `Level` may be accepted: the
  /// replicated level includes it, and no member is known to have gone back to
  /// an older build since.
  bool accepts(std::uint32_t Level) const;
  /// Returns the number of relay daemons that share the endpoints: the larger
  /// of the replicated fleet size and the current number of subscribers.
  std::uint32_t fleetSize() const;
  /// Returns for how long a leader accepts no commands yet because voters are
  /// missing.
  millis voterWait() const;
  /// Returns whether all members of the group understand the commands of
  /// control/rollout.h.
  bool canStoreRollouts() const;
  /// Returns the time since the order of the service's latest rollout, or 0. It
  /// is counted with this node's clock from when it got the last record, since
  /// the time of day may jump.
  millis rolloutElapsed(const relay::service_name &Service, instant At) const;

private:
  struct pending_command {
    call_id Call;
    control::proposal_id Proposal;
    instant ArrivedAt;
    instant CommittedAt = Never;
    revision Revision; ///< of the state that contains the command
    bool HasNewRevision = false;
  };
  /// The time since the order of a rollout was `Elapsed` at `At`.
  struct rollout_clock {
    relay::rollout_id Rollout;
    millis Elapsed;
    instant At;
  };
  struct pending_read {
    call_id Call;
    instant ArrivedAt;
  };

  void on(const control::event &Event);
  void on(const command_received &Event);
  void on(const read_received &Event);
  void on(const subscriber_joined &Event);
  void on(const subscriber_left &Event);
  void on(const subscriber_applied &Event);
  void on(const quarantine_decided &Event);
  void on(const rollout_decided &Event);

  void on(control::persist &Action);
  void on(control::send &Action) { Out->push_back(std::move(Action)); }
  void on(control::apply &Action);
  void on(control::install_snapshot &Action);
  void on(control::snapshot_requested &Action);
  void on(control::became_leader &Action);
  void on(control::leader_ready &Action);
  void on(control::lost_leadership &Action);
  void on(control::proposal_result &Action);
  void on(control::group_changed &Action) { Out->push_back(std::move(Action)); }
  void on(control::identity_lost &Action) { Out->push_back(Action); }

  void stepLog(const control::event &Event);
  void refuse(record_refused Refusal);
  void recordJoinRequest(const control::event &Event);
  void proposeMembershipChange();
  void stepDownOnSlowDisk();
  void updateMissingVoters();
  void updateFleetSize();
  void proposeLevel();
  bool admitsJoin(const control::message &Request);
  std::uint32_t levelForJoin() const;
  void propose(const control::registry_command &Command);
  void updateRolloutClocks(instant At);
  void completeCommands();
  void completeReads();
  bool isPropagated(revision Revision) const;
  bool hasEnoughVoters() const { return voterWait() <= millis{0}; }
  void setIsLeader(bool Value);
  void complete(call_id Call, call_end End) {
    Out->push_back(call_ended{Call, End});
  }

  node_settings Settings;
  std::optional<record_refused> RefusedAtStart;
  control::replica Log;
  control::registry_machine StateMachine;
  control::voter_manager VoterManager;
  bool IsLeader = false;
  bool HasRefused = false; ///< a record; ignores all events since
  instant ElectedAt;
  /// Since when this node has known fewer than `TargetVoters` voters; without a
  /// group, since it has heard enough registries to form one.
  instant VotersMissingSince = Never;
  control::proposal_id LastProposal;
  std::vector<pending_command> Commands;
  std::vector<pending_read> Reads;
  std::map<relay::service_name, rollout_clock> RolloutClocks;
  /// When this node got the entries that it has not applied yet. A voter learns
  /// that they are committed later, after a change of leader by an election.
  std::map<log_index, instant> EntriesReceivedAt;
  std::map<subscriber_id, revision>
      Subscribers; ///< applied revision of each subscriber
  std::map<control::write_id, instant>
      PendingWrites; ///< disk writes that have not ended, and their start
  bool HasSteppedDown = false;
  instant SmallerSince = Never; ///< since when fewer daemons than the
                                ///< replicated fleet size are subscribed
  instant SizeProposedAt{-1e300};
  /// The last proposal of `raise_level`, until its result is known.
  std::optional<control::proposal_id> LevelProposal;
  std::map<vm_id, std::uint32_t> JoinLevels; ///< of the latest join requests
  std::map<vm_id, instant> JoinRefusedAt;    ///< last `join_refused` action
  instant Now;
  std::vector<node_action> *Out = nullptr;
};

} // namespace bulrush::fleet
