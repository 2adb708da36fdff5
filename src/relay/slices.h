/// Which relay of the own zone asks which shards.
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

/// Shards of one query that one relay asks, by their places in the query.
struct slice {
  vm_id First;  ///< the relay that asks them
  vm_id Second; ///< where the first does not answer; 0: none
  std::vector<std::size_t> Shards;
};

struct slice_settings {
  /// Queries over fewer shards are asked by the relay that took them: what
  /// another hop costs is more than what it saves.
  std::size_t LeastShards = 40;
};

/// Cuts queries into slices. About the square root of the shards are asked by
/// each of about as many relays, so that a query's time grows with the square
/// root only. All relays of a zone agree on the slices, so that an endpoint has
/// connections from few of them.
class slice_map {
public:
  slice_map(slice_settings Settings, vm_id Self, std::string Zone)
      : Settings(Settings), Self(Self), Zone(std::move(Zone)) {}

  void setPeers(const std::vector<relay_peer> &Peers);
  /// Relays of all zones that ask the shards of one slice.
  std::size_t sharers() const;

  bool isSliced(const gather_rule &Rule) const;
  /// The slices of a query; empty when it is not sliced.
  const std::vector<slice> &slicesOf(const gather_rule &Rule);

private:
  std::vector<slice> cut(const gather_rule &Rule) const;

  slice_settings Settings;
  vm_id Self;
  std::string Zone;
  std::vector<vm_id> ZonePeers; ///< ascending, this one included
  std::size_t Zones = 1;
  std::map<std::vector<service_name>, std::vector<slice>> Known;
};

} // namespace bulrush::relay
