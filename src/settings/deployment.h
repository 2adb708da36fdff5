/// The deployment file: zones, vms, pools with their endpoints, callers.
#pragma once

#include "bulrushtray/error.h"
#include "bulrushtray/world.h"

#include <string>
#include <string_view>

namespace bulrush::settings {

/// Parses and validates a deployment. Error messages use `File` as the file
/// name.
expected<deployment> parseDeployment(std::string_view Text,
                                     const std::string &File);

/// Reads, parses and validates a deployment file.
expected<deployment> loadDeployment(const std::string &Path);

class object_reader;

/// Reads the fields of one intent. Its caller must be empty or one of
/// `Deployment`.
intent readIntent(object_reader &Item, const deployment &Deployment);

/// Parses a list of intents: `{"intents": [...]}`. Each caller must be empty
/// or one of `Deployment`.
expected<std::vector<intent>> parseIntents(std::string_view Text,
                                           const std::string &File,
                                           const deployment &Deployment);

} // namespace bulrush::settings
