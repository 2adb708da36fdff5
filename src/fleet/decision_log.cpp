#include "fleet/decision_log.h"

#include "fleet/voter_links.h"
#include "telemetry/log.h"

#include <algorithm>
#include <functional>

namespace bulrush::fleet {

namespace {

using telemetry::severity;

constexpr double LinesPerSecond = 40;
constexpr double MaxBurst = 200; ///< lines
/// One in so many plain requests is logged.
constexpr std::size_t SampleEvery = 128;

bool isPlain(const relay::request_note &Note) {
  return Note.Status == 200 && Note.Covered >= Note.Shards &&
         Note.Took <= Note.Objective && Note.Retries == 0 && !Note.ClientLeft;
}

std::string namesOf(const std::vector<relay::service_name> &Names) {
  std::string Out;
  for (const relay::service_name &Each : Names)
    Out += (Out.empty() ? "" : ",") + Each.Value;
  return Out;
}

bool isSampled(const std::string &RequestId) {
  return std::hash<std::string>{}(RequestId) % SampleEvery == 0;
}

} // namespace

bool decision_log::mayWrite(instant Now) {
  const double Seconds = std::max(0.0, (Now - FilledAt).Count / 1000);
  Tokens = std::min(MaxBurst, Tokens + Seconds * LinesPerSecond);
  FilledAt = Now;
  if (Tokens < 1) {
    ++Suppressed;
    return false;
  }
  Tokens -= 1;
  if (Suppressed > 0)
    telemetry::logEvent(severity::warning, "lines_suppressed",
                        {{"count", Suppressed}});
  Suppressed = 0;
  return true;
}

void decision_log::write(const relay::request_note &Note, instant Now) {
  if (Note.IsAsk) {
    writeAsk(Note, Now);
    return;
  }
  Metrics.add("requests", std::to_string(Note.Status));
  Metrics.observe("request", Note.Route, Note.Took);
  observeStages(Note);
  if (Note.Hedges > 0)
    Metrics.add("hedges", Note.Route, Note.Hedges);
  if (Note.Retries > 0)
    Metrics.add("retries", Note.Route, Note.Retries);
  if (Note.Reason != relay::relay_refusal::none)
    Metrics.add("refusals", toString(Note.Reason));
  const bool Plain = isPlain(Note);
  if (Plain && !isSampled(Note.RequestId))
    return;
  if (!Plain && !mayWrite(Now))
    return;
  telemetry::logEvent(Plain ? severity::info : severity::warning, "request",
                      {{"id", Note.RequestId},
                       {"route", Note.Route},
                       {"catalog", Note.Version.Value},
                       {"status", Note.Status},
                       {"reason", toString(Note.Reason)},
                       {"client_left", Note.ClientLeft},
                       {"took_ms", Note.Took.Count},
                       {"objective_ms", Note.Objective.Count},
                       {"queued_ms", Note.Queued.Count},
                       {"gathering_ms", Note.Gathering.Count},
                       {"covered", Note.Covered},
                       {"shards", Note.Shards},
                       {"hedges", Note.Hedges},
                       {"retries", Note.Retries},
                       {"repeats", Note.Repeats},
                       {"budget_denied", Note.Starved},
                       {"lacking", namesOf(Note.Lacking)}});
}

void decision_log::observeStages(const relay::request_note &Note) {
  if (Note.Reason == relay::relay_refusal::none)
    Metrics.observe("stage", "queue", Note.Queued);
  if (Note.Gathering > millis{0})
    Metrics.observe("stage", "gather", Note.Gathering);
}

/// Shards that another relay asked for.
void decision_log::writeAsk(const relay::request_note &Note, instant Now) {
  Metrics.add("asks", Note.Covered < Note.Shards ? "partial" : "whole");
  Metrics.observe("ask", "", Note.Took);
  observeStages(Note);
  if (Note.Covered >= Note.Shards || !mayWrite(Now))
    return;
  telemetry::logEvent(severity::warning, "ask",
                      {{"id", Note.RequestId},
                       {"took_ms", Note.Took.Count},
                       {"covered", Note.Covered},
                       {"shards", Note.Shards},
                       {"hedges", Note.Hedges},
                       {"retries", Note.Retries},
                       {"budget_denied", Note.Starved}});
}

void decision_log::write(const relay::attempt_note &Note, instant Now) {
  Metrics.add("attempts_failed", toString(Note.Verdict));
  if (!mayWrite(Now))
    return;
  telemetry::logEvent(severity::warning, "attempt_failed",
                      {{"id", Note.RequestId},
                       {"service", Note.Service.Value},
                       {"endpoint", Note.Instance},
                       {"verdict", toString(Note.Verdict)},
                       {"status", Note.Status},
                       {"took_ms", Note.Took.Count}});
}

void decision_log::write(const relay::belief_note &Note, instant Now) {
  Metrics.add("beliefs", toString(Note.Change));
  // The registry logs what the list says, once for all relays.
  const bool IsCommon = Note.Change == relay::belief_change::listed ||
                        Note.Change == relay::belief_change::leaving ||
                        Note.Change == relay::belief_change::gone;
  if (IsCommon || !mayWrite(Now))
    return;
  telemetry::logEvent(severity::info, "endpoint",
                      {{"endpoint", Note.Instance},
                       {"service", Note.Service.Value},
                       {"change", toString(Note.Change)},
                       {"cold_ms", Note.Detail.Count}});
}

void decision_log::write(const relay::peer_note &Note, instant Now) {
  const bool IsSilent = Note.PassedOverFor > millis{0};
  Metrics.add("peers", IsSilent ? "silent" : "heard");
  if (!mayWrite(Now))
    return;
  telemetry::logEvent(IsSilent ? severity::warning : severity::info, "peer",
                      {{"peer", toText(Note.Peer)},
                       {"id", Note.RequestId},
                       {"change", IsSilent ? "silent" : "heard"},
                       {"passed_over_ms", Note.PassedOverFor.Count}});
}

} // namespace bulrush::fleet
