// Requests that make every endpoint go down that runs them.
#include "relay/crash_history.h"
#include "relay_fixture.h"

#include <deque>
#include <random>
#include <set>

using namespace bulrush;
using namespace bulrush::test;

namespace {

constexpr millis Tick{2};
constexpr millis RunTime{60};             ///< of any request at an endpoint
constexpr std::size_t PopularTargets = 7; ///< of the normal requests
constexpr millis DownTime{3000};          ///< of an endpoint that went down
/// The bound: this long after the third crash, at most `MaxLateSends` sends.
constexpr millis NoticeTime{4000};
constexpr std::size_t MaxLateSends = 3;

/// Relays that share the endpoints of one service.
struct crash_fleet {
  crash_fleet(std::size_t RelayCount, int EndpointCount) {
    for (std::size_t I = 0; I < RelayCount; ++I) {
      auto &Relay = Relays.emplace_back(relay_fixture::settings(), I + 1);
      Relay.addService("one", EndpointCount);
      Relay.addPlainRoute("/one/", "one").Objective = {400};
      Relay.install(static_cast<std::uint32_t>(RelayCount));
    }
  }

  /// Runs the fleet. Requests for "/one/crash" arrive at any relay at the rate
  /// `Crashing`, others at the rate `Normal`.
  void run(millis Time, double CrashingPerSecond, double NormalPerSecond) {
    std::bernoulli_distribution Crashes(CrashingPerSecond * Tick.Count / 1000);
    std::bernoulli_distribution Arrives(NormalPerSecond * Tick.Count / 1000);
    for (const instant End = Now + Time; Now < End; Now = Now + Tick) {
      endRuns();
      for (std::size_t I = 0; I < Relays.size(); ++I) {
        Relays[I].advance(Tick.Count);
        takeActions(I);
      }
      if (Crashes(Random))
        send("/one/crash");
      if (Arrives(Random))
        send("/one/" + std::to_string(++NormalCount % PopularTargets));
    }
  }

  /// Takes endpoints down together for another reason.
  void crashTogether(int First, int Count) {
    for (int I = First; I < First + Count; ++I)
      takeDown("one-" + std::to_string(I));
  }
  /// The leader is replaced by one that knows nothing.
  void replaceLeader() {
    Leader = {};
    for (std::size_t I = 0; I < Relays.size(); ++I) {
      Relays[I].step(leader_found{});
      takeActions(I);
    }
  }

  std::size_t leaderQuarantines() const { return Leader.quarantined(Now); }

  std::size_t lateSends() const {
    if (CrashedAt.size() < 3)
      return 0;
    const instant From = CrashedAt[2] + NoticeTime;
    return static_cast<std::size_t>(
        std::count_if(CrashingSends.begin(), CrashingSends.end(),
                      [&](instant Each) { return Each > From; }));
  }

  std::deque<relay_fixture> Relays;
  std::mt19937 Random{5};
  instant Now{1000};
  std::vector<instant> CrashedAt;     ///< by the crashing request
  std::vector<instant> CrashingSends; ///< to endpoints
  bool HasLeader = true; ///< relays can reach the registry's leader
  std::size_t NormalCount = 0;
  std::size_t Answered = 0; ///< of the normal requests
  std::map<relay_refusal, std::size_t> Refusals;

private:
  struct run_state {
    std::size_t Relay = 0;
    std::uint64_t Attempt = 0;
    std::string Instance;
    bool IsCrashing = false;
    instant EndsAt;
  };
  std::vector<run_state> Runs;
  std::map<std::string, instant> DownUntil;
  crash_history Leader;

  bool isDown(const std::string &Instance) const {
    const auto Found = DownUntil.find(Instance);
    return Found != DownUntil.end() && Now < Found->second;
  }

  void send(const std::string &Target) {
    const std::size_t Index = Random() % Relays.size();
    Relays[Index].sendRequest(Target);
    takeActions(Index);
  }

  void takeActions(std::size_t Index) {
    while (!Relays[Index].Actions.empty())
      for (const relay_action &Each : std::exchange(Relays[Index].Actions, {}))
        take(Index, Each);
  }

