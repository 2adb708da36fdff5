#include "query/placement.h"

#include <algorithm>
#include <array>
#include <xxhash.h>

namespace bulrush::query {

namespace {

struct candidate {
  vm_id Vm;
  zone_id Zone;
};

std::vector<candidate> candidatesOf(const deployment &Deployment,
                                    const std::vector<vm_id> &Live) {
  std::vector<candidate> Out;
  for (const vm &Vm : Deployment.Vms) {
    if (std::find(Live.begin(), Live.end(), Vm.Id) != Live.end())
      Out.push_back({Vm.Id, Vm.Zone});
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

/// Among the candidates that `Accept` takes, the one with the highest score.
template <class Predicate>
vm_id best(const std::vector<candidate> &Candidates, endpoint_id Endpoint,
           Predicate Accept) {
  vm_id Best = NoOwner;
  std::uint64_t BestScore = 0;
  for (const candidate &C : Candidates) {
    if (!Accept(C))
      continue;
    const std::uint64_t Score = score(C.Vm, Endpoint);
    if (Best != NoOwner && Score <= BestScore)
      continue;
    Best = C.Vm;
    BestScore = Score;
  }
  return Best;
}

void placePool(const deployment &Deployment, const pool &Pool,
               const std::vector<candidate> &Candidates,
               std::vector<vm_id> &Owners) {
  for (std::size_t Place = 0; Place < Pool.Endpoints.size(); ++Place) {
    const endpoint_id Endpoint = Pool.Endpoints[Place];
    const zone_id Zone = Deployment.Endpoints[Endpoint.Value].Zone;
    std::vector<vm_id> Taken;
    for (const std::size_t Other : earlierReplicas(Pool, Place))
      Taken.push_back(Owners[Pool.Endpoints[Other].Value]);
    const auto IsFree = [&](const candidate &C) {
      return std::find(Taken.begin(), Taken.end(), C.Vm) == Taken.end();
    };
    const auto IsNear = [&](const candidate &C) { return C.Zone == Zone; };
    vm_id Owner = best(Candidates, Endpoint, [&](const candidate &C) {
      return IsNear(C) && IsFree(C);
    });
    if (Owner == NoOwner)
      Owner = best(Candidates, Endpoint, IsFree);
    if (Owner == NoOwner)
      Owner =
          best(Candidates, Endpoint, [](const candidate &) { return true; });
    Owners[Endpoint.Value] = Owner;
  }
}

} // namespace

std::vector<vm_id> ownersOf(const deployment &Deployment,
                            const std::vector<vm_id> &Live) {
  std::vector<vm_id> Owners(Deployment.Endpoints.size(), NoOwner);
  const std::vector<candidate> Candidates = candidatesOf(Deployment, Live);
  for (const pool &Pool : Deployment.Pools)
    placePool(Deployment, Pool, Candidates, Owners);
  return Owners;
}

vm_id ownerOf(const deployment &Deployment, const std::vector<vm_id> &Live,
              endpoint_id Endpoint) {
  if (Endpoint.Value >= Deployment.Endpoints.size())
    return NoOwner;
  const pool_id Wanted = Deployment.Endpoints[Endpoint.Value].Pool;
  const std::vector<candidate> Candidates = candidatesOf(Deployment, Live);
  std::vector<vm_id> Owners(Deployment.Endpoints.size(), NoOwner);
  for (const pool &Pool : Deployment.Pools) {
    if (Pool.Id == Wanted)
      placePool(Deployment, Pool, Candidates, Owners);
  }
  return Owners[Endpoint.Value];
}

} // namespace bulrush::query
