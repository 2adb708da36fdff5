/// How many requests of one daemon an endpoint bears at a time.
#pragma once

#include "bulrushtray/clock.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace bulrush::relay {

/// Additive increase while requests end in time, multiplicative decrease when
/// one is shed or late; one decrease for all requests of the same moment.
class flight_limit {
public:
  /// Begins with as many as the endpoint runs at a time: several daemons ask
  /// it, and what it sheds costs more than what waits here.
  explicit flight_limit(std::uint32_t Slots)
      : Limit(std::max(First, static_cast<double>(Slots))) {}

  std::size_t limit() const { return static_cast<std::size_t>(Limit); }

  /// A request that was sent with `Level` in flight ended in time.
  void onSuccess(std::size_t Level) {
    if (static_cast<double>(Level) + 1 >= Limit)
      Limit = std::min(Most, Limit + 1 / Limit);
  }

  void onCongestion(instant Now) {
    if (Now - CutAt < CutInterval)
      return;
    CutAt = Now;
    Limit = std::max(1.0, Limit * KeptShare);
  }

private:
  static constexpr double First = 2;
  static constexpr double Most = 32;
  static constexpr double KeptShare = 0.6;
  static constexpr millis CutInterval{100};

  double Limit;
  instant CutAt{-1e300};
};

} // namespace bulrush::relay
