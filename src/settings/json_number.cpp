#include "settings/json_number.h"

#include <cmath>

namespace bulrush::settings {

namespace {

constexpr double ExactBelow = 9007199254740992; // 2^53

std::optional<std::uint64_t> exactValue(const nlohmann::json &Value) {
  if (Value.is_number_unsigned())
    return Value.get<std::uint64_t>();
  if (Value.is_number_integer()) {
    const auto Signed = Value.get<std::int64_t>();
    return Signed < 0 ? std::nullopt
                      : std::optional(static_cast<std::uint64_t>(Signed));
  }
  if (!Value.is_number_float())
    return std::nullopt;
  const auto Number = Value.get<double>();
  const bool IsExact =
      Number >= 0 && Number < ExactBelow && Number == std::floor(Number);
  return IsExact ? std::optional(static_cast<std::uint64_t>(Number))
                 : std::nullopt;
}

} // namespace

std::optional<double> readNumber(const nlohmann::json &Value, double Least,
                                 double Most) {
  if (!Value.is_number())
    return std::nullopt;
  const auto Number = Value.get<double>();
  return Number >= Least && Number <= Most ? std::optional(Number)
                                           : std::nullopt;
}

std::optional<std::uint64_t> readWhole(const nlohmann::json &Value,
                                       std::uint64_t Least,
                                       std::uint64_t Most) {
  const auto Exact = exactValue(Value);
  return Exact && *Exact >= Least && *Exact <= Most ? Exact : std::nullopt;
}

} // namespace bulrush::settings
