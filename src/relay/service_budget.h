/// How many further attempts one daemon may send to one service.
#pragma once

#include "bulrushtray/clock.h"
#include "relay/settings.h"

#include <algorithm>

namespace bulrush::relay {

/// A token bucket, filled by first attempts and by time. What one daemon spends
/// in any window is at most `Ratio` of its own first attempts there plus its
/// share of the slack, so that all daemons together stay within the service's
/// bound.
class service_budget {
public:
  /// `Peers` daemons share the slack.
  void resize(const budget_settings &Settings, std::uint32_t Peers) {
    const double Share = Settings.Slack * SafeShare / std::max(Peers, 1U);
    Capacity = Share * BurstShare;
    Rate = Share * (1 - BurstShare) / Settings.Window.Count;
    Ratio = Settings.Ratio * SafeShare;
    if (!IsSized)
      Tokens = Capacity * StartShare;
    IsSized = true;
    Tokens = std::min(Tokens, Capacity);
  }

  /// Time goes on.
  void refill(instant Now) {
    if (IsFilled)
      Tokens = std::min(Capacity, Tokens + Rate * (Now - FilledAt).Count);
    IsFilled = true;
    FilledAt = Now;
  }

  void onFirstAttempt() { Tokens = std::min(Capacity, Tokens + Ratio); }

  bool canSpend(double Reserve = 0) const { return Tokens >= 1 + Reserve; }

  /// False when too little is left beside `Reserve`.
  bool spend(double Reserve = 0) {
    if (!canSpend(Reserve))
      return false;
    Tokens -= 1;
    return true;
  }

  /// What hedges leave to retries of attempts that failed.
  double hedgeReserve() const { return Capacity * RetryShare; }

private:
  /// Daemons disagree for moments on how many they are.
  static constexpr double SafeShare = 0.85;
  /// Of the share of a window; the rest comes with the time.
  static constexpr double BurstShare = 0.6;
  /// A daemon that has just started may have spent something in its former
  /// life.
  static constexpr double StartShare = 0.5;
  static constexpr double RetryShare = 0.25;

  double Capacity = 0;
  double Rate = 0; ///< tokens in a millisecond
  double Ratio = 0;
  double Tokens = 0;
  instant FilledAt;
  bool IsFilled = false; ///< the time counts from the first look
  bool IsSized = false;
};

} // namespace bulrush::relay
