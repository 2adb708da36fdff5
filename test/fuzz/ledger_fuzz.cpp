#include "fuzz_params.h"

#include "control/ledger_client.h"
#include "control_world.h"

using namespace bulrush;
using namespace bulrush::test;

namespace {

constexpr millis KeyLifetime{20'000};
constexpr double CallerPatience = 1500;

retention_limits shortWindow() {
  retention_limits Out;
  Out.Ledger.KeyLifetime = KeyLifetime;
  return Out;
}

/// What an endpoint does with the one send of a run.
enum class fate { answers, sheds, answer_lost, never_arrives };

/// Daemons that ask the ledger before they send, and the endpoints' own record
/// of what ran.
class bookings {
public:
  explicit bookings(control_simulation &World) : World(World) {
    World.OnLedger = [this](const ledger_answer &Answer) {
      daemon &D = Daemons[Answer.Run.Daemon.Vm.Value];
      if (Answer.Run.Daemon.Incarnation == D.Incarnation)
        step(Answer.Run.Daemon.Vm.Value, ledger_answer_received{Answer});
    };
    World.OnStep = [this] { tick(); };
    for (std::size_t I = 0; I < control_simulation::Daemons; ++I)
      restart(I);
  }

  void newKey() {
    const std::string Id = std::to_string(Keys.size());
    Keys.push_back(
        {caller_id{0}, {std::to_string(World.wallNow().Ms) + "-" + Id}});
  }

  void request(std::size_t Daemon, std::uint32_t Choice, fate Fate) {
    if (Keys.empty())
      return;
    const ledger_key &Key = Keys[Choice % Keys.size()];
    const std::uint64_t Run = ++LastRun;
    Daemons[Daemon].Asking[Run] = {Key, World.Now + CallerPatience, Fate};
    step(Daemon, start_requested{Run, Key, 7});
  }

  /// A crash: what was sent may still run, all else is forgotten.
  void restart(std::size_t Index) {
    daemon &D = Daemons[Index];
    D.Incarnation.Value += 1;
    D.Client = std::make_unique<ledger_client>(self(Index));
    D.Asking.clear();
  }

  /// Answers of each kind, so that a run that tests nothing is seen.
  std::uint64_t Answered = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;

private:
  struct asking {
    ledger_key Key;
    double Deadline = 0;
    fate Fate = fate::answers;
  };
  struct daemon {
    incarnation_id Incarnation;
    std::unique_ptr<ledger_client> Client;
    std::map<std::uint64_t, asking> Asking;
  };

  daemon_id self(std::size_t Index) const {
    return {{std::uint32_t(Index)}, Daemons[Index].Incarnation};
  }

  void step(std::size_t Index, const client_event &Event) {
    std::vector<client_action> Out;
    Daemons[Index].Client->step(Event, {World.Now}, Out);
    for (const client_action &Action : Out) {
      if (const auto *Ask = std::get_if<send_ledger_request>(&Action))
        send(*Ask);
      if (const auto *Decided = std::get_if<start_decided>(&Action))
        decide(Index, *Decided);
    }
  }

  void send(const send_ledger_request &Ask) {
    for (std::size_t V = 0; V < control_simulation::Voters; ++V)
      World.post([this, V, Request = Ask.Request] {
        World.feed(V, ledger_request_received{Request});
      });
  }

  void decide(std::size_t Index, const start_decided &Decided) {
    daemon &D = Daemons[Index];
    const auto Found = D.Asking.find(Decided.Run);
    const bool IsGranted = Decided.Verdict == start_verdict::granted;
    if (Found == D.Asking.end()) {
      if (IsGranted)
        step(Index, record_requested{Decided.Key, outcome::not_run, {}, {}});
      return;
    }
    const asking Asked = Found->second;
    D.Asking.erase(Found);
    if (IsGranted)
      return sendOnce(Index, Asked);
    const bool IsRefused = Decided.Verdict == start_verdict::refused;
    answer(Asked.Key, IsRefused ? outcome::not_run : Decided.Outcome,
           Decided.Body);
  }

  void sendOnce(std::size_t Index, const asking &Asked) {
    if (Asked.Fate == fate::sheds)
      return finish(Index, Asked.Key, outcome::not_run, "");
    const incarnation_id Life = Daemons[Index].Incarnation;
    if (Asked.Fate == fate::never_arrives)
      return answer(Asked.Key, outcome::unknown, "");
    World.postOnce([this, Index, Asked, Life] {
      RC_ASSERT(++Ran[Asked.Key] == 1);
      if (Asked.Fate == fate::answers && Daemons[Index].Incarnation == Life)
        finish(Index, Asked.Key, outcome::answered, Asked.Key.Key.Value);
    });
  }

  void finish(std::size_t Index, const ledger_key &Key, outcome Outcome,
              const std::string &Body) {
    step(Index, record_requested{Key, Outcome, refusal::none, Body});
    answer(Key, Outcome, Body);
  }

  /// What a caller is told must be true.
  void answer(const ledger_key &Key, outcome Outcome, const std::string &Body) {
    const int Runs = Ran[Key];
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
      std::erase_if(D.Asking, [&](const auto &Entry) {
        if (World.Now < Entry.second.Deadline)
          return false;
        answer(Entry.second.Key, outcome::unknown, "");
        return true;
      });
      step(I, client_tick{});
    }
  }

  control_simulation &World;
  std::array<daemon, control_simulation::Daemons> Daemons;
  std::vector<ledger_key> Keys;
  std::map<ledger_key, int> Ran;
  std::uint64_t LastRun = 0;
};

struct scene {
  explicit scene(std::uint32_t Seed)
      : World(Seed, shortWindow()), Bookings(World) {}
  control_simulation World;
  bookings Bookings;
};

enum class operation {
  advance,
  wait,
  new_key,
  request,
  crash,
  commit_later,
  elect,
  lose_quorum,
  tell,
  catch_up,
  pause,
  restart,
  loss,
  delay
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
    case operation::wait:
      return W.advance(KeyLifetime.Count / 2);
    case operation::new_key:
      return S.Bookings.newKey();
    case operation::request:
      return S.Bookings.request(Daemon, Second, static_cast<fate>(Second % 4));
    case operation::crash:
      return S.Bookings.restart(Daemon);
    case operation::commit_later:
      W.CommitsAtOnce = !W.CommitsAtOnce;
      return;
    case operation::elect:
      return W.elect(Voter);
    case operation::lose_quorum:
      return W.loseQuorum();
    case operation::tell:
      return W.tellLeader(Voter);
    case operation::catch_up:
      return W.catchUp(Voter);
    case operation::pause:
      return W.pauseVoter(Voter, !W.AllVoters[Voter].IsPaused);
    case operation::restart:
      return W.restartVoter(Voter);
    case operation::loss:
      W.Loss = First % 2 == 0 ? 0 : 0.3;
      return;
    case operation::delay:
      W.MaxDelay = First % 2 == 0 ? 5 : 3000;
      return;
    }
  }
  void show(std::ostream &Out) const override {
    Out << static_cast<int>(What) << ' ' << First << ' ' << Second;
  }

  operation What =
      *rc::gen::weightedElement<operation>({{20, operation::advance},
                                            {1, operation::wait},
                                            {10, operation::new_key},
                                            {40, operation::request},
                                            {3, operation::crash},
                                            {2, operation::commit_later},
                                            {3, operation::elect},
                                            {1, operation::lose_quorum},
                                            {4, operation::tell},
                                            {4, operation::catch_up},
                                            {1, operation::pause},
                                            {1, operation::restart},
                                            {2, operation::loss},
                                            {2, operation::delay}});
  std::uint32_t First = *rc::gen::inRange(0, 600);
  std::uint32_t Second = *rc::gen::inRange(0, 1000);
};

} // namespace

TEST_CASE("a key runs at most once, and what callers are told is true",
          "[ledger]") {
  std::uint64_t Answered = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  checkProperty("ledger", 2500, 300, [&] {
    scene S(*rc::gen::arbitrary<std::uint32_t>());
    rc::state::check(model{}, S, rc::state::gen::execOneOfWithArgs<one_step>());
    Answered += S.Bookings.Answered;
    NotRun += S.Bookings.NotRun;
    Unknown += S.Bookings.Unknown;
  });
  if (std::getenv("RC_PARAMS"))
    return;
  CHECK(Answered > 0);
  CHECK(NotRun > 0);
  CHECK(Unknown > 0);
}
