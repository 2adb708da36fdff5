#include "fleet/decision_log.h"

#include "fleet/voter_links.h"
#include "relay/fingerprint.h"
#include "telemetry/log.h"

#include <algorithm>
#include <functional>

namespace bulrush::fleet {

namespace {

using telemetry::severity;

constexpr double LinesPerSecond = 40;
constexpr double MaxBurst = 200; ///< lines
/// Accounts with metrics of their own; the others share one label, so that a
/// catalog of many accounts does not make the metrics page large.
constexpr std::size_t MaxCountedAccounts = 100;
constexpr char OtherAccounts[] = "(others)";
/// One in `SampleEvery` routine requests is logged.
constexpr std::size_t SampleEvery = 128;

bool isRoutine(const relay::request_log_event &LogEvent) {
  // Refusals of an account that floods would displace all other lines.
  if (LogEvent.Reason == relay::relay_refusal::over_quota)
    return true;
  return LogEvent.Status == 200 && LogEvent.Covered >= LogEvent.Shards &&
         LogEvent.Elapsed <= LogEvent.Objective && LogEvent.Retries == 0 &&
         !LogEvent.HasClientDisconnected;
}

std::string joinNames(const std::vector<relay::service_name> &Names) {
  std::string Out;
  for (const relay::service_name &Each : Names)
    Out += (Out.empty() ? "" : ",") + Each.Value;
  return Out;
}

/// Returns text such as "hedge:2,shed:1"; "-" if there were none.
std::string listRepeats(const relay::request_log_event &LogEvent,
                        std::uint32_t relay::repeat_count::*Count) {
  std::string Out;
  for (std::size_t I = 0; I < LogEvent.Repeats.size(); ++I) {
    const std::uint32_t Number = LogEvent.Repeats[I].*Count;
    if (Number == 0)
      continue;
    if (!Out.empty())
      Out += ',';
    Out += toString(static_cast<relay::repeat_reason>(I));
    Out += ':';
    Out += std::to_string(Number);
  }
  return Out.empty() ? "-" : Out;
}

bool isSampled(const std::string &RequestId) {
  return std::hash<std::string>{}(RequestId) % SampleEvery == 0;
}

} // namespace

bool decision_log::takeToken(instant Now) {
  const double Seconds = std::max(0.0, (Now - RefilledAt).Count / 1000);
  Tokens = std::min(MaxBurst, Tokens + Seconds * LinesPerSecond);
  RefilledAt = Now;
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

void decision_log::countAccount(const relay::request_log_event &LogEvent) {
  const relay::account_name &Account = LogEvent.Account;
  if (Account.Value.empty())
    return;
  if (CountedAccounts.size() < MaxCountedAccounts)
    CountedAccounts.insert(Account);
  const std::string Label =
      CountedAccounts.count(Account) ? Account.Value : OtherAccounts;
  // Work for other relays is work of the account, but no request to this one.
  Metrics.add("account_attempts", Label, LogEvent.Attempts);
  if (LogEvent.IsFromPeer)
    return;
  Metrics.add("account_requests", Label);
  if (LogEvent.Reason != relay::relay_refusal::none)
    Metrics.add("account_refusals",
                Label + " " + std::string(toString(LogEvent.Reason)));
}

void decision_log::countRepeats(const relay::request_log_event &LogEvent) {
  for (std::size_t I = 0; I < LogEvent.Repeats.size(); ++I) {
    const relay::repeat_count &Count = LogEvent.Repeats[I];
    const auto Reason = toString(static_cast<relay::repeat_reason>(I));
    if (Count.Sent > 0)
      Metrics.add("repeats_sent", Reason, Count.Sent);
    if (Count.Denied > 0)
      Metrics.add("repeats_denied", Reason, Count.Denied);
  }
}

void decision_log::write(const relay::request_log_event &LogEvent,
                         instant Now) {
  countAccount(LogEvent);
  countRepeats(LogEvent);
  if (LogEvent.IsFromPeer) {
    writeShardRequest(LogEvent, Now);
    return;
  }
  Metrics.add("requests", std::to_string(LogEvent.Status));
  Metrics.observe("request", LogEvent.Route, LogEvent.Elapsed);
  observeStages(LogEvent);
  if (LogEvent.Hedges > 0)
    Metrics.add("hedges", LogEvent.Route, LogEvent.Hedges);
  if (LogEvent.Retries > 0)
    Metrics.add("retries", LogEvent.Route, LogEvent.Retries);
  if (LogEvent.Detours > 0)
    Metrics.add("detours", LogEvent.Route, LogEvent.Detours);
  if (LogEvent.Reason != relay::relay_refusal::none)
    Metrics.add("refusals", toString(LogEvent.Reason));
  const bool IsRoutine = isRoutine(LogEvent);
  if (IsRoutine && !isSampled(LogEvent.RequestId))
    return;
  if (!IsRoutine && !takeToken(Now))
    return;
  telemetry::logEvent(
      IsRoutine ? severity::info : severity::warning, "request",
      {{"id", LogEvent.RequestId},
       {"route", LogEvent.Route},
       {"account", LogEvent.Account.Value},
       {"quota", toString(LogEvent.Quota)},
       {"quota_wait_ms", LogEvent.QuotaWait.Count},
       {"catalog", LogEvent.Version.Value},
       {"status", LogEvent.Status},
       {"reason", toString(LogEvent.Reason)},
       {"client_left", LogEvent.HasClientDisconnected},
       {"took_ms", LogEvent.Elapsed.Count},
       {"objective_ms", LogEvent.Objective.Count},
       {"queued_ms", LogEvent.QueueTime.Count},
       {"queued_behind", LogEvent.QueuedBehind},
       {"gathering_ms", LogEvent.GatherTime.Count},
       {"covered", LogEvent.Covered},
       {"shards", LogEvent.Shards},
       {"hedges", LogEvent.Hedges},
       {"retries", LogEvent.Retries},
       {"repeats", LogEvent.SliceRetries},
       {"unreachable", LogEvent.Unreachable},
       {"detours", LogEvent.Detours},
       {"detoured_to", LogEvent.DetouredTo.Value == 0
                           ? std::string("-")
                           : toText(LogEvent.DetouredTo)},
       {"budget_denied", LogEvent.BudgetDenials},
       {"repeats_sent", listRepeats(LogEvent, &relay::repeat_count::Sent)},
       {"repeats_denied", listRepeats(LogEvent, &relay::repeat_count::Denied)},
       {"lacking", joinNames(LogEvent.MissingShards)}});
}

void decision_log::observeStages(const relay::request_log_event &LogEvent) {
  if (LogEvent.Reason == relay::relay_refusal::none)
    Metrics.observe("stage", "queue", LogEvent.QueueTime);
  if (LogEvent.GatherTime > millis{0})
    Metrics.observe("stage", "gather", LogEvent.GatherTime);
}

/// Writes the log event of a shard request from another relay.
void decision_log::writeShardRequest(const relay::request_log_event &LogEvent,
                                     instant Now) {
  Metrics.add("asks", LogEvent.Covered < LogEvent.Shards ? "partial" : "whole");
  Metrics.observe("ask", "", LogEvent.Elapsed);
  observeStages(LogEvent);
  if (LogEvent.Covered >= LogEvent.Shards || !takeToken(Now))
    return;
  telemetry::logEvent(
      severity::warning, "ask",
      {{"id", LogEvent.RequestId},
       {"account", LogEvent.Account.Value},
       {"queued_behind", LogEvent.QueuedBehind},
       {"took_ms", LogEvent.Elapsed.Count},
       {"covered", LogEvent.Covered},
       {"shards", LogEvent.Shards},
       {"hedges", LogEvent.Hedges},
       {"retries", LogEvent.Retries},
       {"unreachable", LogEvent.Unreachable},
       {"budget_denied", LogEvent.BudgetDenials},
       {"repeats_sent", listRepeats(LogEvent, &relay::repeat_count::Sent)},
       {"repeats_denied",
        listRepeats(LogEvent, &relay::repeat_count::Denied)}});
}

void decision_log::write(const relay::attempt_log_event &LogEvent,
                         instant Now) {
  Metrics.add("attempts_failed", toString(LogEvent.Verdict));
  if (!takeToken(Now))
    return;
  telemetry::logEvent(severity::warning, "attempt_failed",
                      {{"id", LogEvent.RequestId},
                       {"fingerprint", toHex(LogEvent.Fingerprint)},
                       {"service", LogEvent.Service.Value},
                       {"endpoint", LogEvent.Instance},
                       {"version", LogEvent.Version.Value},
                       {"verdict", toString(LogEvent.Verdict)},
                       {"status", LogEvent.Status},
                       {"took_ms", LogEvent.Elapsed.Count}});
}

void decision_log::write(const relay::crash_log_event &LogEvent, instant Now) {
  Metrics.add("crashes", LogEvent.Service.Value);
  if (!takeToken(Now))
    return;
  telemetry::logEvent(severity::warning, "endpoint_crashed",
                      {{"id", LogEvent.RequestId},
                       {"fingerprint", toHex(LogEvent.Fingerprint)},
                       {"service", LogEvent.Service.Value},
                       {"endpoint", LogEvent.Instance}});
}

void decision_log::write(const relay::endpoint_log_event &LogEvent,
                         instant Now) {
  Metrics.add("beliefs", toString(LogEvent.Change));
  // The registry logs changes of the endpoint list once for all relays.
  const bool IsListChange =
      LogEvent.Change == relay::endpoint_state_change::listed ||
      LogEvent.Change == relay::endpoint_state_change::leaving ||
      LogEvent.Change == relay::endpoint_state_change::gone;
  if (IsListChange || !takeToken(Now))
    return;
  telemetry::logEvent(severity::info, "endpoint",
                      {{"endpoint", LogEvent.Instance},
                       {"service", LogEvent.Service.Value},
                       {"version", LogEvent.Version.Value},
                       {"change", toString(LogEvent.Change)},
                       {"cold_ms", LogEvent.ColdFor.Count},
                       {"pause_ms", LogEvent.PauseFor.Count},
                       {"limit_per_s", LogEvent.RateLimit.PerSecond},
                       {"sent_under_limit", LogEvent.SentUnderLimit},
                       {"last_of_service", LogEvent.IsLastOfService}});
}

void decision_log::count(const relay::rollout_report &Report) {
  std::uint64_t Old = 0;
  std::uint64_t New = 0;
  for (const relay::route_counts &Each : Report.Routes) {
    Old += Each.Old.Sent;
    New += Each.New.Sent;
  }
  const std::string &Service = Report.Service.Value;
  Metrics.set("rollout_requests", Service + "/old", Old);
  Metrics.set("rollout_requests", Service + "/new", New);
  Metrics.set("rollout_share", Service, Report.Share);
}

void decision_log::write(const relay::peer_log_event &LogEvent, instant Now) {
  const bool IsPassedOver = LogEvent.Backoff > millis{0};
  const char *Silence = LogEvent.IsReachLost ? "without_reach" : "silent";
  const char *Change = IsPassedOver ? Silence : "heard";
  Metrics.add("peers", Change);
  if (!takeToken(Now))
    return;
  telemetry::logEvent(IsPassedOver ? severity::warning : severity::info, "peer",
                      {{"peer", toText(LogEvent.Peer)},
                       {"id", LogEvent.RequestId},
                       {"change", Change},
                       {"passed_over_ms", LogEvent.Backoff.Count}});
}

void decision_log::write(const relay::requester_log_event &LogEvent,
                         instant Now) {
  Metrics.add("asks_abandoned", "", LogEvent.Abandoned);
  if (!takeToken(Now))
    return;
  telemetry::logEvent(severity::warning, "requester_lost",
                      {{"address", toText(LogEvent.Address)},
                       {"abandoned", LogEvent.Abandoned}});
}

void decision_log::count(const relay::ignored_reply_event &Event) {
  Metrics.add("replies_ignored", toString(Event.Reason));
}

void decision_log::write(const relay::reach_log_event &LogEvent, instant Now) {
  const char *Change = LogEvent.IsLost ? "lost" : "restored";
  Metrics.add("reach", Change);
  if (!takeToken(Now))
    return;
  telemetry::logEvent(LogEvent.IsLost ? severity::error : severity::info,
                      "reach",
                      {{"change", Change},
                       {"endpoints_unheard", LogEvent.UnheardEndpoints},
                       {"doubt_ms", LogEvent.DoubtTime.Count}});
}

} // namespace bulrush::fleet
