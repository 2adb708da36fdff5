#include "http/listener.h"

#include "telemetry/log.h"

#include <boost/asio/steady_timer.hpp>
#include <cerrno>
#include <chrono>
#include <string>

namespace bulrush::http {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using telemetry::severity;

namespace {

/// Time between two attempts to listen, and pause after an accept that failed.
constexpr std::chrono::milliseconds RetryDelay{100};
/// Time between two log lines on the same failure.
constexpr std::chrono::seconds LogInterval{10};
constexpr int Backlog = 1024;

/// Whether the same call may succeed later without a change of the settings.
/// Waiting for a condition that does not pass costs a log line; ending for one
/// that does costs the process.
bool mayPass(const error_code &Error) {
  switch (Error.value()) {
  case EAFNOSUPPORT:
  case EPROTONOSUPPORT:
  case EOPNOTSUPP:
  case EINVAL:
    return false;
  default:
    return true;
  }
}

std::string toText(const tcp::endpoint &Address) {
  return Address.address().to_string() + ':' + std::to_string(Address.port());
}

} // namespace

struct listener::state : std::enable_shared_from_this<state> {
  state(asio::io_context &Io, accept_handler OnAccepted,
        failure_handler OnAcceptFailed)
      : OnAccepted(std::move(OnAccepted)),
        OnAcceptFailed(std::move(OnAcceptFailed)), Acceptor(Io),
        RetryTimer(Io) {}

  error_code tryOpen() {
    error_code Error;
    Acceptor.open(Address.protocol(), Error);
    if (!Error)
      Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
    if (!Error)
      Acceptor.bind(Address, Error);
    if (!Error)
      Acceptor.listen(Backlog, Error);
    if (Error)
      closeAcceptor();
    return Error;
  }

  void closeAcceptor() {
    error_code Ignored;
    Acceptor.close(Ignored);
  }

  void onOpened() {
    if (HasWaited)
      telemetry::logEvent(severity::info, "listen_open",
                          {{"address", toText(Address)}});
    acceptNext();
    if (OnOpen)
      OnOpen();
  }

  void waitFor(const error_code &Error) {
    HasWaited = true;
    logFailure("listen_waiting", Error);
    retryLater([](state &Self) {
      const error_code Again = Self.tryOpen();
      if (Again)
        Self.waitFor(Again);
      else
        Self.onOpened();
    });
  }

  void acceptNext() {
    if (!Acceptor.is_open())
      return;
    Acceptor.async_accept(
        [Self = shared_from_this()](error_code Error, tcp::socket Socket) {
          if (Error == asio::error::operation_aborted || !Self->OnAccepted)
            return;
          if (Error) {
            Self->onAcceptFailed(Error);
            return;
          }
          // First, so that an exception in the handler ends no accepting.
          Self->acceptNext();
          Self->OnAccepted(std::move(Socket));
        });
  }

  void onAcceptFailed(const error_code &Error) {
    logFailure("accept_failed", Error);
    if (OnAcceptFailed)
      OnAcceptFailed(Error.message());
    retryLater([](state &Self) { Self.acceptNext(); });
  }

  template <class Step> void retryLater(Step Next) {
    RetryTimer.expires_after(RetryDelay);
    RetryTimer.async_wait(
        [Self = shared_from_this(), Next](error_code Cancelled) {
          if (!Cancelled && !Self->IsStopped)
            Next(*Self);
        });
  }

  void logFailure(const char *Event, const error_code &Error) {
    const auto Now = std::chrono::steady_clock::now();
    if (Now < NextLogAt)
      return;
    NextLogAt = Now + LogInterval;
    telemetry::logEvent(
        severity::warning, Event,
        {{"address", toText(Address)}, {"error", Error.message()}});
  }

  void drainBacklog() {
    error_code Error;
    Acceptor.non_blocking(true, Error);
    while (!Error) {
      tcp::socket Socket = Acceptor.accept(Error);
      if (!Error)
        OnAccepted(std::move(Socket));
    }
  }

  accept_handler OnAccepted; ///< empty once the listener is gone
  failure_handler OnAcceptFailed;
  open_handler OnOpen;
  tcp::endpoint Address;
  tcp::acceptor Acceptor;
  asio::steady_timer RetryTimer;
  std::chrono::steady_clock::time_point NextLogAt{};
  bool HasWaited = false;
  bool IsStopped = false;
};

listener::listener(asio::io_context &Io, accept_handler OnAccepted,
                   failure_handler OnAcceptFailed)
    : State(std::make_shared<state>(Io, std::move(OnAccepted),
                                    std::move(OnAcceptFailed))) {}

listener::~listener() {
  State->OnAccepted = nullptr;
  State->IsStopped = true;
  State->closeAcceptor();
  State->RetryTimer.cancel();
}

expected<void> listener::open(const tcp::endpoint &Address,
                              open_handler OnOpen) {
  State->Address = Address;
  State->OnOpen = std::move(OnOpen);
  const error_code Error = State->tryOpen();
  if (!Error)
    State->onOpened();
  else if (mayPass(Error))
    State->waitFor(Error);
  else
    return fail("cannot listen on " + toText(Address) + ": " + Error.message());
  return {};
}

bool listener::isOpen() const { return State->Acceptor.is_open(); }

void listener::stop() {
  if (State->IsStopped)
    return;
  State->IsStopped = true;
  State->RetryTimer.cancel();
  if (State->Acceptor.is_open())
    State->drainBacklog();
  State->closeAcceptor();
}

} // namespace bulrush::http
