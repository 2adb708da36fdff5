/// Joins the replicated log and the registry's state machine of one voter:
/// orders and reads of operators, and what subscribers are told.
#pragma once

#include "control/registry_machine.h"
#include "control/replica.h"
#include "control/voter_steward.h"

#include <map>
#include <set>
#include <variant>
#include <vector>

namespace bulrush::fleet {

/// An order or a read of an operator; unique in one life of the process.
using call_id = numeric_id<struct call_tag, std::uint64_t>;
/// A daemon that is subscribed at this node.
using subscriber_id = numeric_id<struct subscriber_tag, std::uint64_t>;

// Events beside those of the log.
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

using node_event =
    std::variant<control::event, command_received, read_received,
                 subscriber_joined, subscriber_left, subscriber_applied>;

/// How an order or a read ended.
enum class call_end : std::uint8_t {
  done,        ///< the order is in force, or the state may be read now
  not_leading, ///< nothing was done; `Leader` may know
  unclear      ///< it may take effect; asked again it gets its answer
};

struct call_ended {
  call_id Call;
  call_end End = call_end::unclear;
};

/// Subscribers are to be told the new state.
struct state_changed {};

/// This node serves orders from now on, or does no longer.
struct leadership_changed {
  bool IsLeader = false;
};

using node_action = std::variant<control::persist, control::send,
                                 control::group_changed, control::identity_lost,
                                 call_ended, state_changed, leadership_changed>;

struct node_settings {
  control::replica_options Log;
  control::voter_manager_settings VoterManager;
  /// An order waits so long for the subscribers to act on it.
  millis PropagationTimeout{700};
  /// An operator asks elsewhere after a second.
  millis CallTimeout{900};
  /// Orders are taken with fewer voters than wanted after so long.
  millis VoterWaitTimeout{8000};
  /// A leader whose write takes longer hands the leadership over.
  millis SlowWriteThreshold{600};
  /// The fleet is taken to be smaller once it was so for so long.
  millis FleetShrinkDelay{30'000};
};

/// Deterministic; has no I/O and no clock.
class registry_node {
public:
  registry_node(node_settings Settings, control::recovered_state State,
                std::uint64_t Seed);

  void step(const node_event &Event, instant Now,
            std::vector<node_action> &Out);

  const control::registry_state &state() const { return Machine.state(); }
  control::replica_status status() const { return Log.status(); }
  bool isLeader() const { return IsLeader; }
  /// How many daemons share the endpoints: those subscribed, or as many as were
  /// of late.
  std::uint32_t fleetSize() const;

private:
  struct pending_command {
    call_id Call;
    control::proposal_id Proposal;
    instant ArrivedAt;
    instant CommittedAt = Never;
    revision Revision; ///< the state that holds it
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
  void recordJoinRequest(const control::event &Event);
  void proposeMembershipChange();
  void stepDownOnSlowDisk();
  void updateFleetSize();
  void propose(const control::registry_command &Command);
  void completeCommands();
  void completeReads();
  bool isPropagated(revision Revision) const;
  bool hasEnoughVoters() const;
  void setIsLeader(bool Value);
  void complete(call_id Call, call_end End) {
    Out->push_back(call_ended{Call, End});
  }

  node_settings Settings;
  control::replica Log;
  control::registry_machine Machine;
  control::voter_manager VoterManager;
  bool IsLeader = false;
  instant ElectedAt;
  control::proposal_id LastProposal;
  std::vector<pending_command> Commands;
  std::vector<pending_read> Reads;
  std::map<subscriber_id, revision> Subscribers; ///< what they act on
  control::write_id LastWrite;
  instant WriteStartedAt = Never; ///< of the oldest write under way
  bool HasSteppedDown = false;
  instant SmallerSince = Never; ///< than the replicated size
  instant SizeProposedAt{-1e300};
  instant Now;
  std::vector<node_action> *Out = nullptr;
};

} // namespace bulrush::fleet
