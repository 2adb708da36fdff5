#include "query/placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <xxhash.h>

namespace bulrush::query {

namespace {

/// A zone's daemons may own this much more than their even part of its
/// endpoints; the surplus goes to the next daemon by score.
constexpr double LoadBound = 1.25;

struct candidate {
  vm_id Vm;
  std::uint32_t Owned = 0;
};

/// The live daemons of one zone.
struct zone_candidates {
  zone_id Zone;
  std::vector<candidate> Daemons;
  std::uint32_t MostOwned = 0; ///< by one daemon
};

zone_candidates &zoneOf(std::vector<zone_candidates> &Zones, zone_id Zone) {
  for (zone_candidates &Z : Zones)
    if (Z.Zone == Zone)
      return Z;
  Zones.push_back({Zone, {}, 0});
  return Zones.back();
}

std::vector<zone_candidates> candidatesOf(const deployment &Deployment,
                                          std::vector<vm_id> Live) {
  std::sort(Live.begin(), Live.end());
  std::vector<zone_candidates> Out;
  for (const vm &Vm : Deployment.Vms)
    if (std::binary_search(Live.begin(), Live.end(), Vm.Id))
      zoneOf(Out, Vm.Zone).Daemons.push_back({Vm.Id, 0});
  for (zone_candidates &Z : Out) {
    const auto Here =
        std::count_if(Deployment.Endpoints.begin(), Deployment.Endpoints.end(),
                      [&](const endpoint &E) { return E.Zone == Z.Zone; });
    const double Even =
        static_cast<double>(Here) / static_cast<double>(Z.Daemons.size());
    Z.MostOwned = static_cast<std::uint32_t>(std::ceil(Even * LoadBound));
  }
  return Out;
}

std::uint64_t score(vm_id Vm, endpoint_id Endpoint) {
  const std::array<std::uint32_t, 2> Key = {Vm.Value, Endpoint.Value};
  return XXH64(Key.data(), sizeof(Key), 0);
}

/// Places of `Pool` that come before `Place` and hold a replica of one of its
/// shards.
std::vector<std::size_t> earlierReplicas(const pool &Pool, std::size_t Place) {
  const std::size_t Count = Pool.Endpoints.size();
  const std::size_t Shards = std::max<std::size_t>(Pool.Shards, 1);
  const bool HoldsOne = Count >= Shards * Pool.Replicas;
  std::vector<std::size_t> Out;
  for (std::size_t Other = 0; Other < Place; ++Other) {
    const std::size_t Distance = Place - Other;
    const bool Near = std::min(Distance, Count - Distance) < Pool.Replicas;
    if (HoldsOne ? Distance % Shards == 0 : Near)
      Out.push_back(Other);
  }
  return Out;
}

/// Keeps the accepted candidate with the highest score.
class best_candidate {
public:
  explicit best_candidate(endpoint_id Endpoint) : Endpoint(Endpoint) {}

  template <class Predicate>
  void consider(zone_candidates &Zone, Predicate Accept) {
    for (candidate &C : Zone.Daemons) {
      if (!Accept(C))
        continue;
      const std::uint64_t Score = score(C.Vm, Endpoint);
      if (Best && Score <= BestScore)
        continue;
      Best = &C;
      BestScore = Score;
    }
  }

  candidate *found() const { return Best; }

private:
  endpoint_id Endpoint;
  candidate *Best = nullptr;
  std::uint64_t BestScore = 0;
};

/// In the endpoint's zone, within the bound of load; without the bound; in any
/// zone; and at last on a daemon that owns another replica of its shards.
candidate *choose(std::vector<zone_candidates> &Zones, const endpoint &Endpoint,
                  const std::vector<vm_id> &Taken) {
  const auto IsFree = [&](const candidate &C) {
    return std::find(Taken.begin(), Taken.end(), C.Vm) == Taken.end();
  };
  zone_candidates &Near = zoneOf(Zones, Endpoint.Zone);
  best_candidate Best(Endpoint.Id);
  Best.consider(Near, [&](const candidate &C) {
    return C.Owned < Near.MostOwned && IsFree(C);
  });
  if (!Best.found())
    Best.consider(Near, IsFree);
  if (!Best.found())
    for (zone_candidates &Zone : Zones)
      Best.consider(Zone, IsFree);
  if (!Best.found())
    for (zone_candidates &Zone : Zones)
      Best.consider(Zone, [](const candidate &) { return true; });
  return Best.found();
}

void placePool(const deployment &Deployment, const pool &Pool,
               std::vector<zone_candidates> &Zones,
               std::vector<vm_id> &Owners) {
  std::vector<vm_id> Taken;
  for (std::size_t Place = 0; Place < Pool.Endpoints.size(); ++Place) {
    const endpoint_id Endpoint = Pool.Endpoints[Place];
    Taken.clear();
    for (const std::size_t Other : earlierReplicas(Pool, Place))
      Taken.push_back(Owners[Pool.Endpoints[Other].Value]);
    candidate *Owner =
        choose(Zones, Deployment.Endpoints[Endpoint.Value], Taken);
    if (!Owner)
      continue;
    ++Owner->Owned;
    Owners[Endpoint.Value] = Owner->Vm;
  }
}

} // namespace

std::vector<vm_id> ownersOf(const deployment &Deployment,
                            const std::vector<vm_id> &Live) {
  std::vector<vm_id> Owners(Deployment.Endpoints.size(), NoOwner);
  std::vector<zone_candidates> Zones = candidatesOf(Deployment, Live);
  for (const pool &Pool : Deployment.Pools)
    placePool(Deployment, Pool, Zones, Owners);
  return Owners;
}

vm_id ownerOf(const deployment &Deployment, const std::vector<vm_id> &Live,
              endpoint_id Endpoint) {
  if (Endpoint.Value >= Deployment.Endpoints.size())
    return NoOwner;
  return ownersOf(Deployment, Live)[Endpoint.Value];
}

} // namespace bulrush::query
