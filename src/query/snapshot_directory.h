/// Tracks which endpoints hold which shards of which snapshots, and chooses the
/// snapshot that new queries are pinned to.
#pragma once

#include "query/endpoint_table.h"
#include "query/router_events.h"
#include "query/router_settings.h"

#include <optional>

namespace bulrush::query {

/// The shards of one snapshot and the endpoints that hold them.
struct shard_map {
  snapshot_id Snapshot;
  std::vector<std::vector<endpoint_id>> Holders; ///< indexed by shard

  std::uint32_t total() const {
    return static_cast<std::uint32_t>(Holders.size());
  }
};

/// The snapshot that new queries of a pool are pinned to.
struct snapshot_choice {
  const shard_map *Map = nullptr; ///< invalidated by changes of the directory
  std::uint32_t Promised = 0;     ///< number of shards with a usable holder
  snapshot_id Newest;             ///< the newest one that any endpoint holds
};

/// Tracks the snapshots that owners report. Each snapshot has its own shard
/// map, so a change of the number of shards is just a new snapshot.
class snapshot_directory {
public:
  snapshot_directory(const deployment &Deployment,
                     const endpoint_table &Endpoints,
                     const snapshot_settings &Settings);

  /// Replaces the snapshots that an endpoint holds. Returns false if nothing
  /// has changed.
  bool setHeld(endpoint_id Endpoint, const std::vector<held_snapshot> &Held);

  /// Removes a snapshot that an endpoint replied it does not hold.
  void removeHeld(endpoint_id Endpoint, snapshot_id Snapshot);

  /// Marks the choice for one pool, or for all pools, as outdated because the
  /// state of endpoints has changed.
  void invalidate(pool_id Pool);
  void invalidateAll();

  /// Returns the choice for a pool, or nothing if no snapshot is known. Appends
  /// a log event when the choice moves to another snapshot.
  std::optional<snapshot_choice> choose(pool_id Pool,
                                        std::vector<router_action> &Out);

  /// Returns the shard map of a snapshot, or null if no endpoint holds it any
  /// more.
  const shard_map *find(pool_id Pool, snapshot_id Snapshot) const;

private:
  struct pool_state {
    std::vector<shard_map> Maps; ///< sorted by snapshot id, ascending
    std::optional<snapshot_id> Current;
    std::uint32_t Promised = 0;
    /// Whether `Current` and `Promised` are up to date.
    bool IsUpToDate = false;
  };

  void add(pool_state &Pool, endpoint_id Endpoint, const held_snapshot &Held);
  void remove(pool_state &Pool, endpoint_id Endpoint, snapshot_id Snapshot);
  void refresh(pool_id Id, std::vector<router_action> &Out);
  const shard_map *selectMap(const pool_state &Pool) const;
  const shard_map *selectMostCoverage(const pool_state &Pool) const;
  std::uint32_t countPromised(const shard_map &Map) const;
  double minShardCapacity(const shard_map &Map) const;

  const endpoint_table &Endpoints;
  snapshot_settings Settings;
  std::vector<pool_state> Pools; ///< indexed by pool id
  /// Indexed by endpoint id.
  std::vector<std::vector<held_snapshot>> HeldByEndpoint;
};

} // namespace bulrush::query