  void take(std::size_t Index, const relay_action &Action) {
    if (const auto *Send = std::get_if<send_attempt>(&Action))
      startRun(Index, *Send);
    if (const auto *Cancel = std::get_if<cancel_attempt>(&Action))
      std::erase_if(Runs, [&](const run_state &Each) {
        return Each.Relay == Index && Each.Attempt == Cancel->Attempt.Value;
      });
    if (const auto *Probe = std::get_if<probe_endpoint>(&Action))
      Relays[Index].step(
          probe_ended{Probe->Endpoint,
                      !isDown(Relays[Index].Names.at(Probe->Endpoint.Value)),
                      {},
                      {},
                      false,
                      {}});
    const auto *Reports = std::get_if<send_crash_reports>(&Action);
    if (Reports && HasLeader)
      tellLeader(*Reports);
    const auto *Answer = std::get_if<send_answer>(&Action);
    if (Answer && Answer->Content->Target != "/one/crash") {
      Answered += Answer->Status == 200 ? 1 : 0;
      ++Refusals[Answer->Reason];
    }
  }

  void tellLeader(const send_crash_reports &Action) {
    const auto Changed = Leader.apply(Action.Reports, Now);
    for (relay_fixture &Relay : Relays)
      if (!Changed.empty())
        Relay.step(verdicts_arrived{Changed});
  }

  void startRun(std::size_t Index, const send_attempt &Send) {
    relay_fixture &Relay = Relays[Index];
    const std::string Instance = Relay.instanceOf(Send);
    if (isDown(Instance)) {
      Relay.end(Send.Attempt.Value, attempt_end::connect_failed, {});
      return;
    }
    const bool IsCrashing = Send.Content->Target == "/one/crash";
    Runs.push_back(
        {Index, Send.Attempt.Value, Instance, IsCrashing, Now + RunTime});
    if (IsCrashing)
      CrashingSends.push_back(Now);
  }

  void endRuns() {
    while (true) {
      const auto Due =
          std::find_if(Runs.begin(), Runs.end(), [&](const run_state &Each) {
            return Each.EndsAt <= Now;
          });
      if (Due == Runs.end())
        return;
      const run_state Run = *Due;
      if (Run.IsCrashing) {
        CrashedAt.push_back(Now);
        takeDown(Run.Instance);
        continue;
      }
      Runs.erase(Due);
      Relays[Run.Relay].reply(Run.Attempt);
    }
  }

  void takeDown(const std::string &Instance) {
    DownUntil[Instance] = Now + DownTime;
    std::vector<run_state> Lost;
    for (const run_state &Each : Runs)
      if (Each.Instance == Instance)
        Lost.push_back(Each);
    std::erase_if(
        Runs, [&](const run_state &Each) { return Each.Instance == Instance; });
    for (const run_state &Each : Lost)
      if (Relays[Each.Relay].Sent.count(Each.Attempt))
        Relays[Each.Relay].breakConnection(Each.Attempt);
  }
};

} // namespace

