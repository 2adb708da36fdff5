/// The private side of `owner`.
#pragma once

#include "query/owned_endpoint.h"
#include "query/owner.h"
#include "query/wake_heap.h"

namespace bulrush::query {

class owner::impl {
public:
  impl(const deployment &World, const owner_settings &Settings);

  void step(owner_event &&Event, instant Now, std::vector<owner_action> &Out);
  std::size_t pending() const { return Work.size(); }

private:
  /// The time of the event and where its actions go.
  struct context {
    instant Now;
    std::vector<owner_action> &Out;
  };

  void on(batch_arrived &&Event, context &In);
  void on(cancel_arrived &&Event, context &In);
  void on(endpoint_replied &&Event, context &In);
  void on(health_arrived &&Event, context &In);
  void on(peer_reports_arrived &&Event, context &In);
  void on(config_changed &&Event, context &In);
  void on(ownership_changed &&Event, context &In);
  void on(stop_requested &&Event, context &In);
  void on(timer_fired &&Event, context &In);

  owned_endpoint *find(endpoint_id Id);
  owned_endpoint &make(endpoint_id Id);
  void drop(endpoint_id Id);
  void grant(const owner_grant &Grant, context &In);
  void lose(owned_endpoint &Endpoint, context &In);
  bool isZoneOut(zone_id Zone) const;
  bool isLeaving(endpoint_id Id) const;

  // Admission.
  static queued_work toQueued(attempt_id Attempt, const work_item &Item);
  void admit(sub_request &&Request, const sub_batch &Batch, context &In);
  refusal admissionRefusal(const owned_endpoint &Endpoint,
                           const queued_work &Queued, millis &RetryAfter,
                           instant Now) const;
  bool passesGate(owned_endpoint &Endpoint, const sub_request &Request,
                  const sub_batch &Batch, instant Now) const;
  void refuseNew(const sub_request &Request, const sub_batch &Batch,
                 refusal Reason, millis RetryAfter, context &In);

  // Service of one endpoint, after any event that concerns it.
  void settle(owned_endpoint &Endpoint, context &In);
  void tellClosed(owned_endpoint &Endpoint, refusal Closed, context &In);
  static endpoint_cause causeOf(refusal Closed);
  void refuseQueue(owned_endpoint &Endpoint, refusal Reason, context &In);
  void abandonOverdue(owned_endpoint &Endpoint, context &In);
  void abandon(owned_endpoint &Endpoint, attempt_id Attempt, work_item &Item,
               context &In);
  void sendQueued(owned_endpoint &Endpoint, context &In);
  void refuseLate(owned_endpoint &Endpoint, context &In);
  void send(owned_endpoint &Endpoint, attempt_id Attempt, context &In);
  void probeAndReport(owned_endpoint &Endpoint, context &In);

  // Endings of sub-requests.
  void refuseQueued(owned_endpoint &Endpoint, attempt_id Attempt,
                    refusal Reason, context &In);
  void reply(work_item &Item, outcome Outcome, refusal Reason, shared_body Body,
             millis RetryAfter, context &In);
  void replyFromEndpoint(work_item &Item, endpoint_replied &Event, context &In);
  void release(owned_endpoint &Endpoint, attempt_id Attempt);
  void learn(owned_endpoint &Endpoint, const work_item &Item,
             const endpoint_replied &Event, context &In);
  void learnLate(owned_endpoint &Endpoint, endpoint_replied Event, context &In);
  void learnDraining(owned_endpoint &Endpoint, bool Draining, instant Now);
  void tellChange(owned_endpoint &Endpoint, std::uint32_t Before, bool WasWarm,
                  endpoint_cause Cause, context &In);

  const deployment &World;
  const owner_settings Settings;
  std::pmr::unsynchronized_pool_resource Memory;
  work_table Work;
  std::vector<std::unique_ptr<owned_endpoint>> Endpoints; ///< by number
  std::vector<std::uint64_t> WarmGenerations; ///< heard, by endpoint
  wake_heap Wakes;
  instant TimerAt = Never;
  bool Stopping = false;
  bool StopTold = false;
  fleet_config Config;
  std::vector<endpoint_id> Touched; ///< scratch
};

} // namespace bulrush::query
