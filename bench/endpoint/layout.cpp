#include "layout.h"

#include <algorithm>
#include <map>

namespace bulrush::bench {
namespace {

/// Number of replicas still to be placed on each endpoint and in each zone.
struct remaining_replicas {
  const std::vector<zone_id> &Zones;
  std::vector<std::uint32_t> PerEndpoint;
  std::map<zone_id, std::uint32_t> PerZone;

  remaining_replicas(const std::vector<zone_id> &Zones, std::uint32_t Total)
      : Zones(Zones), PerEndpoint(Zones.size()) {
    for (std::uint32_t I = 0; I < Total; ++I) {
      ++PerEndpoint[I % Zones.size()];
      ++PerZone[Zones[I % Zones.size()]];
    }
  }

  /// Placement priority, higher is better: remaining replicas of the zone,
  /// then of the endpoint.
  std::pair<std::uint32_t, std::uint32_t> priority(std::size_t Endpoint) const {
    return {PerZone.at(Zones[Endpoint]), PerEndpoint[Endpoint]};
  }
};

bool contains(const std::vector<zone_id> &Zones, zone_id Zone) {
  return std::find(Zones.begin(), Zones.end(), Zone) != Zones.end();
}

/// Returns the best endpoint that does not hold the shard yet, or the number of
/// endpoints if there is none. Prefers a zone that does not hold the shard.
std::size_t chooseEndpoint(const remaining_replicas &Remaining,
                           const shard_layout &Layout, shard_id Shard,
                           const std::vector<zone_id> &UsedZones) {
  std::size_t Best = Remaining.Zones.size();
  bool BestNewZone = false;
  for (std::size_t I = 0; I < Remaining.Zones.size(); ++I) {
    if (!Layout[I].empty() && Layout[I].back() == Shard)
      continue;
    const bool NewZone = !contains(UsedZones, Remaining.Zones[I]);
    const bool HasRemaining = Remaining.PerEndpoint[I] > 0;
    if (!HasRemaining && Best != Remaining.Zones.size())
      continue;
    const bool Better = Best == Remaining.Zones.size() ||
                        Remaining.PerEndpoint[Best] == 0 ||
                        (NewZone && !BestNewZone) ||
                        (NewZone == BestNewZone &&
                         Remaining.priority(I) > Remaining.priority(Best));
    if (!Better)
      continue;
    Best = I;
    BestNewZone = NewZone;
  }
  return Best;
}

} // namespace

shard_layout placeShards(const std::vector<zone_id> &ZoneOfEndpoint,
                         std::uint32_t Shards, std::uint32_t Replicas) {
  shard_layout Layout(ZoneOfEndpoint.size());
  if (ZoneOfEndpoint.empty())
    return Layout;
  remaining_replicas Remaining(ZoneOfEndpoint, Shards * Replicas);
  for (std::uint32_t S = 0; S < Shards; ++S) {
    std::vector<zone_id> UsedZones;
    for (std::uint32_t R = 0; R < Replicas; ++R) {
      const std::size_t Chosen =
          chooseEndpoint(Remaining, Layout, shard_id{S}, UsedZones);
      if (Chosen == ZoneOfEndpoint.size())
        break;
      Layout[Chosen].push_back(shard_id{S});
      const zone_id Zone = ZoneOfEndpoint[Chosen];
      UsedZones.push_back(Zone);
      if (Remaining.PerEndpoint[Chosen] > 0)
        --Remaining.PerEndpoint[Chosen];
      if (Remaining.PerZone[Zone] > 0)
        --Remaining.PerZone[Zone];
    }
  }
  return Layout;
}

} // namespace bulrush::bench
