#include "load_settings.h"

#include "settings/json_reader.h"

namespace bulrush::bench {
namespace {

using settings::object_reader;

constexpr double MaxSeconds = 3600;
constexpr double MillisPerSecond = 1000;

load_class readClass(object_reader &Reader) {
  load_class Class;
  Class.Name = Reader.text("name");
  Class.ApiKey = Reader.text("apiKey");
  Class.Pool = Reader.text("pool");
  Class.Kind = Reader.text("kind");
  Class.Rate = Reader.number("rate", {.Least = 0, .Most = 1e6});
  Class.Weight = Reader.number("weight", {.Most = 1e6, .Fallback = 1});
  Class.MinCoverage.Value =
      Reader.number("minCoveragePercent", {.Most = 100, .Fallback = 0});
  Class.IsCommand = Reader.flag("command", false);
  Class.Resends =
      Reader.whole<std::uint32_t>("resends", {.Most = 100, .Fallback = 0});
  Class.ResendAnswered =
      Reader.number("resendAnswered", {.Most = 1, .Fallback = 0});
  return Class;
}

} // namespace

expected<load_settings> parseLoadSettings(std::string_view Text,
                                          const std::string &File) {
  load_settings Out;
  const auto Read =
      settings::readObject(Text, File, [&](object_reader &Reader) {
        Reader.objects("entries", true, [&](object_reader &Item) {
          Out.Entries.push_back(Item.socketAddress("address"));
        });
        Out.Admin = Reader.socketAddress("admin");
        Out.ClientLink =
            Reader.duration("clientLinkMs", {.Most = 1000, .Fallback = 0});
        Out.Warmup = millis{MillisPerSecond *
                            Reader.number("warmupSeconds",
                                          {.Most = MaxSeconds, .Fallback = 0})};
        Out.Duration = millis{
            MillisPerSecond *
            Reader.number("seconds", {.Least = 0.1, .Most = MaxSeconds})};
        Out.Timeout = Reader.duration(
            "timeoutMs", {.Least = 1, .Most = 600'000, .Fallback = 5000});
        Out.PollInterval = Reader.duration(
            "pollEveryMs", {.Least = 10, .Most = 60'000, .Fallback = 200});
        Out.Seed = Reader.whole<std::uint64_t>("seed", {.Fallback = 1});
        Out.Run = Reader.text("run", "run");
        Reader.objects("classes", true, [&](object_reader &Item) {
          Out.Classes.push_back(readClass(Item));
        });
      });
  if (!Read)
    return fail(Read.error());
  return Out;
}

} // namespace bulrush::bench
