/// Which endpoint of a pool holds which shards of a snapshot.
#pragma once

#include "bulrushtray/ids.h"

#include <cstdint>
#include <vector>

namespace bulrush::bench {

/// The shards that each endpoint holds, at the place of the endpoint.
using shard_layout = std::vector<std::vector<shard_id>>;

/// Spreads `Shards` x `Replicas` evenly over the endpoints whose zones are
/// given. The replicas of a shard lie in different zones as long as there are
/// enough zones, and always at different endpoints.
shard_layout layShards(const std::vector<zone_id> &ZoneOfEndpoint,
                       std::uint32_t Shards, std::uint32_t Replicas);

} // namespace bulrush::bench
