#include "query/snapshot_directory.h"

#include <algorithm>
#include <limits>

namespace bulrush::query {

namespace {

/// A report that names more shards than this is not believed.
constexpr std::uint32_t MaxShards = 65536;

template <class Maps> auto findMap(Maps &All, snapshot_id Snapshot) {
  return std::lower_bound(
      All.begin(), All.end(), Snapshot,
      [](const shard_map &Map, snapshot_id Id) { return Map.Snapshot < Id; });
}

bool isEmpty(const shard_map &Map) {
  return std::all_of(Map.Holders.begin(), Map.Holders.end(),
                     [](const auto &Holders) { return Holders.empty(); });
}

} // namespace

snapshot_directory::snapshot_directory(const deployment &Deployment,
                                       const endpoint_table &Endpoints,
                                       const snapshot_settings &Settings)
    : Endpoints(Endpoints), Settings(Settings), Known(Endpoints.size()) {
  for (const pool &Pool : Deployment.Pools)
    if (Pools.size() <= Pool.Id.Value)
      Pools.resize(Pool.Id.Value + 1);
}

bool snapshot_directory::report(endpoint_id Endpoint,
                                const std::vector<held_snapshot> &Held) {
  std::vector<held_snapshot> &Before = Known[Endpoint.Value];
  if (Before == Held)
    return false;
  pool_state &Pool = Pools[Endpoints[Endpoint].Pool.Value];
  for (const held_snapshot &Old : Before)
    remove(Pool, Endpoint, Old.Snapshot);
  for (const held_snapshot &New : Held)
    add(Pool, Endpoint, New);
  Before = Held;
  Pool.Fresh = false;
  return true;
}

void snapshot_directory::forget(endpoint_id Endpoint, snapshot_id Snapshot) {
  std::vector<held_snapshot> &Held = Known[Endpoint.Value];
  const auto IsIt = [&](const held_snapshot &One) {
    return One.Snapshot == Snapshot;
  };
  if (std::erase_if(Held, IsIt) == 0)
    return;
  pool_state &Pool = Pools[Endpoints[Endpoint].Pool.Value];
  remove(Pool, Endpoint, Snapshot);
  Pool.Fresh = false;
}

void snapshot_directory::invalidate(pool_id Pool) {
  Pools[Pool.Value].Fresh = false;
}

void snapshot_directory::invalidateAll() {
  for (pool_state &Pool : Pools)
    Pool.Fresh = false;
}

void snapshot_directory::add(pool_state &Pool, endpoint_id Endpoint,
                             const held_snapshot &Held) {
  if (Held.TotalShards == 0 || Held.TotalShards > MaxShards)
    return;
  auto Place = findMap(Pool.Maps, Held.Snapshot);
  if (Place == Pool.Maps.end() || Place->Snapshot != Held.Snapshot) {
    Place = Pool.Maps.insert(Place, shard_map{Held.Snapshot, {}});
    Place->Holders.resize(Held.TotalShards);
  }
  if (Place->total() != Held.TotalShards)
    return;
  for (const shard_id Shard : Held.Shards)
    if (Shard.Value < Held.TotalShards)
      Place->Holders[Shard.Value].push_back(Endpoint);
}

void snapshot_directory::remove(pool_state &Pool, endpoint_id Endpoint,
                                snapshot_id Snapshot) {
  const auto Place = findMap(Pool.Maps, Snapshot);
  if (Place == Pool.Maps.end() || Place->Snapshot != Snapshot)
    return;
  for (std::vector<endpoint_id> &Holders : Place->Holders)
    std::erase(Holders, Endpoint);
  if (isEmpty(*Place))
    Pool.Maps.erase(Place);
}

const shard_map *snapshot_directory::find(pool_id Pool,
                                          snapshot_id Snapshot) const {
  const std::vector<shard_map> &Maps = Pools[Pool.Value].Maps;
  const auto Place = findMap(Maps, Snapshot);
  if (Place == Maps.end() || Place->Snapshot != Snapshot)
    return nullptr;
  return &*Place;
}

std::optional<snapshot_choice>
snapshot_directory::choose(pool_id Id, std::vector<router_action> &Out) {
  pool_state &Pool = Pools[Id.Value];
  if (!Pool.Fresh)
    refresh(Id, Out);
  if (!Pool.Current)
    return std::nullopt;
  return snapshot_choice{find(Id, *Pool.Current), Pool.Promised,
                         Pool.Maps.back().Snapshot};
}

void snapshot_directory::refresh(pool_id Id, std::vector<router_action> &Out) {
  pool_state &Pool = Pools[Id.Value];
  Pool.Fresh = true;
  const std::optional<snapshot_id> Before = Pool.Current;
  const std::uint32_t PromisedBefore = Pool.Promised;
  const shard_map *Best = best(Pool);
  Pool.Current.reset();
  Pool.Promised = 0;
  if (!Best)
    return;
  Pool.Current = Best->Snapshot;
  Pool.Promised = promised(*Best);
  if (Before == Pool.Current)
    return;
  log_snapshot_moved Moved{Id,
                           Before.value_or(snapshot_id{}),
                           Best->Snapshot,
                           snapshot_change_reason::coverage,
                           Pool.Promised,
                           Best->total()};
  if (!Before)
    Moved.Reason = snapshot_change_reason::first;
  else if (!find(Id, *Before))
    Moved.Reason = snapshot_change_reason::gone;
  else if (PromisedBefore == find(Id, *Before)->total())
    Moved.Reason = snapshot_change_reason::newer;
  Out.emplace_back(Moved);
}

const shard_map *snapshot_directory::best(const pool_state &Pool) const {
  if (Pool.Maps.empty())
    return nullptr;
  if (Settings.Policy == snapshot_policy::newest)
    return &Pool.Maps.back();
  return mostCovering(Pool);
}

const shard_map *
snapshot_directory::mostCovering(const pool_state &Pool) const {
  double BestShare = -1;
  std::vector<const shard_map *> Tied; // newest first
  for (auto Map = Pool.Maps.rbegin(); Map != Pool.Maps.rend(); ++Map) {
    const double Share = static_cast<double>(promised(*Map)) / Map->total();
    if (Share > BestShare)
      Tied.clear();
    BestShare = std::max(BestShare, Share);
    if (Share == BestShare)
      Tied.push_back(&*Map);
  }
  const auto IsCurrent = [&](const shard_map *Map) {
    return Pool.Current == Map->Snapshot;
  };
  const auto Current = std::find_if(Tied.begin(), Tied.end(), IsCurrent);
  if (Current == Tied.end())
    return Tied.front();
  const double Needed = capacity(**Current) * Settings.MoveCapacity;
  const auto Pays = [&](const shard_map *Map) {
    return IsCurrent(Map) || capacity(*Map) >= Needed;
  };
  return *std::find_if(Tied.begin(), Tied.end(), Pays);
}

std::uint32_t snapshot_directory::promised(const shard_map &Map) const {
  const auto IsUsable = [&](endpoint_id Id) { return Endpoints[Id].usable(); };
  const auto IsPromised = [&](const std::vector<endpoint_id> &Holders) {
    return std::any_of(Holders.begin(), Holders.end(), IsUsable);
  };
  return static_cast<std::uint32_t>(
      std::count_if(Map.Holders.begin(), Map.Holders.end(), IsPromised));
}

/// Sub-requests that may run at the same time on the weakest shard that has any
/// usable holder.
double snapshot_directory::capacity(const shard_map &Map) const {
  double Weakest = std::numeric_limits<double>::infinity();
  for (const std::vector<endpoint_id> &Holders : Map.Holders) {
    double Sum = 0;
    bool Usable = false;
    for (const endpoint_id Id : Holders) {
      if (!Endpoints[Id].usable())
        continue;
      Usable = true;
      Sum += Endpoints[Id].Limit;
    }
    if (Usable)
      Weakest = std::min(Weakest, Sum);
  }
  return Weakest;
}

} // namespace bulrush::query
