/// Three control VMs over a pretended log, entry daemons with clocks that
/// drift, and a queue of messages between them that delays, drops and repeats.
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

/// Two pools on six endpoints, two machines a zone.
inline deployment tinyDeployment() {
  deployment D = smallDeployment();
  D.Pools.clear();
  D.Endpoints.clear();
  addPool(D, "driver", 2);
  addPool(D, "billing", 1);
  return D;
}

/// The clock of one process: `Rate` is within the drift bound.
struct drifting_clock {
  double Offset = 0;
  double Rate = 1;
  instant at(double True) const { return {Offset + Rate * True}; }
  double trueAt(instant Local) const { return (Local.Ms - Offset) / Rate; }
};

/// What has been committed, and the terms of those who may commit.
struct pretended_log {
  std::vector<std::optional<command>> Entries;
  std::uint64_t Term = 0;
  std::optional<std::size_t> Leader;
  std::vector<command> Pending; ///< proposed by the leader, not committed
};

class control_simulation {
public:
  static constexpr std::size_t Voters = 3;
  static constexpr std::size_t Daemons = 4;

  struct voter {
    std::unique_ptr<control_core> Core;
    drifting_clock Clock;
    std::size_t Delivered = 0;
    std::uint64_t BelievedTerm = 0; ///< 0: knows that it does not lead
    bool IsPaused = false;
    std::deque<control_event> Held;
  };
  struct daemon {
    control_agent Agent;
    drifting_clock Clock;
    incarnation_id Incarnation{1};
    bool IsPaused = false;
    bool IsCut = false;
    bool IsDeaf = false; ///< what it sends arrives, what others send does not
    bool HasStopped = false;
    std::deque<agent_event> Held;
  };

  explicit control_simulation(std::uint32_t Seed, retention_limits Limits = {})
      : Limits(Limits), Random(Seed) {
    for (voter &V : AllVoters) {
      V.Core =
          std::make_unique<control_core>(indexOf(V), World, Random(), Limits);
      V.Clock = drawClock();
    }
    for (daemon &D : AllDaemons)
      D.Clock = drawClock();
    elect(0);
  }

  /// Time passes; each process that runs gets its tick and due messages.
  void advance(double Ms) {
    constexpr double Step = 20;
    const double End = Now + Ms;
    while (Now < End) {
      Now = std::min(End, Now + Step);
      deliverDue();
      for (std::size_t I = 0; I < Voters; ++I)
        tickVoter(I);
      for (std::size_t I = 0; I < Daemons; ++I)
        give(I, agent_tick{});
      if (CommitsAtOnce && Log.Leader)
        commit();
      if (OnStep)
        OnStep();
    }
  }

  /// A voter becomes leader. What the one before had not committed is kept up
  /// to a random place; the one before does not know yet. A process that stands
  /// still wins no election, and one that led before stepped down for it.
  void elect(std::size_t New) {
    pauseVoter(New, false);
    if (AllVoters[New].BelievedTerm != 0)
      feed(New, leadership_lost{});
    const std::size_t Kept =
        Log.Pending.empty() ? 0 : draw(Log.Pending.size() + 1);
    for (std::size_t I = 0; I < Kept; ++I)
      Log.Entries.emplace_back(Log.Pending[I]);
    Log.Pending.clear();
    Log.Entries.emplace_back(std::nullopt);
    ++Log.Term;
    Log.Leader = New;
    AllVoters[New].BelievedTerm = Log.Term;
    catchUp(New);
    feed(New, leadership_gained{{Log.Term}, {Log.Entries.size()}});
  }

  /// The leader is lost; nobody leads.
  void loseQuorum() { Log.Leader.reset(); }

  /// A deposed leader learns it; others learn who leads.
  void tellLeader(std::size_t Voter) {
    voter &V = AllVoters[Voter];
    if (Log.Leader == Voter && V.BelievedTerm == Log.Term)
      return;
    if (V.BelievedTerm != 0)
      feed(Voter, leadership_lost{});
    V.BelievedTerm = 0;
    std::optional<vm_id> Known;
    if (Log.Leader)
      Known = vm_id{std::uint32_t(*Log.Leader)};
    feed(Voter, leader_changed{Known});
  }

