/// Adaptive limit on the requests of one relay in flight at one endpoint.
#pragma once

#include "bulrushtray/clock.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace bulrush::relay {

/// Additive increase, multiplicative decrease (AIMD): the limit grows while
/// requests end in time. It shrinks when a request is shed or late, at most
/// once per `MinDecreaseInterval`, so that a burst of failures counts once.
class concurrency_limit {
public:
  /// Starts at the number of requests that the endpoint runs in parallel
  /// (`Slots`), at least `MinInitialLimit`. It does not start higher, because
  /// several relays share the endpoint, and a shed request costs more than one
  /// that waits at the relay.
  explicit concurrency_limit(std::uint32_t Slots)
      : Limit(std::max(MinInitialLimit, static_cast<double>(Slots))) {}

  std::size_t limit() const { return static_cast<std::size_t>(Limit); }

  /// Records that a request ended in time; `InFlight` requests, itself
  /// included, were in flight when it was sent. Grows the limit only if it was
  /// nearly reached.
  void onSuccess(std::size_t InFlight) {
    if (static_cast<double>(InFlight) + 1 >= Limit)
      Limit = std::min(MaxLimit, Limit + 1 / Limit);
  }

  /// Records that a request was shed or late.
  void onCongestion(instant Now) {
    if (Now - DecreasedAt < MinDecreaseInterval)
      return;
    DecreasedAt = Now;
    Limit = std::max(1.0, Limit * DecreaseFactor);
  }

private:
  static constexpr double MinInitialLimit = 2;
  static constexpr double MaxLimit = 32;
  static constexpr double DecreaseFactor = 0.6;
  static constexpr millis MinDecreaseInterval{100};

  double Limit;
  instant DecreasedAt{-1e300};
};

} // namespace bulrush::relay
