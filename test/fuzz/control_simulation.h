/// Simulation of three control VMs with a simulated replicated log and of entry
/// daemons with drifting clocks. Messages between them are delayed, dropped and
/// duplicated.
#pragma once

#include "control/control_agent.h"
#include "control/control_core.h"
#include "small_deployment.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <rapidcheck.h>

namespace bulrush::test {

using namespace control;

/// Two pools on six endpoints, with two VMs per zone.
inline deployment tinyDeployment() {
  deployment D = smallDeployment();
  D.Pools.clear();
  D.Endpoints.clear();
  addPool(D, "driver", 2);
  addPool(D, "billing", 1);
  return D;
}

/// The clock of one process. `Rate` deviates from 1 by at most `MaxClockDrift`.
struct drifting_clock {
  double Offset = 0;
  double Rate = 1;
  instant at(double TrueTime) const { return {Offset + Rate * TrueTime}; }
  double trueTimeAt(instant Local) const { return (Local.Ms - Offset) / Rate; }
};

/// Committed and pending entries, and the current leader and term.
struct simulated_log {
  std::vector<std::optional<command>> Entries;
  std::uint64_t Term = 0;
  std::optional<std::size_t> Leader;
  std::vector<command> Pending; ///< proposed by the leader, not committed yet
};

class control_simulation {
public:
  static constexpr std::size_t Voters = 3;
  static constexpr std::size_t Daemons = 4;

  struct voter {
    std::unique_ptr<control_core> Core;
    drifting_clock Clock;
    std::size_t DeliveredEntries = 0;
    std::uint64_t BelievedTerm = 0; ///< 0: knows that it is not the leader
    bool IsPaused = false;
    std::deque<control_event> Deferred;
  };
  struct daemon {
    control_agent Agent;
    drifting_clock Clock;
    incarnation_id Incarnation{1};
    bool IsPaused = false;
    bool IsDisconnected = false;
    bool IsInboundCut = false; ///< outgoing messages still arrive
    bool HasStopped = false;
    std::deque<agent_event> Deferred;
  };

  explicit control_simulation(std::uint32_t Seed, retention_limits Limits = {})
      : Limits(Limits), Random(Seed) {
    for (voter &V : AllVoters) {
      V.Core =
          std::make_unique<control_core>(vmOf(V), Deployment, Random(), Limits);
      V.Clock = randomClock();
    }
    for (daemon &D : AllDaemons)
      D.Clock = randomClock();
    elect(0);
  }

  /// Advances the time by `Ms` milliseconds in steps, delivering ticks and due
  /// messages to each running process.
  void advance(double Ms) {
    constexpr double Step = 20;
    const double End = Now + Ms;
    while (Now < End) {
      Now = std::min(End, Now + Step);
      deliverDue();
      for (std::size_t I = 0; I < Voters; ++I)
        tickVoter(I);
      for (std::size_t I = 0; I < Daemons; ++I)
        stepDaemon(I, agent_tick{});
      if (CommitsAtOnce && Log.Leader)
        commit();
      if (OnStep)
        OnStep();
    }
  }

  /// Makes a voter the leader. A random prefix of the previous leader's
  /// uncommitted proposals is committed; the previous leader is not notified
  /// yet. A paused process can't win an election, so the new leader is resumed
  /// first. If it still believes that it leads, it is told to step down first.
  void elect(std::size_t New) {
    pauseVoter(New, false);
    if (AllVoters[New].BelievedTerm != 0)
      stepVoter(New, leadership_lost{});
    const std::size_t Kept =
        Log.Pending.empty() ? 0 : randomBelow(Log.Pending.size() + 1);
    for (std::size_t I = 0; I < Kept; ++I)
      Log.Entries.emplace_back(Log.Pending[I]);
    Log.Pending.clear();
    Log.Entries.emplace_back(std::nullopt);
    ++Log.Term;
    Log.Leader = New;
    AllVoters[New].BelievedTerm = Log.Term;
    deliverCommitted(New);
    stepVoter(New, leadership_gained{{Log.Term}, {Log.Entries.size()}});
  }

  /// Leaves the log without a leader.
  void loseQuorum() { Log.Leader.reset(); }

  /// Notifies a deposed leader of its loss, and other voters of the current
  /// leader.
  void notifyLeadership(std::size_t Voter) {
    voter &V = AllVoters[Voter];
    if (Log.Leader == Voter && V.BelievedTerm == Log.Term)
      return;
    if (V.BelievedTerm != 0)
      stepVoter(Voter, leadership_lost{});
    V.BelievedTerm = 0;
    std::optional<vm_id> Known;
    if (Log.Leader)
      Known = vm_id{std::uint32_t(*Log.Leader)};
    stepVoter(Voter, leader_changed{Known});
  }

