/// Structured logs: one line of key=value pairs for each event.
#pragma once

#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace bulrush::telemetry {

enum class severity { debug, info, warning, error };

/// One key=value pair of a log line. Values with spaces or quotes are quoted.
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

/// Where the lines of this process go: standard error, a file below the data
/// folder, or standard output without ever waiting for its reader.
struct log_settings {
  std::string Process; ///< the value of the key `process` in each line
  std::string File;    ///< empty: standard error
  bool ToStandardOutput = false; ///< to standard output, bounded
  severity MinSeverity = severity::info;
};

/// Must be called once, before the first line.
void startLog(const log_settings &Settings);

/// Writes one line. Example: `logEvent(severity::info, "zone_out", {{"zone",
/// "linz"}});`
void logEvent(severity Severity, std::string_view Event,
              const std::vector<field> &Fields);

/// The line without time and process; for tests.
std::string formatLine(std::string_view Event,
                       const std::vector<field> &Fields);

} // namespace bulrush::telemetry
