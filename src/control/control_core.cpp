#include "control/control_core.h"

namespace bulrush::control {

class control_core::implementation {
public:
  implementation(vm_id Self, deployment TheDeployment,
                 std::uint64_t FirstTicket, memory_limits Limits)
      : Self(Self), Deployment(std::move(TheDeployment)),
        Machine(Deployment, Limits), Desk(FirstTicket) {}

  void step(const control_event &Event, instant Now,
            std::vector<control_action> &Actions) {
    std::visit([&](const auto &E) { on(E, Now); }, Event);
    startLeading();
    dispatch(Now);
    Desk.expire(Now, Answers);
    flush(Actions);
  }

  vm_id Self;
  deployment Deployment;
  state_machine Machine;
  endpoint_reports Reports;
  std::optional<leader_term> Leading;

private:
  struct election {
    term_id Term;
    log_index ReadyAt;
    instant At;
  };

  void on(const operator_asked &E, instant Now) {
    Desk.take(E.From, E.Request, Now, Answers);
  }
  void on(const forward_answered &E, instant) {
    Desk.answer(E.Ticket, E.Result, Answers);
  }
  void on(const beat_received &E, instant Now) {
    if (Leading && Leading->heard(E.From, E.Beat, Now, Replies))
      proposeMoves(Now);
  }
  void on(const ledger_asked &E, instant) {
    if (!Leading)
      return;
    std::visit(
        [&](auto Request) {
          Request.Time = Wall;
          Out.push_back(propose_command{std::move(Request), 0});
        },
        E.Request);
  }
  void on(const reports_received &E, instant) {
    for (const query::endpoint_report &Report : E.Reports)
      Reports[Report.Endpoint] = Report;
  }
  void on(const platform_listed &E, instant) {
    if (Leading)
      Leading->hint(E.Live);
  }
  void on(const leadership_gained &E, instant Now) {
    Leading.reset();
    Elected = election{E.Term, E.ReadyAt, Now};
    Leader = Self;
  }
  void on(const leadership_lost &, instant) {
    Leading.reset();
    Elected.reset();
    Leader.reset();
  }
  void on(const leader_known &E, instant) {
    if (!Elected)
      Leader = E.Leader;
  }
  void on(const quorum_confirmed &E, instant Now) {
    if (Leading)
      Leading->confirmed(E.AsOf, Now, Replies);
  }
  void on(const entry_committed &E, instant Now) {
    if (!E.Command) {
      Machine.skip(E.Index);
      return;
    }
    const revision Before = Machine.config().Revision;
    const apply_result Result = Machine.apply(*E.Command, E.Index);
    if (const auto *Answer = std::get_if<command_answer>(&Result))
      onDecided(std::get<operator_command>(*E.Command), *Answer, Before);
    if (!Leading)
      return;
    if (const auto *Answer = std::get_if<ledger_answer>(&Result))
      Out.push_back(answer_ledger{*Answer});
    if (const auto *Moves = std::get_if<assign_endpoints>(&*E.Command))
      Leading->moved(*Moves, Now, Replies);
    if (Machine.config().Revision != Before)
      Leading->configChanged(Now, Replies);
  }
  void on(const snapshot_loaded &E, instant) {
    const auto Restored = Machine.restore(E.State);
    if (!Restored)
      Out.push_back(state_refused{Restored.error()});
  }
  void on(const proposal_refused &E, instant) {
    Desk.refused(E.Proposal.Ticket);
    const auto *Moves = std::get_if<assign_endpoints>(&E.Proposal.Command);
    if (Leading && Moves)
      Leading->refused(*Moves);
  }
  void on(const control_tick &E, instant Now) {
    Wall = E.Wall;
    if (Leading)
      proposeMoves(Now);
  }

  void onDecided(const operator_command &Command, const command_answer &Answer,
                 revision Before) {
    Desk.applied(Command, Answer, Answers);
    if (!Leading || Machine.config().Revision == Before)
      return;
    if (const auto *Add = std::get_if<add_voter>(&Command.Change))
      Out.push_back(change_voter{Add->Vm, true});
    if (const auto *Remove = std::get_if<remove_voter>(&Command.Change))
      Out.push_back(change_voter{Remove->Vm, false});
  }

  void startLeading() {
    if (Leading || !Elected || Machine.applied() < Elected->ReadyAt)
      return;
    Leading.emplace(Deployment, Elected->Term, Elected->At, Machine);
  }

  /// Hands waiting requests to the log, to the leader or to the planner.
  void dispatch(instant Now) {
    std::vector<std::uint64_t> Tickets;
    for (const auto &[Ticket, Entry] : Desk.all())
      if (Now >= Entry.NextTry)
        Tickets.push_back(Ticket);
    for (const std::uint64_t Ticket : Tickets)
      dispatch(Ticket, Desk.all().at(Ticket), Now);
  }

  void dispatch(std::uint64_t Ticket, operator_desk::waiting &Entry,
                instant Now) {
    if (Leading) {
      const operator_request Request = Entry.Request;
      std::visit([&](const auto &R) { lead(Ticket, Entry, R, Now); }, Request);
      return;
    }
    const bool IsOurs = Entry.From.Vm == Self;
    if (!IsOurs || !Leader || *Leader == Self)
      return;
    Entry.handOn(Now);
    Out.push_back(forward_request{*Leader, Ticket, Entry.Request});
  }

  void lead(std::uint64_t Ticket, operator_desk::waiting &,
            const plan_request &Request, instant) {
    const auto Effects =
        planEffects(Deployment, Machine.config(), Reports, Request.Change);
    if (!Effects) {
      const std::string &Why = Effects.error().Message;
      Desk.answer(Ticket, request_refused{refusal::bad_request, Why}, Answers);
      return;
    }
    const plan Plan{Request.Operator, Request.Command,
                    Machine.config().Revision, Request.Change};
    Desk.answer(Ticket, plan_result{Plan, *Effects}, Answers);
  }
  void lead(std::uint64_t Ticket, operator_desk::waiting &Entry,
            const confirm_request &Request, instant Now) {
    const plan &Plan = Request.Plan;
    const operator_command Command{Plan.Operator, Plan.Command,
                                   Plan.BaseRevision, Plan.Change, Wall};
    if (const auto First = Machine.answerOf(Command)) {
      Desk.answer(Ticket, toConfirmResult(*First), Answers);
      return;
    }
    Entry.handOn(Now);
    Out.push_back(propose_command{Command, Ticket});
  }
  void lead(std::uint64_t Ticket, operator_desk::waiting &,
            const status_request &, instant Now) {
    Desk.answer(Ticket, status(Now), Answers);
  }

  void proposeMoves(instant Now) {
    std::vector<assignment> Moves = Leading->maintain(Now, Replies);
    if (!Moves.empty())
      Out.push_back(propose_command{assign_endpoints{std::move(Moves)}, 0});
  }

  status_result status(instant Now) const {
    return {Self, Leading->term(), Leading->rollout(Now), Leading->members(),
            static_cast<std::uint32_t>(Leading->movesLeft())};
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

  operator_desk Desk;
  std::optional<election> Elected;
  std::optional<vm_id> Leader;
  wall_time Wall;
  std::vector<control_action> Out;
  std::vector<operator_answer> Answers;
  std::vector<addressed_reply> Replies;
};

control_core::control_core(vm_id Self, deployment Deployment,
                           std::uint64_t FirstTicket, memory_limits Limits)
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

bool control_core::isLeading() const { return Impl->Leading.has_value(); }

} // namespace bulrush::control
