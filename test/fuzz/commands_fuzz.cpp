#include "fuzz_params.h"

#include "control_simulation.h"

#include <set>

using namespace bulrush;
using namespace bulrush::test;

namespace {

/// Plan, sends and answers of one operator's command.
struct command_trace {
  std::optional<plan> Plan;
  std::uint32_t Sends = 0;
  double FirstSend = 0;
  std::optional<confirm_status> Decided; ///< accepted, conflict or invalid
  std::optional<confirm_status> LastStatus;
  revision Revision;
  double AnsweredAt = 0;
};

/// Simulates operators that plan, confirm, lose answers and resend at any
/// voter.
class operator_workload {
public:
  explicit operator_workload(control_simulation &Simulation)
      : Simulation(Simulation) {
    Simulation.OnResult = [this](std::size_t, std::uint64_t Ticket,
                                 const operator_result &Result) {
      onResult(Ticket, Result);
    };
    Simulation.OnStep = [this] { checkRevisions(); };
  }

  void requestPlan(std::size_t Voter, std::uint32_t Choice) {
    const std::uint64_t Id = Traces.size();
    Traces.emplace_back();
    const std::uint16_t Zone = Choice % 3;
    const change Change = Choice % 2 == 0 ? change{zone_out{zone_id{Zone}}}
                                          : change{zone_in{zone_id{Zone}}};
    sendRequest(Voter, Id,
                plan_request{{Choice % 2 == 0 ? "anna" : "ben"},
                             {std::to_string(Id)},
                             Change});
  }

  void confirm(std::size_t Voter, std::uint32_t Choice) {
    if (Traces.empty())
      return;
    const std::uint64_t Id = Choice % Traces.size();
    command_trace &Trace = Traces[Id];
    if (!Trace.Plan)
      return;
    if (Trace.Sends++ == 0) {
      Trace.FirstSend = Simulation.Now;
      FirstSends.insert(LastTicket + 1);
    }
    sendRequest(Voter, Id, confirm_request{*Trace.Plan, Trace.Sends == 1});
  }

  /// Checks all answers against the complete log.
  void checkAll() const {
    for (const command_trace &Trace : Traces)
      checkTrace(Trace);
    checkOrder();
  }

private:
  void sendRequest(std::size_t Voter, std::uint64_t Trace,
                   const operator_request &Request) {
    TraceOf[++LastTicket] = Trace;
    Simulation.sendRequest(Voter, LastTicket, Request);
  }

  void onResult(std::uint64_t Ticket, const operator_result &Result) {
    command_trace &Trace = Traces[TraceOf.at(Ticket)];
    if (const auto *Planned = std::get_if<plan_result>(&Result)) {
      Trace.Plan = Planned->Plan;
      return;
    }
    const auto *Confirmed = std::get_if<confirm_result>(&Result);
    if (!Confirmed)
      return;
    Trace.LastStatus = Confirmed->Status;
    if (Confirmed->Status == confirm_status::not_run) {
      RC_ASSERT(FirstSends.contains(Ticket));
      // `not_run` refers to the first send; a resend may have been accepted.
      RC_ASSERT(Trace.Sends > 1 || !Trace.Decided.has_value());
      return;
    }
    if (Confirmed->Status == confirm_status::unknown)
      return;
    if (Trace.Decided) {
      RC_ASSERT(*Trace.Decided == Confirmed->Status);
      RC_ASSERT(Trace.Revision == Confirmed->Revision);
      return;
    }
    Trace.Decided = Confirmed->Status;
    Trace.Revision = Confirmed->Revision;
    Trace.AnsweredAt = Simulation.Now;
  }

  const state_machine &mostAdvanced() const {
    const state_machine *Best = &Simulation.AllVoters[0].Core->machine();
    for (const auto &V : Simulation.AllVoters)
      if (V.Core->machine().applied() > Best->applied())
        Best = &V.Core->machine();
    return *Best;
  }

  /// Number of times the command occurs in the accepted history.
  std::size_t timesApplied(const plan &Plan) const {
    std::size_t Count = 0;
    for (const history_entry &Entry : mostAdvanced().history())
      Count += Entry.Operator == Plan.Operator && Entry.Command == Plan.Command;
    return Count;
  }

  void checkTrace(const command_trace &Trace) const {
    if (!Trace.Plan)
      return;
    const std::size_t Applied = timesApplied(*Trace.Plan);
    RC_ASSERT(Applied <= 1);
    RC_ASSERT(Trace.Sends > 0 || Applied == 0);
    if (Trace.Decided)
      RC_ASSERT(Applied == (*Trace.Decided == confirm_status::accepted));
    if (Trace.Sends == 1 && Trace.LastStatus == confirm_status::not_run)
      RC_ASSERT(Applied == 0);
    if (Applied == 1 && Trace.Decided)
      RC_ASSERT(Trace.Revision.Value == Trace.Plan->BaseRevision.Value + 1);
  }

