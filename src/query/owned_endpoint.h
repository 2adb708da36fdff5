/// What an owner knows of one endpoint.
#pragma once

#include "query/adaptive_limit.h"
#include "query/admission_gate.h"
#include "query/cold_start.h"
#include "query/endpoint_queue.h"
#include "query/service_time.h"
#include "query/work_table.h"

namespace bulrush::query {

/// Estimate of a waiting sub-request's fate.
struct admission_estimate {
  millis Wait;    ///< until it is sent
  millis Service; ///< from sending to the reply
};

/// State and estimates of one endpoint; the `owner` acts on them.
class owned_endpoint {
public:
  owned_endpoint(const endpoint &World, const owner_settings &Settings,
                 std::pmr::memory_resource &Memory);

  /// Why no new work may be sent; `none` when it may.
  refusal closedReason(instant Now) const;
  /// In-flight requests allowed now; 0 while a probe must wait.
  std::uint32_t limit(instant Now) const;
  /// The limit that holds when nothing must wait; at least 1.
  std::uint32_t openLimit() const;
  /// Nothing may be sent before this instant.
  instant blockedUntil() const;
  bool hasFreeSlot(instant Now) const { return InFlight.size() < limit(Now); }
  /// Requests that can be served in 1 ms.
  double capacityPerMs() const { return openLimit() / LongService.Count; }
  /// A request has held a slot for `Took`.
  void learnService(millis Elapsed);
  admission_estimate estimate(const queued_work &Work, instant Now) const;
  /// The latest instant at which work with `Deadline` is worth sending.
  instant latestStart(instant Deadline) const;
  endpoint_condition condition(instant Now) const;
  /// The earliest instant at which time alone changes something here.
  instant nextWake(const work_table &Work, instant Now) const;

  const endpoint &World;
  const owner_settings &Settings;
  std::unique_ptr<endpoint_queue> Queue;
  std::unique_ptr<warmth> Warmth;
  adaptive_limit Limit;
  service_time Service;
  admission_gate Gate;
  millis LongService; ///< slow mean of the time that a request holds a slot
  std::vector<attempt_id> InFlight; ///< sent or abandoned

  bool Granted = false;
  instant Expiry;         ///< of the lease
  instant InheritedUntil; ///< an earlier owner's work may run until then
  bool ZoneOut = false;
  bool Leaving = false;
  bool Draining = false; ///< said by the endpoint itself
  instant DrainingSeen;
  bool WasClosed = true; ///< as last told
  bool DrainTold = true;

  bool Unreachable = false;
  instant NextHealth;
  std::vector<held_snapshot> Held;

  bool ReportDue = true; ///< something of the report changed
  instant LastReport{-Never.Ms};
  endpoint_condition ReportedCondition = endpoint_condition::unknown;
  std::uint32_t ReportedLimit = 0;
};

} // namespace bulrush::query
