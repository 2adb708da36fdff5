/// Startup helpers shared by the fleet's daemons.
#pragma once

#include "fleet/adapter.h"
#include "fleet/metrics_page.h"

#include <chrono>
#include <optional>
#include <vector>

namespace bulrush::fleet {

/// Addresses of the settings that a process listens on.
using listen_addresses = std::vector<address process_settings::*>;

/// Reads the settings at the start. Settings that cannot be read or used may be
/// late or about to be replaced, so they are read again until they can be; a
/// log line says what is waited for. Returns no value if SIGTERM or SIGINT
/// arrives before.
std::optional<process_settings> awaitSettings(settings_source &Source,
                                              const listen_addresses &Listens);
/// Logs why the process cannot start and returns its exit status.
int failStart(const error &Error);
/// Starts the log, or names the process in it if it has been started.
void startProcessLog(const std::string &Process);
/// Returns a random seed from the operating system.
std::uint64_t drawSeed();
std::uint64_t unixMillis();
/// Returns what the clients of the process may make its servers hold.
std::shared_ptr<http::memory_budget>
makeMemoryBudget(const process_settings &Settings);
/// Returns how many connections a server may have: `Most`, or less where the
/// process may open few descriptors.
std::size_t maxConnections(const process_settings &Settings, std::size_t Most);
http::server_settings
metricsSettings(const process_settings &Settings,
                std::shared_ptr<http::memory_budget> Budget);

inline std::chrono::microseconds toChrono(millis Time) {
  return std::chrono::microseconds(static_cast<std::int64_t>(Time.Count * 1e3));
}

} // namespace bulrush::fleet
