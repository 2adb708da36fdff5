#include "relay/endpoint_turns.h"

#include <algorithm>

namespace bulrush::relay {

namespace {

/// A share that was not granted again for this long has expired.
constexpr millis ShareLifetime{3000};
/// A granted turn is valid for this long.
constexpr millis TurnLifetime{500};
/// Longer than the leader takes to reply, inside a region.
constexpr millis ReplyTime{40};
/// Time between two asks of a leader that does not reply.
constexpr millis AskInterval{500};

} // namespace

void endpoint_turns::setEvenShare(request_rate New, instant Now) {
  EvenShare = New;
  refresh(Now);
}

void endpoint_turns::on(const limit_grant &Grant, instant Now) {
  if (!Grant.Share)
    return;
  FirstAskedAt = Never;
  Share = *Grant.Share;
  ShareGrantedAt = Now;
  if (Grant.TurnIn)
    GrantedTurn = Now + *Grant.TurnIn;
  AskAgainAt = Now + Grant.AskAgainIn;
  refresh(Now);
}

void endpoint_turns::refresh(instant Now) {
  Pacer.setRate(isShareGranted(Now) ? Share : EvenShare, Now);
}

bool endpoint_turns::isShareGranted(instant Now) const {
  return Share > request_rate{} && Now - ShareGrantedAt < ShareLifetime;
}

bool endpoint_turns::isLeaderSilent(instant Now) const {
  return FirstAskedAt < Never && Now - FirstAskedAt >= ReplyTime;
}

bool endpoint_turns::hasGrantedTurn(instant Now) const {
  return Now <= GrantedTurn + TurnLifetime;
}

instant endpoint_turns::nextTurn(instant Now) const {
  if (hasGrantedTurn(Now))
    return GrantedTurn;
  if (isPaced(Now))
    return Pacer.nextTurn(Now);
  if (FirstAskedAt < Never)
    return FirstAskedAt + ReplyTime;
  return std::max(AskAgainAt, Now) + ReplyTime;
}

void endpoint_turns::take(instant Now) {
  if (hasGrantedTurn(Now)) {
    GrantedTurn = instant{-1e300};
    return;
  }
  Pacer.take(Now);
}

bool endpoint_turns::shouldAsk(instant Now) const {
  const bool IsAnswered = FirstAskedAt == Never;
  return !hasGrantedTurn(Now) && !isShareGranted(Now) && Now >= AskAgainAt &&
         (IsAnswered || Now - LastAskedAt >= AskInterval);
}

void endpoint_turns::onAsked(instant Now) {
  FirstAskedAt = std::min(FirstAskedAt, Now);
  LastAskedAt = Now;
}

} // namespace bulrush::relay
