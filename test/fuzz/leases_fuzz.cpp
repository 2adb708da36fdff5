#include "fuzz_params.h"

#include "control_world.h"
#include "query/placement.h"

using namespace bulrush;
using namespace bulrush::test;

namespace {

/// A daemon may act on an old revision for so long after a newer one was
/// accepted, on true time.
constexpr double FreshnessBound =
    FreshnessLease.Count / (1 - MaxClockDrift) + 1;
/// Work that was sent just before a lease ended may be in flight for so long.
constexpr double InFlight = 1000;

/// Looks at the whole world after each step.
class oracle {
public:
  explicit oracle(control_simulation &World) : World(World) {
    World.OnStep = [this] { look(); };
  }

  void accept() {
    const std::uint64_t Next = revisionOfLog() + 1;
    World.Log.Pending.emplace_back(
        operator_command{{"anna"},
                         {std::to_string(Next)},
                         {Next - 1},
                         zone_out{zone_id{std::uint16_t(Next % 3)}},
                         {}});
    if (World.Log.Leader)
      World.commit();
    else
      World.Log.Pending.pop_back();
    AcceptedAt.resize(revisionOfLog(), World.Now);
  }

  void look() {
    checkOwners();
    for (std::size_t I = 0; I < control_simulation::Daemons; ++I)
      checkFreshness(I);
    checkInForce();
  }

private:
  std::uint64_t revisionOfLog() const {
    std::uint64_t Count = 0;
    for (const auto &Entry : World.Log.Entries)
      Count += Entry && std::holds_alternative<operator_command>(*Entry);
    return Count;
  }

  /// At most one daemon believes that it may send to an endpoint, and a new one
  /// knows how long work of the one before may be in flight.
  void checkOwners() {
    for (const endpoint &E : World.World.Endpoints) {
      std::optional<std::size_t> Owner;
      for (std::size_t I = 0; I < control_simulation::Daemons; ++I) {
        const auto &D = World.AllDaemons[I];
        if (!D.Agent.leases().owns(E.Id, D.Clock.at(World.Now)))
          continue;
        RC_ASSERT(!Owner.has_value());
        Owner = I;
      }
      if (Owner)
        checkInherited(E.Id, *Owner);
    }
  }

  void checkInherited(endpoint_id Id, std::size_t Owner) {
    const auto &D = World.AllDaemons[Owner];
    const daemon_id Self{{std::uint32_t(Owner)}, D.Incarnation};
    for (const auto &[Other, LastOwned] : LastOwned[Id]) {
      if (Other == Self)
        continue;
      const instant Until = D.Agent.leases().granted().at(Id);
      RC_ASSERT(D.Clock.trueAt(Until) >= LastOwned + InFlight ||
                World.Now >= LastOwned + InFlight);
    }
    LastOwned[Id][Self] = World.Now;
  }

  void checkFreshness(std::size_t Index) {
    const auto &D = World.AllDaemons[Index];
    const std::uint64_t Applied = D.Agent.config().Revision.Value;
    auto &[Incarnation, Last] = LastRevision[Index];
    if (Incarnation != D.Incarnation)
      Last = 0;
    Incarnation = D.Incarnation;
    RC_ASSERT(Applied >= Last);
    Last = Applied;
    if (!D.Agent.leases().isFresh(D.Clock.at(World.Now)))
      return;
    if (Applied < AcceptedAt.size())
      RC_ASSERT(World.Now <= AcceptedAt[Applied] + FreshnessBound);
  }

  /// Control says `in_force` only when nobody acts on an older revision.
  void checkInForce() {
    const auto Leader = World.Log.Leader;
    if (!Leader || World.AllVoters[*Leader].IsPaused)
      return;
    std::vector<control_action> Out;
    auto &V = World.AllVoters[*Leader];
    V.Core->step(operator_request_received{{vm_id{99}, 1}, status_request{}},
                 V.Clock.at(World.Now), Out);
    for (const control_action &Action : Out) {
      const auto *Answer = std::get_if<operator_answer>(&Action);
      if (!Answer || Answer->To.Vm != vm_id{99}) {
        World.act(*Leader, Action);
        continue;
      }
      const auto *Status = std::get_if<status_result>(&Answer->Result);
      if (Status && Status->Rollout.IsInForce)
        checkAllAt(Status->Rollout.Revision);
    }
  }

  void checkAllAt(revision Revision) const {
    for (const auto &D : World.AllDaemons) {
      const bool Acts = D.Agent.leases().isFresh(D.Clock.at(World.Now));
      RC_ASSERT(!Acts || D.Agent.config().Revision >= Revision);
    }
  }

