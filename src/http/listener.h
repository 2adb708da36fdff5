/// Listens on an address and accepts connections.
#pragma once

#include "bulrushtray/error.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace bulrush::http {

/// Runs on the thread of its `io_context`. Its handlers are not called after
/// its end; the accept handler must not destroy it.
class listener {
public:
  using accept_handler = std::function<void(boost::asio::ip::tcp::socket)>;
  using open_handler = std::function<void()>;
  /// Gets the message of an accept that failed; the next one follows later.
  using failure_handler = std::function<void(const std::string &)>;

  listener(boost::asio::io_context &Io, accept_handler OnAccepted,
           failure_handler OnAcceptFailed = {});
  ~listener();
  listener(const listener &) = delete;
  listener(listener &&) = delete;
  listener &operator=(const listener &) = delete;
  listener &operator=(listener &&) = delete;

  /// Binds, listens and accepts. While the address is in use, not there yet or
  /// not permitted, or a resource has run out, tries again until it succeeds or
  /// `stop` is called; then calls `OnOpen`. Returns an error, which includes
  /// the address, only for a condition that does not pass.
  expected<void> open(const boost::asio::ip::tcp::endpoint &Address,
                      open_handler OnOpen = {});
  bool isOpen() const;
  /// Accepts the connections that the kernel has established, which would be
  /// reset otherwise, and closes the listening socket. Accepted connections
  /// whose handler has not run yet are still handled.
  void stop();

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace bulrush::http
