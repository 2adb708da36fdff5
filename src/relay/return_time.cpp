#include "relay/return_time.h"

#include <algorithm>

namespace bulrush::relay {

namespace {

/// Random part of the delay after a pause: a share of the pause, at least
/// `MinSpread`.
constexpr double SpreadShare = 0.5;
constexpr millis MinSpread{100};
/// Minimum delay for a request refused during startup.
constexpr millis MinStartDelay{150};

} // namespace

millis return_time::atStart(millis Left) {
  return std::max(MinStartDelay, Left);
}

millis return_time::spreadAfterPause(millis Pause) {
  return std::max(MinSpread, Pause * SpreadShare);
}

millis return_time::whenBusy(const service_name &Service,
                             std::optional<millis> Wait,
                             std::optional<millis> Interval, instant Now) {
  if (!Wait || !Interval)
    return BusyDelay;
  const auto [Known, IsNew] = LastReturn.try_emplace(Service, Now);
  instant &Last = Known->second;
  Last = std::clamp(std::max(Last + *Interval, Now + *Wait), Now + BusyDelay,
                    Now + MaxBusyDelay);
  return Last - Now;
}

} // namespace bulrush::relay
