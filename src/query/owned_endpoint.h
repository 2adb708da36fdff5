/// State that an owner keeps for one endpoint.
#pragma once

#include "query/adaptive_limit.h"
#include "query/admission_gate.h"
#include "query/cold_start.h"
#include "query/endpoint_queue.h"
#include "query/service_time.h"
#include "query/work_table.h"

namespace bulrush::query {

/// Estimated times of a sub-request that would be queued now.
struct admission_estimate {
  millis Wait;    ///< until it is sent to the endpoint
  millis Service; ///< from sending to the reply
};

/// State and estimates of one endpoint. It sends nothing itself: the `owner`
/// reads and updates it.
class owned_endpoint {
public:
  owned_endpoint(const endpoint &Definition, const owner_settings &Settings,
                 std::pmr::memory_resource &Memory);

  /// Why the endpoint gets no new requests; `none` if it gets them.
  refusal closedReason(instant Now) const;
  /// Limit on requests in flight at `Now`; 0 before `blockedUntil`.
  std::uint32_t currentLimit(instant Now) const;
  /// Limit on requests in flight from `blockedUntil` on; at least 1.
  std::uint32_t concurrencyLimit() const;
  /// Time before which nothing may be sent: requests of an earlier owner may
  /// still run, or the next probe of a cold endpoint is delayed.
  instant blockedUntil() const;
  bool hasFreeSlot(instant Now) const {
    return InFlight.size() < currentLimit(Now);
  }
  /// Estimated capacity in requests per millisecond.
  double capacityPerMs() const {
    return concurrencyLimit() / MeanSlotTime.Count;
  }
  /// Adds the time from sending a request to its answer.
  void addServiceTime(millis Elapsed);
  admission_estimate estimate(const queued_work &Work, instant Now) const;
  /// Latest time to send a request that is to be answered by `Deadline`.
  instant latestStart(instant Deadline) const;
  endpoint_condition condition(instant Now) const;
  /// Earliest time at which the endpoint must be processed without an event:
  /// a deadline, `blockedUntil`, the lease expiry, a health check or a report.
  instant nextWake(const work_table &Work, instant Now) const;

  const endpoint &Definition;
  const owner_settings &Settings;
  std::unique_ptr<endpoint_queue> Queue;
  std::unique_ptr<cold_start_state> ColdStart;
  adaptive_limit Limit;
  service_time Service;
  admission_gate Gate;
  millis MeanSlotTime; ///< long-term mean of the time a request holds a slot
  std::vector<attempt_id> InFlight; ///< attempts that occupy a slot

  bool Granted = false;
  instant Expiry;         ///< of the lease
  instant InheritedUntil; ///< requests of an earlier owner may run until then
  bool ZoneOut = false;
  bool Leaving = false;
  bool Draining = false; ///< as the endpoint reported
  instant DrainingSeenAt;
  bool WasClosed = true; ///< in the last `endpoint_event`
  bool IsDrainReported = true;

  bool Unreachable = false;
  instant NextHealthCheck;
  std::vector<held_snapshot> Held;

  bool HasUnreportedChange = true; ///< since the last report
  instant LastReport{-Never.Ms};
  endpoint_condition ReportedCondition = endpoint_condition::unknown;
  std::uint32_t ReportedLimit = 0;
};

} // namespace bulrush::query
