/// Settings of one entry daemon.
#pragma once

#include "bulrushtray/error.h"
#include "bulrushtray/world.h"
#include "query/owner_settings.h"
#include "query/router_settings.h"

#include <cstddef>
#include <string>

namespace bulrush::settings {

/// Bounds on callers; see `http::server_settings`.
struct caller_limits {
  std::size_t MaxConnections = 2'000;
  std::size_t MaxPipelined = 64;
  std::size_t MaxBodyBytes = 1 << 20;
  millis IdleTimeout{60'000};
  millis WriteTimeout{5'000};
};

struct entry_settings {
  deployment Deployment;
  vm Self;
  std::string LogLevel = "info";
  std::string KeysFile; ///< CURVE keys of the system; empty: none
  caller_limits Callers;
  query::router_settings Router;
  query::owner_settings Owner;
  millis StopBound{20'000}; ///< a planned stop takes no longer than this
  bool Testing = false;     ///< allows POST /test/cut
};

/// Reads the settings file at `Path` and the deployment that it names. `Vm` is
/// this machine's number in the deployment.
expected<entry_settings> loadEntrySettings(const std::string &Path, vm_id Vm);

} // namespace bulrush::settings
