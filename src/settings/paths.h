/// Paths in settings files are relative to the file that names them.
#pragma once

#include "bulrushtray/error.h"
#include "bulrushtray/world.h"

#include <string>

namespace bulrush::settings {

/// `Named` as seen from the folder of `File`; an empty name stays empty.
std::string resolvePath(const std::string &File, const std::string &Named);

/// Reads the deployment file at `Path` and finds machine `Vm` in it.
expected<void> loadMachine(const std::string &Path, vm_id Vm,
                           deployment &Deployment, vm &Self);

/// The values of `logLevel`.
inline constexpr const char *LogLevels = "debug, info, warning or error";
bool isLogLevel(const std::string &Text);

} // namespace bulrush::settings
