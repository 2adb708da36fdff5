#include "query/admission_throttle.h"

#include <algorithm>
#include <cmath>

namespace bulrush::query {

void admission_throttle::decay(const throttle_settings &Settings, instant Now) {
  const double HalfLives = (Now - DecayedAt) / Settings.HalfLife;
  const double Factor = std::exp2(-HalfLives);
  Arrived *= Factor;
  Succeeded *= Factor;
  DecayedAt = Now;
}

bool admission_throttle::admit(const throttle_settings &Settings, instant Now,
                               double Draw) {
  if (!Settings.Enabled)
    return true;
  decay(Settings, Now);
  const double Excess = Arrived - Settings.Headroom * Succeeded;
  const double RefusedShare = std::min(
      Excess / (Arrived + Settings.PriorArrivals), Settings.MaxRefusedShare);
  Arrived += 1;
  return Draw >= RefusedShare;
}

void admission_throttle::onQueryEnded(const throttle_settings &Settings,
                                      instant Now, bool FailedByLoad) {
  if (!Settings.Enabled || FailedByLoad)
    return;
  decay(Settings, Now);
  Succeeded += 1;
}

void admission_throttle::onQueryAbandoned(const throttle_settings &Settings,
                                          instant AdmittedAt, instant Now) {
  if (!Settings.Enabled)
    return;
  decay(Settings, Now);
  const double HalfLives = (Now - AdmittedAt) / Settings.HalfLife;
  Arrived = std::max(0.0, Arrived - std::exp2(-HalfLives));
}

} // namespace bulrush::query
