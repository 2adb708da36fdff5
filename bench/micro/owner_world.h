/// Simulates one owner core with seeded random queries and simulated endpoints
/// with random service times. Uses no network.
#pragma once

#include "query/owner.h"

#include <queue>
#include <random>

namespace bulrush::bench {

/// A class of queries with the same weight, deadline and coverage.
struct query_class {
  double Share = 1; ///< fraction of all queries
  double Weight = 1;
  millis Deadline{50};
  double MinCoverage = 1; ///< fraction of shards that a good query needs
};

struct owner_simulation_settings {
  std::uint32_t Shards = 20;
  std::uint32_t Replicas = 2;
  std::uint32_t Slots = 2;
  millis MeanService{5};
  double Sigma = 0.5; ///< standard deviation of the log of the service time
  double Load = 1;    ///< offered load divided by capacity
  millis Duration{20'000};
  std::uint64_t Seed = 1;
  std::vector<query_class> Classes{query_class{}};
  query::owner_settings Owner;
};

/// Outcome of the queries of one class.
struct class_result {
  std::uint64_t Offered = 0;
  std::uint64_t Good = 0; ///< reached `MinCoverage` within the deadline
  std::vector<double> LatenciesMs;

  double quantile(double Share);
};

struct owner_simulation_result {
  std::vector<class_result> Classes;
  std::uint64_t SubRequests = 0;
  std::uint64_t Sent = 0;
  std::uint64_t Wasted = 0; ///< answered sub-requests of failed queries
  double BusyShare = 0;     ///< busy fraction of slot time over the run
};

owner_simulation_result
runOwnerSimulation(const owner_simulation_settings &Settings);

} // namespace bulrush::bench
