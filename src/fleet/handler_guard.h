/// Keeps an exception in one handler from ending the process.
#pragma once

#include "telemetry/log.h"
#include "telemetry/metrics.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <exception>

namespace bulrush::fleet {

/// Logs and counts the exceptions that leave handlers, at most one line a
/// second. Metrics must outlive it.
class handler_guard {
public:
  explicit handler_guard(telemetry::metrics &Metrics) : Metrics(Metrics) {}

  /// Calls `Handler`; returns false if it threw.
  template <class Function> bool call(Function Handler) {
    try {
      Handler();
      return true;
    } catch (const std::exception &Error) {
      onException(Error.what());
    } catch (...) {
      onException("not a std::exception");
    }
    return false;
  }

  /// Runs the event loop until it is stopped, whatever its handlers throw.
  void run(boost::asio::io_context &Io) {
    while (!call([&Io] { Io.run(); })) {
    }
  }

private:
  static constexpr std::chrono::seconds LogInterval{1};

  void onException(const char *What) {
    Metrics.add("handlers_failed", "");
    const auto Now = std::chrono::steady_clock::now();
    if (Now < NextLogAt)
      return;
    NextLogAt = Now + LogInterval;
    telemetry::logEvent(telemetry::severity::error, "handler_failed",
                        {{"error", What}});
  }

  telemetry::metrics &Metrics;
  std::chrono::steady_clock::time_point NextLogAt{};
};

} // namespace bulrush::fleet
