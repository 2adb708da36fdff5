/// Kept HTTP/1.1 connections to one server.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/world.h"
#include "http/message.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace bulrush::http {

namespace detail {
struct client_state;
} // namespace detail

struct client_settings {
  address Server;
  std::size_t MaxConnections = 8;
  std::size_t MaxWaiting = 1000; ///< requests that wait for a connection
  std::size_t MaxBodyBytes = 4 << 20;
  /// Whether a request that finds its connection closed by the server fails
  /// with `connect_failed`, as a sign of a restart, or opens another one.
  bool FailWhenClosed = false;
  millis IdleTimeout{30'000}; ///< after this an unused connection is closed
  millis ExchangeTimeout{
      60'000}; ///< after this the connection is closed and the exchange is lost
};

/// How one exchange ended.
enum class exchange_status {
  done,           ///< the response is there
  connect_failed, ///< nothing was sent
  not_sent, ///< no connection was free and too many requests wait; nothing was
            ///< sent
  lost ///< the connection broke after sending began: the server may have run it
};

struct exchange_result {
  exchange_status Status = exchange_status::lost;
  response Response;
};

using exchange_handler = std::function<void(exchange_result)>;

/// Runs on the thread of its `io_context`; handlers are never called from
/// within `send`.
class client {
public:
  client(boost::asio::io_context &Io, client_settings Settings);
  ~client();
  client(const client &) = delete;
  client &operator=(const client &) = delete;

  /// Sends on an idle connection, or opens one while fewer than the bound are
  /// open, or waits for one.
  void send(request Request, exchange_handler Done);
  /// Opens connections until `Count` are open, within the bound.
  void warm(std::size_t Count);
  /// Closes the connections that run no exchange.
  void closeIdle();
  /// Open connections, those being opened included.
  std::size_t open() const;

private:
  std::shared_ptr<detail::client_state> State;
};

} // namespace bulrush::http
