#include "fuzz_params.h"

#include "control/ledger_client.h"
#include "control_simulation.h"

using namespace bulrush;
using namespace bulrush::test;

namespace {

constexpr millis KeyLifetime{20'000};
constexpr double CallerTimeout = 1500;

retention_limits shortKeyLifetime() {
  retention_limits Out;
  Out.Ledger.KeyLifetime = KeyLifetime;
  return Out;
}

/// How an endpoint handles the single send of a run.
enum class endpoint_behavior { answers, sheds, answer_lost, never_arrives };

/// Simulates daemons that obtain a grant before they send, and records the runs
/// that endpoints executed.
class ledger_workload {
public:
  explicit ledger_workload(control_simulation &Simulation)
      : Simulation(Simulation) {
    Simulation.OnLedger = [this](const ledger_answer &Answer) {
      daemon &D = Daemons[Answer.Run.Daemon.Vm.Value];
      if (Answer.Run.Daemon.Incarnation == D.Incarnation)
        step(Answer.Run.Daemon.Vm.Value, ledger_answer_received{Answer});
    };
    Simulation.OnStep = [this] { tick(); };
    for (std::size_t I = 0; I < control_simulation::Daemons; ++I)
      restartDaemon(I);
  }

  void newKey() {
    const std::string Id = std::to_string(Keys.size());
    Keys.push_back(
        {caller_id{0}, {std::to_string(Simulation.wallNow().Ms) + "-" + Id}});
  }

  void request(std::size_t Daemon, std::uint32_t Choice,
               endpoint_behavior Behavior) {
    if (Keys.empty())
      return;
    const ledger_key &Key = Keys[Choice % Keys.size()];
    const std::uint64_t Run = ++LastRun;
    Daemons[Daemon].PendingStarts[Run] = {Key, Simulation.Now + CallerTimeout,
                                          Behavior};
    step(Daemon, start_requested{Run, Key, 7});
  }

  /// Simulates a crash: requests already sent may still run, all other state is
  /// lost.
  void restartDaemon(std::size_t Index) {
    daemon &D = Daemons[Index];
    D.Incarnation.Value += 1;
    D.Client = std::make_unique<ledger_client>(self(Index));
    D.PendingStarts.clear();
  }

  /// Number of answers of each kind, so that a run without any can be detected.
  std::uint64_t Answered = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;

private:
  struct pending_start {
    ledger_key Key;
    double Deadline = 0;
    endpoint_behavior Behavior = endpoint_behavior::answers;
  };
  struct daemon {
    incarnation_id Incarnation;
    std::unique_ptr<ledger_client> Client;
    std::map<std::uint64_t, pending_start> PendingStarts;
  };

  daemon_id self(std::size_t Index) const {
    return {{std::uint32_t(Index)}, Daemons[Index].Incarnation};
  }

  void step(std::size_t Index, const client_event &Event) {
    std::vector<client_action> Out;
    Daemons[Index].Client->step(Event, {Simulation.Now}, Out);
    for (const client_action &Action : Out) {
      if (const auto *Message = std::get_if<send_ledger_request>(&Action))
        send(*Message);
      if (const auto *Decided = std::get_if<start_decided>(&Action))
        onDecision(Index, *Decided);
    }
  }

  void send(const send_ledger_request &Message) {
    for (std::size_t V = 0; V < control_simulation::Voters; ++V)
      Simulation.sendUnreliable([this, V, Request = Message.Request] {
        Simulation.stepVoter(V, ledger_request_received{Request});
      });
  }

  void onDecision(std::size_t Index, const start_decided &Decided) {
    daemon &D = Daemons[Index];
    const auto Found = D.PendingStarts.find(Decided.Run);
    const bool IsGranted = Decided.Verdict == start_verdict::granted;
    if (Found == D.PendingStarts.end()) {
      if (IsGranted)
        step(Index, record_requested{Decided.Key, outcome::not_run, {}, {}});
      return;
    }
    const pending_start Start = Found->second;
    D.PendingStarts.erase(Found);
    if (IsGranted)
      return sendOnce(Index, Start);
    const bool IsRefused = Decided.Verdict == start_verdict::refused;
    answer(Start.Key, IsRefused ? outcome::not_run : Decided.Outcome,
           Decided.Body);
  }

  void sendOnce(std::size_t Index, const pending_start &Start) {
    if (Start.Behavior == endpoint_behavior::sheds)
      return finish(Index, Start.Key, outcome::not_run, "");
    const incarnation_id Incarnation = Daemons[Index].Incarnation;
    if (Start.Behavior == endpoint_behavior::never_arrives)
      return answer(Start.Key, outcome::unknown, "");
    Simulation.sendWithoutDuplicates([this, Index, Start, Incarnation] {
      RC_ASSERT(++RunCounts[Start.Key] == 1);
      if (Start.Behavior == endpoint_behavior::answers &&
          Daemons[Index].Incarnation == Incarnation)
        finish(Index, Start.Key, outcome::answered, Start.Key.Key.Value);
    });
  }

  void finish(std::size_t Index, const ledger_key &Key, outcome Outcome,
              const std::string &Body) {
    step(Index, record_requested{Key, Outcome, refusal::none, Body});
    answer(Key, Outcome, Body);
  }

  /// Checks that the answer to a caller is true.
  void answer(const ledger_key &Key, outcome Outcome, const std::string &Body) {
    const int Runs = RunCounts[Key];
    if (Outcome == outcome::answered) {
      RC_ASSERT(Runs == 1);
      RC_ASSERT(Body == Key.Key.Value);
      ++Answered;
    }
    if (Outcome == outcome::not_run) {
      RC_ASSERT(Runs == 0);
      ++NotRun;
    }
    Unknown += Outcome == outcome::unknown;
  }

  void tick() {
    for (std::size_t I = 0; I < control_simulation::Daemons; ++I) {
      daemon &D = Daemons[I];
      std::erase_if(D.PendingStarts, [&](const auto &Entry) {
        if (Simulation.Now < Entry.second.Deadline)
          return false;
        answer(Entry.second.Key, outcome::unknown, "");
        return true;
      });
      step(I, client_tick{});
    }
  }

  control_simulation &Simulation;
  std::array<daemon, control_simulation::Daemons> Daemons;
  std::vector<ledger_key> Keys;
  std::map<ledger_key, int> RunCounts;
  std::uint64_t LastRun = 0;
};

struct fixture {
  explicit fixture(std::uint32_t Seed)
      : Simulation(Seed, shortKeyLifetime()), Workload(Simulation) {}
  control_simulation Simulation;
  ledger_workload Workload;
};

enum class operation {
  advance,
  wait,
  new_key,
  request,
  crash,
  toggle_commits,
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
    const std::size_t Daemon = Argument % control_simulation::Daemons;
    switch (Operation) {
    case operation::advance:
      return Sim.advance(Argument);
    case operation::wait:
      return Sim.advance(KeyLifetime.Count / 2);
    case operation::new_key:
      return F.Workload.newKey();
    case operation::request:
      return F.Workload.request(Daemon, Selector,
                                static_cast<endpoint_behavior>(Selector % 4));
    case operation::crash:
      return F.Workload.restartDaemon(Daemon);
    case operation::toggle_commits:
      Sim.CommitsAtOnce = !Sim.CommitsAtOnce;
      return;
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
      Sim.MaxDelay = Argument % 2 == 0 ? 5 : 3000;
      return;
    }
  }
  void show(std::ostream &Out) const override {
    Out << static_cast<int>(Operation) << ' ' << Argument << ' ' << Selector;
  }

  operation Operation =
      *rc::gen::weightedElement<operation>({{20, operation::advance},
                                            {1, operation::wait},
                                            {10, operation::new_key},
                                            {40, operation::request},
                                            {3, operation::crash},
                                            {2, operation::toggle_commits},
                                            {3, operation::elect},
                                            {1, operation::lose_quorum},
                                            {4, operation::notify_leadership},
                                            {4, operation::deliver_committed},
                                            {1, operation::pause_voter},
                                            {1, operation::restart_voter},
                                            {2, operation::set_loss},
                                            {2, operation::set_delay}});
  std::uint32_t Argument = *rc::gen::inRange(0, 600);
  std::uint32_t Selector = *rc::gen::inRange(0, 1000);
};

} // namespace

TEST_CASE("a key runs at most once and answers to callers are true",
          "[ledger]") {
  std::uint64_t Answered = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  checkProperty("ledger", 2500, 300, [&] {
    fixture F(*rc::gen::arbitrary<std::uint32_t>());
    rc::state::check(model{}, F, rc::state::gen::execOneOfWithArgs<one_step>());
    Answered += F.Workload.Answered;
    NotRun += F.Workload.NotRun;
    Unknown += F.Workload.Unknown;
  });
  if (std::getenv("RC_PARAMS"))
    return;
  CHECK(Answered > 0);
  CHECK(NotRun > 0);
  CHECK(Unknown > 0);
}
