/// JSON for people: aligned tables.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace bulrush::ctl {

/// An object becomes lines `key: value`; an array of objects becomes a table
/// with one column for each key.
std::string toTable(const nlohmann::json &Json);

} // namespace bulrush::ctl
