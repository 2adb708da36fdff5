#include "relay/reach_monitor.h"

#include <utility>

namespace bulrush::relay {

namespace {

/// Endpoints without a reply that put reach in doubt. A single one may be down.
constexpr std::size_t MinUnheard = 2;
/// Longer than the stalls of single endpoints.
constexpr millis ConfirmTime{300};

} // namespace

void reach_monitor::onHeard() {
  Unheard.clear();
  DoubtSince = Never;
  IsDoubtNew = false;
  IsLost = false;
}

void reach_monitor::onUnheard(endpoint_no Endpoint, instant Now) {
  Unheard.insert(Endpoint);
  if (DoubtSince < Never || Unheard.size() < MinUnheard)
    return;
  DoubtSince = Now;
  IsDoubtNew = true;
}

bool reach_monitor::takeNewDoubt() { return std::exchange(IsDoubtNew, false); }

bool reach_monitor::update(instant Now) {
  IsLost = IsLost || Now >= lossDue();
  return std::exchange(WasLost, IsLost) != IsLost;
}

instant reach_monitor::lossDue() const {
  return IsLost || DoubtSince == Never ? Never : DoubtSince + ConfirmTime;
}

millis reach_monitor::doubtTime(instant Now) const {
  return DoubtSince < Never ? Now - DoubtSince : millis{0};
}

} // namespace bulrush::relay
