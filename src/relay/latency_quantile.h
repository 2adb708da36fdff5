/// Streaming estimate of a latency quantile.
#pragma once

#include "bulrushtray/clock.h"

#include <algorithm>

namespace bulrush::relay {

/// Moves the estimate by steps proportional to its value: up by `Level` of a
/// step for each larger sample, else down by `1 - Level` of a step.
class latency_quantile {
public:
  /// `Level` is between 0 and 1; 0.5 estimates the median.
  latency_quantile(double Level, millis Initial)
      : Level(Level), Value(Initial) {}

  void add(millis Sample) {
    const double Step = Value.Count * RelativeStep;
    Value.Count += Sample > Value ? Step * Level : -Step * (1 - Level);
    Value.Count = std::max(Value.Count, MinMs);
  }

  millis value() const { return Value; }

private:
  static constexpr double RelativeStep = 0.15;
  static constexpr double MinMs = 0.5;

  double Level;
  millis Value;
};

} // namespace bulrush::relay
