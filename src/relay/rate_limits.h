/// What relays and the registry's leader tell each other of the rate limits
/// that endpoints state.
#pragma once

#include "bulrushtray/rate.h"
#include "relay/directory.h"

#include <algorithm>
#include <optional>

namespace bulrush::relay {

/// A lower limit counts as this: an endpoint that gets no requests at all could
/// not state that it takes them again.
inline constexpr request_rate MinRateLimit{0.1};
/// A higher limit counts as this; no endpoint takes as many.
inline constexpr request_rate MaxRateLimit{1e6};

/// The limit that is observed for one that an endpoint stated.
constexpr request_rate observedLimit(request_rate Stated) {
  return std::clamp(Stated, MinRateLimit, MaxRateLimit);
}

/// What an endpoint stated `Age` ago.
struct limit_statement {
  endpoint_identity Endpoint;
  std::optional<request_rate> Limit; ///< none: it takes any number again
  millis Age;

  bool operator==(const limit_statement &) const = default;
};

/// From a relay to the leader.
struct limit_report {
  limit_statement Statement;
  request_rate Demand; ///< that this relay would send without a limit
  /// A request waits for a turn for this long; none if it asks for none.
  std::optional<millis> WantsTurnWithin;

  bool operator==(const limit_report &) const = default;
};

/// From the leader to a relay.
struct limit_grant {
  limit_statement Statement;
  /// What the receiver may send; 0 if it is to ask for single turns, none if
  /// the message only spreads a statement.
  std::optional<request_rate> Share;
  std::optional<millis> TurnIn; ///< a turn that it asked for
  millis AskAgainIn;            ///< it gets no turn before; 0 if it did not ask

  bool operator==(const limit_grant &) const = default;
};

} // namespace bulrush::relay
