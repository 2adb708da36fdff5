/// How long a connection may rest and still be used.
#pragma once

#include "bulrushtray/clock.h"

#include <algorithm>
#include <optional>

namespace bulrush::http {

/// A server closes idle connections after a time that it may announce, and some
/// forget them sooner without a word: what is sent next is lost. Whoever uses a
/// connection only within the limit meets neither.
class idle_limit {
public:
  /// The server announces that it keeps idle connections for so long.
  void onAnnounced(millis KeptFor) {
    Announced = std::max(KeptFor - Margin, KeptFor * 0.5);
  }

  /// A connection that had rested for so long was lost as soon as it was used.
  void onStaleConnection(millis Rested, instant Now) {
    const millis Shorter = Rested * ForgottenShare;
    Forgotten = Now < ForgottenUntil ? std::min(Forgotten, Shorter) : Shorter;
    ForgottenUntil = Now + ForgottenMemory;
  }

  /// A connection that rested for longer is not used.
  millis value(instant Now) const {
    const millis Usual = Announced.value_or(Unannounced);
    return Now < ForgottenUntil ? std::min(Usual, Forgotten) : Usual;
  }

private:
  /// Between the server's clock and this one, with what is on its way.
  static constexpr millis Margin{1000};
  /// Where the server has announced nothing; common servers keep 5 s and more.
  static constexpr millis Unannounced{4500};
  static constexpr double ForgottenShare = 0.7;
  static constexpr millis ForgottenMemory{10'000};

  std::optional<millis> Announced;
  millis Forgotten;
  instant ForgottenUntil{-1e300};
};

} // namespace bulrush::http
