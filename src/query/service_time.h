/// Moving estimate of an endpoint's service time.
#pragma once

#include "bulrushtray/clock.h"

#include <cmath>

namespace bulrush::query {

/// Exponentially weighted mean and mean deviation, as in TCP's round-trip time
/// estimate.
class service_time {
public:
  explicit service_time(millis Initial)
      : Mean(Initial), Deviation(Initial * 0.5) {}

  void add(millis Sample) {
    if (!HasSample) {
      HasSample = true;
      Mean = Sample;
      Deviation = Sample * 0.5;
      return;
    }
    const millis Error = Sample - Mean;
    Mean += Error * MeanGain;
    Deviation += (millis{std::abs(Error.Count)} - Deviation) * DeviationGain;
  }

  millis mean() const { return Mean; }
  /// Returns the mean plus `Deviations` mean deviations.
  millis upperBound(double Deviations) const {
    return Mean + Deviation * Deviations;
  }
  bool hasSample() const { return HasSample; }

private:
  static constexpr double MeanGain = 1.0 / 16;
  static constexpr double DeviationGain = 1.0 / 8;

  millis Mean;
  millis Deviation;
  bool HasSample = false;
};

} // namespace bulrush::query
