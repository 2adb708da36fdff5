/// Structured logging: one line of key=value pairs per log event.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace bulrush::telemetry {

enum class severity { debug, info, warning, error };

/// One key=value pair of a log event. Empty values and values with white space,
/// quotes or `=` are quoted.
struct field {
  std::string Key;
  std::string Value;

  field(std::string_view Key, std::string_view Value)
      : Key(Key), Value(Value) {}
  field(std::string_view Key, const char *Value) : Key(Key), Value(Value) {}
  field(std::string_view Key, bool Value)
      : Key(Key), Value(Value ? "true" : "false") {}
  template <class Number>
  requires std::is_arithmetic_v<Number> field(std::string_view Key,
                                              Number Value)
      : Key(Key), Value(std::to_string(Value)) {}
};

/// Destination and minimum severity of the log of this process. The log goes to
/// standard error, to a file, or to standard output without blocking when its
/// reader stalls.
struct log_settings {
  std::string Process;           ///< value of the key `process` in each line
  std::string File;              ///< empty: standard error
  bool ToStandardOutput = false; ///< see `bounded_output`; `File` is ignored
  severity MinSeverity = severity::info;
};

/// Sets up the log. Must be called before the first call of `logEvent`; another
/// call replaces the settings, while no other thread logs.
void startLog(const log_settings &Settings);

/// Writes one log event. Example: `logEvent(severity::info, "zone_out",
/// {{"zone", "linz"}});`
void logEvent(severity Severity, std::string_view Event,
              const std::vector<field> &Fields);

/// Lines that were dropped because standard output did not take them.
std::uint64_t droppedLines();

/// Formats a log event without its time, process and severity; for tests.
std::string formatLine(std::string_view Event,
                       const std::vector<field> &Fields);

} // namespace bulrush::telemetry
