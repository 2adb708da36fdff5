/// A running quantile of latencies.
#pragma once

#include "bulrushtray/clock.h"

#include <algorithm>

namespace bulrush::relay {

/// Follows a quantile by steps in proportion to its value: up by `Share` of a
/// step for each larger sample, down by the rest for each smaller one.
class latency_quantile {
public:
  latency_quantile(double Share, millis First) : Share(Share), Value(First) {}

  void add(millis Sample) {
    const double Step = Value.Count * StepShare;
    Value.Count += Sample > Value ? Step * Share : -Step * (1 - Share);
    Value.Count = std::max(Value.Count, Least);
  }

  millis value() const { return Value; }

private:
  static constexpr double StepShare = 0.15;
  static constexpr double Least = 0.5; ///< ms

  double Share;
  millis Value;
};

} // namespace bulrush::relay
