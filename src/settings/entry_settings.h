/// Settings of one entry daemon.
#pragma once

#include "bulrushtray/error.h"
#include "bulrushtray/world.h"
#include "query/owner_settings.h"
#include "query/router_settings.h"

#include <cstddef>
#include <string>

namespace bulrush::settings {

/// Limits of the HTTP server that callers connect to; see
/// `http::server_settings`.
struct caller_limits {
  std::size_t MaxConnections = 2'000;
  std::size_t MaxPipelined = 64;
  std::size_t MaxBodyBytes = 1 << 20;
  std::size_t MaxMemoryBytes = 64 << 20; ///< of all requests and responses
  millis IdleTimeout{60'000};
  millis WriteTimeout{5'000};
};

struct entry_settings {
  deployment Deployment;
  vm Self;
  std::string LogLevel = "info";
  /// CURVE keys of the links between daemons; empty: links are not encrypted.
  std::string KeysFile;
  caller_limits Callers;
  query::router_settings Router;
  query::owner_settings Owner;
  /// Time limit of a graceful shutdown, from when the server stops accepting
  /// connections.
  millis StopBound{20'000};
  bool Testing = false; ///< enables POST /test/cut
};

/// Reads the settings file at `Path` and the deployment file that it names.
/// `Vm` is the id of this vm in the deployment.
expected<entry_settings> loadEntrySettings(const std::string &Path, vm_id Vm);

} // namespace bulrush::settings
