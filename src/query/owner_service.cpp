/// Admission to, and service of, one endpoint.

#include "query/owner_impl.h"

#include <algorithm>

namespace bulrush::query {

namespace {

/// Weights below this are raised to it, so that every class is served.
constexpr double LeastWeight = 0.001;

/// Between an event at an endpoint and its next wake.
constexpr millis LeastWait{0.1};

} // namespace

queued_work owner::impl::toQueued(attempt_id Attempt, const work_item &Item) {
  return {Attempt, Item.Deadline, Item.Request.Caller, Item.Request.Weight};
}

void owner::impl::admit(sub_request &&Request, const sub_batch &Batch,
                        context &In) {
  Request.Weight = std::max(Request.Weight, LeastWeight);
  owned_endpoint *Endpoint = find(Request.Endpoint);
  if (!Endpoint || !Endpoint->Granted) {
    refuseNew(Request, Batch, refusal::no_owner, Settings.RetryWhenClosed, In);
    return;
  }
  if (Work.find(Batch.From, Batch.Incarnation, Request.Sub))
    return; // the message came twice
  work_item Item;
  Item.Arrived = In.Now;
  Item.Deadline = In.Now + Batch.Remaining;
  const queued_work Queued{{}, Item.Deadline, Request.Caller, Request.Weight};
  millis RetryAfter;
  refusal Reason = admissionRefusal(*Endpoint, Queued, RetryAfter, In.Now);
  if (!passesGate(*Endpoint, Request, Batch, In.Now) &&
      Reason == refusal::none) {
    Reason = refusal::deadline_unmeetable;
    RetryAfter = Settings.GateWindow;
  }
  if (Reason != refusal::none) {
    refuseNew(Request, Batch, Reason, RetryAfter, In);
    return;
  }
  Item.Request = std::move(Request);
  Item.From = Batch.From;
  Item.Incarnation = Batch.Incarnation;
  Item.Body = Batch.Body;
  Item.State = work_state::queued;
  const auto Attempt = Work.add(std::move(Item));
  Endpoint->Queue->push(toQueued(*Attempt, Work.get(*Attempt)));
}

refusal owner::impl::admissionRefusal(const owned_endpoint &Endpoint,
                                      const queued_work &Queued,
                                      millis &RetryAfter, instant Now) const {
  RetryAfter = Settings.RetryWhenClosed;
  if (Stopping)
    return refusal::draining;
  const refusal Closed = Endpoint.closedReason(Now);
  if (Closed != refusal::none)
    return Closed;
  const admission_estimate Estimate = Endpoint.estimate(Queued, Now);
  if (Endpoint.Queue->size() >= Settings.MaxQueued) {
    RetryAfter = Estimate.Wait;
    return refusal::queue_full;
  }
  if (Queued.Deadline <= Now) {
    RetryAfter = millis{0};
    return refusal::deadline_unmeetable;
  }
  if (Settings.Admission == admission_policy::fifo)
    return refusal::none;
  const bool IsIdle = Endpoint.Queue->size() == 0 && Endpoint.InFlight.empty();
  if (IsIdle && Now >= Endpoint.blockedUntil())
    return refusal::none; // whatever the estimate, or it could never recover
  const millis Needed =
      Estimate.Wait + Estimate.Service + Settings.ReplyTransit;
  const millis Left = Queued.Deadline - Now;
  if (Needed <= Left)
    return refusal::none;
  RetryAfter = std::max(Needed - Left, Settings.ReplyTransit);
  return refusal::deadline_unmeetable;
}

/// Overload is refused by whole queries, so that those admitted get all shards.
bool owner::impl::passesGate(owned_endpoint &Endpoint,
                             const sub_request &Request, const sub_batch &Batch,
                             instant Now) const {
  if (Settings.Admission != admission_policy::weighted_deadline)
    return true;
  return Endpoint.Gate.admit(Request.Caller, Request.Weight,
                             admissionRank(Batch.From, Request.Query),
                             Endpoint.capacityPerMs(), Now);
}

void owner::impl::refuseNew(const sub_request &Request, const sub_batch &Batch,
                            refusal Reason, millis RetryAfter, context &In) {
  sub_reply Reply = replyTo(Request);
  Reply.Outcome = outcome::not_run;
  Reply.Reason = Reason;
  Reply.RetryAfter = RetryAfter;
  In.Out.emplace_back(count_refusal{Reason, 1});
  In.Out.emplace_back(
      reply_to_entry{Batch.From, Batch.Incarnation, std::move(Reply)});
}

void owner::impl::settle(owned_endpoint &Endpoint, context &In) {
  abandonOverdue(Endpoint, In);
  const refusal Closed = Endpoint.closedReason(In.Now);
  if (Closed != refusal::none) {
    refuseQueue(Endpoint, Closed, In);
  } else {
    sendQueued(Endpoint, In);
    refuseLate(Endpoint, In);
  }
  tellClosed(Endpoint, Closed, In);
  if (Endpoint.Granted)
    probeAndReport(Endpoint, In);
  const instant Wake = Endpoint.nextWake(Work, In.Now);
  Wakes.set(Endpoint.World.Id.Value, std::max(Wake, In.Now + LeastWait));
}

void owner::impl::refuseQueue(owned_endpoint &Endpoint, refusal Reason,
                              context &In) {
  while (Endpoint.Queue->size() > 0)
    refuseQueued(Endpoint, Endpoint.Queue->pop(), Reason, In);
}

/// The sender of an overdue request gets its answer; its slot stays taken until
/// the endpoint can no longer be running it.
void owner::impl::abandonOverdue(owned_endpoint &Endpoint, context &In) {
  for (std::size_t I = 0; I < Endpoint.InFlight.size();) {
    const attempt_id Attempt = Endpoint.InFlight[I];
    work_item &Item = Work.get(Attempt);
    if (Item.State == work_state::sent && Item.Deadline <= In.Now)
      abandon(Endpoint, Attempt, Item, In);
    if (Item.State == work_state::abandoned &&
        Item.Deadline + Settings.OccupancyMargin <= In.Now) {
      release(Endpoint, Attempt);
      continue;
    }
    ++I;
  }
}

void owner::impl::abandon(owned_endpoint &Endpoint, attempt_id Attempt,
                          work_item &Item, context &In) {
  endpoint_replied Timeout{
      Endpoint.World.Id, Attempt, reply_kind::timed_out, {}, {},
      In.Now - Item.Sent};
  learn(Endpoint, Item, Timeout, In);
  if (!Item.CancelSent) {
    Item.CancelSent = true;
    In.Out.emplace_back(cancel_at_endpoint{Endpoint.World.Id, Attempt,
                                           Item.From, Item.Incarnation,
                                           Item.Request.Sub});
  }
  reply(Item, outcome::unknown, refusal::timed_out, {}, {}, In);
}

void owner::impl::sendQueued(owned_endpoint &Endpoint, context &In) {
  while (Endpoint.Queue->size() > 0 && Endpoint.hasFreeSlot(In.Now)) {
    const attempt_id Attempt = Endpoint.Queue->pop();
    const instant Deadline = Work.get(Attempt).Deadline;
    const bool TooLate =
        Endpoint.latestStart(Deadline) < In.Now && !Endpoint.InFlight.empty();
    if (TooLate || Deadline <= In.Now)
      refuseQueued(Endpoint, Attempt, refusal::deadline_unmeetable, In);
    else
      send(Endpoint, Attempt, In);
  }
}

void owner::impl::refuseLate(owned_endpoint &Endpoint, context &In) {
  while (Endpoint.Queue->size() > 0) {
    const queued_work Urgent = Endpoint.Queue->mostUrgent();
    if (Endpoint.latestStart(Urgent.Deadline) > In.Now)
      return;
    Endpoint.Queue->remove(Urgent);
    refuseQueued(Endpoint, Urgent.Attempt, refusal::deadline_unmeetable, In);
  }
}

void owner::impl::send(owned_endpoint &Endpoint, attempt_id Attempt,
                       context &In) {
  work_item &Item = Work.get(Attempt);
  Endpoint.InFlight.push_back(Attempt);
  Item.State = work_state::sent;
  Item.Sent = In.Now;
  Item.Level = static_cast<std::uint32_t>(Endpoint.InFlight.size());
  Item.Saturated = Item.Level >= Endpoint.openLimit();
  Item.Epoch = Endpoint.Warmth->epoch();
  In.Out.emplace_back(send_to_endpoint{Attempt, Item.From, Item.Incarnation,
                                       Item.Request, Item.Deadline - In.Now,
                                       std::move(Item.Body)});
}

void owner::impl::tellClosed(owned_endpoint &Endpoint, refusal Closed,
                             context &In) {
  const auto Id = Endpoint.World.Id;
  const auto InFlight = static_cast<std::uint32_t>(Endpoint.InFlight.size());
  const bool IsClosed = Closed != refusal::none;
  if (IsClosed != Endpoint.WasClosed) {
    Endpoint.WasClosed = IsClosed;
    Endpoint.DrainTold = !IsClosed;
    Endpoint.ReportDue = true;
    if (!IsClosed)
      Endpoint.Warmth->forget();
    In.Out.emplace_back(endpoint_event{
        Id, IsClosed ? endpoint_change::closed : endpoint_change::opened,
        causeOf(Closed), Endpoint.openLimit(), InFlight});
  }
  if (IsClosed && !Endpoint.DrainTold && InFlight == 0) {
    Endpoint.DrainTold = true;
    In.Out.emplace_back(
        endpoint_event{Id, endpoint_change::drained, causeOf(Closed), 0, 0});
  }
}

endpoint_cause owner::impl::causeOf(refusal Closed) {
  switch (Closed) {
  case refusal::zone_out:
    return endpoint_cause::zone_out;
  case refusal::endpoint_leaving:
    return endpoint_cause::endpoint_leaving;
  case refusal::lease_lost:
    return endpoint_cause::lease_lost;
  default:
    return endpoint_cause::returned;
  }
}

void owner::impl::probeAndReport(owned_endpoint &Endpoint, context &In) {
  if (Endpoint.NextHealth <= In.Now) {
    Endpoint.NextHealth = In.Now + Settings.HealthPeriod;
    In.Out.emplace_back(probe_health{Endpoint.World.Id});
  }
  const endpoint_condition Condition =
      Stopping ? endpoint_condition::leaving : Endpoint.condition(In.Now);
  const std::uint32_t Limit = Endpoint.openLimit();
  const bool Turned = Condition != Endpoint.ReportedCondition;
  Endpoint.ReportDue |= Turned || Limit != Endpoint.ReportedLimit;
  const millis Since = In.Now - Endpoint.LastReport;
  const millis Spacing =
      Endpoint.ReportDue ? Settings.ReportSpacing : Settings.ReportPeriod;
  if (!Turned && Since < Spacing)
    return;
  Endpoint.ReportDue = false;
  Endpoint.LastReport = In.Now;
  Endpoint.ReportedCondition = Condition;
  Endpoint.ReportedLimit = Limit;
  endpoint_report Report;
  Report.Endpoint = Endpoint.World.Id;
  Report.Condition = Condition;
  Report.Limit = Limit;
  Report.Queued = static_cast<std::uint32_t>(Endpoint.Queue->size());
  Report.Held = Endpoint.Held;
  Report.WarmGeneration = Endpoint.Warmth->warmGeneration();
  In.Out.emplace_back(publish_report{std::move(Report)});
}

} // namespace bulrush::query
