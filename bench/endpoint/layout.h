/// Placement of the shards of a snapshot on the endpoints of a pool.
#pragma once

#include "bulrushtray/ids.h"

#include <cstdint>
#include <vector>

namespace bulrush::bench {

/// The shards of each endpoint, in the order of the endpoints.
using shard_layout = std::vector<std::vector<shard_id>>;

/// Spreads `Replicas` replicas of each of `Shards` shards evenly over the
/// endpoints, whose zones are given. The replicas of a shard are placed in
/// different zones if there are enough zones, and always on different
/// endpoints.
shard_layout placeShards(const std::vector<zone_id> &ZoneOfEndpoint,
                         std::uint32_t Shards, std::uint32_t Replicas);

} // namespace bulrush::bench
