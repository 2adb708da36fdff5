#include "fleet/frame_acceptor.h"

#include "telemetry/log.h"

namespace bulrush::fleet {

namespace asio = boost::asio;
using error_code = boost::system::error_code;

namespace {

/// Pause after an accept that failed, such as for want of descriptors.
constexpr auto RetryDelay = std::chrono::milliseconds(100);

} // namespace

frame_acceptor::frame_acceptor(asio::io_context &Io, accept_handler Handler)
    : OnAccepted(std::move(Handler)), Acceptor(Io), RetryTimer(Io) {}

expected<void> frame_acceptor::listen(const asio::ip::tcp::endpoint &Address) {
  error_code Error;
  Acceptor.open(Address.protocol(), Error);
  if (!Error)
    Acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind(Address, Error);
  if (!Error)
    Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  if (Error)
    return bulrush::fail("cannot listen on " + Address.address().to_string() +
                         ':' + std::to_string(Address.port()) + ": " +
                         Error.message());
  acceptNext();
  return {};
}

void frame_acceptor::acceptNext() {
  Acceptor.async_accept([this](error_code Error, asio::ip::tcp::socket Socket) {
    if (Error == asio::error::operation_aborted)
      return;
    if (Error) {
      retryLater(Error);
      return;
    }
    OnAccepted(std::move(Socket));
    acceptNext();
  });
}

void frame_acceptor::retryLater(const error_code &Error) {
  telemetry::logEvent(telemetry::severity::warning, "accept_failed",
                      {{"error", Error.message()}});
  RetryTimer.expires_after(RetryDelay);
  RetryTimer.async_wait([this](error_code Cancelled) {
    if (!Cancelled)
      acceptNext();
  });
}

} // namespace bulrush::fleet
