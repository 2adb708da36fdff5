#include "layout.h"

#include <algorithm>
#include <map>

namespace bulrush::bench {
namespace {

/// How many more shards each endpoint and each zone should take.
struct room {
  const std::vector<zone_id> &Zones;
  std::vector<std::uint32_t> OfEndpoint;
  std::map<zone_id, std::uint32_t> OfZone;

  room(const std::vector<zone_id> &Zones, std::uint32_t Total)
      : Zones(Zones), OfEndpoint(Zones.size()) {
    for (std::uint32_t I = 0; I < Total; ++I) {
      ++OfEndpoint[I % Zones.size()];
      ++OfZone[Zones[I % Zones.size()]];
    }
  }

  /// Larger is better: room in the zone first, then at the endpoint.
  std::pair<std::uint32_t, std::uint32_t> worth(std::size_t Endpoint) const {
    return {OfZone.at(Zones[Endpoint]), OfEndpoint[Endpoint]};
  }
};

bool contains(const std::vector<zone_id> &Zones, zone_id Zone) {
  return std::find(Zones.begin(), Zones.end(), Zone) != Zones.end();
}

/// The best endpoint that does not hold the shard yet; prefers a zone that does
/// not hold it either.
std::size_t choose(const room &Room, const shard_layout &Layout, shard_id Shard,
                   const std::vector<zone_id> &UsedZones) {
  std::size_t Best = Room.Zones.size();
  bool BestNewZone = false;
  for (std::size_t I = 0; I < Room.Zones.size(); ++I) {
    if (!Layout[I].empty() && Layout[I].back() == Shard)
      continue;
    const bool NewZone = !contains(UsedZones, Room.Zones[I]);
    const bool HasRoom = Room.OfEndpoint[I] > 0;
    if (!HasRoom && Best != Room.Zones.size())
      continue;
    const bool Better =
        Best == Room.Zones.size() || Room.OfEndpoint[Best] == 0 ||
        (NewZone && !BestNewZone) ||
        (NewZone == BestNewZone && Room.worth(I) > Room.worth(Best));
    if (!Better)
      continue;
    Best = I;
    BestNewZone = NewZone;
  }
  return Best;
}

} // namespace

shard_layout layShards(const std::vector<zone_id> &ZoneOfEndpoint,
                       std::uint32_t Shards, std::uint32_t Replicas) {
  shard_layout Layout(ZoneOfEndpoint.size());
  if (ZoneOfEndpoint.empty())
    return Layout;
  room Room(ZoneOfEndpoint, Shards * Replicas);
  for (std::uint32_t S = 0; S < Shards; ++S) {
    std::vector<zone_id> UsedZones;
    for (std::uint32_t R = 0; R < Replicas; ++R) {
      const std::size_t Chosen = choose(Room, Layout, shard_id{S}, UsedZones);
      if (Chosen == ZoneOfEndpoint.size())
        break;
      Layout[Chosen].push_back(shard_id{S});
      const zone_id Zone = ZoneOfEndpoint[Chosen];
      UsedZones.push_back(Zone);
      if (Room.OfEndpoint[Chosen] > 0)
        --Room.OfEndpoint[Chosen];
      if (Room.OfZone[Zone] > 0)
        --Room.OfZone[Zone];
    }
  }
  return Layout;
}

} // namespace bulrush::bench
