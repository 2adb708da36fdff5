/// Admission control of an overloaded endpoint. Endpoints that serve the same
/// queries admit the same ones.
#pragma once

#include "query/owner_settings.h"

#include "bulrushtray/ids.h"

#include <vector>

namespace bulrush::query {

/// Pseudo-random rank of a query in [0, 1], equal at every owner.
double admissionRank(vm_id From, query_id Query);

/// Divides the capacity of an endpoint among its traffic classes by weight
/// (max-min fairness). If a class offers more than its allocation, admits its
/// queries with the lowest ranks. If each endpoint refused queries at random
/// instead, few queries would get all their shards.
class admission_gate {
public:
  explicit admission_gate(const owner_settings &Settings)
      : Settings(Settings) {}

  /// Counts a sub-request and returns whether it is admitted. `CapacityPerMs`
  /// is the endpoint's capacity in requests per millisecond.
  bool admit(caller_id Caller, double Weight, double Rank, double CapacityPerMs,
             instant Now);

private:
  struct traffic_class {
    caller_id Caller;
    double Weight = 1;
    std::uint32_t Count = 0;   ///< sub-requests in the current window
    double OfferedPerMs = 0;   ///< mean offered rate of the last windows
    double AllocatedPerMs = 0; ///< set by `allocateCapacity`
    double AdmittedShare = 1;  ///< share of the class that is admitted
  };

  traffic_class &findOrAddClass(caller_id Caller, double Weight);
  void endWindow(millis WindowLength, double CapacityPerMs);
  void allocateCapacity(double CapacityPerMs);

  const owner_settings &Settings;
  std::vector<traffic_class> Classes;
  instant WindowStart;
  bool HasStarted = false;
};

} // namespace bulrush::query