  void commit() {
    for (const command &Command : Log.Pending)
      Log.Entries.emplace_back(Command);
    Log.Pending.clear();
    if (Log.Leader)
      catchUp(*Log.Leader);
  }

  void catchUp(std::size_t Voter) {
    voter &V = AllVoters[Voter];
    while (V.Delivered < Log.Entries.size()) {
      const std::size_t Place = V.Delivered++;
      feed(Voter, entry_committed{{Place + 1}, Log.Entries[Place]});
    }
  }

  /// A control process restarts from another's snapshot and the log behind it.
  void restartVoter(std::size_t Voter) {
    if (Log.Leader == Voter)
      loseQuorum();
    voter &V = AllVoters[Voter];
    const control_state State = V.Core->machine().snapshot();
    V.Core =
        std::make_unique<control_core>(indexOf(V), World, Random(), Limits);
    V.Held.clear();
    V.BelievedTerm = 0;
    V.IsPaused = false;
    V.Delivered = State.Applied.Value;
    feed(Voter, snapshot_loaded{State});
    for (auto Place = Requests.begin(); Place != Requests.end();)
      Place = Place->first.first == Voter ? Requests.erase(Place) : ++Place;
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
    std::deque<control_event> Held;
    if (!Pause)
      Held.swap(AllVoters[Voter].Held);
    for (const control_event &Event : Held)
      feed(Voter, Event);
  }

  void pauseDaemon(std::size_t Index, bool Pause) {
    AllDaemons[Index].IsPaused = Pause;
    std::deque<agent_event> Held;
    if (!Pause)
      Held.swap(AllDaemons[Index].Held);
    for (const agent_event &Event : Held)
      give(Index, Event);
  }

  void heal() {
    for (std::size_t I = 0; I < Voters; ++I)
      pauseVoter(I, false);
    for (std::size_t I = 0; I < Daemons; ++I) {
      pauseDaemon(I, false);
      AllDaemons[I].IsCut = false;
      AllDaemons[I].IsDeaf = false;
    }
    Loss = 0;
    MaxDelay = 5;
    if (!Log.Leader)
      elect(0);
    for (std::size_t I = 0; I < Voters; ++I)
      tellLeader(I);
  }

  /// An operator's request at one voter; the result comes to `OnResult`.
  void ask(std::size_t Voter, std::uint64_t Ticket,
           const operator_request &Request) {
    const request_origin From{indexOf(AllVoters[Voter]), Ticket};
    Requests[{Voter, Ticket}] = true;
    feed(Voter, operator_request_received{From, Request});
  }

  void feed(std::size_t Voter, const control_event &Event) {
    voter &V = AllVoters[Voter];
    if (V.IsPaused) {
      V.Held.push_back(Event);
      return;
    }
    std::vector<control_action> Out;
    V.Core->step(Event, V.Clock.at(Now), Out);
    for (const control_action &Action : Out)
      act(Voter, Action);
  }

  std::size_t draw(std::size_t Below) {
    return std::uniform_int_distribution<std::size_t>(0, Below - 1)(Random);
  }

  /// What every voter's wall clock shows.
  wall_time wallNow() const { return {std::int64_t(1'000'000 + Now)}; }

  double Now = 0;
  double Loss = 0;
  double MaxDelay = 20;
  bool CommitsAtOnce = true;
  retention_limits Limits;
  deployment World = tinyDeployment();
  std::array<voter, Voters> AllVoters;
  std::array<daemon, Daemons> AllDaemons;
  pretended_log Log;
  std::function<void()> OnStep;
  std::function<void(std::size_t Voter, std::uint64_t Ticket,
                     const operator_result &)>
      OnResult;
  std::function<void(const ledger_answer &)> OnLedger;

  /// Puts an event on its way: it may be late, lost or repeated.
  void post(const std::function<void()> &Deliver) {
    if (draw(20) == 0)
      postOnce(Deliver);
    postOnce(Deliver);
  }

