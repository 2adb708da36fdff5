/// An HTTP/1.1 client with a pool of keep-alive connections to one server.
///
/// A response ends as `malformed_response` if its head is longer than 8 KiB,
/// a chunk header with its extensions or the trailers longer than 16 KiB, or
/// its body longer than `MaxBodyBytes`, or if its status is not one of HTTP.
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
  std::size_t MaxWaiting = 1000; ///< requests queued for a connection
  std::size_t MaxBodyBytes = 4 << 20;
  /// If an idle connection turns out to be closed by the server, fails the
  /// request with `connect_failed`, since the server may have restarted.
  /// Otherwise the request uses another connection. If set, neither the idle
  /// limit nor `connection_choice` is applied.
  bool FailWhenClosed = false;
  millis IdleTimeout{30'000}; ///< idle connections are closed after this
  /// Idle connections in excess of `MinIdle` are closed after `SpareTimeout`.
  std::size_t MinIdle = SIZE_MAX;
  millis SpareTimeout{0};
  /// If the server refuses a new connection, or closes it before its first
  /// response, while others are open, no connection is opened for this long
  /// unless none is left.
  millis ConnectBackoff{0};
  millis ConnectTimeout{0}; ///< 0: the operating system's default
  /// A connection is closed when sent bytes stay unacknowledged for this long
  /// (TCP_USER_TIMEOUT); 0: the operating system's default.
  millis UnackedTimeout{0};
  millis SweepInterval{1'000}; ///< between two checks of the timeouts
  /// Request header that the server copies into its response. A response with
  /// a different value, or without one where the request has one, belongs to an
  /// earlier request and is skipped. A request whose value is that of an
  /// earlier one with an error response is sent on another connection, where no
  /// further copy of that response can arrive.
  std::string EchoHeader;
  /// An exchange that takes longer ends as `lost`; its connection is closed.
  millis ExchangeTimeout{60'000};
};

/// How one exchange ended.
enum class exchange_status {
  done,            ///< a response was received
  connect_failed,  ///< no connection; nothing was sent
  connect_refused, ///< like `connect_failed`; the server's machine answers, but
                   ///< accepts no new connection
  not_sent,        ///< the queue for a connection was full, or the exchange was
                   ///< withdrawn; nothing was sent
  lost, ///< the connection broke after sending began; the server may have run
        ///< the request
  connection_rejected, ///< like `lost`, on a new connection while others are
                       ///< open
  stale_connection,  ///< like `lost`, right after sending on a connection that
                     ///< had been idle: the server had dropped it
  malformed_response ///< the response was incomplete or could not be parsed
};

/// Identifies an exchange within one client.
using exchange_id = std::uint64_t;

struct exchange_result {
  exchange_status Status = exchange_status::lost;
  response Response;
  millis ConnectionWait{}; ///< time spent waiting for a connection
  millis ResponseTime{};   ///< from start of sending to end of response
};

using exchange_handler = std::function<void(exchange_result)>;

/// Which connections may carry an exchange.
enum class connection_choice : std::uint8_t {
  any,
  fresh, ///< a new one, or one that was used a moment ago
  idle   ///< an idle one; the exchange ends as `not_sent` if there is none
};

/// Runs on the thread of its `io_context`. `send` never calls a handler
/// directly.
class client {
public:
  client(boost::asio::io_context &Io, client_settings Settings);
  ~client();
  client(const client &) = delete;
  client &operator=(const client &) = delete;

  /// Sends on an idle connection. If there is none, queues the request and
  /// opens a connection unless `MaxConnections` are open.
  exchange_id send(request Request, exchange_handler Done,
                   connection_choice Choice = connection_choice::any);
  /// Cancels an exchange: its handler is not called, and its connection is
  /// closed so that the server can stop working on the request.
  void cancel(exchange_id Exchange);
  /// Ends the exchanges that wait for a connection as `not_sent` and closes all
  /// idle connections.
  void withdraw();
  /// Changes `MaxConnections` and closes idle connections in excess of it.
  void setMaxConnections(std::size_t Count);
  /// Opens connections until `Count` are open, at most `MaxConnections`.
  void preconnect(std::size_t Count);
  /// Closes all idle connections.
  void closeIdle();
  /// Number of connections, including those still connecting.
  std::size_t connectionCount() const;

private:
  std::shared_ptr<detail::client_state> State;
};

} // namespace bulrush::http
