/// Partitions queries over many shards into slices, and assigns slices to
/// relays.
#pragma once

#include "bulrushtray/ids.h"
#include "relay/catalog.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace bulrush::relay {

/// A relay process and its zone.
struct relay_peer {
  vm_id Vm;
  std::string Zone;
  bool HasReach = true; ///< it reaches endpoints

  bool operator==(const relay_peer &) const = default;
};

/// Looks up the zones in which a service has endpoints.
class zone_lookup {
public:
  virtual ~zone_lookup() = default;
  /// Zones of the endpoints that may get requests, without duplicates.
  virtual std::vector<std::string>
  zonesOf(const service_name &Service) const = 0;
};

/// Shards of one query that one relay queries on behalf of the relay that
/// received the query.
struct slice {
  vm_id Primary;            ///< the relay that queries the shards
  vm_id Backup;             ///< used if the primary does not reply; 0: none
  bool IsCrossZone = false; ///< the relays are in another zone
  std::vector<std::size_t> Shards; ///< indices in the query
  /// Of a slice in another zone: the relay of the planning zone that queries
  /// the shards if the primary does not reply, as all relays of that zone may
  /// fail together; 0: none.
  vm_id LocalFallback = {};
};

struct slice_settings {
  /// The local shards of a query over fewer shards are not sliced: an extra hop
  /// would cost more than it saves.
  std::size_t MinShards = 40;
  /// Of a query over at least this many shards, but fewer than `MinShards`, the
  /// shards of the local zone are queried directly and those of other zones by
  /// relays there, so that merged records cross zones instead of replies.
  std::size_t MinShardsAcrossZones = 10;
  /// Relays in these zones get no slices: they are in another region.
  std::set<std::string> ForeignZones = {};
};

/// Partitions queries into slices. For N shards, about sqrt(N) relays query
/// about sqrt(N) shards each, so that the time of a query grows only with
/// sqrt(N). A shard is queried by a relay in a zone that has an endpoint of it,
/// preferably the local zone, so that only merged records cross zones. A zone
/// with fewer relays than slices leaves the others to relays of other zones.
/// All relays compute the same assignment, so that each endpoint has
/// connections from few relays.
class slice_planner {
public:
  slice_planner(slice_settings Settings, vm_id Self, std::string Zone)
      : Settings(std::move(Settings)), Self(Self), Zone(std::move(Zone)) {}

  /// Sets all relays, this one included; discards cached plans if they changed.
  /// Those without reach get no slices.
  void setPeers(const std::vector<relay_peer> &Peers);
  /// Sets whether this relay reaches endpoints, whatever `setPeers` said of it.
  void setReach(bool HasReach);
  /// Discards cached plans; call it when the zones of endpoints change.
  void clearCache() { Cache.clear(); }
  /// The other relays that reach endpoints.
  const std::vector<relay_peer> &others() const { return Others; }
  /// Number of relays, over all zones, that may query the same shard.
  std::size_t relaysPerShard() const;

  /// The relays that the plans of all zones name for each shard of a query that
  /// is sliced, in the order of its shards.
  std::vector<std::set<vm_id>> relaysOf(const gather_rule &Rule,
                                        const zone_lookup &Lookup) const;

  /// Whether all shards of the query are divided into slices: it has enough of
  /// them and there is another relay.
  bool isSliced(const gather_rule &Rule) const;
  /// Returns the slices of a query; empty if its shards are all queried
  /// directly.
  const std::vector<slice> &slicesOf(const gather_rule &Rule,
                                     const zone_lookup &Lookup);

private:
  bool isSlicedAcrossZones(const gather_rule &Rule) const;
  void update();

  struct planned_shard;
  struct relay_pair;
  class builder;

  slice_settings Settings;
  vm_id Self;
  std::string Zone;
  bool HasReach = true;
  std::vector<relay_peer> Peers; ///< as last set
  std::set<std::string> Zones;   ///< those with a relay, with reach or not
  /// Relays with reach, sorted by id.
  std::map<std::string, std::vector<vm_id>> RelaysByZone;
  std::vector<relay_peer> Others; ///< with reach, sorted by id
  std::map<std::vector<service_name>, std::vector<slice>> Cache;
};

} // namespace bulrush::relay
