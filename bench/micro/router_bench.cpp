/// Microbenchmarks of the router: the time of a query to 170 shards and of one
/// hedging decision, and the heap size of a directory of 17,000 endpoints.
#include "micro/bounds.h"
#include "query/router.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <malloc.h>

namespace {

using namespace bulrush;
using namespace bulrush::query;

constexpr std::uint32_t QueryShards = 170;
constexpr std::uint32_t Replicas = 2;
constexpr std::uint32_t TargetEndpoints = 17'000;
constexpr std::uint32_t OwnerCount = 24; ///< daemons of one slice
constexpr millis ServiceTime{2};
constexpr std::uint32_t WarmUpQueries = 1000; ///< fill the explain history

class modulo_owner_directory final : public owner_directory {
public:
  vm_id ownerOf(const std::vector<vm_id> &Live,
                endpoint_id Endpoint) const override {
    return Live[Endpoint.Value % Live.size()];
  }
};

/// Makes pools of 170 shards with two replicas each, with `Endpoints` endpoints
/// in total.
deployment makeDeployment(std::uint32_t Endpoints) {
  deployment Deployment;
  for (std::uint32_t Index = 0; Index < Endpoints; ++Index) {
    const auto Pool =
        static_cast<std::uint16_t>(Index / (QueryShards * Replicas));
    endpoint Endpoint;
    Endpoint.Id = {Index};
    Endpoint.Pool = {Pool};
    Endpoint.Limits.Slots = 2;
    if (Pool == Deployment.Pools.size())
      Deployment.Pools.push_back({{Pool}, "", QueryShards, Replicas, {}});
    Deployment.Pools.back().Endpoints.push_back(Endpoint.Id);
    Deployment.Endpoints.push_back(Endpoint);
  }
  Deployment.Callers.push_back({{0}, "driver", {0}, ""});
  return Deployment;
}

/// A router with simulated owners in the same process.
class bench_router {
public:
  bench_router(std::uint32_t Endpoints, router_settings Settings)
      : Router(makeDeployment(Endpoints), {0},
               std::make_unique<modulo_owner_directory>(), Settings) {
    membership Members{1, {}};
    for (std::uint32_t Index = 0; Index < OwnerCount; ++Index)
      Members.Live.push_back({Index});
    intent Intent;
    Intent.Name = {"any"};
    step(membership_changed{Members});
    step(config_changed{{{1}, {Intent}, {}, {}}});
    step(readiness_changed{true});
    for (std::uint32_t Index = 0; Index < Endpoints; ++Index) {
      const shard_id Shard{Index % QueryShards};
      endpoint_report Report;
      Report.Endpoint = {Index};
      Report.Condition = endpoint_condition::warm;
      Report.Limit = 2;
      Report.Held = {{{7}, QueryShards, {Shard}}, {{8}, QueryShards, {Shard}}};
      step(reports_arrived{{Index % OwnerCount}, {Report}});
    }
  }

  void step(const router_event &Event) {
    Out.clear();
    Router.step(Event, Now, Out);
  }

  /// Sends a search and prepares the replies of the owners. Moves the last
  /// `Stragglers` replies of the last owner to `LateReplies`.
  void search(std::uint32_t Stragglers) {
    ++Query;
    step(search_arrived{{Query}, {0}, "bays", Body, "request"});
    Replies.clear();
    collectReplies();
    LateReplies.clear();
    for (std::uint32_t Index = 0; Index < Stragglers; ++Index) {
      LateReplies.push_back(Replies.back().Replies.back());
      Replies.back().Replies.pop_back();
    }
  }

  void deliverReplies() {
    Now = Now + ServiceTime;
    for (const replies_arrived &Event : Replies)
      step(Event);
  }

  void advanceTime(millis Time) {
    Now = Now + Time;
    step(timer_fired{});
  }

  bool hasSentBatch() const {
    for (const router_action &Action : Out)
      if (std::holds_alternative<send_batch>(Action))
        return true;
    return false;
  }

  void deliverLateReplies() {
    for (const sub_reply &Reply : LateReplies)
      step(replies_arrived{{0}, {Reply}});
  }

  /// Runs one query from its arrival to its response.
  void runQuery() {
    search(0);
    deliverReplies();
  }

  std::size_t active() const { return Router.active(); }

private:
  void collectReplies() {
    for (const router_action &Action : Out) {
      const auto *Sent = std::get_if<send_batch>(&Action);
      if (!Sent)
        continue;
      replies_arrived Event{Sent->To, {}};
      for (const sub_request &Item : Sent->Batch.Items) {
        sub_reply Reply = replyTo(Item);
        Reply.Outcome = outcome::answered;
        Reply.Body = Body;
        Event.Replies.push_back(Reply);
      }
      Replies.push_back(std::move(Event));
    }
  }

