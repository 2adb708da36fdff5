/// The deployment file: zones, vms, pools with their endpoints, callers.
#pragma once

#include "bulrushtray/error.h"
#include "bulrushtray/world.h"

#include <string>
#include <string_view>

namespace bulrush::settings {

/// Parses and checks a deployment. `File` names the text in errors.
expected<deployment> parseDeployment(std::string_view Text,
                                     const std::string &File);

/// Reads and parses a deployment file.
expected<deployment> loadDeployment(const std::string &Path);

class object_reader;

/// Reads the fields of one intent. Its caller is checked against `Of`.
intent readIntent(object_reader &Item, const deployment &Of);

/// Parses a list of intents: `{"intents": [...]}`. Caller names are checked
/// against `Of`.
expected<std::vector<intent>> parseIntents(std::string_view Text,
                                           const std::string &File,
                                           const deployment &Of);

} // namespace bulrush::settings
