#include "endpoint/layout.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace bulrush;
using namespace bulrush::bench;

namespace {

std::vector<zone_id> alternatingZones(std::size_t Count) {
  std::vector<zone_id> Zones;
  for (std::size_t I = 0; I < Count; ++I)
    Zones.push_back(zone_id{static_cast<std::uint16_t>(I % 3)});
  return Zones;
}

void checkLayout(std::size_t Endpoints, std::uint32_t Shards) {
  const auto Zones = alternatingZones(Endpoints);
  const shard_layout Layout = placeShards(Zones, Shards, 2);
  std::map<shard_id, std::set<zone_id>> ZonesOfShard;
  std::map<shard_id, int> Replicas;
  std::size_t Least = 1000;
  std::size_t Most = 0;
  for (std::size_t I = 0; I < Layout.size(); ++I) {
    Least = std::min(Least, Layout[I].size());
    Most = std::max(Most, Layout[I].size());
    for (const shard_id Shard : Layout[I]) {
      ZonesOfShard[Shard].insert(Zones[I]);
      ++Replicas[Shard];
    }
  }
  CHECK(Most - Least <= 1);
  REQUIRE(ZonesOfShard.size() == Shards);
  for (const auto &[Shard, Held] : ZonesOfShard) {
    CHECK(Held.size() == 2);
    CHECK(Replicas[Shard] == 2);
  }
}

} // namespace

TEST_CASE("replicas are in different zones and spread evenly") {
  for (const auto &[Endpoints, Shards] :
       std::vector<std::pair<std::size_t, std::uint32_t>>{
           {40, 20}, {60, 30}, {5, 5}, {3, 3}, {10, 5}, {4, 2}, {40, 24}}) {
    INFO(Endpoints << " endpoints, " << Shards << " shards");
    checkLayout(Endpoints, Shards);
  }
}
