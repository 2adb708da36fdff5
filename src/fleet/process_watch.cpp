#include "fleet/process_watch.h"

#include "fleet/process_start.h"
#include "telemetry/log.h"

#include <csignal>

namespace bulrush::fleet {

namespace {

using telemetry::severity;

/// Polling interval for settings that change without SIGHUP.
constexpr millis PollInterval{2000};

} // namespace

process_watch::process_watch(boost::asio::io_context &Io,
                             std::shared_ptr<settings_source> Given,
                             std::uint64_t ReadStamp,
                             settings_handler OnSettings, stop_handler OnStop)
    : Settings(std::move(Given)), OnSettings(std::move(OnSettings)),
      OnStop(std::move(OnStop)),
      Signals(Io, [this](int Number) { onSignal(Number); }), Timer(Io),
      Stamp(ReadStamp) {}

void process_watch::start() {
  Signals.start();
  poll();
}

void process_watch::onSignal(int Number) {
  if (Number == SIGHUP) {
    reload();
    return;
  }
  telemetry::logEvent(severity::info, "stop_signal", {{"signal", Number}});
  OnStop();
}

void process_watch::poll() {
  Timer.expires_after(toChrono(PollInterval));
  Timer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      poll();
  });
  if (MustRead || Settings->stamp() != Stamp)
    reload();
}

void process_watch::reload() {
  Stamp = Settings->stamp();
  const auto Read = Settings->read();
  MustRead = !Read;
  if (!Read) {
    logRefusal(Read.error().Message);
    return;
  }
  LastRefusal.clear();
  telemetry::logEvent(severity::info, "settings_reloaded",
                      {{"seeds", Read->Seeds.size()}});
  OnSettings(*Read);
}

void process_watch::logRefusal(const std::string &Message) {
  if (Message == LastRefusal)
    return;
  LastRefusal = Message;
  telemetry::logEvent(severity::error, "settings_refused",
                      {{"error", Message}});
}

} // namespace bulrush::fleet
