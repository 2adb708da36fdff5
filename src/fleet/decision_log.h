/// Writes the relay's log events as log lines and metrics.
#pragma once

#include "relay/events.h"
#include "telemetry/metrics.h"

#include <set>

namespace bulrush::fleet {

/// Logs every request that is not routine, up to a rate limit, and a sample of
/// the routine ones. The sample is chosen by request id, so all daemons log the
/// same requests.
class decision_log {
public:
  explicit decision_log(telemetry::metrics &Metrics) : Metrics(Metrics) {}

  void write(const relay::request_log_event &LogEvent, instant Now);
  void write(const relay::attempt_log_event &LogEvent, instant Now);
  void write(const relay::crash_log_event &LogEvent, instant Now);
  void write(const relay::endpoint_log_event &LogEvent, instant Now);
  void write(const relay::peer_log_event &LogEvent, instant Now);
  void write(const relay::requester_log_event &LogEvent, instant Now);
  void write(const relay::reach_log_event &LogEvent, instant Now);
  void count(const relay::ignored_reply_event &Event);
  /// Sets the metrics of a rollout in progress: its share, and the requests to
  /// its target ("new") and to all other versions ("old").
  void count(const relay::rollout_report &Report);

private:
  /// Counts the request and the attempts of an account.
  void countRepeats(const relay::request_log_event &LogEvent);
  void countAccount(const relay::request_log_event &LogEvent);
  void observeStages(const relay::request_log_event &LogEvent);
  void writeShardRequest(const relay::request_log_event &LogEvent, instant Now);
  /// Takes a token from the token bucket that limits log lines. If it is empty,
  /// returns false and counts the line as suppressed.
  bool takeToken(instant Now);

  telemetry::metrics &Metrics;
  /// Accounts with metrics of their own.
  std::set<relay::account_name> CountedAccounts;
  double Tokens = 0;
  instant RefilledAt{-1e300};
  std::uint64_t Suppressed = 0; ///< lines since the last one written
};

} // namespace bulrush::fleet
