#include "behaviour.h"

#include <nlohmann/json.hpp>

namespace bulrush::bench {
namespace {

using nlohmann::json;

/// Calls `Visit(Name, Field)` for every field, in the order of declaration.
template <class Behaviour, class Visitor>
void forEachField(Behaviour &B, Visitor &&Visit) {
  Visit("meanServiceMs", B.MeanService);
  Visit("sigma", B.Sigma);
  Visit("slowFactor", B.SlowFactor);
  Visit("stragglerShare", B.StragglerShare);
  Visit("stragglerFactor", B.StragglerFactor);
  Visit("slots", B.Slots);
  Visit("connections", B.Connections);
  Visit("connectCostMs", B.ConnectCost);
  Visit("coldInFlight", B.ColdInFlight);
  Visit("rampRequests", B.RampRequests);
  Visit("rampMs", B.RampTime);
  Visit("downMs", B.DownTime);
  Visit("downFactor", B.DownFactor);
  Visit("signGraceMs", B.DetectionGrace);
  Visit("lostReplyShare", B.LostReplyShare);
  Visit("lateReplyShare", B.LateReplyShare);
  Visit("lateByMs", B.LateReplyDelay);
  Visit("healthLagMs", B.HealthLag);
  Visit("healthLies", B.HealthAlwaysWarm);
  Visit("flagLies", B.HidesColdFlag);
  Visit("retryAfterMs", B.RetryAfter);
}

bool readField(const json &Value, millis &Field) {
  if (!Value.is_number() || Value.get<double>() < 0)
    return false;
  Field = millis{Value.get<double>()};
  return true;
}

bool readField(const json &Value, double &Field) {
  if (!Value.is_number() || Value.get<double>() < 0)
    return false;
  Field = Value.get<double>();
  return true;
}

bool readField(const json &Value, std::uint32_t &Field) {
  if (!Value.is_number_unsigned())
    return false;
  Field = Value.get<std::uint32_t>();
  return true;
}

bool readField(const json &Value, bool &Field) {
  if (!Value.is_boolean())
    return false;
  Field = Value.get<bool>();
  return true;
}

json toJsonValue(millis Field) { return Field.Count; }
template <class Field> json toJsonValue(Field Value) { return Value; }

} // namespace

expected<endpoint_behaviour> applyPatch(const endpoint_behaviour &Base,
                                        std::string_view Text) {
  const json Patch = json::parse(Text, nullptr, false, true);
  if (!Patch.is_object())
    return fail("behaviour: a JSON object is expected");
  endpoint_behaviour Result = Base;
  std::size_t KnownKeys = 0;
  std::string InvalidField;
  forEachField(Result, [&](const char *Name, auto &Field) {
    const auto Found = Patch.find(Name);
    if (Found == Patch.end())
      return;
    ++KnownKeys;
    if (!readField(*Found, Field))
      InvalidField = Name;
  });
  if (!InvalidField.empty())
    return fail("behaviour: " + InvalidField + " has a wrong type or range");
  if (KnownKeys != Patch.size())
    return fail("behaviour: unknown key in " + Patch.dump());
  if (Result.Slots == 0 || Result.ColdInFlight == 0)
    return fail("behaviour: slots and coldInFlight must be at least 1");
  return Result;
}

std::string toJson(const endpoint_behaviour &Behaviour) {
  json Result = json::object();
  forEachField(Behaviour, [&](const char *Name, const auto &Field) {
    Result[Name] = toJsonValue(Field);
  });
  return Result.dump();
}

} // namespace bulrush::bench
