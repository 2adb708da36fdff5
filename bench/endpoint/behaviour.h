/// How a stand-in endpoint behaves; every field can be changed while it runs.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace bulrush::bench {

/// Settable behaviour of one endpoint. Shares are from 0 to 1.
struct endpoint_behaviour {
  millis MeanService{5};      ///< mean of the lognormal service time
  double Sigma = 0.5;         ///< its shape: deviation of the logarithm
  double SlowFactor = 1;      ///< multiplies every service time
  double StragglerShare = 0;  ///< share of requests that are stragglers
  double StragglerFactor = 1; ///< multiplies the service time of a straggler
  std::uint32_t Slots = 2;    ///< requests it runs at once when warm
  std::uint32_t Connections = 25;
  millis ConnectCost{6}; ///< from accepting a connection to serving it

  std::uint32_t ColdInFlight = 1; ///< requests it bears at the start
  std::uint32_t RampRequests = 8; ///< served before it bears one more
  millis RampTime{2000};          ///< or time after which it bears one more
  millis DownTime{500};           ///< after it fell over
  std::uint32_t DownFactor = 2;   ///< multiplies RampRequests after it fell
  millis SignGrace{5}; ///< from the first sign of cold until excess is a breach

  double LostReplyShare = 0; ///< runs, but the reply is never sent
  double LateReplyShare = 0; ///< runs, but the reply is sent late
  millis LateBy{200};
  millis HealthLag{0};     ///< age of what the health report says
  bool HealthLies = false; ///< the report says warm and idle, always
  bool FlagLies = false;   ///< the cold flag of replies is never set
  millis RetryAfter{20};   ///< hint in replies that shed

  bool operator==(const endpoint_behaviour &) const = default;
};

/// `Base` with the fields that the JSON object `Text` names replaced, for
/// example `{"meanServiceMs": 4}`. Unknown keys and wrong types are errors.
expected<endpoint_behaviour> patched(const endpoint_behaviour &Base,
                                     std::string_view Text);

/// All fields as a JSON object.
std::string toJson(const endpoint_behaviour &Behaviour);

} // namespace bulrush::bench
