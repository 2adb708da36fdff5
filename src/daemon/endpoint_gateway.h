/// The client side of the endpoint protocol (docs/ENDPOINTS.md), used by the
/// owner core.
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

/// Called on the I/O thread with each reply, failure or health result.
using owner_event_handler = std::function<void(query::owner_event)>;

/// Manages the connections to the endpoints that this daemon sends requests to.
/// Never opens more connections to an endpoint than its configured limit. Runs
/// on the thread of its `io_context`.
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

  /// Opens connections to a newly granted endpoint, so that the first requests
  /// do not wait for a connect.
  void preconnect(endpoint_id Endpoint);
  /// Closes the idle connections to an endpoint that is no longer owned.
  void retire(endpoint_id Endpoint);

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace bulrush::daemon
