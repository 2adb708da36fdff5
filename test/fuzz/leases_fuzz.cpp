#include "fuzz_params.h"

#include "control_simulation.h"
#include "query/placement.h"

using namespace bulrush;
using namespace bulrush::test;

namespace {

/// Maximum true time in milliseconds for which a daemon may act on an old
/// revision after a newer one was accepted.
constexpr double FreshnessBound =
    FreshnessLease.Count / (1 - MaxClockDrift) + 1;
/// Time in milliseconds for which work sent just before the end of a lease may
/// be in flight.
constexpr double MaxInFlight = 1000;

/// Checks the invariants of the whole simulation after each step.
class invariant_checker {
public:
  explicit invariant_checker(control_simulation &Simulation)
      : Simulation(Simulation) {
    Simulation.OnStep = [this] { checkInvariants(); };
  }

  /// Appends an accepted configuration change to the log, if it has a leader.
  void acceptChange() {
    const std::uint64_t Next = revisionOfLog() + 1;
    Simulation.Log.Pending.emplace_back(
        operator_command{{"anna"},
                         {std::to_string(Next)},
                         {Next - 1},
                         zone_out{zone_id{std::uint16_t(Next % 3)}},
                         {}});
    if (Simulation.Log.Leader)
      Simulation.commit();
    else
      Simulation.Log.Pending.pop_back();
    AcceptedAt.resize(revisionOfLog(), Simulation.Now);
  }

  void checkInvariants() {
    checkOwners();
    for (std::size_t I = 0; I < control_simulation::Daemons; ++I)
      checkFreshness(I);
    checkInForce();
  }

private:
  std::uint64_t revisionOfLog() const {
    std::uint64_t Count = 0;
    for (const auto &Entry : Simulation.Log.Entries)
      Count += Entry && std::holds_alternative<operator_command>(*Entry);
    return Count;
  }

  /// At most one daemon owns an endpoint, and a new owner knows how long work
  /// of the previous one may be in flight.
  void checkOwners() {
    for (const endpoint &E : Simulation.Deployment.Endpoints) {
      std::optional<std::size_t> Owner;
      for (std::size_t I = 0; I < control_simulation::Daemons; ++I) {
        const auto &D = Simulation.AllDaemons[I];
        if (!D.Agent.leases().owns(E.Id, D.Clock.at(Simulation.Now)))
          continue;
        RC_ASSERT(!Owner.has_value());
        Owner = I;
      }
      if (Owner)
        checkInherited(E.Id, *Owner);
    }
  }

  void checkInherited(endpoint_id Id, std::size_t Owner) {
    const auto &D = Simulation.AllDaemons[Owner];
    const daemon_id Self{{std::uint32_t(Owner)}, D.Incarnation};
    for (const auto &[Other, LastOwned] : LastOwned[Id]) {
      if (Other == Self)
        continue;
      const instant Until = D.Agent.leases().granted().at(Id);
      RC_ASSERT(D.Clock.trueTimeAt(Until) >= LastOwned + MaxInFlight ||
                Simulation.Now >= LastOwned + MaxInFlight);
    }
    LastOwned[Id][Self] = Simulation.Now;
  }

  /// A daemon's revision never decreases within an incarnation, and a fresh
  /// daemon uses no revision that was replaced more than `FreshnessBound` ago.
  void checkFreshness(std::size_t Index) {
    const auto &D = Simulation.AllDaemons[Index];
    const std::uint64_t Applied = D.Agent.config().Revision.Value;
    auto &[Incarnation, Last] = LastRevision[Index];
    if (Incarnation != D.Incarnation)
      Last = 0;
    Incarnation = D.Incarnation;
    RC_ASSERT(Applied >= Last);
    Last = Applied;
    if (!D.Agent.leases().isFresh(D.Clock.at(Simulation.Now)))
      return;
    if (Applied < AcceptedAt.size())
      RC_ASSERT(Simulation.Now <= AcceptedAt[Applied] + FreshnessBound);
  }

  /// The leader reports a revision as in force only if no daemon acts on an
  /// older one.
  void checkInForce() {
    const auto Leader = Simulation.Log.Leader;
    if (!Leader || Simulation.AllVoters[*Leader].IsPaused)
      return;
    std::vector<control_action> Out;
    auto &V = Simulation.AllVoters[*Leader];
    V.Core->step(operator_request_received{{vm_id{99}, 1}, status_request{}},
                 V.Clock.at(Simulation.Now), Out);
    for (const control_action &Action : Out) {
      const auto *Answer = std::get_if<operator_answer>(&Action);
      if (!Answer || Answer->To.Vm != vm_id{99}) {
        Simulation.execute(*Leader, Action);
        continue;
      }
      const auto *Status = std::get_if<status_result>(&Answer->Result);
      if (Status && Status->Rollout.IsInForce)
        checkAllApplied(Status->Rollout.Revision);
    }
  }

  void checkAllApplied(revision Revision) const {
    for (const auto &D : Simulation.AllDaemons) {
      const bool IsFresh = D.Agent.leases().isFresh(D.Clock.at(Simulation.Now));
      RC_ASSERT(!IsFresh || D.Agent.config().Revision >= Revision);
    }
  }

