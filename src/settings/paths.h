/// Resolves paths in settings files, which are relative to the file that holds
/// them, and loads the deployment file.
#pragma once

#include "bulrushtray/error.h"
#include "bulrushtray/world.h"

#include <string>

namespace bulrush::settings {

/// Resolves `Path` relative to the folder of `File`. An empty path stays empty.
std::string resolvePath(const std::string &File, const std::string &Path);

/// Reads the deployment file at `Path` into `Deployment`, and the vm with id
/// `Vm` into `Self`. Fails if the deployment has no such vm.
expected<void> loadDeploymentAndVm(const std::string &Path, vm_id Vm,
                                   deployment &Deployment, vm &Self);

/// The allowed values of `logLevel`, for error messages.
inline constexpr const char *LogLevels = "debug, info, warning or error";
bool isLogLevel(const std::string &Text);

} // namespace bulrush::settings
