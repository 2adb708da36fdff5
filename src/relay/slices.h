/// Which relay asks which shards of a query.
#pragma once

#include "bulrushtray/ids.h"
#include "relay/catalog.h"

#include <map>
#include <string>
#include <vector>

namespace bulrush::relay {

/// A relay daemon.
struct relay_peer {
  vm_id Vm;
  std::string Zone;

  bool operator==(const relay_peer &) const = default;
};

/// Tells where the endpoints of a service are.
class zone_lookup {
public:
  virtual ~zone_lookup() = default;
  /// The zones of its endpoints that may get work, each once.
  virtual std::vector<std::string>
  zonesOf(const service_name &Service) const = 0;
};

/// Shards of one query that one relay asks, by their places in the query.
struct slice {
  vm_id Primary;            ///< the relay that asks them
  vm_id Backup;             ///< where the first does not answer; 0: none
  bool IsCrossZone = false; ///< these relays are in another zone
  std::vector<std::size_t> Shards;
};

struct slice_settings {
  /// Queries over fewer shards are asked by the relay that took them: what
  /// another hop costs is more than what it saves.
  std::size_t MinShards = 40;
};

/// Cuts queries into slices. About the square root of the shards are asked by
/// each of about as many relays, so that a query's time grows with the square
/// root only. A shard is asked by a relay of a zone that holds an endpoint of
/// it, the own zone where that does, so that only merged records travel between
/// zones. All relays agree on who asks what, so that an endpoint has
/// connections from few of them.
class slice_planner {
public:
  slice_planner(slice_settings Settings, vm_id Self, std::string Zone)
      : Settings(Settings), Self(Self), Zone(std::move(Zone)) {}

  void setPeers(const std::vector<relay_peer> &Peers);
  /// Endpoints have come or gone.
  void clearCache() { Known.clear(); }
  /// Relays of all zones that ask the same shards.
  std::size_t relaysPerShard() const;

  bool isSliced(const gather_rule &Rule) const;
  /// The slices of a query; empty when it is not sliced.
  const std::vector<slice> &slicesOf(const gather_rule &Rule,
                                     const zone_lookup &Places);

private:
  struct shard_place;
  struct slice_relays;
  class cutter;

  slice_settings Settings;
  vm_id Self;
  std::string Zone;
  std::map<std::string, std::vector<vm_id>> Relays; ///< by zone, ascending
  std::map<std::vector<service_name>, std::vector<slice>> Known;
};

} // namespace bulrush::relay