  control_simulation &Simulation;
  std::vector<double> AcceptedAt; ///< by revision, from revision 1
  std::map<endpoint_id, std::map<daemon_id, double>> LastOwned;
  std::map<std::size_t, std::pair<incarnation_id, std::uint64_t>> LastRevision;
};

struct fixture {
  explicit fixture(std::uint32_t Seed)
      : Simulation(Seed), Checker(Simulation) {}
  control_simulation Simulation;
  invariant_checker Checker;
};

enum class operation {
  advance,
  commit,
  accept,
  elect,
  lose_quorum,
  notify_leadership,
  deliver_committed,
  pause_voter,
  pause_daemon,
  disconnect,
  restart_voter,
  restart_daemon,
  leave,
  set_loss,
  set_delay,
  cut_inbound,
  toggle_commits
};

struct model {};

struct one_step : rc::state::Command<model, fixture> {
  void run(const model &, fixture &F) const override {
    control_simulation &Sim = F.Simulation;
    const std::size_t Voter = Argument % control_simulation::Voters;
    const std::size_t Daemon = Argument % control_simulation::Daemons;
    switch (Operation) {
    case operation::advance:
      return Sim.advance(Argument);
    case operation::commit:
      return Sim.commit();
    case operation::accept:
      return F.Checker.acceptChange();
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
    case operation::pause_daemon:
      return Sim.pauseDaemon(Daemon, !Sim.AllDaemons[Daemon].IsPaused);
    case operation::disconnect:
      Sim.AllDaemons[Daemon].IsDisconnected =
          !Sim.AllDaemons[Daemon].IsDisconnected;
      return;
    case operation::restart_voter:
      return Sim.restartVoter(Voter);
    case operation::restart_daemon:
      return Sim.restartDaemon(Daemon);
    case operation::leave:
      return Sim.stepDaemon(Daemon, agent_leave{});
    case operation::set_loss:
      Sim.LossRate = Argument % 2 == 0 ? 0 : 0.3;
      return;
    case operation::set_delay:
      Sim.MaxDelay = Argument % 2 == 0 ? 2 : 4000;
      return;
    case operation::cut_inbound:
      Sim.AllDaemons[Daemon].IsInboundCut =
          !Sim.AllDaemons[Daemon].IsInboundCut;
      return;
    case operation::toggle_commits:
      Sim.CommitsAtOnce = !Sim.CommitsAtOnce;
      return;
    }
  }
  void show(std::ostream &Out) const override {
    Out << static_cast<int>(Operation) << ' ' << Argument;
  }

  operation Operation =
      *rc::gen::weightedElement<operation>({{20, operation::advance},
                                            {12, operation::commit},
                                            {4, operation::accept},
                                            {3, operation::elect},
                                            {1, operation::lose_quorum},
                                            {3, operation::notify_leadership},
                                            {4, operation::deliver_committed},
                                            {2, operation::pause_voter},
                                            {3, operation::pause_daemon},
                                            {3, operation::disconnect},
                                            {1, operation::restart_voter},
                                            {2, operation::restart_daemon},
                                            {1, operation::leave},
                                            {2, operation::set_loss},
                                            {2, operation::set_delay},
                                            {3, operation::cut_inbound},
                                            {1, operation::toggle_commits}});
  std::uint32_t Argument = *rc::gen::inRange(0, 4000);
};

void settleCluster(fixture &F) {
  F.Simulation.endFaults();
  for (std::size_t I = 0; I < control_simulation::Daemons; ++I)
    F.Simulation.restartDaemon(I);
  for (int Round = 0; Round < 200; ++Round) {
    F.Simulation.advance(50);
    F.Simulation.commit();
  }
}

/// After all faults have ended, each endpoint has its owner and every daemon
/// runs on the accepted revision.
void checkSettled(fixture &F) {
  std::vector<vm_id> Live;
  for (std::uint32_t I = 0; I < control_simulation::Daemons; ++I)
    Live.push_back({I});
  const auto Owners = query::ownersOf(F.Simulation.Deployment, Live);
  for (const endpoint &E : F.Simulation.Deployment.Endpoints) {
    const auto &D = F.Simulation.AllDaemons[Owners[E.Id.Value].Value];
    RC_ASSERT(D.Agent.leases().owns(E.Id, D.Clock.at(F.Simulation.Now)));
  }
  const auto &Leader = F.Simulation.AllVoters[*F.Simulation.Log.Leader];
  for (const auto &D : F.Simulation.AllDaemons) {
    RC_ASSERT(D.Agent.leases().isFresh(D.Clock.at(F.Simulation.Now)));
    RC_ASSERT(D.Agent.config() == Leader.Core->machine().config());
  }
}

} // namespace

TEST_CASE("endpoints have one owner at a time and old revisions are not used",
          "[leases]") {
  checkProperty("leases", 1500, 300, [] {
    fixture F(*rc::gen::arbitrary<std::uint32_t>());
    rc::state::check(model{}, F, rc::state::gen::execOneOfWithArgs<one_step>());
    settleCluster(F);
    checkSettled(F);
  });
}
