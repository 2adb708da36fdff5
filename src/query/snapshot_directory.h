/// Which endpoints hold which shards of which snapshot, and the choice of the
/// snapshot that a query is pinned to.
#pragma once

#include "query/endpoint_table.h"
#include "query/router_events.h"
#include "query/router_settings.h"

#include <optional>

namespace bulrush::query {

/// The shards of one snapshot and who holds them.
struct shard_map {
  snapshot_id Snapshot;
  std::vector<std::vector<endpoint_id>> Holders; ///< at the place of the shard

  std::uint32_t total() const {
    return static_cast<std::uint32_t>(Holders.size());
  }
};

/// The snapshot for the next query of a pool.
struct snapshot_choice {
  const shard_map *Map = nullptr; ///< valid until the directory changes
  std::uint32_t Promised = 0;     ///< shards that a usable endpoint holds
  snapshot_id Newest;             ///< that any endpoint holds
};

/// Follows the reports of the owners. A snapshot names its own shard map, so a
/// repartition is only another snapshot.
class snapshot_directory {
public:
  snapshot_directory(const deployment &Deployment,
                     const endpoint_table &Endpoints,
                     const snapshot_settings &Settings);

  /// Takes all that an endpoint holds; false when nothing has changed.
  bool report(endpoint_id Endpoint, const std::vector<held_snapshot> &Held);

  /// An endpoint has said that it does not hold a snapshot.
  void forget(endpoint_id Endpoint, snapshot_id Snapshot);

  /// Something else that choices depend on has changed for a pool, or for all.
  void invalidate(pool_id Pool);
  void invalidateAll();

  /// The choice for a pool, or nothing when no snapshot is known. Appends a log
  /// line when it moves to another snapshot.
  std::optional<snapshot_choice> choose(pool_id Pool,
                                        std::vector<router_action> &Out);

  /// The map of a snapshot; null when nothing holds it any more.
  const shard_map *find(pool_id Pool, snapshot_id Snapshot) const;

private:
  struct pool_state {
    std::vector<shard_map> Maps; ///< ascending by snapshot
    std::optional<snapshot_id> Current;
    std::uint32_t Promised = 0;
    bool Fresh = false; ///< `Current` and `Promised` are up to date
  };

  void add(pool_state &Pool, endpoint_id Endpoint, const held_snapshot &Held);
  void remove(pool_state &Pool, endpoint_id Endpoint, snapshot_id Snapshot);
  void refresh(pool_id Id, std::vector<router_action> &Out);
  const shard_map *best(const pool_state &Pool) const;
  const shard_map *mostCovering(const pool_state &Pool) const;
  std::uint32_t promised(const shard_map &Map) const;
  double capacity(const shard_map &Map) const;

  const endpoint_table &Endpoints;
  snapshot_settings Settings;
  std::vector<pool_state> Pools;                 ///< at the place of the number
  std::vector<std::vector<held_snapshot>> Known; ///< for each endpoint
};

} // namespace bulrush::query
