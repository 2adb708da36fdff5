/// All stand-in endpoints of a process, spread over a few threads.
#pragma once

#include "bulrushtray/world.h"
#include "endpoint_server.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bulrush::bench {

/// Settings for starting all endpoints of a deployment.
struct fleet_settings {
  deployment Deployment;
  /// JSON patch of the behaviour, by pool name.
  std::map<std::string, std::string> BehaviourByPool;
  std::uint64_t Seed = 1;
  std::size_t Threads = 2;
};

/// A snapshot published for a pool.
struct published_snapshot {
  pool_id Pool;
  snapshot_id Snapshot;
  std::uint32_t TotalShards = 0;
};

/// The rollout of a new snapshot to the endpoints of a pool.
struct publication {
  published_snapshot NewSnapshot;
  std::size_t Keep = 1; ///< number of older snapshots that an endpoint keeps
  millis RolloutTime;   ///< time over which the endpoints install it in turn
};

/// Can be called from any thread except those that run the endpoints.
class fleet {
public:
  /// Starts all endpoints; every pool starts with snapshot 1. Fails if a
  /// behaviour is invalid or an address cannot be bound.
  static expected<std::unique_ptr<fleet>> start(fleet_settings Settings);
  ~fleet();
  fleet(const fleet &) = delete;
  fleet &operator=(const fleet &) = delete;

  /// Returns the endpoints that match `Selector`: an endpoint number, the name
  /// of a zone or pool, or `all`.
  std::vector<endpoint_id> select(const std::string &Selector) const;
  /// Calls `Visit` for each endpoint on the thread of the endpoint and waits
  /// for all of them.
  void visit(const std::vector<endpoint_id> &Endpoints,
             const std::function<void(endpoint_server &)> &Visit);
  /// Assigns the shards of a new snapshot and schedules its installation.
  void publish(const publication &Publication);
  /// Returns all published snapshots in the order of publication.
  std::vector<published_snapshot> published() const;
  const deployment &description() const;

private:
  struct impl;
  explicit fleet(std::unique_ptr<impl> Impl);
  std::unique_ptr<impl> Impl;
};

} // namespace bulrush::bench
