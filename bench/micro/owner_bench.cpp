/// Measures the CPU time and heap size of the owner core. Exits with 0 if all
/// bounds hold.

#include "query/owner.h"
#include "query/placement.h"
#include "ratio_main.h"

#include <cstdio>
#include <malloc.h>

using namespace bulrush;
using namespace bulrush::query;
using bulrush::bench::reference;

namespace {

constexpr std::uint32_t ManyEndpoints = 17'000;
constexpr std::uint32_t FewEndpoints = 60;
constexpr std::uint32_t Shards = 20;
constexpr std::uint32_t ChangedGrants = 1'000;

deployment makeDeployment(std::uint32_t Count, std::uint32_t Slots) {
  deployment Deployment;
  for (std::uint32_t I = 0; I < Count; ++I) {
    endpoint Endpoint{endpoint_id{I}, {}, {}, {}, {}};
    Endpoint.Limits.Slots = Slots;
    Deployment.Endpoints.push_back(Endpoint);
  }
  return Deployment;
}

ownership_changed grants(std::uint32_t First, std::uint32_t Count) {
  ownership_changed Event;
  for (std::uint32_t I = First; I < First + Count; ++I)
    Event.Grants.push_back({{I}, Never, {}});
  return Event;
}

/// An owner whose endpoints reply immediately, after 2000 warm-up queries.
struct bench_owner {
  explicit bench_owner(std::uint32_t Slots)
      : Deployment(makeDeployment(FewEndpoints, Slots)), Owner(Deployment, {}) {
    Owner.step(grants(0, FewEndpoints), Now, Actions);
    for (int I = 0; I < 2000; ++I)
      runQuery();
  }

  sub_batch makeBatch(millis Remaining = {50}) {
    sub_batch Batch{{1}, Remaining, {}, {}, {1}};
    for (std::uint32_t Shard = 0; Shard < Shards; ++Shard) {
      sub_request Request;
      Request.Sub = {++Sub};
      Request.Query = {Sub / Shards};
      const std::uint64_t Index = (Sub * 7 + Shard) % FewEndpoints;
      Request.Endpoint = {static_cast<std::uint32_t>(Index)};
      Batch.Items.push_back(std::move(Request));
    }
    return Batch;
  }

  /// Runs one query: sends a batch and delivers the replies of its endpoints.
  void runQuery() {
    Now = Now + millis{5};
    Actions.clear();
    Owner.step(batch_arrived{makeBatch()}, Now, Actions);
    Sends.clear();
    for (const owner_action &Action : Actions)
      if (const auto *Send = std::get_if<send_to_endpoint>(&Action))
        Sends.push_back({Send->Request.Endpoint, Send->Attempt});
    for (const auto &[Endpoint, Attempt] : Sends) {
      Actions.clear();
      endpoint_replied Reply;
      Reply.Endpoint = Endpoint;
      Reply.Attempt = Attempt;
      Reply.Latency = {4};
      Owner.step(std::move(Reply), Now, Actions);
    }
  }

  deployment Deployment;
  owner Owner;
  instant Now{1000};
  std::uint64_t Sub = 0;
  std::vector<owner_action> Actions;
  std::vector<std::pair<endpoint_id, attempt_id>> Sends;
};

void servedQuery(benchmark::State &State) {
  bench_owner Bench(6);
  for (auto _ : State)
    Bench.runQuery();
}

/// Overload: endpoints never reply and all queues are full.
void refusedQuery(benchmark::State &State) {
  bench_owner Bench(1);
  for (int I = 0; I < 1000; ++I) {
    Bench.Actions.clear();
    Bench.Owner.step(batch_arrived{Bench.makeBatch({1000})}, Bench.Now,
                     Bench.Actions);
  }
  for (auto _ : State) {
    Bench.Actions.clear();
    Bench.Owner.step(batch_arrived{Bench.makeBatch()}, Bench.Now,
                     Bench.Actions);
  }
}

/// In a deployment of 17,000 endpoints, each ownership change replaces the
/// owned endpoints with 1,000 others.
void ownershipChanges(benchmark::State &State) {
  const deployment Deployment = makeDeployment(ManyEndpoints, 2);
  owner Owner(Deployment, {});
  std::vector<owner_action> Actions;
  std::uint32_t First = 0;
  for (auto _ : State) {
    Actions.clear();
    Owner.step(grants(First, ChangedGrants), {1000}, Actions);
    First = (First + ChangedGrants) % (ManyEndpoints - ChangedGrants);
  }
}

double heapBytes() {
  const struct mallinfo2 Info = mallinfo2();
  return static_cast<double>(Info.uordblks + Info.hblkhd);
}

/// Heap size in MB of an owner of `OwnedCount` endpoints in a deployment of
/// 17,000.
double ownerMegabytes(std::uint32_t OwnedCount) {
  const deployment Deployment = makeDeployment(ManyEndpoints, 2);
  std::vector<owner_action> Actions;
  Actions.reserve(4 * ManyEndpoints);
  const double Before = heapBytes();
  owner Owner(Deployment, {});
  Owner.step(grants(0, OwnedCount), {1000}, Actions);
  return (heapBytes() - Before) / 1e6;
}

/// At the target size a daemon owns about 6 endpoints, and its control work
/// may use 32 MB in total.
bool memoryHolds() {
  constexpr std::uint32_t OwnedAtTarget = 8;
  constexpr double MaxMegabytes = 1;
  for (const std::uint32_t OwnedCount : {OwnedAtTarget, 200U, ManyEndpoints})
    std::printf("owner of %5u of %u endpoints: %.2f MB\n", OwnedCount,
                ManyEndpoints, ownerMegabytes(OwnedCount));
  return ownerMegabytes(OwnedAtTarget) <= MaxMegabytes;
}

BENCHMARK(reference)->Repetitions(3);
BENCHMARK(servedQuery)->Repetitions(3);
BENCHMARK(refusedQuery)->Repetitions(3);
BENCHMARK(ownershipChanges);
} // namespace

int main(int Count, char **Arguments) {
  const char *const DataPath = "30,000 sub-requests/s in 5% of a core";
  const int ExitCode = bulrush::bench::runWithBounds(
      Count, Arguments,
      {{"servedQuery", Shards, 16, DataPath},
       {"refusedQuery", Shards, 16, DataPath},
       {"ownershipChanges", 2 * ChangedGrants, 50,
        "1,000 moves within 10 ms, beside the data path"}});
  return memoryHolds() ? ExitCode : 1;
}
