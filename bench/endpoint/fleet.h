/// All stand-in endpoints of one process, on a few threads.
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

/// What the endpoints of a deployment are started with.
struct fleet_settings {
  deployment Deployment;
  std::map<std::string, std::string>
      BehaviourOfPool; ///< JSON patches by the name of the pool
  std::uint64_t Seed = 1;
  std::size_t Threads = 2;
};

/// A snapshot that was published for a pool.
struct published_snapshot {
  pool_id Pool;
  snapshot_id Snapshot;
  std::uint32_t TotalShards = 0;
};

/// How a new snapshot reaches the endpoints of a pool.
struct publication {
  published_snapshot What;
  std::size_t Keep = 1; ///< older snapshots that an endpoint keeps
  millis Spread; ///< the endpoints take it over one after another in this time
};

/// The calls are safe from any thread but those of the endpoints.
class fleet {
public:
  /// Fails on a wrong behaviour or an address that cannot be bound. Every pool
  /// starts with snapshot 1.
  static expected<std::unique_ptr<fleet>> start(fleet_settings Settings);
  ~fleet();
  fleet(const fleet &) = delete;
  fleet &operator=(const fleet &) = delete;

  /// The endpoints named by a number, a zone, a pool or `all`; empty when there
  /// are none.
  std::vector<endpoint_id> select(const std::string &Selector) const;
  /// Runs `Visit` for each endpoint on its own thread and waits for all.
  void visit(const std::vector<endpoint_id> &Endpoints,
             const std::function<void(endpoint_server &)> &Visit);
  void publish(const publication &Publication);
  /// Every snapshot ever published, in the order of publication.
  std::vector<published_snapshot> published() const;
  const deployment &description() const;

private:
  struct impl;
  explicit fleet(std::unique_ptr<impl> Impl);
  std::unique_ptr<impl> Impl;
};

} // namespace bulrush::bench
