#include "fleet/refused_messages.h"

#include "telemetry/log.h"
#include "wire/fleet_codec.h"

namespace bulrush::fleet {

namespace {

constexpr millis LogInterval{60'000};
/// Bounds what a sender of arbitrary kinds can make this process keep.
constexpr std::size_t MaxKinds = 64;

} // namespace

std::string refusal_log::countedKind(const std::string &Kind) {
  if (LoggedAt.count(Kind) || LoggedAt.size() < MaxKinds)
    return Kind;
  return "other";
}

bool refusal_log::shouldLog(const std::string &Kind, instant Now) {
  const auto [Last, IsFirst] = LoggedAt.try_emplace(countedKind(Kind), Now);
  if (!IsFirst && Now - Last->second < LogInterval)
    return false;
  Last->second = Now;
  return true;
}

void refused_messages::on(const std::string &Bytes, const error &Error,
                          instant Now) {
  const std::string Unknown = wire::unknownKind(Bytes);
  const bool IsUnknown = !Unknown.empty();
  const std::string Kind = Log.countedKind(IsUnknown ? Unknown : "malformed");
  if (IsUnknown)
    Metrics.add("fleet_messages_unknown", Kind);
  else
    Metrics.add("fleet_messages_refused");
  if (!Log.shouldLog(Kind, Now))
    return;
  if (IsUnknown)
    telemetry::logEvent(telemetry::severity::warning, "fleet_message_unknown",
                        {{"kind", Kind}, {"error", Error.Message}});
  else
    telemetry::logEvent(telemetry::severity::warning, "fleet_message_refused",
                        {{"error", Error.Message}});
}

} // namespace bulrush::fleet
