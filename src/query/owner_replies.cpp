/// How sub-requests end at an owner, and what is learnt from it.

#include "query/owner_impl.h"

#include <algorithm>

namespace bulrush::query {

namespace {

/// What a reply of an endpoint proves.
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

bool isFromOtherIndex(const sub_request &Request,
                      const reply_headers &Headers) {
  return !Request.IsCommand && (Headers.Snapshot != Request.Snapshot ||
                                Headers.Shard != Request.Shard);
}

} // namespace

void owner::impl::refuseQueued(owned_endpoint &Endpoint, attempt_id Attempt,
                               refusal Reason, context &In) {
  work_item &Item = Work.get(Attempt);
  const bool IsClosed = Endpoint.closedReason(In.Now) != refusal::none;
  const millis Hint =
      IsClosed ? Settings.RetryWhenClosed : Endpoint.Service.mean();
  reply(Item, outcome::not_run, Reason, {}, Hint, In);
  Work.remove(Attempt);
}

void owner::impl::reply(work_item &Item, outcome Outcome, refusal Reason,
                        shared_body Body, millis RetryAfter, context &In) {
  const bool WasSent = Item.State == work_state::sent;
  const instant Left = WasSent ? Item.Sent : In.Now;
  sub_reply Reply = replyTo(Item.Request);
  Reply.Outcome = Outcome;
  Reply.Reason = Reason;
  Reply.Body = std::move(Body);
  Reply.QueueTime = Left - Item.Arrived;
  Reply.ServiceTime = In.Now - Left;
  Reply.RetryAfter = RetryAfter;
  if (Outcome != outcome::answered)
    In.Out.emplace_back(count_refusal{Reason, 1});
  In.Out.emplace_back(
      reply_to_entry{Item.From, Item.Incarnation, std::move(Reply)});
  Work.forgetName(Item);
  Item.State = work_state::abandoned;
}

void owner::impl::replyFromEndpoint(work_item &Item, endpoint_replied &Event,
                                    context &In) {
  verdict Verdict = verdictOf(Event.Kind);
  if (Event.Kind == reply_kind::answered &&
      isFromOtherIndex(Item.Request, Event.Headers)) {
    Verdict = {outcome::unknown, refusal::wrong_snapshot};
    Event.Body.reset();
  }
  reply(Item, Verdict.Outcome, Verdict.Reason, std::move(Event.Body),
        Event.Headers.RetryAfter, In);
}

void owner::impl::release(owned_endpoint &Endpoint, attempt_id Attempt) {
  std::erase(Endpoint.InFlight, Attempt);
  Work.remove(Attempt);
}

void owner::impl::learn(owned_endpoint &Endpoint, const work_item &Item,
                        const endpoint_replied &Event, context &In) {
  const std::uint32_t Before = Endpoint.openLimit();
  const bool WasWarm = Endpoint.Warmth->isWarm();
  attempt_evidence Evidence;
  Evidence.Kind = Event.Kind;
  Evidence.Latency = Event.Latency;
  Evidence.Cold = Event.Headers.Cold;
  Evidence.Generation = Event.Headers.Generation;
  Evidence.RetryAfter = Event.Headers.RetryAfter;
  Evidence.Saturated = Item.Saturated;
  Evidence.Sent = Item.Sent;
  Evidence.Epoch = Item.Epoch;
  const endpoint_cause Cause = Endpoint.Warmth->onReply(Evidence, In.Now);
  if (Cause == endpoint_cause::generation_changed)
    Endpoint.Limit.reset();
  if (Event.Kind == reply_kind::answered) {
    Endpoint.learnService(Event.Latency);
    Endpoint.Limit.onSuccess(Item.Level);
  }
  if (Event.Kind == reply_kind::shed)
    Endpoint.Limit.onShed(Item.Level);
  learnDraining(Endpoint,
                Event.Headers.Draining || Event.Kind == reply_kind::draining,
                In.Now);
  tellChange(Endpoint, Before, WasWarm, Cause, In);
}

/// A reply to a request that was given up long ago tells only of the state of
/// the endpoint.
void owner::impl::learnLate(owned_endpoint &Endpoint, endpoint_replied Event,
                            context &In) {
  if (Event.Kind != reply_kind::draining)
    Event.Kind = reply_kind::cancelled;
  learn(Endpoint, work_item{}, Event, In);
}

/// A sign of draining holds until health, asked well after it, says otherwise.
void owner::impl::learnDraining(owned_endpoint &Endpoint, bool Draining,
                                instant Now) {
  if (Draining) {
    Endpoint.Draining = true;
    Endpoint.DrainingSeen = Now;
    return;
  }
  if (Now - Endpoint.DrainingSeen >= Settings.DrainingMemory)
    Endpoint.Draining = false;
}

void owner::impl::tellChange(owned_endpoint &Endpoint, std::uint32_t Before,
                             bool WasWarm, endpoint_cause Cause, context &In) {
  const std::uint32_t After = Endpoint.openLimit();
  const bool IsWarm = Endpoint.Warmth->isWarm();
  if (After == Before && IsWarm == WasWarm)
    return;
  endpoint_change Change = After > Before ? endpoint_change::slot_opened
                                          : endpoint_change::slots_closed;
  if (IsWarm != WasWarm)
    Change =
        IsWarm ? endpoint_change::turned_warm : endpoint_change::turned_cold;
  In.Out.emplace_back(
      endpoint_event{Endpoint.World.Id, Change, Cause, After,
                     static_cast<std::uint32_t>(Endpoint.InFlight.size())});
}

} // namespace bulrush::query
