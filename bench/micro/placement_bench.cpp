/// Prints the number of endpoints owned by each daemon and the number that
/// change owner when one daemon is removed.

#include "query/placement.h"

#include <algorithm>
#include <chrono>
#include <cstdio>

using namespace bulrush;

namespace {

struct fleet_shape {
  std::uint32_t Endpoints = 0;
  std::uint32_t Shards = 0; ///< per pool, with two replicas each
  std::uint32_t Daemons = 0;
  std::uint32_t Zones = 0;
};

deployment makeDeployment(const fleet_shape &Shape) {
  deployment Out;
  for (std::uint32_t Z = 0; Z < Shape.Zones; ++Z)
    Out.Zones.push_back({{static_cast<std::uint16_t>(Z)}, std::to_string(Z)});
  for (std::uint32_t V = 0; V < Shape.Daemons; ++V) {
    vm Vm;
    Vm.Id = {V};
    Vm.Zone = {static_cast<std::uint16_t>(V % Shape.Zones)};
    Out.Vms.push_back(Vm);
  }
  for (std::uint32_t E = 0; E < Shape.Endpoints; ++E) {
    const std::uint32_t PoolIndex = E % (2 * Shape.Shards);
    if (PoolIndex == 0) {
      const auto Id = static_cast<std::uint16_t>(Out.Pools.size());
      Out.Pools.push_back({{Id}, std::to_string(Id), Shape.Shards, 2, {}});
    }
    const std::uint32_t Replica = PoolIndex / Shape.Shards;
    const std::uint32_t Zone = (PoolIndex + Replica) % Shape.Zones;
    endpoint Endpoint{endpoint_id{E},
                      Out.Pools.back().Id,
                      zone_id{static_cast<std::uint16_t>(Zone)},
                      {},
                      {}};
    Out.Pools.back().Endpoints.push_back(Endpoint.Id);
    Out.Endpoints.push_back(Endpoint);
  }
  return Out;
}

std::vector<vm_id> allVms(const fleet_shape &Shape) {
  std::vector<vm_id> Live;
  for (std::uint32_t V = 0; V < Shape.Daemons; ++V)
    Live.push_back({V});
  return Live;
}

std::uint32_t mostOwned(const std::vector<vm_id> &Owners,
                        std::uint32_t Daemons) {
  std::vector<std::uint32_t> Counts(Daemons);
  for (const vm_id Owner : Owners)
    ++Counts[Owner.Value];
  return *std::max_element(Counts.begin(), Counts.end());
}

void printRow(const fleet_shape &Shape) {
  using milliseconds = std::chrono::duration<double, std::milli>;
  const deployment Deployment = makeDeployment(Shape);
  std::vector<vm_id> Live = allVms(Shape);
  const auto Start = std::chrono::steady_clock::now();
  const auto Owners = query::ownersOf(Deployment, Live);
  const milliseconds Elapsed = std::chrono::steady_clock::now() - Start;
  const vm_id RemovedVm = Live[Live.size() / 2];
  std::erase(Live, RemovedVm);
  const auto NewOwners = query::ownersOf(Deployment, Live);
  std::uint32_t OwnedByRemoved = 0;
  std::uint32_t Moved = 0;
  for (std::uint32_t E = 0; E < Shape.Endpoints; ++E) {
    OwnedByRemoved += Owners[E] == RemovedVm ? 1 : 0;
    Moved += Owners[E] != NewOwners[E] ? 1 : 0;
  }
  const double Mean = static_cast<double>(Shape.Endpoints) / Shape.Daemons;
  std::printf("| %u | %u | %u | %.1f | %u | %u | %u | %.1f |\n",
              Shape.Endpoints, Shape.Daemons, Shape.Zones, Mean,
              mostOwned(Owners, Shape.Daemons), OwnedByRemoved, Moved,
              Elapsed.count());
}

} // namespace

int main() {
  std::printf("| endpoints | daemons | zones | mean owned | most owned | "
              "owned by the removed daemon | moved | ms to compute |\n"
              "|---|---|---|---|---|---|---|---|\n");
  for (const fleet_shape &Shape :
       {fleet_shape{108, 20, 8, 3}, fleet_shape{122, 20, 8, 3},
        fleet_shape{1'000, 50, 60, 3}, fleet_shape{17'000, 170, 2'800, 9}})
    printRow(Shape);
}