  router Router;
  instant Now{1000};
  std::uint64_t Query = 0;
  shared_body Body = std::make_shared<std::string>("{}");
  std::vector<router_action> Out;
  std::vector<replies_arrived> Replies;
  std::vector<sub_reply> LateReplies;
};

bench_router makeWarmRouter(std::uint32_t ExplainQueries) {
  router_settings Settings;
  Settings.ExplainQueries = ExplainQueries;
  bench_router Bench(QueryShards * Replicas, Settings);
  for (std::uint32_t Query = 0; Query < WarmUpQueries; ++Query)
    Bench.runQuery();
  return Bench;
}

void routeAndGather(benchmark::State &State) {
  bench_router Bench = makeWarmRouter(router_settings{}.ExplainQueries);
  for (auto Unused : State) {
    (void)Unused;
    Bench.runQuery();
  }
  if (Bench.active() != 0)
    State.SkipWithError("a query was not answered");
}

/// Measures one timer event that hedges one straggler out of 170 shards.
void hedgeDecision(benchmark::State &State) {
  router_settings Settings;
  Settings.Retry.InitialTokens = 1e9;
  Settings.Retry.MaxTokens = 1e9;
  bench_router Bench(QueryShards * Replicas, Settings);
  for (std::uint32_t Query = 0; Query < WarmUpQueries; ++Query)
    Bench.runQuery();
  bool AllHedged = true;
  for (auto Unused : State) {
    (void)Unused;
    Bench.search(1);
    Bench.deliverReplies();
    const auto Start = std::chrono::steady_clock::now();
    Bench.advanceTime(ServiceTime);
    const auto End = std::chrono::steady_clock::now();
    AllHedged = AllHedged && Bench.hasSentBatch();
    State.SetIterationTime(std::chrono::duration<double>(End - Start).count());
    Bench.deliverLateReplies();
  }
  if (!AllHedged)
    State.SkipWithError("a straggler was not hedged");
}

constexpr int Repetitions = 10;
constexpr int ExplainPairs = 10'000;
constexpr double MaxExplainRatio = 1.03;
constexpr std::size_t MaxDirectoryBytes = 16U << 20;

BENCHMARK(micro::referenceLoop)->Name("reference")->Repetitions(Repetitions);
BENCHMARK(routeAndGather)->Repetitions(Repetitions);
BENCHMARK(hedgeDecision)
    ->Repetitions(Repetitions)
    ->Iterations(1000)
    ->UseManualTime();

millis measureQuery(bench_router &Bench) {
  const steady_clock_source Clock;
  const instant Start = Clock.now();
  Bench.runQuery();
  return Clock.now() - Start;
}

millis median(std::vector<millis> &Times) {
  const auto Middle = Times.begin() + Times.size() / 2;
  std::nth_element(Times.begin(), Middle, Times.end());
  return *Middle;
}

/// Compares the median time of queries with and without the explain history,
/// in alternation.
bool checkExplain() {
  bench_router With = makeWarmRouter(router_settings{}.ExplainQueries);
  bench_router Without = makeWarmRouter(0);
  std::vector<millis> TimesWith;
  std::vector<millis> TimesWithout;
  for (int Pair = 0; Pair < ExplainPairs; ++Pair) {
    TimesWith.push_back(measureQuery(With));
    TimesWithout.push_back(measureQuery(Without));
  }
  const double Ratio = median(TimesWith) / median(TimesWithout);
  const bool Ok = Ratio <= MaxExplainRatio;
  std::printf("%s with explain / without = %.3f, at most %.3f (issue 5: "
              "explain costs at most 3%% CPU)\n",
              Ok ? "holds" : "BROKEN", Ratio, MaxExplainRatio);
  return Ok;
}

/// Checks the heap size of the directory and all other per-endpoint state of
/// the router.
bool checkMemory() {
  const std::size_t Before = mallinfo2().uordblks;
  router_settings Settings;
  Settings.ExplainQueries = 0;
  const bench_router Bench(TargetEndpoints, Settings);
  const std::size_t Used = mallinfo2().uordblks - Before;
  const bool Ok = Used <= MaxDirectoryBytes;
  std::printf("%s directory of %u endpoints: %.2f MB, at most %.2f MB (letter "
              "1: control fits 32 MB a daemon; half of it)\n",
              Ok ? "holds" : "BROKEN", TargetEndpoints, Used / 1048576.0,
              MaxDirectoryBytes / 1048576.0);
  return Ok;
}

} // namespace

int main(int Count, char **Arguments) {
  std::vector<char *> Flags = micro::withDefaultFlags(Count, Arguments);
  int FlagCount = static_cast<int>(Flags.size());
  benchmark::Initialize(&FlagCount, Flags.data());
  micro::shortest_reporter Reporter;
  benchmark::RunSpecifiedBenchmarks(&Reporter);
  if (micro::isListing(Count, Arguments))
    return 0;
  const bool RatiosHold = Reporter.check({
      {"routeAndGather", "reference", 0.3,
       "letter 1: 164 queries a second a daemon, in 5% of a core"},
      {"hedgeDecision", "reference", 0.004,
       "letter 1: 8 hedges a query, in 0.5% of a core"},
  });
  const bool ExplainHolds = checkExplain();
  const bool MemoryHolds = checkMemory();
  return RatiosHold && ExplainHolds && MemoryHolds ? 0 : 1;
}
