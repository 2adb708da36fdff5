/// Limit on the idle time after which a connection is no longer used.
#pragma once

#include "bulrushtray/clock.h"

#include <algorithm>
#include <optional>

namespace bulrush::http {

/// A server closes idle connections after a timeout that it may announce in a
/// Keep-Alive header. Some servers drop them sooner without closing them, and
/// the next request on such a stale connection is lost. Connections that are
/// reused only within this limit avoid both.
class idle_limit {
public:
  /// The server announced that it closes connections idle for `Timeout`.
  void onKeepAliveTimeout(millis Timeout) {
    AnnouncedLimit = std::max(Timeout - Margin, Timeout * 0.5);
  }

  /// A request was lost right after it was sent on a connection that had been
  /// idle for `IdleTime`.
  void onStaleConnection(millis IdleTime, instant Now) {
    const millis Reduced = IdleTime * StaleLimitShare;
    StaleLimit =
        Now < StaleLimitUntil ? std::min(StaleLimit, Reduced) : Reduced;
    StaleLimitUntil = Now + StaleLimitLifetime;
  }

  /// Connections idle for longer than this must not be used.
  millis value(instant Now) const {
    const millis Usual = AnnouncedLimit.value_or(DefaultLimit);
    return Now < StaleLimitUntil ? std::min(Usual, StaleLimit) : Usual;
  }

private:
  /// Covers clock differences to the server and bytes in transit.
  static constexpr millis Margin{1000};
  /// If the server announces no timeout; common servers use at least 5 s.
  static constexpr millis DefaultLimit{4500};
  static constexpr double StaleLimitShare = 0.7;
  static constexpr millis StaleLimitLifetime{10'000};

  std::optional<millis> AnnouncedLimit;
  millis StaleLimit;
  instant StaleLimitUntil{-1e300};
};

} // namespace bulrush::http