  /// The same for what is never repeated.
  void postOnce(const std::function<void()> &Deliver) {
    if (std::uniform_real_distribution<>(0, 1)(Random) < Loss)
      return;
    const double Delay = std::uniform_real_distribution<>(0, MaxDelay)(Random);
    Mail.emplace(Now + Delay, Deliver);
  }

  void give(std::size_t Index, const agent_event &Event) {
    daemon &D = AllDaemons[Index];
    if (D.HasStopped)
      return;
    if (D.IsPaused) {
      if (!std::holds_alternative<agent_tick>(Event))
        D.Held.push_back(Event);
      return;
    }
    std::vector<agent_action> Out;
    D.Agent.step(Event, D.Clock.at(Now), Out);
    for (const agent_action &Action : Out) {
      const auto *Send = std::get_if<send_heartbeat>(&Action);
      if (!Send || D.IsCut)
        continue;
      const daemon_id From{{std::uint32_t(Index)}, D.Incarnation};
      for (std::size_t V = 0; V < Voters; ++V)
        post([this, V, From, Heartbeat = Send->Heartbeat] {
          feed(V, heartbeat_received{From, Heartbeat});
        });
    }
  }

  void act(std::size_t Voter, const control_action &Action) {
    std::visit([&](const auto &A) { act(Voter, A); }, Action);
  }

private:
  vm_id indexOf(const voter &V) const {
    return {std::uint32_t(&V - AllVoters.data())};
  }

  drifting_clock drawClock() {
    const double Rate = 1 + MaxClockDrift * (double(draw(3)) - 1);
    return {double(draw(1'000'000)), Rate};
  }

  void deliverDue() {
    while (!Mail.empty() && Mail.begin()->first <= Now) {
      const auto Deliver = Mail.begin()->second;
      Mail.erase(Mail.begin());
      Deliver();
    }
  }

  void tickVoter(std::size_t Index) {
    voter &V = AllVoters[Index];
    feed(Index, control_tick{wallNow()});
    if (Log.Leader != Index || V.IsPaused)
      return;
    // The confirmation is true now; it may arrive late.
    const instant AsOf = V.Clock.at(Now);
    post([this, Index, AsOf] { feed(Index, quorum_confirmed{AsOf}); });
  }

  void act(std::size_t Voter, const propose_command &Action) {
    const voter &V = AllVoters[Voter];
    if (Log.Leader == Voter && V.BelievedTerm == Log.Term)
      Log.Pending.push_back(Action.Command);
    else if (V.BelievedTerm == 0)
      feed(Voter, proposal_rejected{Action});
  }
  void act(std::size_t Voter, const operator_answer &Action) {
    const std::size_t Origin = Action.To.Vm.Value;
    const std::uint64_t Ticket = Action.To.Ticket;
    if (Origin >= Voters)
      return;
    if (Origin != Voter) {
      post([this, Origin, Ticket, Result = Action.Result] {
        feed(Origin, forwarded_result_received{Ticket, Result});
      });
      return;
    }
    if (Requests.erase({Voter, Ticket}) != 0 && OnResult)
      OnResult(Voter, Ticket, Action.Result);
  }
  void act(std::size_t Voter, const forward_request &Action) {
    const request_origin From{indexOf(AllVoters[Voter]), Action.Ticket};
    post([this, From, Action] {
      feed(Action.Leader.Value,
           operator_request_received{From, Action.Request});
    });
  }
  void act(std::size_t, const addressed_reply &Action) {
    post([this, Action] {
      daemon &D = AllDaemons[Action.To.Vm.Value];
      if (D.Incarnation == Action.To.Incarnation && !D.IsCut && !D.IsDeaf)
        give(Action.To.Vm.Value, agent_reply{Action.Reply});
    });
  }
  void act(std::size_t, const send_ledger_answer &Action) {
    post([this, Action] {
      if (OnLedger)
        OnLedger(Action.Answer);
    });
  }
  void act(std::size_t, const change_voter &) {}
  void act(std::size_t, const state_machine_failed &Action) {
    RC_FAIL(Action.Reason.Message);
  }

  std::mt19937 Random;
  std::multimap<double, std::function<void()>> Mail;
  std::map<std::pair<std::size_t, std::uint64_t>, bool> Requests;
};

} // namespace bulrush::test
