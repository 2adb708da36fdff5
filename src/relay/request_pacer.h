/// Spaces the requests of one relay to an endpoint that limits their rate.
#pragma once

#include "bulrushtray/rate.h"

#include <algorithm>
#include <cmath>

namespace bulrush::relay {

/// Grants turns at a fixed interval. A turn that is not used at once stays
/// valid for `TurnLifetime`, so that a busy relay catches up after a short gap,
/// while many idle relays do not save up turns and use them together: within
/// any time T, relays whose rates sum up to R send at most
/// R * (T + TurnLifetime) requests and one each.
class request_pacer {
public:
  /// `Phase`, from 0 to 1, places the first turn within the first interval, so
  /// that relays which hear of a limit together do not take turns together.
  request_pacer(request_rate Rate, double Phase, instant Now)
      : Rate(Rate), Turn(Now + Rate.interval() * Phase) {}

  /// A turn that has not come yet moves in proportion to the interval.
  void setRate(request_rate New, instant Now) {
    if (New == Rate)
      return;
    if (Turn > Now)
      Turn = Now + (Turn - Now) * (Rate.PerSecond / New.PerSecond);
    Rate = New;
  }

  /// The next turn that is still valid; it may have come already.
  instant nextTurn(instant Now) const {
    const millis Overdue = Now - TurnLifetime - Turn;
    if (Overdue <= millis{0})
      return Turn;
    return Turn + Rate.interval() * std::ceil(Overdue / Rate.interval());
  }
  bool hasTurn(instant Now) const { return nextTurn(Now) <= Now; }
  /// Uses up the next turn, also if it has not come yet.
  void take(instant Now) { Turn = nextTurn(Now) + Rate.interval(); }

private:
  static constexpr millis TurnLifetime{1500};

  request_rate Rate; ///< above 0
  instant Turn;
};

} // namespace bulrush::relay
