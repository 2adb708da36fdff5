#include "control/control_core.h"

namespace bulrush::control {

class control_core::implementation {
public:
  implementation(vm_id Self, deployment TheDeployment,
                 std::uint64_t FirstTicket, retention_limits Limits)
      : Self(Self), Deployment(std::move(TheDeployment)),
        Machine(Deployment, Limits), PendingRequests(FirstTicket) {}

  void step(const control_event &Event, instant Now,
            std::vector<control_action> &Actions) {
    std::visit([&](const auto &E) { on(E, Now); }, Event);
    startLeaderTerm();
    dispatch(Now);
    PendingRequests.expire(Now, Answers);
    flush(Actions);
  }

  vm_id Self;
  deployment Deployment;
  state_machine Machine;
  endpoint_reports Reports;
  std::optional<leader_term> LeaderTerm;

private:
  struct election {
    term_id Term;
    log_index ReadyAt;
    instant At;
  };

  void on(const operator_request_received &E, instant Now) {
    PendingRequests.add(E.From, E.Request, Now, Answers);
  }
  void on(const forwarded_result_received &E, instant) {
    PendingRequests.complete(E.Ticket, E.Result, Answers);
  }
  void on(const heartbeat_received &E, instant Now) {
    if (LeaderTerm &&
        LeaderTerm->onHeartbeat(E.From, E.Heartbeat, Now, Replies))
      proposeMoves(Now);
  }
  void on(const ledger_request_received &E, instant) {
    if (!LeaderTerm)
      return;
    std::visit(
        [&](auto Request) {
          Request.Time = Wall;
          Out.push_back(propose_command{std::move(Request), 0});
        },
        E.Request);
  }
  void on(const endpoint_reports_received &E, instant) {
    for (const query::endpoint_report &Report : E.Reports)
      Reports[Report.Endpoint] = Report;
  }
  void on(const live_vms_reported &E, instant) {
    if (LeaderTerm)
      LeaderTerm->setListedVms(E.Live);
  }
  void on(const leadership_gained &E, instant Now) {
    LeaderTerm.reset();
    Elected = election{E.Term, E.ReadyAt, Now};
    Leader = Self;
  }
  void on(const leadership_lost &, instant) {
    LeaderTerm.reset();
    Elected.reset();
    Leader.reset();
  }
  void on(const leader_changed &E, instant) {
    if (!Elected)
      Leader = E.Leader;
  }
  void on(const quorum_confirmed &E, instant Now) {
    if (LeaderTerm)
      LeaderTerm->onQuorumConfirmed(E.AsOf, Now, Replies);
  }
  void on(const entry_committed &E, instant Now) {
    if (!E.Command) {
      Machine.skip(E.Index);
      return;
    }
    const revision Before = Machine.config().Revision;
    const apply_result Result = Machine.apply(*E.Command, E.Index);
    if (const auto *Answer = std::get_if<command_answer>(&Result))
      onCommandApplied(std::get<operator_command>(*E.Command), *Answer, Before);
    if (!LeaderTerm)
      return;
    if (const auto *Answer = std::get_if<ledger_answer>(&Result))
      Out.push_back(send_ledger_answer{*Answer});
    if (const auto *Moves = std::get_if<assign_endpoints>(&*E.Command))
      LeaderTerm->onMoveCommitted(*Moves, Now, Replies);
    if (Machine.config().Revision != Before)
      LeaderTerm->onConfigChanged(Now, Replies);
  }
  void on(const snapshot_loaded &E, instant) {
    const auto Restored = Machine.restore(E.State);
    if (!Restored)
      Out.push_back(state_machine_failed{Restored.error()});
  }
  void on(const proposal_rejected &E, instant) {
    PendingRequests.onProposalRejected(E.Proposal.Ticket);
    const auto *Moves = std::get_if<assign_endpoints>(&E.Proposal.Command);
    if (LeaderTerm && Moves)
      LeaderTerm->onMovesRejected(*Moves);
  }
  void on(const control_tick &E, instant Now) {
    Wall = E.Wall;
    if (LeaderTerm)
      proposeMoves(Now);
  }

  void onCommandApplied(const operator_command &Command,
                        const command_answer &Answer, revision Before) {
    PendingRequests.onCommandApplied(Command, Answer, Answers);
    if (!LeaderTerm || Machine.config().Revision == Before)
      return;
    if (const auto *Add = std::get_if<add_voter>(&Command.Change))
      Out.push_back(change_voter{Add->Vm, true});
    if (const auto *Remove = std::get_if<remove_voter>(&Command.Change))
      Out.push_back(change_voter{Remove->Vm, false});
  }

