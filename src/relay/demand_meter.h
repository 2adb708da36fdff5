/// Measures how many requests a relay would send to one endpoint.
#pragma once

#include "bulrushtray/rate.h"

#include <cmath>

namespace bulrush::relay {

/// Exponentially weighted rate of events; older ones count for less.
class demand_meter {
public:
  void add(instant Now) {
    Value = rate(Now).PerSecond + 1000 / TimeConstant.Count;
    UpdatedAt = Now;
  }
  request_rate rate(instant Now) const {
    return {Value * std::exp(-((Now - UpdatedAt) / TimeConstant))};
  }

private:
  static constexpr millis TimeConstant{2000};

  double Value = 0; ///< events per second at `UpdatedAt`
  instant UpdatedAt;
};

} // namespace bulrush::relay
