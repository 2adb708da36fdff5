#include "query/snapshot_directory.h"

#include <algorithm>
#include <limits>

namespace bulrush::query {

namespace {

/// A reported snapshot with more shards than this is ignored.
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
    : Endpoints(Endpoints), Settings(Settings),
      HeldByEndpoint(Endpoints.size()) {
  for (const pool &Pool : Deployment.Pools)
    if (Pools.size() <= Pool.Id.Value)
      Pools.resize(Pool.Id.Value + 1);
}

bool snapshot_directory::setHeld(endpoint_id Endpoint,
                                 const std::vector<held_snapshot> &Held) {
  std::vector<held_snapshot> &Before = HeldByEndpoint[Endpoint.Value];
  if (Before == Held)
    return false;
  pool_state &Pool = Pools[Endpoints[Endpoint].Pool.Value];
  for (const held_snapshot &Old : Before)
    remove(Pool, Endpoint, Old.Snapshot);
  for (const held_snapshot &New : Held)
    add(Pool, Endpoint, New);
  Before = Held;
  Pool.IsUpToDate = false;
  return true;
}

void snapshot_directory::removeHeld(endpoint_id Endpoint,
                                    snapshot_id Snapshot) {
  std::vector<held_snapshot> &Held = HeldByEndpoint[Endpoint.Value];
  const auto IsSame = [&](const held_snapshot &One) {
    return One.Snapshot == Snapshot;
  };
  if (std::erase_if(Held, IsSame) == 0)
    return;
  pool_state &Pool = Pools[Endpoints[Endpoint].Pool.Value];
  remove(Pool, Endpoint, Snapshot);
  Pool.IsUpToDate = false;
}

void snapshot_directory::invalidate(pool_id Pool) {
  Pools[Pool.Value].IsUpToDate = false;
}

void snapshot_directory::invalidateAll() {
  for (pool_state &Pool : Pools)
    Pool.IsUpToDate = false;
}

void snapshot_directory::add(pool_state &Pool, endpoint_id Endpoint,
                             const held_snapshot &Held) {
  if (Held.TotalShards == 0 || Held.TotalShards > MaxShards)
    return;
  auto It = findMap(Pool.Maps, Held.Snapshot);
  if (It == Pool.Maps.end() || It->Snapshot != Held.Snapshot) {
    It = Pool.Maps.insert(It, shard_map{Held.Snapshot, {}});
    It->Holders.resize(Held.TotalShards);
  }
  if (It->total() != Held.TotalShards)
    return;
  for (const shard_id Shard : Held.Shards)
    if (Shard.Value < Held.TotalShards)
      It->Holders[Shard.Value].push_back(Endpoint);
}

void snapshot_directory::remove(pool_state &Pool, endpoint_id Endpoint,
                                snapshot_id Snapshot) {
  const auto It = findMap(Pool.Maps, Snapshot);
  if (It == Pool.Maps.end() || It->Snapshot != Snapshot)
    return;
  for (std::vector<endpoint_id> &Holders : It->Holders)
    std::erase(Holders, Endpoint);
  if (isEmpty(*It))
    Pool.Maps.erase(It);
}

const shard_map *snapshot_directory::find(pool_id Pool,
                                          snapshot_id Snapshot) const {
  const std::vector<shard_map> &Maps = Pools[Pool.Value].Maps;
  const auto It = findMap(Maps, Snapshot);
  if (It == Maps.end() || It->Snapshot != Snapshot)
    return nullptr;
  return &*It;
}

std::optional<snapshot_choice>
snapshot_directory::choose(pool_id Id, std::vector<router_action> &Out) {
  pool_state &Pool = Pools[Id.Value];
  if (!Pool.IsUpToDate)
    refresh(Id, Out);
  if (!Pool.Current)
    return std::nullopt;
  return snapshot_choice{find(Id, *Pool.Current), Pool.Promised,
                         Pool.Maps.back().Snapshot};
}

void snapshot_directory::refresh(pool_id Id, std::vector<router_action> &Out) {
  pool_state &Pool = Pools[Id.Value];
  Pool.IsUpToDate = true;
  const std::optional<snapshot_id> Before = Pool.Current;
  const std::uint32_t PromisedBefore = Pool.Promised;
  const shard_map *Selected = selectMap(Pool);
  Pool.Current.reset();
  Pool.Promised = 0;
  if (!Selected)
    return;
  Pool.Current = Selected->Snapshot;
  Pool.Promised = countPromised(*Selected);
  if (Before == Pool.Current)
    return;
  log_snapshot_moved Event{Id,
                           Before.value_or(snapshot_id{}),
                           Selected->Snapshot,
                           snapshot_change_reason::coverage,
                           Pool.Promised,
                           Selected->total()};
  if (!Before)
    Event.Reason = snapshot_change_reason::first;
  else if (!find(Id, *Before))
    Event.Reason = snapshot_change_reason::gone;
  else if (PromisedBefore == find(Id, *Before)->total())
    Event.Reason = snapshot_change_reason::newer;
  Out.emplace_back(Event);
}

const shard_map *snapshot_directory::selectMap(const pool_state &Pool) const {
  if (Pool.Maps.empty())
    return nullptr;
  if (Settings.Policy == snapshot_policy::newest)
    return &Pool.Maps.back();
  return selectMostCoverage(Pool);
}

const shard_map *
snapshot_directory::selectMostCoverage(const pool_state &Pool) const {
  double BestShare = -1;
  std::vector<const shard_map *> Tied; // newest first
  for (auto Map = Pool.Maps.rbegin(); Map != Pool.Maps.rend(); ++Map) {
    const double Share =
        static_cast<double>(countPromised(*Map)) / Map->total();
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
  const double RequiredCapacity =
      minShardCapacity(**Current) * Settings.MinCapacityShare;
  const auto HasCapacity = [&](const shard_map *Map) {
    return IsCurrent(Map) || minShardCapacity(*Map) >= RequiredCapacity;
  };
  return *std::find_if(Tied.begin(), Tied.end(), HasCapacity);
}

std::uint32_t snapshot_directory::countPromised(const shard_map &Map) const {
  const auto IsUsable = [&](endpoint_id Id) { return Endpoints[Id].usable(); };
  const auto HasUsableHolder = [&](const std::vector<endpoint_id> &Holders) {
    return std::any_of(Holders.begin(), Holders.end(), IsUsable);
  };
  return static_cast<std::uint32_t>(
      std::count_if(Map.Holders.begin(), Map.Holders.end(), HasUsableHolder));
}

/// Returns the capacity of the weakest shard: the smallest sum of the
/// concurrency limits of a shard's usable holders. Shards without a usable
/// holder are skipped.
double snapshot_directory::minShardCapacity(const shard_map &Map) const {
  double MinCapacity = std::numeric_limits<double>::infinity();
  for (const std::vector<endpoint_id> &Holders : Map.Holders) {
    double Sum = 0;
    bool HasUsable = false;
    for (const endpoint_id Id : Holders) {
      if (!Endpoints[Id].usable())
        continue;
      HasUsable = true;
      Sum += Endpoints[Id].Limit;
    }
    if (HasUsable)
      MinCapacity = std::min(MinCapacity, Sum);
  }
  return MinCapacity;
}

} // namespace bulrush::query
