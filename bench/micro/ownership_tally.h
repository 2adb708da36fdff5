/// Counters of one simulation run of `runSharing`.
#pragma once

#include "ownership_world.h"

#include <algorithm>

namespace bulrush::bench {

struct ownership_counters {
  std::vector<double> WaitsMs;
  std::uint64_t Messages = 0;
  millis BusyTime;
  instant LastFinish;

  /// Records a request sent to an endpoint. Waiting times of the warm-up
  /// queries are excluded because owners are still opening slots.
  void recordSend(bool IsWarmup, millis Wait, millis ServiceTime, instant Now) {
    if (!IsWarmup)
      WaitsMs.push_back(Wait.Count);
    BusyTime += ServiceTime;
    LastFinish = std::max(LastFinish, Now + ServiceTime);
  }

  ownership_result result(const ownership_case &Case,
                          const std::vector<ownership_arrival> &Arrivals) {
    ownership_result Result;
    const double Queries = static_cast<double>(Arrivals.size());
    const double Offered = (Queries - Case.warmupQueries()) * Case.Endpoints;
    const millis Duration =
        std::max(LastFinish, Arrivals.back().At) - instant{};
    Result.ServedShare = static_cast<double>(WaitsMs.size()) / Offered;
    Result.BusyShare = BusyTime / (Duration * (Case.Slots * Case.Endpoints));
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

/// Simulates a static split of slots, or one owner per endpoint, with `owner`
/// cores.
ownership_result runHolders(const ownership_case &Case, bool IsSplit,
                            const std::vector<ownership_arrival> &Arrivals);

/// Simulates slots lent as credits.
ownership_result runCredits(const ownership_case &Case,
                            const std::vector<ownership_arrival> &Arrivals);

} // namespace bulrush::bench
