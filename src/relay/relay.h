/// Forwards clients' requests to endpoints: finds the route, chooses an
/// endpoint, hedges and tries again within the service's budget, gathers the
/// parts of a query over many shards, and gives each request one answer.
#pragma once

#include "relay/events.h"

#include <memory>

namespace bulrush::relay {

/// What a daemon holds at a moment.
struct relay_gauges {
  std::size_t Requests = 0; ///< without an answer yet
  std::size_t Waiting = 0;  ///< of these, with a part that nothing can take
  std::size_t InFlight = 0; ///< attempts
  std::size_t Endpoints = 0;
  std::size_t Cold = 0;
  std::size_t Suspects = 0;
  std::size_t UnresponsivePeers = 0;
};

/// The decisions of one daemon; deterministic. Example:
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

  /// Takes one event and appends what is to be done, in order. `Now` must not
  /// go back.
  void step(const relay_event &Event, instant Now, relay_actions &Out);

  /// Requests without an answer yet.
  std::size_t active() const;
  /// Whether a catalog and a directory are known.
  bool isReady() const;
  catalog_version version() const;
  relay_gauges gauges(instant Now) const;

private:
  class impl;
  std::unique_ptr<impl> Impl;
};

} // namespace bulrush::relay
