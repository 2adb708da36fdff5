/// Simulates policies for sharing the slots of endpoints among daemons, on the
/// same list of arrivals.
#pragma once

#include "bulrushtray/clock.h"

#include <cstdint>
#include <vector>

namespace bulrush::bench {

/// Policy for sharing the slots of an endpoint among daemons.
enum class sharing_policy : std::uint8_t {
  owners,  ///< one daemon holds all slots; others send it requests
  split,   ///< each daemon holds a fixed number; without one, it sends
           ///< requests to a daemon with a slot
  credits, ///< a manager lends single slots while requests are queued
};

/// A query, which sends one sub-request to every endpoint.
struct ownership_arrival {
  instant At;
  std::uint32_t Daemon = 0;
  std::vector<millis> ServiceTimes; ///< indexed by endpoint
};

struct ownership_case {
  std::uint32_t Slots = 2;
  std::uint32_t Daemons = 8;
  std::uint32_t Endpoints = 20;
  double Load = 0.7; ///< offered load divided by the capacity of all slots
  millis MeanService{5};
  millis Deadline{50};
  millis OneWayDelay{1}; ///< network delay between two daemons
  std::uint32_t Queries = 4000;
  std::uint64_t Seed = 1;

  std::uint32_t warmupQueries() const { return Queries / 4; }
};

struct ownership_result {
  double MeanWaitMs = 0; ///< from the arrival of the query to the send
  double P99WaitMs = 0;
  double ServedShare = 0; ///< fraction of sub-requests that were not refused
  double BusyShare = 0;   ///< busy fraction of slot time
  double Messages = 0;    ///< between daemons, per query
};

std::vector<ownership_arrival> makeArrivals(const ownership_case &Case);

ownership_result runSharing(sharing_policy Policy, const ownership_case &Case,
                            const std::vector<ownership_arrival> &Arrivals);

} // namespace bulrush::bench
