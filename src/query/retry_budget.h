/// The budget that hedges and retries of one intent draw from together.
#pragma once

#include "bulrushtray/ids.h"
#include "query/router_settings.h"

#include <algorithm>

namespace bulrush::query {

/// A token bucket filled by primary sub-requests: extra load stays within the
/// intent's share of the primary load, plus the tokens it starts with.
class retry_budget {
public:
  explicit retry_budget(const retry_settings &Settings)
      : MaxTokens(Settings.MaxTokens), HedgeReserve(Settings.HedgeReserve),
        Tokens(Settings.InitialTokens) {}

  /// Counts primary sub-requests of an intent that allows `ExtraLoad` of them.
  void earn(std::uint32_t Primaries, percent ExtraLoad) {
    Tokens = std::min(MaxTokens, Tokens + Primaries * ExtraLoad.share());
  }

  /// Takes a token for each retry; false when there are too few.
  bool spendRetries(std::uint32_t Count) { return spend(Count, 0); }

  /// Takes a token for a hedge; false when what is left is kept for retries.
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
