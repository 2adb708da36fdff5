/// Delivers the recorded signals of the process to its event loop.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace bulrush::fleet {

/// Calls the handler with SIGHUP, SIGTERM or SIGINT, also for signals that
/// arrived before `start`; several of one kind may be reported as one. Needs
/// `telemetry::recordSignals`. Only one may exist at a time.
class signal_reader {
public:
  using signal_handler = std::function<void(int)>;

  signal_reader(boost::asio::io_context &Io, signal_handler OnSignal);
  ~signal_reader();
  signal_reader(const signal_reader &) = delete;
  signal_reader(signal_reader &&) = delete;
  signal_reader &operator=(const signal_reader &) = delete;
  signal_reader &operator=(signal_reader &&) = delete;

  /// Polls for signals as long as there is no descriptor left.
  void start();

private:
  void readNext();
  void deliver();

  boost::asio::posix::stream_descriptor Pipe;
  boost::asio::steady_timer PollTimer;
  int WriteEnd = -1;
  std::array<char, 64> Bytes{}; ///< what is read has no meaning
  signal_handler OnSignal;
};

} // namespace bulrush::fleet
