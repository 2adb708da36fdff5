#include "relay/reach_monitor.h"

#include <algorithm>
#include <utility>

namespace bulrush::relay {

namespace {

/// Endpoints without a reply that put reach in doubt. A single one may be down.
constexpr std::size_t MinUnheard = 2;
/// Longer than the stalls of single endpoints.
constexpr millis ConfirmTime{300};
/// Between probes of further endpoints while reach is in doubt or lost.
constexpr millis ProbeInterval{1000};

} // namespace

void reach_monitor::onHeard() {
  Unheard.clear();
  DoubtSince = Never;
  ProbesAt = Never;
  IsLost = false;
}

void reach_monitor::onUnheard(endpoint_no Endpoint, instant Now) {
  Unheard.insert(Endpoint);
  if (DoubtSince < Never || Unheard.size() < MinUnheard)
    return;
  DoubtSince = Now;
  ProbesAt = Now;
}

bool reach_monitor::takeProbesDue(instant Now) {
  if (Now < ProbesAt)
    return false;
  ProbesAt = Now + ProbeInterval;
  return true;
}

bool reach_monitor::update(instant Now) {
  IsLost = IsLost || Now >= lossDue();
  return std::exchange(WasLost, IsLost) != IsLost;
}

instant reach_monitor::lossDue() const {
  return IsLost || DoubtSince == Never ? Never : DoubtSince + ConfirmTime;
}

instant reach_monitor::nextDue() const { return std::min(lossDue(), ProbesAt); }

millis reach_monitor::doubtTime(instant Now) const {
  return DoubtSince < Never ? Now - DoubtSince : millis{0};
}

} // namespace bulrush::relay
