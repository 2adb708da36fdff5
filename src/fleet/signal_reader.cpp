#include "fleet/signal_reader.h"

#include "telemetry/process_guard.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <unistd.h>

namespace bulrush::fleet {

namespace asio = boost::asio;
using error_code = boost::system::error_code;

signal_reader::signal_reader(asio::io_context &Io, signal_handler OnSignal)
    : Pipe(Io), OnSignal(std::move(OnSignal)) {}

signal_reader::~signal_reader() {
  telemetry::setSignalWakeup(-1);
  if (WriteEnd >= 0)
    ::close(WriteEnd);
}

void signal_reader::start() {
  std::array<int, 2> Ends{};
  if (::pipe2(Ends.data(), O_NONBLOCK | O_CLOEXEC) != 0)
    throw boost::system::system_error({errno, boost::system::system_category()},
                                      "pipe for signals");
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
  for (const int Number : {SIGHUP, SIGTERM, SIGINT})
    if (telemetry::takeSignal(Number))
      OnSignal(Number);
}

} // namespace bulrush::fleet
