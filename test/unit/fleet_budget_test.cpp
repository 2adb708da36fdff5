// The retry budget of a service, over all relays: relays that are killed,
// frozen or cut off from each other, and endpoints that fail or stall.
#include "relay_fleet.h"

#include <cstdlib>

using namespace bulrush;
using namespace bulrush::test;

namespace {

constexpr millis Step{100};

/// The faults of one run; each rate is per second over the whole fleet.
struct fault_plan {
  const char *Name;
  double Kills = 0; ///< and restarts
  double Freezes = 0;
  double LostLinks = 0;
  double ZoneFreezes = 0; ///< of all relays of a zone
  endpoint_faults Endpoints{};
  millis RosterTime{300};
  double RequestsPerSecond = 60;
};

fleet_options makeOptions(std::uint32_t Seed) {
  fleet_options Out;
  Out.Relays = 85;
  Out.Shards = 90;
  Out.Copies = 3;
  Out.Zones = 3;
  Out.Budget = {0.2, 210, {10'000}};
  Out.Seed = Seed;
  return Out;
}

/// A number of events in one `Step` that come at this rate.
int draw(double Rate, std::mt19937 &Random) {
  return Rate > 0
             ? std::poisson_distribution<int>(Rate * Step.Count / 1000)(Random)
             : 0;
}

void disturb(relay_fleet &Fleet, const fault_plan &Plan,
             std::vector<std::pair<std::size_t, int>> &Down,
             std::mt19937 &Random) {
  const std::size_t Relays = 85;
  for (auto &[Relay, StepsLeft] : Down)
    if (--StepsLeft == 0)
      Fleet.restart(Relay, Plan.RosterTime);
  std::erase_if(Down, [](const auto &Each) { return Each.second == 0; });
  for (int I = draw(Plan.Kills, Random); I > 0; --I) {
    const std::size_t Relay = Random() % Relays;
    if (Fleet.isKilled(Relay))
      continue;
    Fleet.kill(Relay);
    Down.push_back({Relay, 5});
  }
  for (int I = draw(Plan.Freezes, Random); I > 0; --I)
    Fleet.freeze(Random() % Relays, {200.0 + Random() % 1500});
  for (int I = draw(Plan.ZoneFreezes, Random); I > 0; --I)
    for (std::size_t Relay = Random() % 3; Relay < Relays; Relay += 3)
      Fleet.freeze(Relay, {200.0 + Random() % 400});
  for (int I = draw(Plan.LostLinks, Random); I > 0; --I)
    Fleet.breakLink(Random() % Relays, Random() % Relays);
}

struct outcome {
  double MaxBeyond = 0;
  std::size_t MaxRuns = 0;
  double Served = 0;
  double Incomplete = 0; ///< share of the answers
};

outcome runFleet(const fault_plan &Plan, std::uint32_t Seed, millis Time) {
  const fleet_options Options = makeOptions(Seed);
  relay_fleet Fleet(Options);
  std::mt19937 Random(Seed);
  Fleet.run({2000}, Plan.RequestsPerSecond, "/all/");
  for (std::size_t I = 0; I < Options.Shards; ++I)
    Fleet.setFaults("s" + std::to_string(100 + I), Plan.Endpoints);
  std::vector<std::pair<std::size_t, int>> Down;
  for (millis T{0}; T < Time; T = T + Step) {
    disturb(Fleet, Plan, Down, Random);
    Fleet.run(Step, Plan.RequestsPerSecond, "/all/");
  }
  outcome Out;
  for (const auto &[Service, Window] : Fleet.arrivals())
    Out.MaxBeyond = std::max(Out.MaxBeyond, Window.maxBeyond());
  Out.MaxRuns = Fleet.maxRuns();
  const auto Counts = Fleet.count([](std::size_t) { return true; });
  Out.Served = static_cast<double>(Counts.Served) / Counts.Sent;
  Out.Incomplete = static_cast<double>(Fleet.Incomplete) / Counts.Served;
  if (std::getenv("BULRUSH_BUDGET_PRINT")) {
    std::printf("%-28s seed %u beyond %.0f of %.0f, runs %zu, sent %zu, served "
                "%.4f, incomplete %.4f;",
                Plan.Name, Seed, Out.MaxBeyond, Options.Budget.Slack,
                Out.MaxRuns, Counts.Sent, Out.Served, Out.Incomplete);
    for (std::size_t I = 0; I < RepeatReasonCount; ++I)
      std::printf(" %s %u/%u",
                  std::string(toString(static_cast<repeat_reason>(I))).c_str(),
                  Fleet.Repeats[I].Sent, Fleet.Repeats[I].Denied);
    std::printf("\n");
    std::fflush(stdout);
  }
  return Out;
}

/// The first `PlansInCi` run in CI.
const fault_plan Plans[] = {
    {"lost links, failing", 0, 0, 8000, 0, {0.7, 0}, {300}, 120},
    {"kills, late roster, failing", 8, 0, 0, 0, {0.7, 0}, {5000}},
    {"freezes, stalling", 0, 8, 0, 0, {0.2, 0.5}},
    {"all", 6, 6, 4000, 0.3, {0.4, 0.3}, {2000}},
    {"calm"},
    {"kills", 8},
    {"freezes", 0, 8},
    {"lost links", 0, 0, 400},
    {"many lost links", 0, 0, 8000},
    {"zone freezes", 0, 0, 0, 0.5},
    {"failing endpoints", 0, 0, 0, 0, {0.7, 0}},
    {"stalling endpoints", 0, 0, 0, 0, {0, 0.5}},
    {"kills, failing", 8, 0, 0, 0, {0.7, 0}},
    {"lost links, stalling", 0, 0, 8000, 0, {0.2, 0.5}},
    {"freezes, failing", 0, 30, 0, 0, {0.7, 0}},
};
constexpr std::size_t PlansInCi = 4;

} // namespace

// Guards against relays that each stay within their own budget but send a
// service more repeats together than it bears. BULRUSH_BUDGET_SEEDS=N runs all
// plans with N seeds from BULRUSH_BUDGET_SEED on.
TEST_CASE("all relays together stay within the retry budget of a service",
          "[budget]") {
  const char *Seeds = std::getenv("BULRUSH_BUDGET_SEEDS");
  const char *First = std::getenv("BULRUSH_BUDGET_SEED");
  const auto Count = static_cast<std::uint32_t>(Seeds ? std::atoi(Seeds) : 1);
  const auto FirstSeed =
      static_cast<std::uint32_t>(First ? std::atoi(First) : 1);
  const std::size_t PlanCount = Seeds ? std::size(Plans) : PlansInCi;
  for (std::uint32_t Seed = FirstSeed; Seed < FirstSeed + Count; ++Seed)
    for (std::size_t I = 0; I < PlanCount; ++I) {
      INFO(Plans[I].Name << ", seed " << Seed);
      const outcome Outcome = runFleet(Plans[I], Seed, {12'000});
      CHECK(Outcome.MaxBeyond <= makeOptions(Seed).Budget.Slack);
      CHECK(Outcome.MaxRuns <= 2);
    }
}
