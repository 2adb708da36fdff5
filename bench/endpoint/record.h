/// What a stand-in endpoint received and did, as seen from outside the system.
#pragma once

#include "bulrushtray/clock.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace bulrush::bench {

/// Width of one entry of `endpoint_record::Arrivals`.
inline constexpr millis ArrivalBucket{100};
/// Service times kept for each endpoint; later ones are only counted.
inline constexpr std::size_t MaxServiceTimes = 200'000;

/// One cold start, from the moment the endpoint turned cold.
struct cold_period {
  instant Began;
  instant FirstArrival = Never; ///< of a request, after it turned cold
  instant Warm = Never;         ///< when it bore its full number of slots
  std::uint32_t RampRequests = 0;
  bool AfterFall = false;
};

/// Counts of requests by how the endpoint dealt with them.
struct request_counts {
  std::uint64_t Arrived = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Shed = 0;
  std::uint64_t Drained = 0;
  std::uint64_t SnapshotMissing = 0;
  std::uint64_t Expired = 0;
  std::uint64_t Cancelled = 0;
  std::uint64_t CutByFall = 0;
  std::uint64_t LostReplies = 0;
  std::uint64_t LateReplies = 0;
  std::uint64_t Hedges = 0; ///< arrived with an attempt number above 0
};

/// Everything recorded at one endpoint since the record was last reset.
struct endpoint_record {
  instant Began; ///< of the first entry of `Arrivals`
  request_counts Requests;
  std::vector<std::uint32_t> Arrivals; ///< for each `ArrivalBucket`
  instant LastArrival{-1};
  std::vector<float> ServiceTimes; ///< in milliseconds, as drawn
  std::uint32_t MaxInFlight = 0;
  std::uint32_t MaxInFlightCold = 0;
  std::uint64_t ColdBreaches = 0;     ///< arrived above what it bore
  std::uint64_t ExcessBeforeSign = 0; ///< the same, before any sign of cold
  std::vector<instant> BreachTimes;   ///< the first hundred
  std::uint64_t Falls = 0;
  std::uint32_t MaxConnections = 0;
  std::uint64_t ConnectionsOpened = 0;
  std::uint64_t ConnectionsRefused = 0; ///< above its connection limit
  std::vector<cold_period> Colds;
  std::unordered_map<std::string, std::uint32_t> RunsByKey;
  millis MaxWakeLag; ///< how late the process ran a timer
};

/// Adds one arrival at `Now`.
void countArrival(endpoint_record &Record, instant Now);

/// The record as a JSON object; points in time as wall clock milliseconds,
/// `WallOfZero` being the wall time of `instant{0}`. Service times and runs by
/// key are left out unless asked for.
std::string toJson(const endpoint_record &Record, double WallOfZero,
                   bool WithServiceTimes, bool WithKeys);

} // namespace bulrush::bench
