/// Accepts TCP connections that carry frames.
#pragma once

#include "bulrushtray/error.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace bulrush::fleet {

/// Runs on the thread of its `io_context`, which must not run after the
/// acceptor's end.
class frame_acceptor {
public:
  using accept_handler = std::function<void(boost::asio::ip::tcp::socket)>;

  frame_acceptor(boost::asio::io_context &Io, accept_handler OnAccepted);

  /// Binds, listens and accepts. Error messages include the address.
  expected<void> listen(const boost::asio::ip::tcp::endpoint &Address);

private:
  void acceptNext();
  void retryLater(const boost::system::error_code &Error);

  accept_handler OnAccepted;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer RetryTimer;
};

} // namespace bulrush::fleet
