/// Time and memory of the owner core. Exits 0 when all bounds hold.

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

deployment makeWorld(std::uint32_t Count, std::uint32_t Slots) {
  deployment World;
  for (std::uint32_t I = 0; I < Count; ++I) {
    endpoint Endpoint{endpoint_id{I}, {}, {}, {}, {}};
    Endpoint.Limits.Slots = Slots;
    World.Endpoints.push_back(Endpoint);
  }
  return World;
}

ownership_changed grants(std::uint32_t First, std::uint32_t Count) {
  ownership_changed Event;
  for (std::uint32_t I = First; I < First + Count; ++I)
    Event.Grants.push_back({{I}, Never, {}});
  return Event;
}

/// An owner whose endpoints answer at once.
struct served_owner {
  explicit served_owner(std::uint32_t Slots)
      : World(makeWorld(FewEndpoints, Slots)), Owner(World, {}) {
    Owner.step(grants(0, FewEndpoints), Now, Actions);
    for (int I = 0; I < 2000; ++I)
      query();
  }

  sub_batch batch(millis Remaining = {50}) {
    sub_batch Batch{{1}, Remaining, {}, {}, {1}};
    for (std::uint32_t Shard = 0; Shard < Shards; ++Shard) {
      sub_request Request;
      Request.Sub = {++Sub};
      Request.Query = {Sub / Shards};
      const std::uint64_t Place = (Sub * 7 + Shard) % FewEndpoints;
      Request.Endpoint = {static_cast<std::uint32_t>(Place)};
      Batch.Items.push_back(std::move(Request));
    }
    return Batch;
  }

  /// One query: a batch, and the answers of its endpoints.
  void query() {
    Now = Now + millis{5};
    Actions.clear();
    Owner.step(batch_arrived{batch()}, Now, Actions);
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

  deployment World;
  owner Owner;
  instant Now{1000};
  std::uint64_t Sub = 0;
  std::vector<owner_action> Actions;
  std::vector<std::pair<endpoint_id, attempt_id>> Sends;
};

void servedQuery(benchmark::State &State) {
  served_owner Served(6);
  for (auto _ : State)
    Served.query();
}

/// Overload: nothing is answered and the queues are full.
void refusedQuery(benchmark::State &State) {
  served_owner Served(1);
  for (int I = 0; I < 1000; ++I) {
    Served.Actions.clear();
    Served.Owner.step(batch_arrived{Served.batch({1000})}, Served.Now,
                      Served.Actions);
  }
  for (auto _ : State) {
    Served.Actions.clear();
    Served.Owner.step(batch_arrived{Served.batch()}, Served.Now,
                      Served.Actions);
  }
}

/// The owner of 17,000 endpoints loses 1,000 and gets 1,000 others.
void ownershipChanges(benchmark::State &State) {
  const deployment World = makeWorld(ManyEndpoints, 2);
  owner Owner(World, {});
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

/// The heap that an owner takes in a deployment of 17,000 endpoints, of which
/// it holds `Held`.
double directoryMegabytes(std::uint32_t Held) {
  const deployment World = makeWorld(ManyEndpoints, 2);
  std::vector<owner_action> Actions;
  Actions.reserve(4 * ManyEndpoints);
  const double Before = heapBytes();
  owner Owner(World, {});
  Owner.step(grants(0, Held), {1000}, Actions);
  return (heapBytes() - Before) / 1e6;
}

/// At the target size a daemon holds about 6 endpoints, and all its control
/// work has 32 MB.
bool memoryHolds() {
  constexpr std::uint32_t HeldAtTarget = 8;
  constexpr double MostMegabytes = 1;
  for (const std::uint32_t Held : {HeldAtTarget, 200U, ManyEndpoints})
    std::printf("owner of %5u of %u endpoints: %.2f MB\n", Held, ManyEndpoints,
                directoryMegabytes(Held));
  return directoryMegabytes(HeldAtTarget) <= MostMegabytes;
}

BENCHMARK(reference)->Repetitions(3);
BENCHMARK(servedQuery)->Repetitions(3);
BENCHMARK(refusedQuery)->Repetitions(3);
BENCHMARK(ownershipChanges);
} // namespace

int main(int Count, char **Arguments) {
  const char *const DataPath = "30,000 sub-requests/s in 5% of a core";
  const int Times = bulrush::bench::runWithBounds(
      Count, Arguments,
      {{"servedQuery", Shards, 16, DataPath},
       {"refusedQuery", Shards, 16, DataPath},
       {"ownershipChanges", 2 * ChangedGrants, 50,
        "1,000 moves within 10 ms, beside the data path"}});
  return memoryHolds() ? Times : 1;
}