  void commit() {
    for (const command &Command : Log.Pending)
      Log.Entries.emplace_back(Command);
    Log.Pending.clear();
    if (Log.Leader)
      deliverCommitted(*Log.Leader);
  }

  void deliverCommitted(std::size_t Voter) {
    voter &V = AllVoters[Voter];
    while (V.DeliveredEntries < Log.Entries.size()) {
      const std::size_t Index = V.DeliveredEntries++;
      stepVoter(Voter, entry_committed{{Index + 1}, Log.Entries[Index]});
    }
  }

  /// Restarts a control process from the snapshot of a voter that has applied
  /// at least as much, itself or another. Later log entries are delivered
  /// again.
  void restartVoter(std::size_t Voter) {
    if (Log.Leader == Voter)
      loseQuorum();
    voter &V = AllVoters[Voter];
    const control_state State = snapshotFor(Voter);
    V.Core =
        std::make_unique<control_core>(vmOf(V), Deployment, Random(), Limits);
    V.Deferred.clear();
    V.BelievedTerm = 0;
    V.IsPaused = false;
    V.DeliveredEntries = State.Applied.Value;
    stepVoter(Voter, snapshot_loaded{State});
    for (auto It = OpenRequests.begin(); It != OpenRequests.end();)
      It = It->first.first == Voter ? OpenRequests.erase(It) : ++It;
  }

  control_state snapshotFor(std::size_t Voter) {
    control_state Own = AllVoters[Voter].Core->machine().snapshot();
    for (std::size_t Other = 0; Other < AllVoters.size(); ++Other) {
      control_state State = AllVoters[Other].Core->machine().snapshot();
      if (Other != Voter && State.Applied.Value >= Own.Applied.Value)
        return State;
    }
    return Own;
  }

  void restartDaemon(std::size_t Index) {
    daemon &D = AllDaemons[Index];
    const incarnation_id Next{D.Incarnation.Value + 1};
    const drifting_clock Clock = D.Clock;
    D = daemon{};
    D.Clock = Clock;
    D.Incarnation = Next;
  }

  void pauseVoter(std::size_t Voter, bool Pause) {
    AllVoters[Voter].IsPaused = Pause;
    std::deque<control_event> Deferred;
    if (!Pause)
      Deferred.swap(AllVoters[Voter].Deferred);
    for (const control_event &Event : Deferred)
      stepVoter(Voter, Event);
  }

  void pauseDaemon(std::size_t Index, bool Pause) {
    AllDaemons[Index].IsPaused = Pause;
    std::deque<agent_event> Deferred;
    if (!Pause)
      Deferred.swap(AllDaemons[Index].Deferred);
    for (const agent_event &Event : Deferred)
      stepDaemon(Index, Event);
  }

  void endFaults() {
    for (std::size_t I = 0; I < Voters; ++I)
      pauseVoter(I, false);
    for (std::size_t I = 0; I < Daemons; ++I) {
      pauseDaemon(I, false);
      AllDaemons[I].IsDisconnected = false;
      AllDaemons[I].IsInboundCut = false;
    }
    LossRate = 0;
    MaxDelay = 5;
    if (!Log.Leader)
      elect(0);
    for (std::size_t I = 0; I < Voters; ++I)
      notifyLeadership(I);
  }

  /// Sends an operator's request to one voter. The result goes to `OnResult`.
  void sendRequest(std::size_t Voter, std::uint64_t Ticket,
                   const operator_request &Request) {
    const request_origin From{vmOf(AllVoters[Voter]), Ticket};
    OpenRequests[{Voter, Ticket}] = true;
    stepVoter(Voter, operator_request_received{From, Request});
  }

  void stepVoter(std::size_t Voter, const control_event &Event) {
    voter &V = AllVoters[Voter];
    if (V.IsPaused) {
      V.Deferred.push_back(Event);
      return;
    }
    std::vector<control_action> Out;
    V.Core->step(Event, V.Clock.at(Now), Out);
    for (const control_action &Action : Out)
      execute(Voter, Action);
  }

  std::size_t randomBelow(std::size_t Below) {
    return std::uniform_int_distribution<std::size_t>(0, Below - 1)(Random);
  }

  /// The wall clock time of every voter.
  wall_time wallNow() const { return {std::int64_t(1'000'000 + Now)}; }

  double Now = 0;
  double LossRate = 0;
  double MaxDelay = 20;
  bool CommitsAtOnce = true;
  retention_limits Limits;
  deployment Deployment = tinyDeployment();
  std::array<voter, Voters> AllVoters;
  std::array<daemon, Daemons> AllDaemons;
  simulated_log Log;
  std::function<void()> OnStep;
  std::function<void(std::size_t Voter, std::uint64_t Ticket,
                     const operator_result &)>
      OnResult;
  std::function<void(const ledger_answer &)> OnLedger;

