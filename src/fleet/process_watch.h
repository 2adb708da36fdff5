/// Watches signals and settings changes for a daemon.
#pragma once

#include "fleet/adapter.h"
#include "fleet/signal_reader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace bulrush::fleet {

/// Reloads the settings on SIGHUP and when polling finds them changed. Settings
/// that cannot be read are logged and ignored. Calls the stop handler on
/// SIGTERM and SIGINT. Runs on the thread of its `io_context`.
class process_watch {
public:
  using settings_handler = std::function<void(const process_settings &)>;
  using stop_handler = std::function<void()>;

  /// `ReadStamp` is the stamp of the settings from before they were read.
  process_watch(boost::asio::io_context &Io,
                std::shared_ptr<settings_source> Settings,
                std::uint64_t ReadStamp, settings_handler OnSettings,
                stop_handler OnStop);

  void start();

private:
  void onSignal(int Number);
  void poll();
  void reload();
  /// Logs an error once until it changes.
  void logRefusal(const std::string &Message);

  std::shared_ptr<settings_source> Settings;
  settings_handler OnSettings;
  stop_handler OnStop;
  signal_reader Signals;
  boost::asio::steady_timer Timer;
  std::uint64_t Stamp;
  bool MustRead = false; ///< at the next poll, whatever the stamp is
  std::string LastRefusal;
};

} // namespace bulrush::fleet
