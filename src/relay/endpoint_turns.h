/// When one relay may send requests to an endpoint with a rate limit.
#pragma once

#include "relay/rate_limits.h"
#include "relay/request_pacer.h"

namespace bulrush::relay {

/// A relay with enough demand is granted a share of the rate and paces itself.
/// The others ask the registry's leader for one turn at a time. While the
/// leader does not reply, a relay paces itself at an even part of the rate:
/// even parts of all relays sum up to the limit.
class endpoint_turns {
public:
  /// `Phase` places the first turn without a leader; see `request_pacer`.
  endpoint_turns(request_rate EvenShare, double Phase, instant Now)
      : EvenShare(EvenShare), Pacer(EvenShare, Phase, Now) {}

  void setEvenShare(request_rate Share, instant Now);
  /// Applies a reply of the leader.
  void on(const limit_grant &Grant, instant Now);
  /// Applies that time has passed: a share that is not granted again expires.
  void refresh(instant Now);

  bool hasTurn(instant Now) const { return nextTurn(Now) <= Now; }
  /// When a request may be sent; an estimate while the leader is asked.
  instant nextTurn(instant Now) const;
  /// Uses up a turn.
  void take(instant Now);

  /// Whether to ask the leader for a turn that is wanted now.
  bool shouldAsk(instant Now) const;
  void onAsked(instant Now);

private:
  bool isShareGranted(instant Now) const;
  bool isLeaderSilent(instant Now) const;
  bool isPaced(instant Now) const {
    return isShareGranted(Now) || isLeaderSilent(Now);
  }
  bool hasGrantedTurn(instant Now) const;

  request_rate EvenShare;
  request_pacer Pacer;
  request_rate Share; ///< granted by the leader; 0: to ask for turns
  instant ShareGrantedAt{-1e300};
  instant GrantedTurn{-1e300};
  instant FirstAskedAt = Never; ///< of the asks without a reply
  instant LastAskedAt{-1e300};
  instant AskAgainAt{-1e300};
};

} // namespace bulrush::relay