  control_simulation &World;
  std::vector<double> AcceptedAt; ///< of revision 1 and up
  std::map<endpoint_id, std::map<daemon_id, double>> LastOwned;
  std::map<std::size_t, std::pair<incarnation_id, std::uint64_t>> LastRevision;
};

struct scene {
  explicit scene(std::uint32_t Seed) : World(Seed), Oracle(World) {}
  control_simulation World;
  oracle Oracle;
};

enum class operation {
  advance,
  commit,
  accept,
  elect,
  lose_quorum,
  tell,
  catch_up,
  pause_voter,
  pause_daemon,
  cut,
  restart_voter,
  restart_daemon,
  leave,
  loss,
  delay,
  deafen,
  commit_later
};

struct model {};

struct one_step : rc::state::Command<model, scene> {
  void run(const model &, scene &S) const override {
    control_simulation &W = S.World;
    const std::size_t Voter = First % control_simulation::Voters;
    const std::size_t Daemon = First % control_simulation::Daemons;
    switch (What) {
    case operation::advance:
      return W.advance(First);
    case operation::commit:
      return W.commit();
    case operation::accept:
      return S.Oracle.accept();
    case operation::elect:
      return W.elect(Voter);
    case operation::lose_quorum:
      return W.loseQuorum();
    case operation::tell:
      return W.tellLeader(Voter);
    case operation::catch_up:
      return W.catchUp(Voter);
    case operation::pause_voter:
      return W.pauseVoter(Voter, !W.AllVoters[Voter].IsPaused);
    case operation::pause_daemon:
      return W.pauseDaemon(Daemon, !W.AllDaemons[Daemon].IsPaused);
    case operation::cut:
      W.AllDaemons[Daemon].IsCut = !W.AllDaemons[Daemon].IsCut;
      return;
    case operation::restart_voter:
      return W.restartVoter(Voter);
    case operation::restart_daemon:
      return W.restartDaemon(Daemon);
    case operation::leave:
      return W.give(Daemon, agent_leave{});
    case operation::loss:
      W.Loss = First % 2 == 0 ? 0 : 0.3;
      return;
    case operation::delay:
      W.MaxDelay = First % 2 == 0 ? 2 : 4000;
      return;
    case operation::deafen:
      W.AllDaemons[Daemon].IsDeaf = !W.AllDaemons[Daemon].IsDeaf;
      return;
    case operation::commit_later:
      W.CommitsAtOnce = !W.CommitsAtOnce;
      return;
    }
  }
  void show(std::ostream &Out) const override {
    Out << static_cast<int>(What) << ' ' << First;
  }

  operation What =
      *rc::gen::weightedElement<operation>({{20, operation::advance},
                                            {12, operation::commit},
                                            {4, operation::accept},
                                            {3, operation::elect},
                                            {1, operation::lose_quorum},
                                            {3, operation::tell},
                                            {4, operation::catch_up},
                                            {2, operation::pause_voter},
                                            {3, operation::pause_daemon},
                                            {3, operation::cut},
                                            {1, operation::restart_voter},
                                            {2, operation::restart_daemon},
                                            {1, operation::leave},
                                            {2, operation::loss},
                                            {2, operation::delay},
                                            {3, operation::deafen},
                                            {1, operation::commit_later}});
  std::uint32_t First = *rc::gen::inRange(0, 4000);
};

void settle(scene &S) {
  S.World.heal();
  for (std::size_t I = 0; I < control_simulation::Daemons; ++I)
    S.World.restartDaemon(I);
  for (int Round = 0; Round < 200; ++Round) {
    S.World.advance(50);
    S.World.commit();
  }
}

/// After all faults have ended each endpoint has its owner and every daemon
/// works on the accepted revision.
void checkSettled(scene &S) {
  std::vector<vm_id> Live;
  for (std::uint32_t I = 0; I < control_simulation::Daemons; ++I)
    Live.push_back({I});
  const auto Owners = query::ownersOf(S.World.World, Live);
  for (const endpoint &E : S.World.World.Endpoints) {
    const auto &D = S.World.AllDaemons[Owners[E.Id.Value].Value];
    RC_ASSERT(D.Agent.leases().owns(E.Id, D.Clock.at(S.World.Now)));
  }
  const auto &Leader = S.World.AllVoters[*S.World.Log.Leader];
  for (const auto &D : S.World.AllDaemons) {
    RC_ASSERT(D.Agent.leases().isFresh(D.Clock.at(S.World.Now)));
    RC_ASSERT(D.Agent.config() == Leader.Core->machine().config());
  }
}

} // namespace

TEST_CASE(
    "two daemons never hold one endpoint, and no old revision is acted on",
    "[leases]") {
  checkProperty("leases", 1500, 300, [] {
    scene S(*rc::gen::arbitrary<std::uint32_t>());
    rc::state::check(model{}, S, rc::state::gen::execOneOfWithArgs<one_step>());
    settle(S);
    checkSettled(S);
  });
}
