/// Implementation of `owner`.
#pragma once

#include "query/owned_endpoint.h"
#include "query/owner.h"
#include "query/wake_heap.h"

namespace bulrush::query {

class owner::impl {
public:
  impl(const deployment &Deployment, const owner_settings &Settings);

  void step(owner_event &&Event, instant Now, std::vector<owner_action> &Out);
  std::size_t pending() const { return Work.size(); }

private:
  /// Time of the current event and destination of its actions.
  struct context {
    instant Now;
    std::vector<owner_action> &Out;
  };

  void on(batch_arrived &&Event, context &Context);
  void on(cancel_arrived &&Event, context &Context);
  void on(endpoint_replied &&Event, context &Context);
  void on(health_arrived &&Event, context &Context);
  void on(peer_reports_arrived &&Event, context &Context);
  void on(config_changed &&Event, context &Context);
  void on(ownership_changed &&Event, context &Context);
  void on(stop_requested &&Event, context &Context);
  void on(timer_fired &&Event, context &Context);

  owned_endpoint *find(endpoint_id Id);
  owned_endpoint &findOrCreate(endpoint_id Id);
  void eraseEndpoint(endpoint_id Id);
  void applyGrant(const owner_grant &Grant, context &Context);
  void revoke(owned_endpoint &Endpoint, context &Context);
  bool isZoneOut(zone_id Zone) const;
  bool isLeaving(endpoint_id Id) const;

  // Admission.
  static queued_work toQueuedWork(attempt_id Attempt, const work_item &Item);
  void admit(sub_request &&Request, const sub_batch &Batch, context &Context);
  refusal admissionRefusal(const owned_endpoint &Endpoint,
                           const queued_work &Queued, millis &RetryAfter,
                           instant Now) const;
  bool passesGate(owned_endpoint &Endpoint, const sub_request &Request,
                  const sub_batch &Batch, instant Now) const;
  void refuseNew(const sub_request &Request, const sub_batch &Batch,
                 refusal Reason, millis RetryAfter, context &Context);

  // Processing of one endpoint after each event that affects it.
  void processEndpoint(owned_endpoint &Endpoint, context &Context);
  void updateClosed(owned_endpoint &Endpoint, refusal Closed, context &Context);
  static endpoint_cause causeOf(refusal Closed);
  void refuseAllQueued(owned_endpoint &Endpoint, refusal Reason,
                       context &Context);
  void abandonOverdue(owned_endpoint &Endpoint, context &Context);
  void abandon(owned_endpoint &Endpoint, attempt_id Attempt, work_item &Item,
               context &Context);
  void sendQueued(owned_endpoint &Endpoint, context &Context);
  void refuseUnmeetable(owned_endpoint &Endpoint, context &Context);
  void send(owned_endpoint &Endpoint, attempt_id Attempt, context &Context);
  void checkHealthAndReport(owned_endpoint &Endpoint, context &Context);

  // Completion of sub-requests.
  void refuseQueued(owned_endpoint &Endpoint, attempt_id Attempt,
                    refusal Reason, context &Context);
  void reply(work_item &Item, outcome Outcome, refusal Reason, shared_body Body,
             millis RetryAfter, context &Context);
  void replyFromEndpoint(work_item &Item, endpoint_replied &Event,
                         context &Context);
  void releaseSlot(owned_endpoint &Endpoint, attempt_id Attempt);
  void updateEstimates(owned_endpoint &Endpoint, const work_item &Item,
                       const endpoint_replied &Event, context &Context);
  void updateFromLateReply(owned_endpoint &Endpoint, endpoint_replied Event,
                           context &Context);
  void updateDraining(owned_endpoint &Endpoint, bool Draining, instant Now);
  void emitStateChange(owned_endpoint &Endpoint, std::uint32_t OldLimit,
                       bool WasWarm, endpoint_cause Cause, context &Context);

  const deployment &Deployment;
  const owner_settings Settings;
  std::pmr::unsynchronized_pool_resource Memory;
  work_table Work;
  std::vector<std::unique_ptr<owned_endpoint>> Endpoints; ///< by endpoint id
  std::vector<std::uint64_t>
      WarmGenerations; ///< reported by peers, by endpoint id
  wake_heap EndpointWakes;
  instant TimerDueAt = Never;
  bool Stopping = false;
  bool IsDrainReported = false;
  fleet_config Config;
  std::vector<endpoint_id> BatchEndpoints; ///< of the current batch
};

} // namespace bulrush::query
