/// Budget for the retries and hedges that one relay sends to one service.
#pragma once

#include "bulrushtray/clock.h"
#include "relay/settings.h"

#include <algorithm>

namespace bulrush::relay {

/// Token bucket filled by first attempts and over time; each retry or hedge
/// takes one token. In any window a relay spends at most `Ratio` of its own
/// first attempts plus its share of the slack, so all relays together stay
/// within the service's bound. A relay without a share spends what its first
/// attempts have earned in the last moments: there may be many such relays, and
/// what each had saved up would come on top of the slack.
class service_budget {
public:
  /// Sets the limits; `SharingRelays` relays share the slack, this one
  /// included. 0: this relay has no share.
  void resize(const budget_settings &Settings, std::uint32_t SharingRelays) {
    HasShare = SharingRelays > 0;
    const double Share =
        HasShare ? Settings.Slack * SafetyFactor / SharingRelays : 0;
    Capacity = HasShare ? Share * BurstShare : CapacityWithoutShare;
    Rate = Share * (1 - BurstShare) / Settings.Window.Count;
    Ratio = Settings.Ratio * SafetyFactor;
    if (HasShare && !HasHadShare)
      Tokens = std::max(Tokens, Capacity * InitialFillShare);
    HasHadShare = HasHadShare || HasShare;
    Tokens = std::min(Tokens, Capacity);
  }

  /// Adds the tokens earned over the time since the previous call.
  void refill(instant Now) {
    const double Elapsed = HasRefilled ? (Now - RefilledAt).Count : 0;
    if (HasShare)
      Tokens = std::min(Capacity, Tokens + Rate * Elapsed);
    else
      Tokens *= std::max(0.0, 1 - Elapsed / LifetimeWithoutShare.Count);
    HasRefilled = true;
    RefilledAt = Now;
  }

  /// Whether tokens come over time, not by first attempts only.
  bool refillsOverTime() const { return Rate > 0; }

  /// Adds the tokens earned by one first attempt.
  void onFirstAttempt() { Tokens = std::min(Capacity, Tokens + Ratio); }

  /// Whether one token can be taken while at least `Reserve` tokens remain.
  bool canSpend(double Reserve = 0) const { return Tokens >= 1 + Reserve; }

  /// Takes one token, unless fewer than `Reserve` would be left; returns
  /// whether it did.
  bool spend(double Reserve = 0) {
    if (!canSpend(Reserve))
      return false;
    Tokens -= 1;
    return true;
  }

  /// Tokens that hedges leave for others. An urgent hedge is sent at the last
  /// time at which its reply is still useful and leaves tokens for retries of
  /// failed attempts. An early one, whose part may well end without it, leaves
  /// tokens for urgent hedges too.
  double hedgeReserve(bool IsUrgent) const {
    return Capacity * (IsUrgent ? RetryReserveShare : UrgentReserveShare);
  }

private:
  /// Margin because relays briefly disagree on how many they are.
  static constexpr double SafetyFactor = 0.85;
  /// Part of the slack of a window that the bucket holds; the other part
  /// is earned over the window.
  static constexpr double BurstShare = 0.6;
  /// A restarted relay may have spent tokens before the restart, so the bucket
  /// starts partly filled.
  static constexpr double InitialFillShare = 0.5;
  /// Tokens that a relay without a share can hold, and how long they last.
  static constexpr double CapacityWithoutShare = 1.5;
  static constexpr millis LifetimeWithoutShare{2000};
  /// Shares of the capacity that urgent and early hedges leave.
  static constexpr double RetryReserveShare = 0.1;
  static constexpr double UrgentReserveShare = 0.4;

  double Capacity = 0;
  double Rate = 0;  ///< tokens per millisecond
  double Ratio = 0; ///< tokens per first attempt
  double Tokens = 0;
  instant RefilledAt;
  bool HasRefilled = false; ///< time counts from the first call of `refill`
  bool HasShare = false;
  bool HasHadShare = false;
};

} // namespace bulrush::relay
