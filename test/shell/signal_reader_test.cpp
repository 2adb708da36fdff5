#include "fleet/signal_reader.h"

#include "fleet/handler_guard.h"
#include "telemetry/process_guard.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <new>

using namespace bulrush;

namespace asio = boost::asio;

// Guards against a SIGTERM that is never delivered because a reload that came
// with it threw.
TEST_CASE("a signal is delivered although the handler of another throws",
          "[signal_reader]") {
  telemetry::recordSignals();
  asio::io_context Io;
  telemetry::metrics Metrics;
  fleet::handler_guard Guard(Metrics);
  bool IsStopped = false;
  fleet::signal_reader Signals(Io, [&](int Number) {
    if (Number == SIGHUP)
      throw std::bad_alloc();
    IsStopped = true;
  });
  Signals.start();
  asio::post(Io, [] {
    ::raise(SIGHUP);
    ::raise(SIGTERM);
  });
  asio::steady_timer End(Io, std::chrono::milliseconds(300));
  End.async_wait([&](boost::system::error_code) { Io.stop(); });
  Guard.run(Io);
  CHECK(IsStopped);
  for (const int Number : {SIGHUP, SIGTERM, SIGINT})
    std::signal(Number, SIG_DFL);
}
