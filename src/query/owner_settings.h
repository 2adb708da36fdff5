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
  double DeviationsOfSlack =
      1;                      ///< added to the mean service time, for admission
  millis FirstServiceTime{5}; ///< assumed before the first reply

  double GateUse = 0.95;   ///< share of an endpoint's capacity that is admitted
  millis GateWindow{100};  ///< between two adjustments of what is admitted
  millis GateMemory{1000}; ///< over which offered rates are averaged
  double CapacityGain = 1.0 / 128; ///< weight of one reply in the capacity

  millis OccupancyMargin{50};     ///< a lost request counts until its deadline
                                  ///< and this have passed
  millis FirstProbeDelay{10};     ///< after a failed probe; doubles
  millis LongestProbeDelay{1000}; ///< bound of the doubling
  double JumpFactor = 4;          ///< a latency jump is this times the usual
  std::uint32_t JumpReplies = 3;  ///< consecutive slow replies of a jump
  std::uint32_t RampReplies = 64; ///< successes that open one more cold slot,
                                  ///< where nothing better is known
  std::uint32_t RaiseReplies =
      50; ///< successes that raise a lowered limit by one

  millis HealthPeriod{500};  ///< between two health probes of an endpoint
  millis ReportPeriod{3000}; ///< longest time between two reports
  millis ReportSpacing{20};  ///< shortest time between two reports
  millis DrainingMemory{
      1000}; ///< a draining sign outweighs health for this long
  millis RetryWhenClosed{500}; ///< retry hint while an endpoint takes no work
};

} // namespace bulrush::query
