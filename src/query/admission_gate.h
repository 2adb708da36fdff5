/// Which queries an overloaded endpoint takes: the same ones as the other
/// endpoints that the same queries need.
#pragma once

#include "query/owner_settings.h"

#include "bulrushtray/ids.h"

#include <vector>

namespace bulrush::query {

/// A query's place among all, from 0 to 1, the same at every owner.
double admissionRank(vm_id From, query_id Query);

/// Splits the capacity of an endpoint among its classes of work by weight
/// (max-min fairness), and admits of a class that offers more than its part the
/// queries with the lowest ranks. If each endpoint refused at random, hardly
/// any query would get all its shards.
class admission_gate {
public:
  explicit admission_gate(const owner_settings &Settings)
      : Settings(Settings) {}

  /// Counts work that is offered, and says whether it is admitted.
  /// `CapacityPerMs` is the number of requests that the endpoint can serve in 1
  /// ms.
  bool admit(caller_id Caller, double Weight, double Rank, double CapacityPerMs,
             instant Now);

private:
  struct traffic_class {
    caller_id Caller;
    double Weight = 1;
    std::uint32_t Count = 0;   ///< in this window
    double OfferedPerMs = 0;   ///< mean rate over the last windows
    double AllocatedPerMs = 0; ///< scratch
    double AdmittedShare = 1;  ///< admitted of it
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