// Guards against BUDGET: a request that made endpoints go down was sent to
// more and more of them.
TEST_CASE("a request under which three endpoints went down is sent to no more",
          "[relay][crash]") {
  for (const std::size_t RelayCount : {1U, 8U, 91U}) {
    crash_fleet Fleet(RelayCount, 9);
    Fleet.run({15'000}, 3, 40);
    INFO(RelayCount << " relays");
    CHECK(Fleet.CrashedAt.size() >= 3);
    CHECK(Fleet.lateSends() <= MaxLateSends);
    CHECK(Fleet.CrashedAt.size() <= 6);
    CHECK(Fleet.Refusals[relay_refusal::quarantined] == 0);
  }
}

// Guards against BUDGET while the leader of the registry changes.
TEST_CASE("a quarantine outlives the registry's leader", "[relay][crash]") {
  crash_fleet Fleet(8, 9);
  Fleet.run({4000}, 3, 40);
  Fleet.replaceLeader();
  CHECK(Fleet.leaderQuarantines() == 1);
  Fleet.run({4000}, 3, 40);
  Fleet.HasLeader = false;
  Fleet.run({4000}, 3, 40);
  Fleet.HasLeader = true;
  Fleet.replaceLeader();
  Fleet.run({4000}, 3, 40);
  CHECK(Fleet.lateSends() <= MaxLateSends);
}

// Guards against BUDGET while no leader can be reached: each relay decides for
// itself.
TEST_CASE("without a leader each relay keeps to what it saw itself",
          "[relay][crash]") {
  crash_fleet Fleet(3, 9);
  Fleet.HasLeader = false;
  Fleet.run({30'000}, 3, 40);
  CHECK(Fleet.CrashedAt.size() <= 3 * 4);
}

// Guards against refusing requests that were beside a crash by chance.
TEST_CASE("requests that other crashes interrupt are not quarantined",
          "[relay][crash]") {
  crash_fleet Fleet(8, 12);
  for (int Round = 0; Round < 8; ++Round) {
    Fleet.run({1500}, 0, 60);
    Fleet.crashTogether(Round, 4);
  }
  Fleet.run({5000}, 3, 60);
  CHECK(Fleet.Refusals[relay_refusal::quarantined] == 0);
  CHECK(Fleet.Answered >= Fleet.NormalCount * 9 / 10);
}

// Guards against refusing a popular request after many unrelated crashes.
TEST_CASE("a request that an endpoint answers is cleared", "[relay][crash]") {
  crash_history History;
  const request_fingerprint Request{7};
  History.add(Request, {{"one-0", 1}, {900}, {1000}}, {1000});
  History.add(Request, {{"one-1", 1}, {1900}, {2000}}, {2000});
  CHECK(History.verdict(Request, {2000}) == request_verdict::watched);
  History.clear(Request);
  History.add(Request, {{"one-2", 1}, {2900}, {3000}}, {3000});
  CHECK(History.verdict(Request, {3000}) == request_verdict::cleared);
}

TEST_CASE("endpoints that go down together count as one crash",
          "[relay][crash]") {
  crash_history History;
  const request_fingerprint Request{7};
  for (int I = 0; I < 5; ++I)
    History.add(Request, {{"one-" + std::to_string(I), 1}, {900}, {1000.0 + I}},
                {1010});
  CHECK(History.verdict(Request, {1010}) == request_verdict::cleared);
  CHECK(History.quarantineLeft(Request, {1010}) == millis{0});
}

// Guards against BUDGET with a request that ends its endpoints at once.
TEST_CASE("a crash after a retry counts however fast it comes",
          "[relay][crash]") {
  crash_history History;
  const request_fingerprint Request{7};
  History.add(Request, {{"one-0", 1}, {1000}, {1003}}, {1003});
  History.add(Request, {{"one-1", 1}, {1004}, {1007}}, {1007});
  // Reports travel for unlike times: by them it was sent before the crash.
  History.add(Request, {{"one-2", 1}, {1006}, {1011}}, {1011});
  CHECK(History.verdict(Request, {1011}) == request_verdict::quarantined);
}

// Guards against BUDGET with a query over shards, which runs at many endpoints.
TEST_CASE("crashes that follow each other closely count apart",
          "[relay][crash]") {
  crash_history History;
  const request_fingerprint Request{7};
  for (int I = 0; I < 12; ++I)
    History.add(Request,
                {{"one-" + std::to_string(I), 1}, {900}, {1000.0 + 5 * I}},
                {1060});
  CHECK(History.verdict(Request, {1060}) == request_verdict::quarantined);
}

TEST_CASE("a crash after a quarantine starts one twice as long",
          "[relay][crash]") {
  crash_history History;
  const request_fingerprint Request{7};
  for (const double Ms : {1000, 2000, 3000})
    History.add(Request, {{"one-" + std::to_string(Ms), 1}, {Ms - 50}, {Ms}},
                {Ms});
  const millis First = History.quarantineLeft(Request, {3000});
  CHECK(First > millis{0});
  const instant Later = instant{3000} + First + millis{1};
  CHECK(History.verdict(Request, Later) == request_verdict::watched);
  History.add(Request, {{"one-9", 1}, Later, Later}, Later);
  CHECK(History.quarantineLeft(Request, Later) == First * 2);
}

TEST_CASE("the memory of crashes is bounded", "[relay][crash]") {
  crash_history History;
  for (std::uint64_t I = 0; I < 5000; ++I) {
    const instant At{1000.0 + static_cast<double>(I)};
    History.add({I}, {{"one-0", 1}, At, At}, At);
  }
  CHECK(History.reports({6000}).size() <= 1024);
}
