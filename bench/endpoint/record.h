/// Record of the requests and events of a stand-in endpoint. It is
/// independent of the system under test.
#pragma once

#include "bulrushtray/clock.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace bulrush::bench {

/// Time span that one entry of `endpoint_record::Arrivals` counts.
inline constexpr millis ArrivalBucket{100};
/// Maximum number of service times recorded per endpoint. Later requests are
/// counted without their service time.
inline constexpr std::size_t MaxServiceTimes = 200'000;

/// One cold period, from the time the endpoint turned cold.
struct cold_period {
  instant Began;
  instant FirstArrival = Never;   ///< first request after it turned cold
  instant Warm = Never;           ///< when its capacity reached all slots
  std::uint32_t RampRequests = 0; ///< requests served per step of the ramp
  bool AfterCrash = false;        ///< the endpoint was down after a crash
};

/// Request counts by result.
struct request_counts {
  std::uint64_t Arrived = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Shed = 0;
  std::uint64_t Drained = 0; ///< refused while draining
  std::uint64_t SnapshotMissing = 0;
  std::uint64_t Expired = 0;
  std::uint64_t Cancelled = 0;
  std::uint64_t LostInCrash = 0; ///< running at a crash, or the cause of it
  std::uint64_t LostReplies = 0;
  std::uint64_t LateReplies = 0;
  std::uint64_t Hedges = 0; ///< requests with an attempt number above 0
};

/// The record of one endpoint since the last reset.
struct endpoint_record {
  instant Began; ///< start of the first entry of `Arrivals`
  request_counts Requests;
  std::vector<std::uint32_t> Arrivals; ///< requests in each `ArrivalBucket`
  instant LastArrival{-1};
  std::vector<float> ServiceTimes; ///< drawn service times, in milliseconds
  std::uint32_t MaxInFlight = 0;
  std::uint32_t MaxInFlightCold = 0; ///< counts the request of a breach
  std::uint64_t ColdBreaches = 0;    ///< breaches: see `ExcessBeforeDetectable`
  /// Requests above the capacity of the cold endpoint that are not a breach: no
  /// client could detect that it is cold, or the grace period had not ended.
  /// All later ones are breaches.
  std::uint64_t ExcessBeforeDetectable = 0;
  std::vector<instant> BreachTimes; ///< times of the first 100 breaches
  std::uint64_t Crashes = 0;        ///< crashes, each caused by a breach
  std::uint32_t MaxConnections = 0;
  std::uint64_t ConnectionsOpened = 0;
  std::uint64_t ConnectionsRefused = 0; ///< connections above the limit
  std::vector<cold_period> ColdPeriods;
  /// Number of runs of each command, by idempotency key.
  std::unordered_map<std::string, std::uint32_t> RunsByKey;
  millis MaxTimerLag; ///< longest delay of a timer in this process
};

/// Counts one request that arrived at `Now`.
void countArrival(endpoint_record &Record, instant Now);

/// Formats the record as a JSON object. Times are wall clock milliseconds since
/// 1970; `WallClockAtZero` is the wall clock time of `instant{0}`. Service
/// times and runs by key are included on request only.
std::string toJson(const endpoint_record &Record, double WallClockAtZero,
                   bool WithServiceTimes, bool WithKeys);

} // namespace bulrush::bench
