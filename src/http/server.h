/// An HTTP/1.1 server that limits every resource a client can consume.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/error.h"
#include "bulrushtray/world.h"
#include "http/memory_budget.h"
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

constexpr std::size_t DefaultMemoryBytes = 64 << 20;

/// Address and limits of a server. Connections and requests rejected because
/// of a limit are counted in the metric `http_refused`.
struct server_settings {
  address Listen;
  /// A new connection beyond it takes the place of one that has been silent
  /// for some time; without such a one it is closed.
  std::size_t MaxConnections = 1000;
  std::size_t MaxPipelined = 64; ///< unanswered requests per connection
  std::size_t MaxBodyBytes = 1 << 20;
  /// Total size of the bodies that are being read or whose response has not
  /// been written; a request beyond it is refused with 503 at its header. A
  /// body of unknown size counts as `MaxBodyBytes` while it is read. Uploads
  /// that take long give way to it. 0: no bound.
  std::size_t MaxTotalBodyBytes = 0;
  std::size_t MaxHeaderBytes = 16 << 10;
  millis IdleTimeout{60'000}; ///< connections without unanswered requests
  millis WriteTimeout{5'000}; ///< clients that read nothing of a response
  /// Treats the requests of a client that closes its connection as cancelled.
  bool CancelOnDisconnect = false;
  /// Shared by the servers of a process; none: one of its own of
  /// `DefaultMemoryBytes`. Beyond it the newest requests are refused with 503,
  /// and slow clients lose their connections.
  std::shared_ptr<memory_budget> Budget;
};

/// Sends the response to one request; must be called exactly once, on the
/// server's thread.
using responder = std::function<void(response)>;

/// Handles the requests that a server receives.
class handler {
public:
  virtual ~handler() = default;
  /// Must call `Respond` once, now or later. Responses are sent in the order
  /// of the requests.
  virtual void handle(request Request, responder Respond) = 0;
  /// The client closed its connection before the response; only called with
  /// `CancelOnDisconnect`.
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

  /// Listens and accepts, as soon as the address can be used; see
  /// `listener::open`.
  expected<void> start();
  bool isListening() const;
  /// Stops accepting connections; those that are established, even if not yet
  /// accepted, continue to be served.
  void stopAccepting();
  /// From now on closes each connection after the response to the last request
  /// that was received on it.
  void closeAfterResponses();
  /// Soon closes the connections that have no unanswered request and no bytes
  /// of a further one.
  void closeIdle();
  /// Changes limits. A read in progress keeps the old size limits.
  void setLimits(std::size_t MaxHeaderBytes, std::size_t MaxBodyBytes,
                 millis IdleTimeout);
  /// Number of requests whose response has not been written completely.
  std::size_t inFlightRequests() const;
  /// Number of open connections, including those that wait for the client to
  /// close them.
  std::size_t connectionCount() const;

private:
  std::shared_ptr<detail::server_state> State;
};

} // namespace bulrush::http
