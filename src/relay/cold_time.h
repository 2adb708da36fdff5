/// Until when an endpoint is cold, by what the platform's list and the endpoint
/// itself say.
#pragma once

#include "bulrushtray/clock.h"

namespace bulrush::relay {

/// The endpoint is cold until the later of two times: that of the latest
/// reading of the list, and that of the latest statement of the endpoint, which
/// holds until a reading that is certainly newer. So either can extend the cold
/// time; the list can also shorten it.
///
/// An endpoint may become cold again at any moment, also right before its cold
/// time ends. So one that was cold is unverified, and gets no requests, until
/// it has replied to a health check without being cold.
class cold_time {
public:
  /// Applies a reading of the list that began at `ReadAt` and shows what was
  /// true at most `ListLag` before. `Left`: remaining cold time at `ReadAt`.
  void onListed(millis Left, instant ReadAt, millis ListLag);
  /// Applies the remaining cold time that the endpoint states.
  void onStated(millis Left, instant Now);
  /// Records that the endpoint replied to a health check and is well.
  void onHealthy(instant Now);

  bool isCold(instant Now) const { return Now < end(); }
  /// Long ago if the endpoint has not been cold.
  instant end() const;
  bool isVerified() const { return IsVerified; }

private:
  instant ListedUntil{-1e300};
  instant StatedUntil{-1e300};
  instant StatedAt{-1e300};
  bool IsVerified = true;
};

} // namespace bulrush::relay