  /// Sends a message that may be delayed, lost or duplicated.
  void sendUnreliable(const std::function<void()> &Deliver) {
    if (randomBelow(20) == 0)
      sendWithoutDuplicates(Deliver);
    sendWithoutDuplicates(Deliver);
  }

  /// Sends a message that may be delayed or lost, but not duplicated.
  void sendWithoutDuplicates(const std::function<void()> &Deliver) {
    if (std::uniform_real_distribution<>(0, 1)(Random) < LossRate)
      return;
    const double Delay = std::uniform_real_distribution<>(0, MaxDelay)(Random);
    Messages.emplace(Now + Delay, Deliver);
  }

  void stepDaemon(std::size_t Index, const agent_event &Event) {
    daemon &D = AllDaemons[Index];
    if (D.HasStopped)
      return;
    if (D.IsPaused) {
      if (!std::holds_alternative<agent_tick>(Event))
        D.Deferred.push_back(Event);
      return;
    }
    std::vector<agent_action> Out;
    D.Agent.step(Event, D.Clock.at(Now), Out);
    for (const agent_action &Action : Out) {
      const auto *Send = std::get_if<send_heartbeat>(&Action);
      if (!Send || D.IsDisconnected)
        continue;
      const daemon_id From{{std::uint32_t(Index)}, D.Incarnation};
      for (std::size_t V = 0; V < Voters; ++V)
        sendUnreliable([this, V, From, Heartbeat = Send->Heartbeat] {
          stepVoter(V, heartbeat_received{From, Heartbeat});
        });
    }
  }

  void execute(std::size_t Voter, const control_action &Action) {
    std::visit([&](const auto &A) { execute(Voter, A); }, Action);
  }

private:
  vm_id vmOf(const voter &V) const {
    return {std::uint32_t(&V - AllVoters.data())};
  }

  drifting_clock randomClock() {
    const double Rate = 1 + MaxClockDrift * (double(randomBelow(3)) - 1);
    return {double(randomBelow(1'000'000)), Rate};
  }

  void deliverDue() {
    while (!Messages.empty() && Messages.begin()->first <= Now) {
      const auto Deliver = Messages.begin()->second;
      Messages.erase(Messages.begin());
      Deliver();
    }
  }

  void tickVoter(std::size_t Index) {
    voter &V = AllVoters[Index];
    stepVoter(Index, control_tick{wallNow()});
    if (Log.Leader != Index || V.IsPaused)
      return;
    // The confirmation holds as of now even if it arrives late.
    const instant AsOf = V.Clock.at(Now);
    sendUnreliable(
        [this, Index, AsOf] { stepVoter(Index, quorum_confirmed{AsOf}); });
  }

  void execute(std::size_t Voter, const propose_command &Action) {
    const voter &V = AllVoters[Voter];
    if (Log.Leader == Voter && V.BelievedTerm == Log.Term)
      Log.Pending.push_back(Action.Command);
    else if (V.BelievedTerm == 0)
      stepVoter(Voter, proposal_rejected{Action});
  }
  void execute(std::size_t Voter, const operator_answer &Action) {
    const std::size_t Origin = Action.To.Vm.Value;
    const std::uint64_t Ticket = Action.To.Ticket;
    if (Origin >= Voters)
      return;
    if (Origin != Voter) {
      sendUnreliable([this, Origin, Ticket, Result = Action.Result] {
        stepVoter(Origin, forwarded_result_received{Ticket, Result});
      });
      return;
    }
    if (OpenRequests.erase({Voter, Ticket}) != 0 && OnResult)
      OnResult(Voter, Ticket, Action.Result);
  }
  void execute(std::size_t Voter, const forward_request &Action) {
    const request_origin From{vmOf(AllVoters[Voter]), Action.Ticket};
    sendUnreliable([this, From, Action] {
      stepVoter(Action.Leader.Value,
                operator_request_received{From, Action.Request});
    });
  }
  void execute(std::size_t, const addressed_reply &Action) {
    sendUnreliable([this, Action] {
      daemon &D = AllDaemons[Action.To.Vm.Value];
      if (D.Incarnation == Action.To.Incarnation && !D.IsDisconnected &&
          !D.IsInboundCut)
        stepDaemon(Action.To.Vm.Value, agent_reply{Action.Reply});
    });
  }
  void execute(std::size_t, const send_ledger_answer &Action) {
    sendUnreliable([this, Action] {
      if (OnLedger)
        OnLedger(Action.Answer);
    });
  }
  void execute(std::size_t, const change_voter &) {}
  void execute(std::size_t, const state_machine_failed &Action) {
    RC_FAIL(Action.Reason.Message);
  }

  std::mt19937 Random;
  std::multimap<double, std::function<void()>> Messages;
  std::map<std::pair<std::size_t, std::uint64_t>, bool> OpenRequests;
};

} // namespace bulrush::test
