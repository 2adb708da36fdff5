/// Completion of sub-requests, and updates of the endpoint's state from
/// replies.

#include "query/owner_impl.h"

#include <algorithm>

namespace bulrush::query {

namespace {

/// Outcome and refusal reason that a reply of an endpoint implies.
struct verdict {
  outcome Outcome = outcome::unknown;
  refusal Reason = refusal::none;
};

verdict verdictOf(reply_kind Kind) {
  switch (Kind) {
  case reply_kind::answered:
    return {outcome::answered, refusal::none};
  case reply_kind::shed:
    return {outcome::not_run, refusal::endpoint_shed};
  case reply_kind::snapshot_missing:
    return {outcome::not_run, refusal::snapshot_missing};
  case reply_kind::expired:
    return {outcome::not_run, refusal::timed_out};
  case reply_kind::draining:
    return {outcome::not_run, refusal::endpoint_leaving};
  case reply_kind::cancelled:
    return {outcome::not_run, refusal::cancelled};
  case reply_kind::cancelled_running:
    return {outcome::unknown, refusal::cancelled};
  case reply_kind::expired_running:
    return {outcome::unknown, refusal::timed_out};
  case reply_kind::duplicate_key:
    return {outcome::not_run, refusal::duplicate_key};
  case reply_kind::connection_lost:
    return {outcome::unknown, refusal::endpoint_lost};
  case reply_kind::connect_refused:
    return {outcome::not_run, refusal::endpoint_lost};
  case reply_kind::timed_out:
    return {outcome::unknown, refusal::timed_out};
  }
  return {};
}

bool isFromWrongIndex(const sub_request &Request,
                      const reply_headers &Headers) {
  return !Request.IsCommand && (Headers.Snapshot != Request.Snapshot ||
                                Headers.Shard != Request.Shard);
}

} // namespace

void owner::impl::refuseQueued(owned_endpoint &Endpoint, attempt_id Attempt,
                               refusal Reason, context &Context) {
  work_item &Item = Work.get(Attempt);
  const bool IsClosed = Endpoint.closedReason(Context.Now) != refusal::none;
  const millis RetryAfter =
      IsClosed ? Settings.ClosedRetryAfter : Endpoint.Service.mean();
  reply(Item, outcome::not_run, Reason, {}, RetryAfter, Context);
  Work.remove(Attempt);
}

void owner::impl::reply(work_item &Item, outcome Outcome, refusal Reason,
                        shared_body Body, millis RetryAfter, context &Context) {
  const bool WasSent = Item.State == work_state::sent;
  const instant DequeuedAt = WasSent ? Item.Sent : Context.Now;
  sub_reply Reply = replyTo(Item.Request);
  Reply.Outcome = Outcome;
  Reply.Reason = Reason;
  Reply.Body = std::move(Body);
  Reply.QueueTime = DequeuedAt - Item.Arrived;
  Reply.ServiceTime = Context.Now - DequeuedAt;
  Reply.RetryAfter = RetryAfter;
  if (Outcome != outcome::answered)
    Context.Out.emplace_back(count_refusal{Reason, 1});
  Context.Out.emplace_back(
      reply_to_entry{Item.From, Item.Incarnation, std::move(Reply)});
  Work.eraseKey(Item);
  Item.State = work_state::abandoned;
}

void owner::impl::replyFromEndpoint(work_item &Item, endpoint_replied &Event,
                                    context &Context) {
  verdict Verdict = verdictOf(Event.Kind);
  if (Event.Kind == reply_kind::answered &&
      isFromWrongIndex(Item.Request, Event.Headers)) {
    Verdict = {outcome::unknown, refusal::wrong_snapshot};
    Event.Body.reset();
  }
  reply(Item, Verdict.Outcome, Verdict.Reason, std::move(Event.Body),
        Event.Headers.RetryAfter, Context);
}

void owner::impl::releaseSlot(owned_endpoint &Endpoint, attempt_id Attempt) {
  std::erase(Endpoint.InFlight, Attempt);
  Work.remove(Attempt);
}

void owner::impl::updateEstimates(owned_endpoint &Endpoint,
                                  const work_item &Item,
                                  const endpoint_replied &Event,
                                  context &Context) {
  const std::uint32_t OldLimit = Endpoint.concurrencyLimit();
  const bool WasWarm = Endpoint.ColdStart->isWarm();
  attempt_observation Observation;
  Observation.Kind = Event.Kind;
  Observation.Latency = Event.Latency;
  Observation.Cold = Event.Headers.Cold;
  Observation.Generation = Event.Headers.Generation;
  Observation.RetryAfter = Event.Headers.RetryAfter;
  Observation.Saturated = Item.Saturated;
  Observation.Sent = Item.Sent;
  Observation.Epoch = Item.Epoch;
  const endpoint_cause Cause =
      Endpoint.ColdStart->onReply(Observation, Context.Now);
  if (Cause == endpoint_cause::generation_changed)
    Endpoint.Limit.reset();
  if (Event.Kind == reply_kind::answered) {
    Endpoint.addServiceTime(Event.Latency);
    Endpoint.Limit.onSuccess(Item.InFlightAtSend);
  }
  if (Event.Kind == reply_kind::shed)
    Endpoint.Limit.onShed(Item.InFlightAtSend);
  updateDraining(Endpoint,
                 Event.Headers.Draining || Event.Kind == reply_kind::draining,
                 Context.Now);
  emitStateChange(Endpoint, OldLimit, WasWarm, Cause, Context);
}

/// Uses a reply to a request that was abandoned and released already: only its
/// generation and draining state count, not its kind or latency.
void owner::impl::updateFromLateReply(owned_endpoint &Endpoint,
                                      endpoint_replied Event,
                                      context &Context) {
  if (Event.Kind != reply_kind::draining)
    Event.Kind = reply_kind::cancelled;
  updateEstimates(Endpoint, work_item{}, Event, Context);
}

/// Ignores replies and health reports without the draining state until
/// `DrainingHoldTime` after the last one with it, because they may be older.
void owner::impl::updateDraining(owned_endpoint &Endpoint, bool Draining,
                                 instant Now) {
  if (Draining) {
    Endpoint.Draining = true;
    Endpoint.DrainingSeenAt = Now;
    return;
  }
  if (Now - Endpoint.DrainingSeenAt >= Settings.DrainingHoldTime)
    Endpoint.Draining = false;
}

void owner::impl::emitStateChange(owned_endpoint &Endpoint,
                                  std::uint32_t OldLimit, bool WasWarm,
                                  endpoint_cause Cause, context &Context) {
  const std::uint32_t NewLimit = Endpoint.concurrencyLimit();
  const bool IsWarm = Endpoint.ColdStart->isWarm();
  if (NewLimit == OldLimit && IsWarm == WasWarm)
    return;
  endpoint_change Change = NewLimit > OldLimit ? endpoint_change::slot_opened
                                               : endpoint_change::slots_closed;
  if (IsWarm != WasWarm)
    Change =
        IsWarm ? endpoint_change::turned_warm : endpoint_change::turned_cold;
  Context.Out.emplace_back(
      endpoint_event{Endpoint.Definition.Id, Change, Cause, NewLimit,
                     static_cast<std::uint32_t>(Endpoint.InFlight.size())});
}

} // namespace bulrush::query
