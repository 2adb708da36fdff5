/// What one run of `runSharing` counts.
#pragma once

#include "ownership_world.h"

#include <algorithm>

namespace bulrush::bench {

struct ownership_tally {
  std::vector<double> WaitsMs;
  std::uint64_t Messages = 0;
  millis Busy;
  instant LastFinish;

  /// Waits of the first queries are left out: slots are still being opened.
  void sent(bool IsEarly, millis Wait, millis Service, instant Now) {
    if (!IsEarly)
      WaitsMs.push_back(Wait.Count);
    Busy += Service;
    LastFinish = std::max(LastFinish, Now + Service);
  }

  ownership_result result(const ownership_case &Case,
                          const std::vector<ownership_arrival> &Arrivals) {
    ownership_result Result;
    const double Queries = static_cast<double>(Arrivals.size());
    const double Offered = (Queries - Case.earlyQueries()) * Case.Endpoints;
    const millis Span = std::max(LastFinish, Arrivals.back().At) - instant{};
    Result.ServedShare = static_cast<double>(WaitsMs.size()) / Offered;
    Result.BusyShare = Busy / (Span * (Case.Slots * Case.Endpoints));
    Result.Messages = static_cast<double>(Messages) / Queries;
    if (WaitsMs.empty())
      return Result;
    double Sum = 0;
    for (const double Wait : WaitsMs)
      Sum += Wait;
    Result.MeanWaitMs = Sum / static_cast<double>(WaitsMs.size());
    const auto Rank = static_cast<std::ptrdiff_t>(
        0.99 * static_cast<double>(WaitsMs.size() - 1));
    std::nth_element(WaitsMs.begin(), WaitsMs.begin() + Rank, WaitsMs.end());
    Result.P99WaitMs = WaitsMs[Rank];
    return Result;
  }
};

/// Owners and static split, on `owner` cores.
ownership_result runHolders(const ownership_case &Case, bool IsSplit,
                            const std::vector<ownership_arrival> &Arrivals);

/// Leased credits.
ownership_result runCredits(const ownership_case &Case,
                            const std::vector<ownership_arrival> &Arrivals);

} // namespace bulrush::bench
