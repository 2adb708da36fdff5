/// One stand-in endpoint on its own port: HTTP around an `endpoint_model`.
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

/// Runs on the thread of its `io_context`, as must every call after `start`.
class endpoint_server {
public:
  endpoint_server(boost::asio::io_context &Io, endpoint Endpoint,
                  const endpoint_behaviour &Behaviour, std::uint64_t Seed);
  ~endpoint_server();
  endpoint_server(const endpoint_server &) = delete;
  endpoint_server &operator=(const endpoint_server &) = delete;

  /// Binds and listens. The error names the address.
  expected<void> start();
  /// Feeds one event of an experiment, such as `turn_cold`.
  void apply(const event &Event);
  const endpoint_model &model() const;
  const endpoint &description() const;

private:
  struct impl;
  std::shared_ptr<impl> Impl;
};

/// Wall clock milliseconds since 1970 of the monotonic clock's zero.
double wallOfZero();

} // namespace bulrush::bench
