/// Formats JSON as aligned plain text.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace bulrush::ctl {

/// Formats an object as lines `key: value` and an array of objects as a table
/// with one column per key.
std::string toTable(const nlohmann::json &Json);

} // namespace bulrush::ctl
