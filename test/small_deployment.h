/// A deployment for tests with three zones, six VMs and two pools.
#pragma once

#include "bulrushtray/world.h"

namespace bulrush::test {

/// Adds a pool with two replicas per shard, placed in different zones.
inline void addPool(deployment &D, std::string Name, std::uint32_t Shards) {
  pool Pool{
      pool_id{std::uint16_t(D.Pools.size())}, std::move(Name), Shards, 2, {}};
  for (std::uint32_t Position = 0; Position < Shards * 2; ++Position) {
    const endpoint_id Id{std::uint32_t(D.Endpoints.size())};
    const std::uint32_t Zone = (Position % Shards + Position / Shards) % 3;
    D.Endpoints.push_back(
        {Id, Pool.Id, zone_id{std::uint16_t(Zone)}, {}, {2, 25, millis{6}}});
    Pool.Endpoints.push_back(Id);
  }
  D.Pools.push_back(std::move(Pool));
}

/// Pool 0, "driver", has 20 shards, pool 1, "billing", has 3. Each shard has
/// two replicas.
inline deployment smallDeployment() {
  deployment D{"small", {}, {}, {}, {}, {}, {}};
  D.Zones = {
      {zone_id{0}, "vienna-1"}, {zone_id{1}, "vienna-2"}, {zone_id{2}, "linz"}};
  for (std::uint32_t Vm = 0; Vm < 6; ++Vm)
    D.Vms.push_back(
        {vm_id{Vm}, zone_id{std::uint16_t(Vm % 3)}, {}, {}, Vm < 3, {}, {}});
  addPool(D, "driver", 20);
  addPool(D, "billing", 3);
  D.Callers = {{caller_id{0}, "driver-app", pool_id{0}, "key-d"},
               {caller_id{1}, "billing-portal", pool_id{1}, "key-b"}};
  return D;
}

/// The ids of all VMs.
inline std::vector<vm_id> allVms(const deployment &D) {
  std::vector<vm_id> Out;
  for (const vm &Vm : D.Vms)
    Out.push_back(Vm.Id);
  return Out;
}

} // namespace bulrush::test