  /// A command answered before another one was first sent has a lower revision.
  void checkOrder() const {
    for (const command_trace &Earlier : Traces)
      for (const command_trace &Later : Traces) {
        const bool AreBothAccepted =
            Earlier.Decided == confirm_status::accepted &&
            Later.Decided == confirm_status::accepted;
        if (AreBothAccepted && Earlier.AnsweredAt < Later.FirstSend)
          RC_ASSERT(Earlier.Revision < Later.Revision);
      }
  }

  /// No voter's revision decreases, and voters with the same applied index have
  /// the same configuration.
  void checkRevisions() {
    for (std::size_t I = 0; I < control_simulation::Voters; ++I) {
      const state_machine &Machine = Simulation.AllVoters[I].Core->machine();
      RC_ASSERT(Machine.config().Revision >= LastRevision[I]);
      LastRevision[I] = Machine.config().Revision;
      const std::uint64_t Digest = digest(Machine.config());
      const auto [It, IsNew] = DigestAt.try_emplace(Machine.applied(), Digest);
      RC_ASSERT(IsNew || It->second == Digest);
    }
  }

  control_simulation &Simulation;
  std::deque<command_trace> Traces;
  std::map<std::uint64_t, std::uint64_t> TraceOf; ///< by ticket
  std::set<std::uint64_t> FirstSends;
  std::uint64_t LastTicket = 0;
  std::array<revision, control_simulation::Voters> LastRevision;
  std::map<log_index, std::uint64_t> DigestAt;
};

struct fixture {
  explicit fixture(std::uint32_t Seed)
      : Simulation(Seed), Workload(Simulation) {
    Simulation.CommitsAtOnce = false;
  }
  control_simulation Simulation;
  operator_workload Workload;
};

enum class operation {
  advance,
  plan,
  confirm,
  commit,
  elect,
  lose_quorum,
  notify_leadership,
  deliver_committed,
  pause_voter,
  restart_voter,
  set_loss,
  set_delay
};

struct model {};

struct one_step : rc::state::Command<model, fixture> {
  void run(const model &, fixture &F) const override {
    control_simulation &Sim = F.Simulation;
    const std::size_t Voter = Argument % control_simulation::Voters;
    switch (Operation) {
    case operation::advance:
      return Sim.advance(Argument);
    case operation::plan:
      return F.Workload.requestPlan(Voter, Selector);
    case operation::confirm:
      return F.Workload.confirm(Voter, Selector);
    case operation::commit:
      return Sim.commit();
    case operation::elect:
      return Sim.elect(Voter);
    case operation::lose_quorum:
      return Sim.loseQuorum();
    case operation::notify_leadership:
      return Sim.notifyLeadership(Voter);
    case operation::deliver_committed:
      return Sim.deliverCommitted(Voter);
    case operation::pause_voter:
      return Sim.pauseVoter(Voter, !Sim.AllVoters[Voter].IsPaused);
    case operation::restart_voter:
      return Sim.restartVoter(Voter);
    case operation::set_loss:
      Sim.LossRate = Argument % 2 == 0 ? 0 : 0.3;
      return;
    case operation::set_delay:
      Sim.MaxDelay = Argument % 2 == 0 ? 5 : 1500;
      return;
    }
  }
  void show(std::ostream &Out) const override {
    Out << static_cast<int>(Operation) << ' ' << Argument << ' ' << Selector;
  }

  operation Operation =
      *rc::gen::weightedElement<operation>({{15, operation::advance},
                                            {15, operation::plan},
                                            {25, operation::confirm},
                                            {12, operation::commit},
                                            {3, operation::elect},
                                            {1, operation::lose_quorum},
                                            {5, operation::notify_leadership},
                                            {5, operation::deliver_committed},
                                            {1, operation::pause_voter},
                                            {1, operation::restart_voter},
                                            {1, operation::set_loss},
                                            {1, operation::set_delay}});
  std::uint32_t Argument = *rc::gen::inRange(0, 600);
  std::uint32_t Selector = *rc::gen::inRange(0, 1000);
};

} // namespace

TEST_CASE("commands take effect at most once, in one order, as answered",
          "[commands]") {
  checkProperty("commands", 2000, 300, [] {
    fixture F(*rc::gen::arbitrary<std::uint32_t>());
    rc::state::check(model{}, F, rc::state::gen::execOneOfWithArgs<one_step>());
    F.Simulation.endFaults();
    F.Simulation.CommitsAtOnce = true;
    F.Simulation.advance(5000);
    for (std::size_t I = 0; I < control_simulation::Voters; ++I)
      F.Simulation.deliverCommitted(I);
    F.Workload.checkAll();
  });
}
