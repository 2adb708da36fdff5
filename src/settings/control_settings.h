/// Settings of one control voter.
#pragma once

#include "bulrushtray/error.h"
#include "bulrushtray/world.h"

#include <cstddef>
#include <string>

namespace bulrush::settings {

struct control_settings {
  deployment Deployment;
  vm Self;
  std::string LogLevel = "info";
  /// Folder of the replicated log, its snapshots and the voter's identity.
  std::string DataFolder;
  /// CURVE keys of the links between daemons; empty: links are not encrypted.
  std::string KeysFile;
  /// Names and tokens of the operators; empty: requests need no token.
  std::string OperatorsFile;
  std::size_t SnapshotEvery = 4096; ///< log entries per snapshot
  millis StopBound{10'000};         ///< longest duration of a graceful shutdown
  bool Testing = false;             ///< enables POST /test/cut
};

/// Reads the settings file at `Path` and the deployment file that it names.
/// `Vm` is the id of this vm in the deployment; the vm must have a disk.
expected<control_settings> loadControlSettings(const std::string &Path,
                                               vm_id Vm);

} // namespace bulrush::settings
