/// Reads and validates JSON with comments, field by field. Error messages give
/// the file, the path of the field, the value found and the values allowed.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/error.h"
#include "bulrushtray/world.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

namespace bulrush::settings {

/// Records the first error of one file; all readers of its objects share it.
struct error_recorder {
  std::string File;
  std::string Message; ///< empty: no error yet

  /// Sets `Message` unless an earlier error has set it.
  void report(const std::string &Path, const std::string &Found,
              const std::string &Allowed);
};

/// Reads one JSON object. A missing optional field yields its fallback. A
/// missing required field and an invalid value are reported as errors and yield
/// a placeholder. `finish`, called after all fields have been read, reports
/// unknown keys. Example:
/// `const double Ms = Reader.number("timeoutMs", {.Least = 1, .Most = 1000});`
class object_reader {
public:
  object_reader(const nlohmann::json &Object, std::string Path,
                error_recorder &Errors);

  /// Range of a number. A field without a fallback is required.
  struct number_rule {
    double Least = 0;
    double Most = 1e15;
    std::optional<double> Fallback = {};
  };
  double number(const char *Key, number_rule Rule);
  template <class Whole> Whole whole(const char *Key, number_rule Rule) {
    return static_cast<Whole>(
        wholeNumber(Key, Rule, std::numeric_limits<Whole>::max()));
  }
  millis duration(const char *Key, number_rule Rule) {
    return {number(Key, Rule)};
  }
  /// Without a fallback the string is required and must not be empty.
  std::string text(const char *Key,
                   const std::optional<std::string> &Fallback = {});
  bool flag(const char *Key, bool Fallback);
  /// An address such as "127.0.0.1:8080"; required unless `IsOptional`.
  address socketAddress(const char *Key, bool IsOptional = false);
  std::vector<std::string> texts(const char *Key);
  /// Calls `Read` for each object of the array at `Key`. A required array must
  /// not be empty.
  void objects(const char *Key, bool IsRequired,
               const std::function<void(object_reader &)> &Read);
  /// Calls `Read` for the object at `Key` if the key is present.
  void object(const char *Key,
              const std::function<void(object_reader &)> &Read);

  bool has(const char *Key) const { return Object.contains(Key); }
  /// Reports the value at `Key` as invalid. `Allowed` describes valid values.
  void reject(const char *Key, const std::string &Allowed);
  /// Reports the keys of the object that no call has read.
  void finish();

private:
  const nlohmann::json *find(const char *Key);
  std::uint64_t wholeNumber(const char *Key, number_rule Rule,
                            std::uint64_t Max);
  std::string pathOf(const std::string &Key) const { return Path + '/' + Key; }

  const nlohmann::json &Object;
  std::string Path;
  error_recorder &Errors;
  std::set<std::string> KnownKeys;
};

/// Parses `Text` and calls `Read` with a reader of its top-level object. `File`
/// is used in error messages only.
expected<void> readObject(std::string_view Text, const std::string &File,
                          const std::function<void(object_reader &)> &Read);

/// Reads a whole file.
expected<std::string> readFile(const std::string &Path);

} // namespace bulrush::settings
