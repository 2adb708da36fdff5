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
  std::string DataFolder;           ///< log, snapshots and identity
  std::string KeysFile;             ///< CURVE keys of the system; empty: none
  std::string OperatorsFile;        ///< names and tokens; empty: all are let in
  std::size_t SnapshotEvery = 4096; ///< log entries between two snapshots
  millis StopBound{10'000};         ///< a planned stop takes no longer
  bool Testing = false;             ///< allows POST /test/cut
};

/// Reads the settings file at `Path` and the deployment that it names. `Vm` is
/// this machine's number; it must have a disk.
expected<control_settings> loadControlSettings(const std::string &Path,
                                               vm_id Vm);

} // namespace bulrush::settings
