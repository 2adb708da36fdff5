/// Measures the time of control plane operations by number of daemons and
/// endpoints. Run by hand; docs/CAPACITY.md derives slopes from the results.

#include "control/control_agent.h"
#include "control/leader_term.h"

#include <benchmark/benchmark.h>
#include <memory>

using namespace bulrush;
using namespace bulrush::control;

namespace {

constexpr std::uint32_t Zones = 9;
constexpr std::uint32_t ShardsPerPool = 170;

deployment makeDeployment(std::uint32_t Daemons, std::uint32_t Endpoints) {
  deployment Out;
  for (std::uint16_t Z = 0; Z < Zones; ++Z)
    Out.Zones.push_back({{Z}, std::to_string(Z)});
  for (std::uint32_t V = 0; V < Daemons; ++V)
    Out.Vms.push_back({{V}, {std::uint16_t(V % Zones)}, {}, {}, V < 5, {}, {}});
  for (std::uint32_t E = 0; E < Endpoints; ++E) {
    if (E % (2 * ShardsPerPool) == 0) {
      const auto Id = static_cast<std::uint16_t>(Out.Pools.size());
      Out.Pools.push_back({{Id}, std::to_string(Id), ShardsPerPool, 2, {}});
    }
    const auto Zone = static_cast<std::uint16_t>(E % Zones);
    Out.Endpoints.push_back(
        {{E}, Out.Pools.back().Id, {Zone}, {}, {2, 25, {}}});
    Out.Pools.back().Endpoints.push_back({E});
  }
  return Out;
}

/// A leader whose daemons are all connected and whose endpoints are all
/// assigned, with the lease holders of the daemons.
class fleet {
public:
  fleet(std::uint32_t Daemons, std::uint32_t Endpoints)
      : Deployment(makeDeployment(Daemons, Endpoints)), Machine(Deployment),
        Leader(Deployment, {1}, {0}, Machine), Holders(Daemons) {
    for (int Round = 0; Round < 4; ++Round)
      runHeartbeatRound();
  }

  void sendHeartbeat(std::uint32_t Daemon) {
    const heartbeat Heartbeat =
        Holders[Daemon].nextHeartbeat({Now}, {}, Epochs[Daemon]);
    Leader.onHeartbeat(daemonId(Daemon), Heartbeat, {Now}, Out);
    deliver();
  }

  /// Every daemon except `SilentDaemon` sends a heartbeat, then the leader
  /// updates membership and assignments. Advances the clock by 500 ms.
  void runHeartbeatRound() {
    Now += 500;
    Leader.onQuorumConfirmed({Now + 400}, {Now}, Out);
    for (std::uint32_t D = 0; D < Holders.size(); ++D)
      if (D != SilentDaemon)
        sendHeartbeat(D);
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

  void commitChange() {
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

  std::uint32_t SilentDaemon = ~0U;
  double Now = 0;

private:
  daemon_id daemonId(std::uint32_t Daemon) const { return {{Daemon}, {1}}; }

  void deliver() {
    for (const addressed_reply &Reply : Out) {
      if (Reply.Reply.Members)
        Epochs[Reply.To.Vm.Value] = Reply.Reply.Members->Epoch;
      Holders[Reply.To.Vm.Value].applyReply(Reply.Reply, {}, {Now});
    }
    Out.clear();
  }

  deployment Deployment;
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

/// One heartbeat and reply for every daemon, without assignment changes.
void leaderHeartbeat(benchmark::State &State) {
  const auto Fleet = makeFleet(State);
  for (auto Unused : State) {
    (void)Unused;
    Fleet->runHeartbeatRound();
  }
  State.SetItemsProcessed(State.iterations() * State.range(0));
}

/// Applies one operator command and pushes the configuration to every daemon.
void leaderAcceptedChange(benchmark::State &State) {
  const auto Fleet = makeFleet(State);
  for (auto Unused : State) {
    (void)Unused;
    Fleet->commitChange();
  }
}

/// The periodic maintenance of the leader, which runs every 50 ms.
void leaderTick(benchmark::State &State) {
  const auto Fleet = makeFleet(State);
  for (auto Unused : State) {
    (void)Unused;
    Fleet->maintain();
  }
}

/// One daemon stops sending heartbeats for 10 rounds, then sends them again
/// for 4 rounds.
void leaderDaemonGoesAndReturns(benchmark::State &State) {
  const auto Fleet = makeFleet(State);
  for (auto Unused : State) {
    (void)Unused;
    Fleet->SilentDaemon = 1;
    for (int Round = 0; Round < 10; ++Round)
      Fleet->runHeartbeatRound();
    Fleet->SilentDaemon = ~0U;
    for (int Round = 0; Round < 4; ++Round)
      Fleet->runHeartbeatRound();
  }
}

/// One heartbeat and the handling of its reply in the daemon.
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

void applyFleetSizes(benchmark::internal::Benchmark *Bench) {
  Bench->Args({8, 340})->Args({280, 1'700})->Args({2'800, 17'000});
  Bench->Unit(benchmark::kMicrosecond);
}

BENCHMARK(leaderHeartbeat)->Apply(applyFleetSizes);
BENCHMARK(leaderTick)->Apply(applyFleetSizes);
BENCHMARK(leaderAcceptedChange)->Apply(applyFleetSizes);
BENCHMARK(leaderDaemonGoesAndReturns)->Apply(applyFleetSizes)->Iterations(2);
BENCHMARK(daemonHeartbeat)->Arg(7)->Arg(60);

} // namespace

BENCHMARK_MAIN();
