/// Forwards client requests to endpoints: looks up the route, selects an
/// endpoint, hedges and retries within the service's budget, merges the replies
/// of a query over many shards, and sends one answer for each request.
#pragma once

#include "relay/events.h"

#include <memory>

namespace bulrush::relay {

/// Current values for the metrics of the relay.
struct relay_gauges {
  std::size_t Requests = 0; ///< not answered yet
  std::size_t Waiting = 0;  ///< those with a part that waits to be sent
  std::size_t InFlight = 0; ///< attempts without a reply yet
  std::size_t Endpoints = 0;
  std::size_t Cold = 0;              ///< endpoints that are warming up
  std::size_t Suspects = 0;          ///< endpoints that receive probes only
  std::size_t UnresponsivePeers = 0; ///< relays that are currently skipped
  std::size_t Quarantined = 0;       ///< requests that no endpoint gets
  bool IsReachLost = false;          ///< this relay reaches no endpoint
};

/// Routing logic of one relay process, without I/O. Deterministic for a given
/// seed and sequence of events. Example:
///
///     relay Relay(Settings, Seed);
///     relay_actions Out;
///     Relay.step(request_arrived{...}, Now, Out);
class relay {
public:
  relay(relay_settings Settings, std::uint64_t Seed);
  ~relay();
  relay(relay &&) noexcept;
  relay &operator=(relay &&) noexcept;

  /// Processes one event and appends the resulting actions to `Out`, in the
  /// order in which to perform them. `Now` must not decrease between calls.
  void step(const relay_event &Event, instant Now, relay_actions &Out);

  /// Number of requests that have not been answered yet, including the shard
  /// requests of other relays that are in progress.
  std::size_t active() const;
  /// Whether both a catalog and an endpoint directory have been received.
  bool isReady() const;
  /// Version of the current catalog, or the default value without one.
  catalog_version version() const;
  relay_gauges gauges(instant Now) const;
  /// Counters of the accounts that have a quota.
  std::map<account_name, quota_counters> quotas(instant Now) const;

private:
  class impl;
  std::unique_ptr<impl> Impl;
};

} // namespace bulrush::relay
