/// HTTP server of one stand-in endpoint, which is simulated by an
/// `endpoint_model`.
#pragma once

#include "bulrushtray/error.h"
#include "bulrushtray/world.h"
#include "model.h"

#include <cstdint>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace bulrush::bench {

/// Runs on the thread of its `io_context`; after `start`, all calls must be
/// made on that thread.
class endpoint_server {
public:
  endpoint_server(boost::asio::io_context &Io, endpoint Endpoint,
                  const endpoint_behaviour &Behaviour, std::uint64_t Seed);
  ~endpoint_server();
  endpoint_server(const endpoint_server &) = delete;
  endpoint_server &operator=(const endpoint_server &) = delete;

  /// Binds and listens on the address of the endpoint. Errors name the address.
  expected<void> start();
  /// Passes one event, such as `turn_cold`, to the model.
  void apply(const event &Event);
  const endpoint_model &model() const;
  const endpoint &description() const;

private:
  struct impl;
  std::shared_ptr<impl> Impl;
};

/// Wall clock time, in milliseconds since 1970, at `instant{0}` of the
/// monotonic clock.
double wallClockAtZero();

} // namespace bulrush::bench
