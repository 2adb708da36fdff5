#include "fleet/process_start.h"

#include "fleet/voter_links.h"
#include "telemetry/log.h"
#include "telemetry/process_guard.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <csignal>
#include <random>
#include <thread>

namespace bulrush::fleet {

namespace {

constexpr std::chrono::milliseconds SettingsRetryDelay{50};
/// Time between two log lines on settings that are waited for.
constexpr std::chrono::seconds WaitLogInterval{5};
/// Part of the memory of a process that its clients' requests and responses may
/// take; the rest is for copies of them and for state.
constexpr std::size_t ClientMemoryShare = 2;

/// Whether the process can use its addresses.
expected<void> checkAddresses(const process_settings &Settings,
                              const listen_addresses &Listens) {
  if (!vmFromIp(Settings.Ip))
    return fail("ip: not an IPv4 address: " + Settings.Ip);
  for (const auto Each : Listens) {
    boost::system::error_code Error;
    const std::string &Host = (Settings.*Each).Host;
    boost::asio::ip::make_address(Host, Error);
    if (Error)
      return fail("listen: not an IP address: " + Host);
  }
  return {};
}

expected<process_settings> readUsable(settings_source &Source,
                                      const listen_addresses &Listens) {
  auto Settings = Source.read();
  if (!Settings)
    return Settings;
  if (auto Checked = checkAddresses(*Settings, Listens); !Checked)
    return fail(Checked.error());
  return Settings;
}

bool takeStopSignal() {
  for (const int Number : {SIGTERM, SIGINT}) {
    if (!telemetry::takeSignal(Number))
      continue;
    telemetry::logEvent(telemetry::severity::info, "stop_signal",
                        {{"signal", Number}});
    return true;
  }
  return false;
}

} // namespace

std::optional<process_settings> awaitSettings(settings_source &Source,
                                              const listen_addresses &Listens) {
  std::chrono::steady_clock::time_point NextLogAt{};
  for (;;) {
    auto Settings = readUsable(Source, Listens);
    if (Settings)
      return std::move(*Settings);
    const auto Now = std::chrono::steady_clock::now();
    if (Now >= NextLogAt) {
      NextLogAt = Now + WaitLogInterval;
      telemetry::logEvent(telemetry::severity::warning, "settings_waiting",
                          {{"error", Settings.error().Message}});
    }
    if (takeStopSignal())
      return std::nullopt;
    std::this_thread::sleep_for(SettingsRetryDelay);
  }
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

std::shared_ptr<http::memory_budget>
makeMemoryBudget(const process_settings &Settings) {
  const std::size_t Bytes = Settings.MemoryBytes / ClientMemoryShare;
  return std::make_shared<http::memory_budget>(
      Bytes > 0 ? Bytes : http::DefaultMemoryBytes);
}

std::size_t maxConnections(const process_settings &Settings, std::size_t Most) {
  if (Settings.MaxDescriptors == 0)
    return Most;
  const std::size_t Share = Settings.MaxDescriptors / 4 * 3;
  return std::clamp<std::size_t>(Share, 1, Most);
}

http::server_settings
metricsSettings(const process_settings &Settings,
                std::shared_ptr<http::memory_budget> Budget) {
  http::server_settings Out;
  Out.Budget = std::move(Budget);
  Out.Listen = {Settings.Ip, Settings.MetricsPort};
  Out.MaxConnections = 16;
  return Out;
}

} // namespace bulrush::fleet
