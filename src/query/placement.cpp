#include "query/placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <xxhash.h>

namespace bulrush::query {

namespace {

/// Maximum number of endpoints owned by one daemon, relative to an even share
/// of its zone. Further endpoints go to the daemon with the next best score, if
/// there is one below the limit.
constexpr double MaxLoadRatio = 1.25;

struct candidate {
  vm_id Vm;
  std::uint32_t Owned = 0;
};

/// The live daemons of one zone.
struct zone_candidates {
  zone_id Zone;
  std::vector<candidate> Daemons;
  std::uint32_t MaxOwned = 0; ///< limit for one daemon
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
    const auto EndpointCount =
        std::count_if(Deployment.Endpoints.begin(), Deployment.Endpoints.end(),
                      [&](const endpoint &E) { return E.Zone == Z.Zone; });
    const double FairShare = static_cast<double>(EndpointCount) /
                             static_cast<double>(Z.Daemons.size());
    Z.MaxOwned =
        static_cast<std::uint32_t>(std::ceil(FairShare * MaxLoadRatio));
  }
  return Out;
}

std::uint64_t score(vm_id Vm, endpoint_id Endpoint) {
  const std::array<std::uint32_t, 2> Key = {Vm.Value, Endpoint.Value};
  return XXH64(Key.data(), sizeof(Key), 0);
}

/// Returns the positions in `Pool` before `Index` whose endpoints hold a
/// replica of one of its shards.
std::vector<std::size_t> earlierReplicas(const pool &Pool, std::size_t Index) {
  const std::size_t Count = Pool.Endpoints.size();
  const std::size_t Shards = std::max<std::size_t>(Pool.Shards, 1);
  const bool IsOneShardEach = Count >= Shards * Pool.Replicas;
  std::vector<std::size_t> Out;
  for (std::size_t Other = 0; Other < Index; ++Other) {
    const std::size_t Distance = Index - Other;
    const bool IsNeighbor =
        std::min(Distance, Count - Distance) < Pool.Replicas;
    if (IsOneShardEach ? Distance % Shards == 0 : IsNeighbor)
      Out.push_back(Other);
  }
  return Out;
}

/// Finds the accepted candidate with the highest score.
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

  candidate *best() const { return Best; }

private:
  endpoint_id Endpoint;
  candidate *Best = nullptr;
  std::uint64_t BestScore = 0;
};

/// Chooses the owner of an endpoint among the daemons that own no other replica
/// of its shards: in its zone within the load limit, else in its zone
/// regardless of the limit, else in any zone. If there is none, chooses among
/// all daemons.
candidate *chooseOwner(std::vector<zone_candidates> &Zones,
                       const endpoint &Endpoint,
                       const std::vector<vm_id> &ReplicaOwners) {
  const auto OwnsNoReplica = [&](const candidate &C) {
    return std::find(ReplicaOwners.begin(), ReplicaOwners.end(), C.Vm) ==
           ReplicaOwners.end();
  };
  zone_candidates &Local = zoneOf(Zones, Endpoint.Zone);
  best_candidate Best(Endpoint.Id);
  Best.consider(Local, [&](const candidate &C) {
    return C.Owned < Local.MaxOwned && OwnsNoReplica(C);
  });
  if (!Best.best())
    Best.consider(Local, OwnsNoReplica);
  if (!Best.best())
    for (zone_candidates &Zone : Zones)
      Best.consider(Zone, OwnsNoReplica);
  if (!Best.best())
    for (zone_candidates &Zone : Zones)
      Best.consider(Zone, [](const candidate &) { return true; });
  return Best.best();
}

void assignPool(const deployment &Deployment, const pool &Pool,
                std::vector<zone_candidates> &Zones,
                std::vector<vm_id> &Owners) {
  std::vector<vm_id> ReplicaOwners;
  for (std::size_t Index = 0; Index < Pool.Endpoints.size(); ++Index) {
    const endpoint_id Endpoint = Pool.Endpoints[Index];
    ReplicaOwners.clear();
    for (const std::size_t Other : earlierReplicas(Pool, Index))
      ReplicaOwners.push_back(Owners[Pool.Endpoints[Other].Value]);
    candidate *Owner =
        chooseOwner(Zones, Deployment.Endpoints[Endpoint.Value], ReplicaOwners);
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
    assignPool(Deployment, Pool, Zones, Owners);
  return Owners;
}

vm_id ownerOf(const deployment &Deployment, const std::vector<vm_id> &Live,
              endpoint_id Endpoint) {
  if (Endpoint.Value >= Deployment.Endpoints.size())
    return NoOwner;
  return ownersOf(Deployment, Live)[Endpoint.Value];
}

} // namespace bulrush::query
