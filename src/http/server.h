/// An HTTP/1.1 server with bounds on everything that a client could make grow.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/error.h"
#include "bulrushtray/world.h"
#include "http/message.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace bulrush::telemetry {
class metrics;
} // namespace bulrush::telemetry

namespace bulrush::http {

namespace detail {
struct server_state;
} // namespace detail

/// Bounds of one server. Each refusal is counted as `http_refused`.
struct server_settings {
  address Listen;
  std::size_t MaxConnections = 1000;
  std::size_t MaxPipelined = 64; ///< unanswered requests of one connection
  std::size_t MaxBodyBytes = 1 << 20;
  std::size_t MaxHeaderBytes = 16 << 10;
  millis IdleTimeout{60'000}; ///< no request and none in work
  millis WriteTimeout{5'000}; ///< a client that does not read its answers
  /// Whether a client that closes its connection is taken to want no answer.
  bool CancelOnDisconnect = false;
};

/// Gives the answer to one request; must be called once, on the server's
/// thread.
using responder = std::function<void(response)>;

/// What the server's owner does with requests.
class handler {
public:
  virtual ~handler() = default;
  /// Answers now or later by calling `Respond` once. Answers leave in the order
  /// of the requests.
  virtual void handle(request Request, responder Respond) = 0;
  /// The client of a request has left, with `CancelOnDisconnect`; its answer is
  /// wanted no longer.
  virtual void onClientDisconnected(request_token) {}
};

/// Runs on the thread of its `io_context`.
class server {
public:
  /// `Handler` and `Metrics` must outlive the server.
  server(boost::asio::io_context &Io, server_settings Settings,
         handler &Handler, telemetry::metrics &Metrics);
  ~server();
  server(const server &) = delete;
  server &operator=(const server &) = delete;

  /// Binds and listens. The error names the address.
  expected<void> start();
  /// Accepts no more connections; those open go on until their answers are out.
  void stopAccepting();
  /// From now on each answer is the last one of its connection.
  void closeAfterResponses();
  /// Closes the connections on which no request is under way.
  void closeIdle();
  /// What clients may send from now on.
  void setLimits(std::size_t MaxHeaderBytes, std::size_t MaxBodyBytes,
                 millis IdleTimeout);
  /// Requests that were handed to the handler and are not yet written out.
  std::size_t inFlightRequests() const;

private:
  std::shared_ptr<detail::server_state> State;
};

} // namespace bulrush::http
