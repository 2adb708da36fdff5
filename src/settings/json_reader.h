/// Reads JSON with comments field by field; errors name file, path, value and
/// what is allowed.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/error.h"
#include "bulrushtray/world.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

namespace bulrush::settings {

/// The first fault of one file; shared by the readers of its objects.
struct fault_sink {
  std::string File;
  std::string Message; ///< empty: no fault yet

  void report(const std::string &Path, const std::string &Found,
              const std::string &Allowed);
};

/// Reads one JSON object. After all fields are read, `finish` reports unknown
/// keys. A field that cannot be read gives its fallback and a fault. Example:
/// `const double Ms = Reader.number("timeoutMs", {.Least = 1, .Most = 1000});`
class object_reader {
public:
  object_reader(const nlohmann::json &Object, std::string Path,
                fault_sink &Sink);

  /// Bounds of a number; without a fallback the field is required.
  struct number_rule {
    double Least = 0;
    double Most = 1e15;
    std::optional<double> Fallback = {};
  };
  double number(const char *Key, number_rule Rule);
  template <class Whole> Whole whole(const char *Key, number_rule Rule) {
    return static_cast<Whole>(wholeNumber(Key, Rule));
  }
  millis duration(const char *Key, number_rule Rule) {
    return {number(Key, Rule)};
  }
  /// Without a fallback the text is required and must not be empty.
  std::string text(const char *Key,
                   const std::optional<std::string> &Fallback = {});
  bool flag(const char *Key, bool Fallback);
  /// An address such as "127.0.0.1:8080"; required unless `IsOptional`.
  address socketAddress(const char *Key, bool IsOptional = false);
  std::vector<std::string> texts(const char *Key);
  /// Calls `Read` for each object in the array below `Key`.
  void objects(const char *Key, bool IsRequired,
               const std::function<void(object_reader &)> &Read);
  /// Calls `Read` for the object below `Key` if there is one.
  void object(const char *Key,
              const std::function<void(object_reader &)> &Read);

  bool has(const char *Key) const { return Object.contains(Key); }
  /// Reports that the value below `Key` is not one of those allowed.
  void reject(const char *Key, const std::string &Allowed);
  /// Reports keys that were never read.
  void finish();

private:
  const nlohmann::json *find(const char *Key);
  double wholeNumber(const char *Key, number_rule Rule);
  std::string pathOf(const std::string &Key) const { return Path + '/' + Key; }

  const nlohmann::json &Object;
  std::string Path;
  fault_sink &Sink;
  std::set<std::string> Known;
};

/// Parses `Text` and hands its top object to `Read`. `File` is used in errors
/// only.
expected<void> readObject(std::string_view Text, const std::string &File,
                          const std::function<void(object_reader &)> &Read);

/// Reads a whole file.
expected<std::string> readFile(const std::string &Path);

} // namespace bulrush::settings
