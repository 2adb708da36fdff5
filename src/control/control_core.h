/// State machine of one control VM: applies the replicated log, serves
/// operators' requests and, on the leader, runs membership, leases and
/// configuration rollout for the entry daemons.
#pragma once

#include "control/leader_term.h"
#include "control/pending_operator_requests.h"
#include "control/planner.h"

#include <memory>
#include <variant>

namespace bulrush::control {

/// Proposes a command to the replicated log.
struct propose_command {
  command Command;
  std::uint64_t Ticket = 0; ///< of the operator's request; 0 if there is none
};

/// An operator's request arrived from this VM's HTTP API or was forwarded by
/// another control VM.
struct operator_request_received {
  request_origin From;
  operator_request Request;
};
/// The leader returned the result of a request that this VM forwarded.
struct forwarded_result_received {
  std::uint64_t Ticket = 0;
  operator_result Result;
};
/// A heartbeat from an entry daemon arrived.
struct heartbeat_received {
  daemon_id From;
  heartbeat Heartbeat;
};
/// A daemon requests permission to run a non-idempotent request, or reports the
/// outcome of a run.
struct ledger_request_received {
  std::variant<ledger_start, ledger_finish> Request;
};
/// Endpoint owners reported the state of their endpoints.
struct endpoint_reports_received {
  std::vector<query::endpoint_report> Reports;
};
/// The platform's list of live VMs. The list may lag behind the real state.
struct live_vms_reported {
  std::vector<vm_id> Live;
};
/// This VM's voter won an election. The VM acts as leader once it has applied
/// the entry at `ReadyAt` and with it every entry of earlier terms.
struct leadership_gained {
  term_id Term;
  log_index ReadyAt;
};
struct leadership_lost {};
/// The leader known to this VM's voter changed; empty if none is known.
struct leader_changed {
  std::optional<vm_id> Leader;
};
/// A majority of voters acknowledged this leader in reply to messages sent at
/// or after `AsOf`.
struct quorum_confirmed {
  instant AsOf;
};
/// An entry was committed. An entry without a command only advances the applied
/// index.
struct entry_committed {
  log_index Index;
  std::optional<command> Command;
};
/// A snapshot was installed from the leader or read at startup.
struct snapshot_loaded {
  control_state State;
};
/// The log rejected a proposal and guarantees that it has no effect. Must not
/// be raised for a proposal that may still be committed.
struct proposal_rejected {
  propose_command Proposal;
};
/// Must be raised at least every 50 ms.
struct control_tick {
  wall_time Wall;
};

using control_event = std::variant<
    operator_request_received, forwarded_result_received, heartbeat_received,
    ledger_request_received, endpoint_reports_received, live_vms_reported,
    leadership_gained, leadership_lost, leader_changed, quorum_confirmed,
    entry_committed, snapshot_loaded, proposal_rejected, control_tick>;

/// Forwards a request to the leader, which returns the result with `Ticket`.
struct forward_request {
  vm_id Leader;
  std::uint64_t Ticket = 0;
  operator_request Request;
};
/// Sends the ledger's answer to the daemon that owns the run.
struct send_ledger_answer {
  ledger_answer Answer;
};
/// Adds or removes a voter of the replicated log. Emitted only on the leader.
struct change_voter {
  vm_id Vm;
  bool Add = true;
};
/// A snapshot or an entry could not be decoded or applied. The replicated state
/// can no longer be trusted, so the process must stop.
struct state_machine_failed {
  error Reason;
};

/// An `operator_answer` is sent to its origin, an `addressed_reply` to its
/// daemon.
using control_action =
    std::variant<propose_command, operator_answer, forward_request,
                 addressed_reply, send_ledger_answer, change_voter,
                 state_machine_failed>;

/// Performs no I/O. Requests of operators are forwarded to the leader from any
/// control VM. A confirm is answered once its entry is applied on this VM, no
/// matter which VM proposed it.
class control_core {
public:
  /// `FirstTicket` must be random at each start, so that an answer to a request
  /// of an earlier process is not matched to one of this process.
  control_core(vm_id Self, deployment Deployment, std::uint64_t FirstTicket,
               retention_limits Limits = {});
  ~control_core();
  control_core(control_core &&) noexcept;
  control_core &operator=(control_core &&) noexcept;

  void step(const control_event &Event, instant Now,
            std::vector<control_action> &Out);

  /// The replicated state applied on this VM.
  const state_machine &machine() const;
  /// The latest report of each endpoint by its owner.
  const endpoint_reports &reports() const;
  /// Whether this VM is the leader and has applied all entries of earlier
  /// terms.
  bool isLeading() const;

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace bulrush::control