  void startLeaderTerm() {
    if (LeaderTerm || !Elected || Machine.applied() < Elected->ReadyAt)
      return;
    LeaderTerm.emplace(Deployment, Elected->Term, Elected->At, Machine);
  }

  /// Proposes, forwards or answers each request whose next attempt is due.
  void dispatch(instant Now) {
    std::vector<std::uint64_t> Tickets;
    for (const auto &[Ticket, Entry] : PendingRequests.entries())
      if (Now >= Entry.NextAttempt)
        Tickets.push_back(Ticket);
    for (const std::uint64_t Ticket : Tickets)
      dispatch(Ticket, PendingRequests.entries().at(Ticket), Now);
  }

  void dispatch(std::uint64_t Ticket,
                pending_operator_requests::pending_request &Entry,
                instant Now) {
    if (LeaderTerm) {
      const operator_request Request = Entry.Request;
      std::visit([&](const auto &R) { handleAsLeader(Ticket, Entry, R, Now); },
                 Request);
      return;
    }
    const bool IsLocal = Entry.From.Vm == Self;
    if (!IsLocal || !Leader || *Leader == Self)
      return;
    Entry.recordAttempt(Now);
    Out.push_back(forward_request{*Leader, Ticket, Entry.Request});
  }

  void handleAsLeader(std::uint64_t Ticket,
                      pending_operator_requests::pending_request &,
                      const plan_request &Request, instant) {
    const auto Effects =
        computeEffects(Deployment, Machine.config(), Reports, Request.Change);
    if (!Effects) {
      const std::string &Why = Effects.error().Message;
      PendingRequests.complete(
          Ticket, request_refused{refusal::bad_request, Why}, Answers);
      return;
    }
    const plan Plan{Request.Operator, Request.Command,
                    Machine.config().Revision, Request.Change};
    PendingRequests.complete(Ticket, plan_result{Plan, *Effects}, Answers);
  }
  void handleAsLeader(std::uint64_t Ticket,
                      pending_operator_requests::pending_request &Entry,
                      const confirm_request &Request, instant Now) {
    const plan &Plan = Request.Plan;
    const operator_command Command{Plan.Operator, Plan.Command,
                                   Plan.BaseRevision, Plan.Change, Wall};
    if (const auto PreviousAnswer = Machine.findAnswer(Command)) {
      PendingRequests.complete(Ticket, toConfirmResult(*PreviousAnswer),
                               Answers);
      return;
    }
    Entry.recordAttempt(Now);
    Out.push_back(propose_command{Command, Ticket});
  }
  void handleAsLeader(std::uint64_t Ticket,
                      pending_operator_requests::pending_request &,
                      const status_request &, instant Now) {
    PendingRequests.complete(Ticket, status(Now), Answers);
  }

  void proposeMoves(instant Now) {
    std::vector<assignment> Moves = LeaderTerm->maintain(Now, Replies);
    if (!Moves.empty())
      Out.push_back(propose_command{assign_endpoints{std::move(Moves)}, 0});
  }

  status_result status(instant Now) const {
    return {Self, LeaderTerm->term(), LeaderTerm->rollout(Now),
            LeaderTerm->members(),
            static_cast<std::uint32_t>(LeaderTerm->pendingMoves())};
  }

  void flush(std::vector<control_action> &Actions) {
    for (control_action &Action : Out)
      Actions.push_back(std::move(Action));
    for (operator_answer &Answer : Answers)
      Actions.emplace_back(std::move(Answer));
    for (addressed_reply &Reply : Replies)
      Actions.emplace_back(std::move(Reply));
    Out.clear();
    Answers.clear();
    Replies.clear();
  }

  pending_operator_requests PendingRequests;
  std::optional<election> Elected;
  std::optional<vm_id> Leader;
  wall_time Wall;
  std::vector<control_action> Out;
  std::vector<operator_answer> Answers;
  std::vector<addressed_reply> Replies;
};

control_core::control_core(vm_id Self, deployment Deployment,
                           std::uint64_t FirstTicket, retention_limits Limits)
    : Impl(std::make_unique<implementation>(Self, std::move(Deployment),
                                            FirstTicket, Limits)) {}

control_core::~control_core() = default;
control_core::control_core(control_core &&) noexcept = default;
control_core &control_core::operator=(control_core &&) noexcept = default;

void control_core::step(const control_event &Event, instant Now,
                        std::vector<control_action> &Out) {
  Impl->step(Event, Now, Out);
}

const state_machine &control_core::machine() const { return Impl->Machine; }

const endpoint_reports &control_core::reports() const { return Impl->Reports; }

bool control_core::isLeading() const { return Impl->LeaderTerm.has_value(); }

} // namespace bulrush::control
