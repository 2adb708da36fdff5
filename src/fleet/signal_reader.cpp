#include "fleet/signal_reader.h"

#include "telemetry/process_guard.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <unistd.h>

namespace bulrush::fleet {

namespace asio = boost::asio;
using error_code = boost::system::error_code;

namespace {

/// While there is no pipe.
constexpr std::chrono::milliseconds PollInterval{100};

} // namespace

signal_reader::signal_reader(asio::io_context &Io, signal_handler OnSignal)
    : Pipe(Io), PollTimer(Io), OnSignal(std::move(OnSignal)) {}

signal_reader::~signal_reader() {
  telemetry::setSignalWakeup(-1);
  if (WriteEnd >= 0)
    ::close(WriteEnd);
}

void signal_reader::start() {
  std::array<int, 2> Ends{};
  if (::pipe2(Ends.data(), O_NONBLOCK | O_CLOEXEC) != 0) {
    PollTimer.expires_after(PollInterval);
    PollTimer.async_wait([this](error_code Error) {
      if (!Error)
        start();
    });
    deliver();
    return;
  }
  Pipe.assign(Ends[0]);
  WriteEnd = Ends[1];
  telemetry::setSignalWakeup(WriteEnd);
  readNext();
  deliver();
}

void signal_reader::readNext() {
  Pipe.async_read_some(asio::buffer(Bytes),
                       [this](error_code Error, std::size_t) {
                         if (Error)
                           return;
                         readNext();
                         deliver();
                       });
}

void signal_reader::deliver() {
  // Stops come first: an exception in a reload must not lose them.
  for (const int Number : {SIGTERM, SIGINT, SIGHUP})
    if (telemetry::takeSignal(Number))
      OnSignal(Number);
}

} // namespace bulrush::fleet
