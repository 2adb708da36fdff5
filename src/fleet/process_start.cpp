#include "fleet/process_start.h"

#include "telemetry/log.h"
#include "telemetry/process_guard.h"

#include <random>
#include <thread>

namespace bulrush::fleet {

namespace {

constexpr std::chrono::milliseconds SettingsRetryDelay{50};
constexpr int MaxSettingsReads = 20;

} // namespace

expected<process_settings> readSettings(settings_source &Source) {
  auto Settings = Source.read();
  for (int Reads = 1; !Settings && Reads < MaxSettingsReads; ++Reads) {
    std::this_thread::sleep_for(SettingsRetryDelay);
    Settings = Source.read();
  }
  return Settings;
}

int failStart(const error &Error) {
  telemetry::logEvent(telemetry::severity::error, "start_failed",
                      {{"error", Error.Message}});
  return 1;
}

void startProcessLog(const std::string &Process) {
  telemetry::setProcessName(Process);
  telemetry::log_settings Settings;
  Settings.Process = Process;
  Settings.ToStandardOutput = true;
  telemetry::startLog(Settings);
}

std::uint64_t drawSeed() {
  std::random_device Source;
  return (static_cast<std::uint64_t>(Source()) << 32) | Source();
}

std::uint64_t unixMillis() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Now).count());
}

http::server_settings metricsSettings(const process_settings &Settings) {
  http::server_settings Out;
  Out.Listen = {Settings.Ip, Settings.MetricsPort};
  Out.MaxConnections = 16;
  return Out;
}

} // namespace bulrush::fleet
