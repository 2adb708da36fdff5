/// What can be tuned in the owner of a set of endpoints.
#pragma once

#include "bulrushtray/clock.h"

#include <cstddef>
#include <cstdint>

namespace bulrush::query {

/// How queued work is ordered and refused.
enum class admission_policy : std::uint8_t {
  weighted_deadline, ///< fair by intent weight, early refusal of whole queries
  ungated, ///< baseline: the same, but each endpoint refuses for itself
  fifo     ///< baseline: arrival order, refusal only at the deadline
};

/// Where an endpoint's cold start is learnt from.
enum class cold_policy : std::uint8_t {
  inferred,    ///< from what the endpoint does
  trust_health ///< baseline: from its health reports alone
};

/// Settings of the `owner` core.
struct owner_settings {
  admission_policy Admission = admission_policy::weighted_deadline;
  cold_policy Cold = cold_policy::inferred;

  std::size_t MaxQueued = 256; ///< waiting sub-requests for one endpoint
  millis ReplyTransit{1};      ///< kept free of each deadline for the way back
  double SlackDeviations = 1; ///< added to the mean service time, for admission
  millis InitialServiceTime{5}; ///< assumed before the first reply

  double GateUtilization =
      0.95;               ///< share of an endpoint's capacity that is admitted
  millis GateWindow{100}; ///< between two adjustments of what is admitted
  millis GateTimeConstant{1000};   ///< over which offered rates are averaged
  double CapacityGain = 1.0 / 128; ///< weight of one reply in the capacity

  millis OccupancyMargin{50};   ///< a lost request counts until its deadline
                                ///< and this have passed
  millis FirstProbeDelay{10};   ///< after a failed probe; doubles
  millis MaxProbeDelay{1000};   ///< bound of the doubling
  double LatencyJumpFactor = 4; ///< a latency jump is this times the usual
  std::uint32_t LatencyJumpReplies = 3; ///< consecutive slow replies of a jump
  std::uint32_t RampReplies = 64; ///< successes that open one more cold slot,
                                  ///< where nothing better is known
  std::uint32_t LimitRaiseReplies =
      50; ///< successes that raise a lowered limit by one

  millis HealthPeriod{500};     ///< between two health probes of an endpoint
  millis ReportPeriod{3000};    ///< longest time between two reports
  millis MinReportInterval{20}; ///< shortest time between two reports
  millis DrainingHoldTime{
      1000}; ///< a draining sign outweighs health for this long
  millis ClosedRetryAfter{500}; ///< retry hint while an endpoint takes no work
};

} // namespace bulrush::query
