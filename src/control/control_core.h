/// The decisions of one control VM: joins the replicated state, the operators'
/// requests and the leader's work for the entry daemons.
#pragma once

#include "control/leader_term.h"
#include "control/operator_desk.h"
#include "control/planner.h"

#include <memory>
#include <variant>

namespace bulrush::control {

/// Hand a command to the replicated log.
struct propose_command {
  command Command;
  std::uint64_t Ticket = 0; ///< of the operator's request, or 0
};

/// An operator's request, from this VM's HTTP API or forwarded by another.
struct operator_request_received {
  request_origin From;
  operator_request Request;
};
/// The leader's result for a request that this VM has forwarded.
struct forwarded_result_received {
  std::uint64_t Ticket = 0;
  operator_result Result;
};
/// A heartbeat of an entry daemon.
struct heartbeat_received {
  daemon_id From;
  heartbeat Heartbeat;
};
/// A daemon asks for, or reports, a run of a non-idempotent request.
struct ledger_request_received {
  std::variant<ledger_start, ledger_finish> Request;
};
/// What owners say of their endpoints.
struct endpoint_reports_received {
  std::vector<query::endpoint_report> Reports;
};
/// The platform's list of live machines; it may lag.
struct live_vms_reported {
  std::vector<vm_id> Live;
};
/// This VM's voter was elected and has applied every entry of earlier terms.
/// Raised earlier, `ReadyAt` says which entry must be applied first.
struct leadership_gained {
  term_id Term;
  log_index ReadyAt;
};
struct leadership_lost {};
/// The leader, as this VM's voter knows it.
struct leader_changed {
  std::optional<vm_id> Leader;
};
/// A majority has acknowledged this leader in answer to messages that were sent
/// at `AsOf` or later.
struct quorum_confirmed {
  instant AsOf;
};
/// The log committed an entry; one without a command only moves the index.
struct entry_committed {
  log_index Index;
  std::optional<command> Command;
};
/// The log took over a snapshot, or read one at the start.
struct snapshot_loaded {
  control_state State;
};
/// The log did not take a proposal: it is proved to have no effect. One that
/// may yet be committed must not be reported here.
struct proposal_rejected {
  propose_command Proposal;
};
/// Raise it at least every 50 ms.
struct control_tick {
  wall_time Wall;
};

using control_event = std::variant<
    operator_request_received, forwarded_result_received, heartbeat_received,
    ledger_request_received, endpoint_reports_received, live_vms_reported,
    leadership_gained, leadership_lost, leader_changed, quorum_confirmed,
    entry_committed, snapshot_loaded, proposal_rejected, control_tick>;

/// Pass a request on to the leader, which answers with `Ticket`.
struct forward_request {
  vm_id Leader;
  std::uint64_t Ticket = 0;
  operator_request Request;
};
/// Send the ledger's answer to the daemon of its run.
struct send_ledger_answer {
  ledger_answer Answer;
};
/// Make a machine a voter, or no voter any more; only the leader is told.
struct change_voter {
  vm_id Vm;
  bool Add = true;
};
/// The snapshot could not be taken: stop, the state is not to be trusted.
struct state_machine_failed {
  error Reason;
};

/// `operator_answer` goes to its origin, `addressed_reply` to a daemon.
using control_action =
    std::variant<propose_command, operator_answer, forward_request,
                 addressed_reply, send_ledger_answer, change_voter,
                 state_machine_failed>;

/// Pure core. An operator's request to any VM reaches the leader; a confirm is
/// answered once its entry is applied here, also when another VM proposed it.
class control_core {
public:
  /// Draw `FirstTicket` anew at each start: an answer meant for an earlier life
  /// of this process must not be taken for one of this life.
  control_core(vm_id Self, deployment Deployment, std::uint64_t FirstTicket,
               retention_limits Limits = {});
  ~control_core();
  control_core(control_core &&) noexcept;
  control_core &operator=(control_core &&) noexcept;

  void step(const control_event &Event, instant Now,
            std::vector<control_action> &Out);

  /// The replicated state as applied here.
  const state_machine &machine() const;
  /// What owners last said of their endpoints.
  const endpoint_reports &reports() const;
  /// Whether this VM is the leader and has applied all earlier terms' entries.
  bool isLeading() const;

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace bulrush::control
