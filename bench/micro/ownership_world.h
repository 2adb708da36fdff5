/// Ways to share an endpoint's slots among daemons, on one list of arrivals.
#pragma once

#include "bulrushtray/clock.h"

#include <cstdint>
#include <vector>

namespace bulrush::bench {

/// How slots are shared.
enum class sharing : std::uint8_t {
  owners,  ///< one daemon holds all slots of an endpoint, others ask it
  split,   ///< each daemon holds a fixed part; those without a slot ask one
  credits, ///< a manager lends slots one by one, for as long as work waits
};

/// One query; it needs every endpoint once.
struct ownership_arrival {
  instant At;
  std::uint32_t Daemon = 0;
  std::vector<millis> Services; ///< one for each endpoint
};

struct ownership_case {
  std::uint32_t Slots = 2;
  std::uint32_t Daemons = 8;
  std::uint32_t Endpoints = 20;
  double Load = 0.7; ///< offered work over the capacity of all slots
  millis MeanService{5};
  millis Deadline{50};
  millis OneWay{1}; ///< between two daemons
  std::uint32_t Queries = 4000;
  std::uint64_t Seed = 1;

  std::uint32_t earlyQueries() const { return Queries / 4; }
};

struct ownership_result {
  double MeanWaitMs = 0; ///< from the query's arrival to the sending
  double P99WaitMs = 0;
  double ServedShare = 0; ///< of the sub-requests; the others were refused
  double BusyShare = 0;   ///< of the slots
  double Messages = 0;    ///< between daemons, for one query
};

std::vector<ownership_arrival> makeArrivals(const ownership_case &Case);

ownership_result runSharing(sharing How, const ownership_case &Case,
                            const std::vector<ownership_arrival> &Arrivals);

} // namespace bulrush::bench
