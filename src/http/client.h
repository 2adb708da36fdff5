/// Kept HTTP/1.1 connections to one server.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/world.h"
#include "http/message.h"

#include <cstddef>
#include <cstdint>
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
  /// Idle connections beyond `MinIdle` are closed after `SpareTimeout`.
  std::size_t MinIdle = SIZE_MAX;
  millis SpareTimeout{0};
  /// After a new connection was closed by the server before any response, no
  /// further one is opened for so long while another is open.
  millis ConnectBackoff{0};
  millis ConnectTimeout{0}; ///< 0: the operating system's
  /// Unacknowledged bytes close the connection after this; 0: the operating
  /// system's.
  millis UnackedTimeout{0};
  millis SweepInterval{1'000}; ///< between two looks at the timeouts
  /// A header that the server copies into its response. A response with another
  /// value belongs to an earlier request and is passed over.
  std::string EchoHeader;
  millis ExchangeTimeout{
      60'000}; ///< after this the connection is closed and the exchange is lost
};

/// How one exchange ended.
enum class exchange_status {
  done,           ///< the response is there
  connect_failed, ///< nothing was sent
  not_sent, ///< no connection was free and too many requests wait; nothing was
            ///< sent
  lost, ///< the connection broke after sending began: the server may have run
        ///< it
  connection_rejected, ///< like `lost`, on a new connection, while others are
                       ///< open
  stale_connection,  ///< like `lost`, at once on a connection that had rested:
                     ///< the server had let go of it
  malformed_response ///< what came is no whole response
};

/// Names an exchange of one client.
using exchange_id = std::uint64_t;

struct exchange_result {
  exchange_status Status = exchange_status::lost;
  response Response;
  millis ConnectionWait{}; ///< it waited so long for a connection
  millis
      ResponseTime{}; ///< from the request's first byte to the response's end
};

using exchange_handler = std::function<void(exchange_result)>;

/// Which connections may carry an exchange.
enum class connection_choice : std::uint8_t {
  any,
  fresh ///< a new one, or one that was in use just before
};

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
  exchange_id send(request Request, exchange_handler Done,
                   connection_choice Choice = connection_choice::any);
  /// Gives an exchange up: its handler is not called, and its connection is
  /// closed so that the server may stop work.
  void cancel(exchange_id Exchange);
  /// Open connections are at most so many from now on.
  void setMaxConnections(std::size_t Count);
  /// Opens connections until `Count` are open, within the bound.
  void preconnect(std::size_t Count);
  /// Closes the connections that run no exchange.
  void closeIdle();
  /// Open connections, those being opened included.
  std::size_t open() const;

private:
  std::shared_ptr<detail::client_state> State;
};

} // namespace bulrush::http
