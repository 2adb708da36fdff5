#include "settings/json_reader.h"

#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>

namespace bulrush::settings {

namespace {

constexpr std::size_t MostShownCharacters = 60;

std::string shown(const nlohmann::json &Value) {
  std::string Text = Value.dump();
  if (Text.size() > MostShownCharacters)
    Text = Text.substr(0, MostShownCharacters) + "...";
  return Text;
}

std::string plain(double Value) {
  std::ostringstream Out;
  Out << Value;
  return Out.str();
}

std::string rangeOf(const object_reader::number_rule &Rule) {
  return "a number from " + plain(Rule.Least) + " to " + plain(Rule.Most);
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

void fault_sink::report(const std::string &Path, const std::string &Found,
                        const std::string &Allowed) {
  if (!Message.empty())
    return;
  Message = File + ": " + (Path.empty() ? "/" : Path) + ": found " + Found +
            ", allowed is " + Allowed;
}

object_reader::object_reader(const nlohmann::json &Object, std::string Path,
                             fault_sink &Sink)
    : Object(Object), Path(std::move(Path)), Sink(Sink) {}

const nlohmann::json *object_reader::find(const char *Key) {
  Known.insert(Key);
  const auto Found = Object.find(Key);
  return Found == Object.end() ? nullptr : &*Found;
}

double object_reader::number(const char *Key, number_rule Rule) {
  const nlohmann::json *Value = find(Key);
  if (!Value) {
    if (!Rule.Fallback)
      Sink.report(pathOf(Key), "nothing", rangeOf(Rule));
    return Rule.Fallback.value_or(Rule.Least);
  }
  const bool IsAllowed = Value->is_number() &&
                         Value->get<double>() >= Rule.Least &&
                         Value->get<double>() <= Rule.Most;
  if (IsAllowed)
    return Value->get<double>();
  Sink.report(pathOf(Key), shown(*Value), rangeOf(Rule));
  return Rule.Least;
}

double object_reader::wholeNumber(const char *Key, number_rule Rule) {
  const double Value = number(Key, Rule);
  if (Value == std::floor(Value))
    return Value;
  Sink.report(pathOf(Key), plain(Value), "a whole number");
  return Rule.Least;
}

std::string object_reader::text(const char *Key,
                                const std::optional<std::string> &Fallback) {
  const nlohmann::json *Value = find(Key);
  if (!Value) {
    if (!Fallback)
      Sink.report(pathOf(Key), "nothing", "a text that is not empty");
    return Fallback.value_or("");
  }
  const bool MayBeEmpty = Fallback.has_value();
  if (Value->is_string() && (MayBeEmpty || !Value->get<std::string>().empty()))
    return Value->get<std::string>();
  Sink.report(pathOf(Key), shown(*Value),
              MayBeEmpty ? "a text" : "a text that is not empty");
  return "";
}

bool object_reader::flag(const char *Key, bool Fallback) {
  const nlohmann::json *Value = find(Key);
  if (!Value)
    return Fallback;
  if (!Value->is_boolean()) {
    Sink.report(pathOf(Key), shown(*Value), "true or false");
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
  Sink.report(pathOf(Key), '"' + Text + '"',
              "IP:PORT with a port from 1 to 65535");
  return {};
}

std::vector<std::string> object_reader::texts(const char *Key) {
  std::vector<std::string> Out;
  const nlohmann::json *Value = find(Key);
  if (!Value)
    return Out;
  if (!Value->is_array()) {
    Sink.report(pathOf(Key), shown(*Value), "an array of texts");
    return Out;
  }
  for (const nlohmann::json &Item : *Value) {
    if (!Item.is_string())
      Sink.report(pathOf(Key), shown(Item), "a text");
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
      Sink.report(pathOf(Key), "nothing", "an array of objects");
    return;
  }
  if (!Value->is_array() || (IsRequired && Value->empty())) {
    Sink.report(pathOf(Key), shown(*Value),
                "an array of objects that is not empty");
    return;
  }
  for (std::size_t I = 0; I < Value->size(); ++I) {
    const std::string ItemPath = pathOf(Key) + '/' + std::to_string(I);
    if (!(*Value)[I].is_object()) {
      Sink.report(ItemPath, shown((*Value)[I]), "an object");
      return;
    }
    object_reader Item((*Value)[I], ItemPath, Sink);
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
    Sink.report(pathOf(Key), shown(*Value), "an object");
    return;
  }
  object_reader Inner(*Value, pathOf(Key), Sink);
  Read(Inner);
  Inner.finish();
}

void object_reader::reject(const char *Key, const std::string &Allowed) {
  const nlohmann::json *Value = find(Key);
  Sink.report(pathOf(Key), Value ? shown(*Value) : "nothing", Allowed);
}

void object_reader::finish() {
  for (const auto &[Key, Value] : Object.items()) {
    if (Known.contains(Key))
      continue;
    std::string Allowed = "one of the keys";
    for (const std::string &Name : Known)
      Allowed += ' ' + Name;
    Sink.report(pathOf(Key), "an unknown key", Allowed);
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
  fault_sink Sink{File, {}};
  if (!Parsed.is_object())
    Sink.report("", shown(Parsed), "an object");
  else {
    object_reader Reader(Parsed, "", Sink);
    Read(Reader);
    Reader.finish();
  }
  if (!Sink.Message.empty())
    return fail(Sink.Message);
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
