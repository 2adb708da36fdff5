/// Speaks the endpoint protocol (docs/ENDPOINTS.md) for the owner core.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/world.h"
#include "query/owner_events.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace bulrush::telemetry {
class metrics;
} // namespace bulrush::telemetry

namespace bulrush::daemon {

/// Called on the I/O thread with each result.
using owner_event_handler = std::function<void(query::owner_event)>;

/// Connections to the endpoints that this daemon sends to. Never opens more to
/// one endpoint than it accepts. Runs on the thread of its `io_context`.
class endpoint_gateway {
public:
  endpoint_gateway(boost::asio::io_context &Io, const deployment &Deployment,
                   const clock_source &Clock, telemetry::metrics &Metrics,
                   owner_event_handler OnEvent);
  ~endpoint_gateway();
  endpoint_gateway(const endpoint_gateway &) = delete;
  endpoint_gateway &operator=(const endpoint_gateway &) = delete;

  void run(const query::send_to_endpoint &Send);
  void run(const query::cancel_at_endpoint &Cancel);
  void run(const query::probe_health &Probe);

  /// Opens connections to an endpoint that was granted, so that the first
  /// requests need not wait for them.
  void warm(endpoint_id Endpoint);
  /// Closes the connections to an endpoint once they are idle.
  void retire(endpoint_id Endpoint);

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace bulrush::daemon
