/// The budget that the hedges and retries of one intent share.
#pragma once

#include "bulrushtray/ids.h"
#include "query/router_settings.h"

#include <algorithm>

namespace bulrush::query {

/// A token bucket that primary sub-requests fill. It limits the additional
/// sub-requests to the intent's share of the primary ones, plus the initial
/// tokens.
class retry_budget {
public:
  explicit retry_budget(const retry_settings &Settings)
      : MaxTokens(Settings.MaxTokens), HedgeReserve(Settings.HedgeReserve),
        Tokens(Settings.InitialTokens) {}

  /// Adds `ExtraLoad` of a token for each primary sub-request.
  void earn(std::uint32_t Primaries, percent ExtraLoad) {
    Tokens = std::min(MaxTokens, Tokens + Primaries * ExtraLoad.share());
  }

  /// Spends a token for each of `Count` retries. Returns false, and spends
  /// none, if there are too few tokens.
  bool spendRetries(std::uint32_t Count) { return spend(Count, 0); }

  /// Spends a token for a hedge. Returns false if the remaining tokens are
  /// reserved for retries.
  bool spendHedge() { return spend(1, HedgeReserve); }

private:
  bool spend(double Cost, double Reserve) {
    if (Tokens < Cost + Reserve)
      return false;
    Tokens -= Cost;
    return true;
  }

  double MaxTokens;
  double HedgeReserve;
  double Tokens;
};

} // namespace bulrush::query
