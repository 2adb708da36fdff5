/// Counts and logs messages between daemons that this build cannot read.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/error.h"
#include "telemetry/metrics.h"

#include <map>
#include <string>

namespace bulrush::fleet {

/// Decides which refused messages are logged: the first of each kind in any
/// minute. Malformed messages are one kind. Deterministic.
class refusal_log {
public:
  /// Returns whether a message of `Kind` is logged.
  bool shouldLog(const std::string &Kind, instant Now);
  /// Returns the kind under which a message is counted: that of its body, or
  /// `other` once too many kinds are known.
  std::string countedKind(const std::string &Kind);

private:
  std::map<std::string, instant> LoggedAt; ///< by counted kind
};

/// Ignores messages of kinds that only newer builds know, and malformed ones.
class refused_messages {
public:
  explicit refused_messages(telemetry::metrics &Metrics) : Metrics(Metrics) {}

  /// Counts and logs a message that `wire::decodeFleet` refused with `Error`.
  void on(const std::string &Bytes, const error &Error, instant Now);

private:
  telemetry::metrics &Metrics;
  refusal_log Log;
};

} // namespace bulrush::fleet
