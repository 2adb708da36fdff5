/// How many further attempts one daemon may send to one service.
#pragma once

#include "relay/settings.h"

#include <algorithm>

namespace bulrush::relay {

/// A token bucket, filled by first attempts. What one daemon spends in any
/// window is at most `Ratio` of its own first attempts there plus its share of
/// the slack, so that all daemons together stay within the service's bound.
class service_budget {
public:
  /// `Peers` daemons share the slack.
  void resize(const budget_settings &Settings, std::uint32_t Peers) {
    const double Share = Settings.Slack * SafeShare / std::max(Peers, 1U);
    if (!IsSized)
      Tokens = Share;
    IsSized = true;
    Capacity = Share;
    Ratio = Settings.Ratio * SafeShare;
    Tokens = std::min(Tokens, Capacity);
  }

  void countFirst() { Tokens = std::min(Capacity, Tokens + Ratio); }

  bool has(double Reserve = 0) const { return Tokens >= 1 + Reserve; }

  /// False when too little is left beside `Reserve`.
  bool spend(double Reserve = 0) {
    if (!has(Reserve))
      return false;
    Tokens -= 1;
    return true;
  }

  /// What hedges leave to retries of attempts that failed.
  double hedgeReserve() const { return Capacity * RetryShare; }

private:
  /// Daemons disagree for moments on how many they are.
  static constexpr double SafeShare = 0.85;
  static constexpr double RetryShare = 0.25;

  double Capacity = 0;
  double Ratio = 0;
  double Tokens = 0;
  bool IsSized = false;
};

} // namespace bulrush::relay
