/// Drives one owner core with a seeded list of queries and stand-in endpoints
/// that take drawn service times. There is no network in it.
#pragma once

#include "query/owner.h"

#include <queue>
#include <random>

namespace bulrush::bench {

/// One class of queries.
struct query_class {
  double Share = 1; ///< of the offered queries
  double Weight = 1;
  millis Deadline{50};
  double MinCoverage = 1; ///< share of the shards that makes a query count
};

struct owner_world_settings {
  std::uint32_t Shards = 20;
  std::uint32_t Replicas = 2;
  std::uint32_t Slots = 2;
  millis MeanService{5};
  double Sigma = 0.5; ///< of the logarithm of the service time
  double Load = 1;    ///< offered work as a share of the capacity
  millis Duration{20'000};
  std::uint64_t Seed = 1;
  std::vector<query_class> Classes{query_class{}};
  query::owner_settings Owner;
};

/// What became of the queries of one class.
struct class_result {
  std::uint64_t Offered = 0;
  std::uint64_t Good = 0; ///< enough shards answered within the deadline
  std::vector<double> LatenciesMs;

  double quantile(double Share);
};

struct owner_world_result {
  std::vector<class_result> Classes;
  std::uint64_t SubRequests = 0;
  std::uint64_t Sent = 0;
  std::uint64_t Wasted = 0; ///< served sub-requests of queries that failed
  double BusyShare = 0;     ///< of all slots, over the whole run
};

owner_world_result runOwnerWorld(const owner_world_settings &Settings);

} // namespace bulrush::bench
