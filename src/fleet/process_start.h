/// Startup helpers shared by the fleet's daemons.
#pragma once

#include "fleet/adapter.h"
#include "fleet/metrics_page.h"

#include <chrono>

namespace bulrush::fleet {

/// Reads the settings at the start. A file that cannot be read may be about to
/// be replaced, so it is read again for a second.
expected<process_settings> readSettings(settings_source &Source);
/// Logs why the process cannot start and returns its exit status.
int failStart(const error &Error);
void startProcessLog(const std::string &Process);
/// Returns a random seed from the operating system.
std::uint64_t drawSeed();
std::uint64_t unixMillis();
http::server_settings metricsSettings(const process_settings &Settings);

inline std::chrono::microseconds toChrono(millis Time) {
  return std::chrono::microseconds(static_cast<std::int64_t>(Time.Count * 1e3));
}

} // namespace bulrush::fleet
