#include "relay/cold_time.h"

#include <algorithm>

namespace bulrush::relay {

void cold_time::onListed(millis Left, instant ReadAt, millis ListLag) {
  ListedUntil = ReadAt + Left;
  if (ReadAt - ListLag > StatedAt)
    StatedUntil = instant{-1e300};
  if (Left > millis{0})
    IsVerified = false;
}

void cold_time::onStated(millis Left, instant Now) {
  StatedUntil = Now + Left;
  StatedAt = Now;
  if (Left > millis{0})
    IsVerified = false;
}

void cold_time::onHealthy(instant Now) {
  if (!isCold(Now))
    IsVerified = true;
}

instant cold_time::end() const { return std::max(ListedUntil, StatedUntil); }

} // namespace bulrush::relay
