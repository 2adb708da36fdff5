/// Behaviour of a stand-in endpoint. Every field can be changed while it runs.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace bulrush::bench {

/// Behaviour of one endpoint. Shares are from 0 to 1. `forEachField` in
/// behaviour.cpp lists the JSON keys of the fields.
struct endpoint_behaviour {
  millis MeanService{5};      ///< mean of the lognormal service time
  double Sigma = 0.5;         ///< standard deviation of its logarithm
  double SlowFactor = 1;      ///< multiplies every service time
  double StragglerShare = 0;  ///< share of requests that are stragglers
  double StragglerFactor = 1; ///< multiplies the service time of a straggler
  std::uint32_t Slots = 2;    ///< concurrent requests of a warm endpoint
  std::uint32_t Connections = 25; ///< maximum open connections
  millis ConnectCost{6}; ///< from accepting a connection to reading from it

  /// Capacity, in concurrent requests, at the start of a cold period.
  std::uint32_t ColdInFlight = 1;
  /// Requests served before the capacity grows by one.
  std::uint32_t RampRequests = 8;
  /// Time after which the next request served raises the capacity by one, even
  /// if fewer than `RampRequests` were served.
  millis RampTime{2000};
  millis DownTime{500}; ///< time that the endpoint is down after a crash
  std::uint32_t DownFactor = 2; ///< multiplies RampRequests after a crash
  /// Excess requests are a breach only if they arrive later than this after
  /// clients could first detect that the endpoint is cold.
  millis DetectionGrace{5};

  double LostReplyShare = 0;     ///< share of requests that run without a reply
  double LateReplyShare = 0;     ///< share of requests whose reply is sent late
  millis LateReplyDelay{200};    ///< delay of a late reply
  millis HealthLag{0};           ///< age of the state in health reports
  bool HealthAlwaysWarm = false; ///< health reports always say warm and idle
  bool HidesColdFlag = false;    ///< replies never set the cold flag
  millis RetryAfter{20}; ///< hint in replies that shed or refuse for draining

  bool operator==(const endpoint_behaviour &) const = default;
};

/// Returns `Base` with the fields replaced that the JSON object `Text`
/// contains, for example `{"meanServiceMs": 4}`. Unknown keys and wrong types
/// are errors.
expected<endpoint_behaviour> applyPatch(const endpoint_behaviour &Base,
                                        std::string_view Text);

/// Formats all fields as a JSON object.
std::string toJson(const endpoint_behaviour &Behaviour);

} // namespace bulrush::bench
