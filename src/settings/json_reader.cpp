#include "settings/json_reader.h"

#include "settings/json_number.h"
#include "world/number_text.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

namespace bulrush::settings {

namespace {

constexpr std::size_t MaxDumpLength = 60;

std::string truncatedDump(const nlohmann::json &Value) {
  std::string Text = Value.dump();
  if (Text.size() > MaxDumpLength)
    Text = Text.substr(0, MaxDumpLength) + "...";
  return Text;
}

std::string describeRange(const object_reader::number_rule &Rule) {
  return "a number from " + toShortestText(Rule.Least) + " to " +
         toShortestText(Rule.Most);
}

std::optional<address> parseAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos || Colon == 0)
    return {};
  unsigned Port = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data() + Colon + 1, End, Port);
  const bool IsPort =
      Result.ec == std::errc{} && Result.ptr == End && Port > 0 && Port < 65536;
  if (!IsPort)
    return {};
  return address{Text.substr(0, Colon), static_cast<std::uint16_t>(Port)};
}

} // namespace

void error_recorder::report(const std::string &Path, const std::string &Found,
                            const std::string &Allowed) {
  if (!Message.empty())
    return;
  Message = File + ": " + (Path.empty() ? "/" : Path) + ": found " + Found +
            ", allowed is " + Allowed;
}

object_reader::object_reader(const nlohmann::json &Object, std::string Path,
                             error_recorder &Errors)
    : Object(Object), Path(std::move(Path)), Errors(Errors) {}

const nlohmann::json *object_reader::find(const char *Key) {
  KnownKeys.insert(Key);
  const auto Found = Object.find(Key);
  return Found == Object.end() ? nullptr : &*Found;
}

double object_reader::number(const char *Key, number_rule Rule) {
  const nlohmann::json *Value = find(Key);
  if (!Value) {
    if (!Rule.Fallback)
      Errors.report(pathOf(Key), "nothing", describeRange(Rule));
    return Rule.Fallback.value_or(Rule.Least);
  }
  if (const auto Number = readNumber(*Value, Rule.Least, Rule.Most))
    return *Number;
  Errors.report(pathOf(Key), truncatedDump(*Value), describeRange(Rule));
  return Rule.Least;
}

std::uint64_t object_reader::wholeNumber(const char *Key, number_rule Rule,
                                         std::uint64_t Max) {
  Rule.Most = std::min(Rule.Most, static_cast<double>(Max));
  const double Checked = number(Key, Rule);
  const nlohmann::json *Value = find(Key);
  if (!Value || !readNumber(*Value, Rule.Least, Rule.Most))
    return static_cast<std::uint64_t>(Checked);
  if (const auto Whole = readWhole(*Value, 0, Max))
    return *Whole;
  Errors.report(pathOf(Key), truncatedDump(*Value), "an integer");
  return static_cast<std::uint64_t>(Rule.Least);
}

std::string object_reader::text(const char *Key,
                                const std::optional<std::string> &Fallback) {
  const nlohmann::json *Value = find(Key);
  if (!Value) {
    if (!Fallback)
      Errors.report(pathOf(Key), "nothing", "a non-empty string");
    return Fallback.value_or("");
  }
  const bool MayBeEmpty = Fallback.has_value();
  if (Value->is_string() && (MayBeEmpty || !Value->get<std::string>().empty()))
    return Value->get<std::string>();
  Errors.report(pathOf(Key), truncatedDump(*Value),
                MayBeEmpty ? "a string" : "a non-empty string");
  return "";
}

bool object_reader::flag(const char *Key, bool Fallback) {
  const nlohmann::json *Value = find(Key);
  if (!Value)
    return Fallback;
  if (!Value->is_boolean()) {
    Errors.report(pathOf(Key), truncatedDump(*Value), "true or false");
    return Fallback;
  }
  return Value->get<bool>();
}

address object_reader::socketAddress(const char *Key, bool IsOptional) {
  if (IsOptional && !find(Key))
    return {};
  const std::string Text = text(Key);
  if (const auto Address = parseAddress(Text))
    return *Address;
  Errors.report(pathOf(Key), '"' + Text + '"',
                "IP:PORT with a port from 1 to 65535");
  return {};
}

std::vector<std::string> object_reader::texts(const char *Key) {
  std::vector<std::string> Out;
  const nlohmann::json *Value = find(Key);
  if (!Value)
    return Out;
  if (!Value->is_array()) {
    Errors.report(pathOf(Key), truncatedDump(*Value), "an array of strings");
    return Out;
  }
  for (const nlohmann::json &Item : *Value) {
    if (!Item.is_string())
      Errors.report(pathOf(Key), truncatedDump(Item), "a string");
    else
      Out.push_back(Item.get<std::string>());
  }
  return Out;
}

void object_reader::objects(const char *Key, bool IsRequired,
                            const std::function<void(object_reader &)> &Read) {
  const nlohmann::json *Value = find(Key);
  if (!Value) {
    if (IsRequired)
      Errors.report(pathOf(Key), "nothing", "an array of objects");
    return;
  }
  if (!Value->is_array() || (IsRequired && Value->empty())) {
    Errors.report(pathOf(Key), truncatedDump(*Value),
                  "a non-empty array of objects");
    return;
  }
  for (std::size_t I = 0; I < Value->size(); ++I) {
    const std::string ItemPath = pathOf(Key) + '/' + std::to_string(I);
    if (!(*Value)[I].is_object()) {
      Errors.report(ItemPath, truncatedDump((*Value)[I]), "an object");
      return;
    }
    object_reader Item((*Value)[I], ItemPath, Errors);
    Read(Item);
    Item.finish();
  }
}

void object_reader::object(const char *Key,
                           const std::function<void(object_reader &)> &Read) {
  const nlohmann::json *Value = find(Key);
  if (!Value)
    return;
  if (!Value->is_object()) {
    Errors.report(pathOf(Key), truncatedDump(*Value), "an object");
    return;
  }
  object_reader Inner(*Value, pathOf(Key), Errors);
  Read(Inner);
  Inner.finish();
}

void object_reader::reject(const char *Key, const std::string &Allowed) {
  const nlohmann::json *Value = find(Key);
  Errors.report(pathOf(Key), Value ? truncatedDump(*Value) : "nothing",
                Allowed);
}

void object_reader::finish() {
  for (const auto &[Key, Value] : Object.items()) {
    if (KnownKeys.contains(Key))
      continue;
    std::string Allowed = "one of the keys";
    for (const std::string &Name : KnownKeys)
      Allowed += ' ' + Name;
    Errors.report(pathOf(Key), "an unknown key", Allowed);
  }
}

expected<void> readObject(std::string_view Text, const std::string &File,
                          const std::function<void(object_reader &)> &Read) {
  const bool ThrowOnError = true;
  const bool IgnoreComments = true;
  nlohmann::json Parsed;
  try {
    Parsed = nlohmann::json::parse(Text, nullptr, ThrowOnError, IgnoreComments);
  } catch (const nlohmann::json::parse_error &Error) {
    return fail(File + ": not JSON at byte " + std::to_string(Error.byte) +
                ": " + Error.what());
  }
  error_recorder Errors{File, {}};
  if (!Parsed.is_object())
    Errors.report("", truncatedDump(Parsed), "an object");
  else {
    object_reader Reader(Parsed, "", Errors);
    Read(Reader);
    Reader.finish();
  }
  if (!Errors.Message.empty())
    return fail(Errors.Message);
  return {};
}

expected<std::string> readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  if (!In)
    return fail(Path + ": cannot be opened for reading");
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

} // namespace bulrush::settings
