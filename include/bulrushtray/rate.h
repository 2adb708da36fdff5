/// Rates of requests.
#pragma once

#include "bulrushtray/clock.h"

#include <compare>

namespace bulrush {

/// A number of requests per second, possibly fractional.
struct request_rate {
  double PerSecond = 0;

  constexpr auto operator<=>(const request_rate &) const = default;
  constexpr request_rate operator*(double Factor) const {
    return {PerSecond * Factor};
  }
  /// Time between two requests at this rate; infinite at a rate of 0.
  constexpr millis interval() const { return {1000 / PerSecond}; }
};

} // namespace bulrush
