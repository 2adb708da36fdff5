/// Reads numbers of JSON documents exactly or not at all. Used by
/// `object_reader` and by the readers of the platform's documents.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>

namespace bulrush::settings {

/// Returns the value if it is a number from `Least` to `Most`.
std::optional<double> readNumber(const nlohmann::json &Value, double Least,
                                 double Most);

/// Returns the value if it is a whole number from `Least` to `Most` that is
/// known exactly. A number with a decimal point or an exponent is known exactly
/// only below 2^53: a larger one may have been rounded by the parser.
std::optional<std::uint64_t> readWhole(const nlohmann::json &Value,
                                       std::uint64_t Least, std::uint64_t Most);

} // namespace bulrush::settings
