/// Joins the replicated log and the control core of one voter.
#pragma once

#include "control/control_core.h"
#include "control/replica.h"

#include <map>
#include <variant>
#include <vector>

namespace bulrush::daemon {

using node_event = std::variant<control::event, control::control_event>;

/// An action for the daemon to run. Actions are run in the order returned.
using node_action =
    std::variant<control::persist, control::send, control::operator_answer,
                 control::forward_request, control::addressed_reply,
                 control::send_ledger_answer, control::became_leader,
                 control::lost_leadership, control::group_changed,
                 control::identity_lost, control::state_machine_failed>;

/// Applies committed log entries to the control core and proposes the core's
/// commands to the log. Does no I/O and reads no clock.
class control_node {
public:
  control_node(vm_id Self, deployment Deployment,
               control::replica_options Options, control::recovered_state State,
               std::uint64_t Seed);

  /// Handles the events in order and appends the resulting actions to `Out`.
  void step(const std::vector<node_event> &Events, instant Now,
            std::vector<node_action> &Out);

  const control::control_core &core() const { return Core; }
  control::replica_status status() const { return Replica.status(); }

private:
  void stepLog(const control::event &Event);
  void stepCore(const control::control_event &Event);
  void propose(control::propose_command Proposal);
  void proposeVoters();
  control::proposal_id nextProposal();
  void reportLogStatus();

  void on(control::persist &Action) { Out->push_back(std::move(Action)); }
  void on(control::send &Action) { Out->push_back(std::move(Action)); }
  void on(control::apply &Action);
  void on(control::install_snapshot &Action);
  void on(control::snapshot_requested &);
  void on(control::became_leader &Action);
  void on(control::leader_ready &Action);
  void on(control::lost_leadership &Action);
  void on(control::proposal_result &Action);
  void on(control::group_changed &Action) { Out->push_back(Action); }
  void on(control::identity_lost &Action) { Out->push_back(Action); }

  control::replica Replica;
  control::control_core Core;
  std::map<control::proposal_id, control::propose_command> Proposals;
  control::proposal_id LastProposal;
  /// A membership change requested by an operator. It is proposed again until
  /// the log commits it, because a new voter can be added only after it has
  /// sent a join request.
  struct pending_voter_change {
    bool Add = true;
    control::proposal_id Proposal; ///< 0: none in progress
    instant NextAttempt{};
  };

  std::map<vm_id, pending_voter_change>
      PendingVoterChanges; ///< cleared on loss of leadership
  /// Removed from `PendingVoterChanges` at the end of the step only, since
  /// results may arrive while `proposeVoters` iterates over that map.
  std::vector<vm_id> CompletedVoterChanges;
  std::optional<vm_id> KnownLeader;
  instant ConfirmedAt{};
  instant Now{};
  std::vector<node_action> *Out = nullptr;
};

} // namespace bulrush::daemon
