/// Time of the control plane's decisions, by number of daemons and endpoints.
/// Prints slopes for docs/CAPACITY.md; run by hand.

#include "control/control_agent.h"
#include "control/leader_term.h"

#include <benchmark/benchmark.h>
#include <memory>

using namespace bulrush;
using namespace bulrush::control;

namespace {

constexpr std::uint32_t Zones = 9;
constexpr std::uint32_t ShardsOfPool = 170;

deployment makeDeployment(std::uint32_t Daemons, std::uint32_t Endpoints) {
  deployment Out;
  for (std::uint16_t Z = 0; Z < Zones; ++Z)
    Out.Zones.push_back({{Z}, std::to_string(Z)});
  for (std::uint32_t V = 0; V < Daemons; ++V)
    Out.Vms.push_back({{V}, {std::uint16_t(V % Zones)}, {}, {}, V < 5, {}, {}});
  for (std::uint32_t E = 0; E < Endpoints; ++E) {
    if (E % (2 * ShardsOfPool) == 0) {
      const auto Id = static_cast<std::uint16_t>(Out.Pools.size());
      Out.Pools.push_back({{Id}, std::to_string(Id), ShardsOfPool, 2, {}});
    }
    const auto Zone = static_cast<std::uint16_t>(E % Zones);
    Out.Endpoints.push_back(
        {{E}, Out.Pools.back().Id, {Zone}, {}, {2, 25, {}}});
    Out.Pools.back().Endpoints.push_back({E});
  }
  return Out;
}

/// A leader that all daemons have heard, with every endpoint placed.
class fleet {
public:
  fleet(std::uint32_t Daemons, std::uint32_t Endpoints)
      : World(makeDeployment(Daemons, Endpoints)), Machine(World),
        Leader(World, {1}, {0}, Machine), Holders(Daemons) {
    for (int Round = 0; Round < 4; ++Round)
      beatAll();
  }

  void beat(std::uint32_t Daemon) {
    const heartbeat Beat =
        Holders[Daemon].nextHeartbeat({Now}, {}, Epochs[Daemon]);
    Leader.onHeartbeat(idOf(Daemon), Beat, {Now}, Out);
    deliver();
  }

  /// All daemons send a heartbeat, then the leader judges and moves.
  void beatAll() {
    Now += 500;
    Leader.onQuorumConfirmed({Now + 400}, {Now}, Out);
    for (std::uint32_t D = 0; D < Holders.size(); ++D)
      if (D != Silent)
        beat(D);
    maintain();
  }

  void maintain() {
    const assign_endpoints Moves{Leader.maintain({Now}, Out)};
    if (!Moves.Moves.empty()) {
      ++Index;
      Machine.apply(Moves, {Index});
      Leader.onMoveCommitted(Moves, {Now}, Out);
    }
    deliver();
  }

  void accept() {
    const revision Base = Machine.config().Revision;
    Machine.apply(operator_command{{"anna"},
                                   {std::to_string(Base.Value)},
                                   Base,
                                   zone_out{zone_id{1}},
                                   {}},
                  {++Index});
    Leader.onConfigChanged({Now}, Out);
    deliver();
  }

  std::uint32_t Silent = ~0U;
  double Now = 0;

private:
  daemon_id idOf(std::uint32_t Daemon) const { return {{Daemon}, {1}}; }

  void deliver() {
    for (const addressed_reply &Reply : Out) {
      if (Reply.Reply.Members)
        Epochs[Reply.To.Vm.Value] = Reply.Reply.Members->Epoch;
      Holders[Reply.To.Vm.Value].applyReply(Reply.Reply, {}, {Now});
    }
    Out.clear();
  }

  deployment World;
  state_machine Machine;
  leader_term Leader;
  std::vector<lease_holder> Holders;
  std::map<std::uint32_t, std::uint64_t> Epochs;
  std::vector<addressed_reply> Out;
  std::uint64_t Index = 0;
};

std::unique_ptr<fleet> makeFleet(const benchmark::State &State) {
  return std::make_unique<fleet>(static_cast<std::uint32_t>(State.range(0)),
                                 static_cast<std::uint32_t>(State.range(1)));
}

/// Every daemon's heartbeat and its answer, in the settled fleet.
void leaderHeartbeat(benchmark::State &State) {
  const auto Fleet = makeFleet(State);
  for (auto Unused : State) {
    (void)Unused;
    Fleet->beatAll();
  }
  State.SetItemsProcessed(State.iterations() * State.range(0));
}

/// One accepted change, pushed to every daemon.
void leaderAcceptedChange(benchmark::State &State) {
  const auto Fleet = makeFleet(State);
  for (auto Unused : State) {
    (void)Unused;
    Fleet->accept();
  }
}

/// The tick of the leader, every 50 ms.
void leaderTick(benchmark::State &State) {
  const auto Fleet = makeFleet(State);
  for (auto Unused : State) {
    (void)Unused;
    Fleet->maintain();
  }
}

/// A daemon falls silent and comes back: 14 rounds of heartbeats of all.
void leaderDaemonGoesAndReturns(benchmark::State &State) {
  const auto Fleet = makeFleet(State);
  for (auto Unused : State) {
    (void)Unused;
    Fleet->Silent = 1;
    for (int Round = 0; Round < 10; ++Round)
      Fleet->beatAll();
    Fleet->Silent = ~0U;
    for (int Round = 0; Round < 4; ++Round)
      Fleet->beatAll();
  }
}

/// A daemon's heartbeat and its answer, at the daemon.
void daemonHeartbeat(benchmark::State &State) {
  control_agent Agent;
  double Now = 0;
  std::vector<agent_action> Out;
  heartbeat_reply Reply;
  Reply.Term = {1};
  Reply.Grants = {{1}, 1};
  Reply.Owned.emplace();
  for (std::uint32_t E = 0; E < State.range(0); ++E)
    Reply.Owned->push_back({{E}, {}});
  Reply.Freshness = FreshnessLease;
  Reply.Ownership = OwnerLease;
  for (auto Unused : State) {
    (void)Unused;
    Now += HeartbeatInterval.Count;
    Out.clear();
    Agent.step(agent_tick{}, {Now}, Out);
    ++Reply.Sequence;
    Agent.step(agent_reply{Reply}, {Now}, Out);
    benchmark::DoNotOptimize(Out);
  }
}

void sizes(benchmark::internal::Benchmark *Bench) {
  Bench->Args({8, 340})->Args({280, 1'700})->Args({2'800, 17'000});
  Bench->Unit(benchmark::kMicrosecond);
}

BENCHMARK(leaderHeartbeat)->Apply(sizes);
BENCHMARK(leaderTick)->Apply(sizes);
BENCHMARK(leaderAcceptedChange)->Apply(sizes);
BENCHMARK(leaderDaemonGoesAndReturns)->Apply(sizes)->Iterations(2);
BENCHMARK(daemonHeartbeat)->Arg(7)->Arg(60);

} // namespace

BENCHMARK_MAIN();
