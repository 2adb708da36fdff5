/// Settings of the owner of a set of endpoints.
#pragma once

#include "bulrushtray/clock.h"

#include <cstddef>
#include <cstdint>

namespace bulrush::query {

/// How an owner orders and refuses queued sub-requests.
enum class admission_policy : std::uint8_t {
  weighted_deadline, ///< fair by intent weight; refuses whole queries early
  ungated, ///< baseline: the same, but each endpoint refuses independently
  fifo     ///< baseline: arrival order, refuses only at the deadline
};

/// How an owner detects that an endpoint is cold.
enum class cold_policy : std::uint8_t {
  inferred,    ///< from the endpoint's replies and failures
  trust_health ///< baseline: from its health reports only
};

/// Settings of the `owner` core.
struct owner_settings {
  admission_policy Admission = admission_policy::weighted_deadline;
  cold_policy Cold = cold_policy::inferred;

  /// Maximum number of queued sub-requests of one endpoint.
  std::size_t MaxQueued = 256;
  /// Time reserved before each deadline to return the reply.
  millis ReplyTransit{1};
  /// Admission estimates the service time as the mean plus this many mean
  /// deviations.
  double SlackDeviations = 1;
  /// Estimate of the service time before the first reply.
  millis InitialServiceTime{5};

  /// Share of an endpoint's capacity that the admission gate admits.
  double GateUtilization = 0.95;
  /// Time between adjustments of the admitted shares.
  millis GateWindow{100};
  /// Time constant of the exponential average of the offered rates.
  millis GateTimeConstant{1000};
  /// Weight of one reply in the moving average behind the capacity estimate.
  double CapacityGain = 1.0 / 128;

  /// A request without a reply occupies its slot until this long after its
  /// deadline.
  millis OccupancyMargin{50};
  /// Delay after the first failed probe of a cold endpoint; doubles with each
  /// further failure.
  millis FirstProbeDelay{10};
  /// Upper bound of the probe delay, also if the endpoint asks for a longer
  /// one.
  millis MaxProbeDelay{1000};
  /// A reply is slow if its latency exceeds this multiple of the mean.
  double LatencyJumpFactor = 4;
  /// Number of consecutive slow replies that count as a latency jump.
  std::uint32_t LatencyJumpReplies = 3;
  /// Successes needed to open one more slot of a cold endpoint, if neither its
  /// warm generation nor a `warm_signal` opens all of them. Failures during
  /// the ramp raise the number.
  std::uint32_t RampReplies = 64;
  /// Successes needed to raise a lowered limit by one.
  std::uint32_t LimitRaiseReplies = 50;

  /// Time between health checks of an endpoint.
  millis HealthPeriod{500};
  /// Maximum time between reports on an endpoint.
  millis ReportPeriod{3000};
  /// Minimum time between reports, unless the condition changes.
  millis MinReportInterval{20};
  /// Replies and health reports clear the draining state only when it was last
  /// reported at least this long ago.
  millis DrainingHoldTime{1000};
  /// Suggested retry delay in refusals of an endpoint that gets no new
  /// requests.
  millis ClosedRetryAfter{500};
};

} // namespace bulrush::query
