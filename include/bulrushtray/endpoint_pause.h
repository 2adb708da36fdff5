/// How long an endpoint may ask to get no requests.
#pragma once

#include "bulrushtray/clock.h"

#include <algorithm>

namespace bulrush {

/// Longest pause that an endpoint can ask for.
inline constexpr millis MaxEndpointPause{60'000};

/// The pause that is observed for a retry delay that an endpoint stated.
constexpr millis endpointPause(millis RetryAfter) {
  return std::min(RetryAfter, MaxEndpointPause);
}

} // namespace bulrush
