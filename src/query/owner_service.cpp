/// Admission and sending of the sub-requests for one endpoint.

#include "query/owner_impl.h"

#include <algorithm>

namespace bulrush::query {

namespace {

/// Minimum weight; lower ones are raised to it, so that no class starves.
constexpr double MinWeight = 0.001;

/// Minimum delay between processing an endpoint and its next wake-up.
constexpr millis MinWakeDelay{0.1};

} // namespace

queued_work owner::impl::toQueuedWork(attempt_id Attempt,
                                      const work_item &Item) {
  return {Attempt, Item.Deadline, Item.Request.Caller, Item.Request.Weight};
}

void owner::impl::admit(sub_request &&Request, const sub_batch &Batch,
                        context &Context) {
  Request.Weight = std::max(Request.Weight, MinWeight);
  owned_endpoint *Endpoint = find(Request.Endpoint);
  if (!Endpoint || !Endpoint->Granted) {
    refuseNew(Request, Batch, refusal::no_owner, Settings.ClosedRetryAfter,
              Context);
    return;
  }
  if (Work.find(Batch.From, Batch.Incarnation, Request.Sub))
    return; // duplicate message
  work_item Item;
  Item.Arrived = Context.Now;
  Item.Deadline = Context.Now + Batch.Remaining;
  const queued_work Queued{{}, Item.Deadline, Request.Caller, Request.Weight};
  millis RetryAfter;
  refusal Reason = admissionRefusal(*Endpoint, Queued, RetryAfter, Context.Now);
  if (!passesGate(*Endpoint, Request, Batch, Context.Now) &&
      Reason == refusal::none) {
    Reason = refusal::deadline_unmeetable;
    RetryAfter = Settings.GateWindow;
  }
  if (Reason != refusal::none) {
    refuseNew(Request, Batch, Reason, RetryAfter, Context);
    return;
  }
  Item.Request = std::move(Request);
  Item.From = Batch.From;
  Item.Incarnation = Batch.Incarnation;
  Item.Body = Batch.Body;
  Item.State = work_state::queued;
  const auto Attempt = Work.add(std::move(Item));
  Endpoint->Queue->push(toQueuedWork(*Attempt, Work.get(*Attempt)));
}

refusal owner::impl::admissionRefusal(const owned_endpoint &Endpoint,
                                      const queued_work &Queued,
                                      millis &RetryAfter, instant Now) const {
  RetryAfter = Settings.ClosedRetryAfter;
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
    return refusal::none; // only a new reply can lower a too high estimate
  const millis TimeNeeded =
      Estimate.Wait + Estimate.Service + Settings.ReplyTransit;
  const millis TimeLeft = Queued.Deadline - Now;
  if (TimeNeeded <= TimeLeft)
    return refusal::none;
  RetryAfter = std::max(TimeNeeded - TimeLeft, Settings.ReplyTransit);
  return refusal::deadline_unmeetable;
}

/// Refuses whole queries in overload, so that the admitted ones get all shards.
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
                            refusal Reason, millis RetryAfter,
                            context &Context) {
  sub_reply Reply = replyTo(Request);
  Reply.Outcome = outcome::not_run;
  Reply.Reason = Reason;
  Reply.RetryAfter = RetryAfter;
  Context.Out.emplace_back(count_refusal{Reason, 1});
  Context.Out.emplace_back(
      reply_to_entry{Batch.From, Batch.Incarnation, std::move(Reply)});
}

void owner::impl::processEndpoint(owned_endpoint &Endpoint, context &Context) {
  abandonOverdue(Endpoint, Context);
  const refusal Closed = Endpoint.closedReason(Context.Now);
  if (Closed != refusal::none) {
    refuseAllQueued(Endpoint, Closed, Context);
  } else {
    sendQueued(Endpoint, Context);
    refuseUnmeetable(Endpoint, Context);
  }
  updateClosed(Endpoint, Closed, Context);
  if (Endpoint.Granted)
    checkHealthAndReport(Endpoint, Context);
  const instant Wake = Endpoint.nextWake(Work, Context.Now);
  EndpointWakes.set(Endpoint.Definition.Id.Value,
                    std::max(Wake, Context.Now + MinWakeDelay));
}

void owner::impl::refuseAllQueued(owned_endpoint &Endpoint, refusal Reason,
                                  context &Context) {
  while (Endpoint.Queue->size() > 0)
    refuseQueued(Endpoint, Endpoint.Queue->pop(), Reason, Context);
}

/// Replies to the sender of each request that passed its deadline. The slot
/// stays occupied until `OccupancyMargin` after the deadline, because the
/// endpoint may still be running the request.
void owner::impl::abandonOverdue(owned_endpoint &Endpoint, context &Context) {
  for (std::size_t I = 0; I < Endpoint.InFlight.size();) {
    const attempt_id Attempt = Endpoint.InFlight[I];
    work_item &Item = Work.get(Attempt);
    if (Item.State == work_state::sent && Item.Deadline <= Context.Now)
      abandon(Endpoint, Attempt, Item, Context);
    if (Item.State == work_state::abandoned &&
        Item.Deadline + Settings.OccupancyMargin <= Context.Now) {
      releaseSlot(Endpoint, Attempt);
      continue;
    }
    ++I;
  }
}

void owner::impl::abandon(owned_endpoint &Endpoint, attempt_id Attempt,
                          work_item &Item, context &Context) {
  endpoint_replied TimeoutEvent{
      Endpoint.Definition.Id, Attempt, reply_kind::timed_out, {}, {},
      Context.Now - Item.Sent};
  updateEstimates(Endpoint, Item, TimeoutEvent, Context);
  if (!Item.CancelSent) {
    Item.CancelSent = true;
    Context.Out.emplace_back(cancel_at_endpoint{Endpoint.Definition.Id, Attempt,
                                                Item.From, Item.Incarnation,
                                                Item.Request.Sub});
  }
  reply(Item, outcome::unknown, refusal::timed_out, {}, {}, Context);
}

void owner::impl::sendQueued(owned_endpoint &Endpoint, context &Context) {
  while (Endpoint.Queue->size() > 0 && Endpoint.hasFreeSlot(Context.Now)) {
    const attempt_id Attempt = Endpoint.Queue->pop();
    const instant Deadline = Work.get(Attempt).Deadline;
    const bool IsTooLate = Endpoint.latestStart(Deadline) < Context.Now &&
                           !Endpoint.InFlight.empty();
    if (IsTooLate || Deadline <= Context.Now)
      refuseQueued(Endpoint, Attempt, refusal::deadline_unmeetable, Context);
    else
      send(Endpoint, Attempt, Context);
  }
}

void owner::impl::refuseUnmeetable(owned_endpoint &Endpoint, context &Context) {
  while (Endpoint.Queue->size() > 0) {
    const queued_work MostUrgent = Endpoint.Queue->mostUrgent();
    if (Endpoint.latestStart(MostUrgent.Deadline) > Context.Now)
      return;
    Endpoint.Queue->remove(MostUrgent);
    refuseQueued(Endpoint, MostUrgent.Attempt, refusal::deadline_unmeetable,
                 Context);
  }
}

void owner::impl::send(owned_endpoint &Endpoint, attempt_id Attempt,
                       context &Context) {
  work_item &Item = Work.get(Attempt);
  Endpoint.InFlight.push_back(Attempt);
  Item.State = work_state::sent;
  Item.Sent = Context.Now;
  Item.InFlightAtSend = static_cast<std::uint32_t>(Endpoint.InFlight.size());
  Item.Saturated = Item.InFlightAtSend >= Endpoint.concurrencyLimit();
  Item.Epoch = Endpoint.ColdStart->epoch();
  Context.Out.emplace_back(
      send_to_endpoint{Attempt, Item.From, Item.Incarnation, Item.Request,
                       Item.Deadline - Context.Now, std::move(Item.Body)});
}

void owner::impl::updateClosed(owned_endpoint &Endpoint, refusal Closed,
                               context &Context) {
  const auto Id = Endpoint.Definition.Id;
  const auto InFlight = static_cast<std::uint32_t>(Endpoint.InFlight.size());
  const bool IsClosed = Closed != refusal::none;
  if (IsClosed != Endpoint.WasClosed) {
    Endpoint.WasClosed = IsClosed;
    Endpoint.IsDrainReported = !IsClosed;
    Endpoint.HasUnreportedChange = true;
    if (!IsClosed)
      Endpoint.ColdStart->reset();
    Context.Out.emplace_back(endpoint_event{
        Id, IsClosed ? endpoint_change::closed : endpoint_change::opened,
        causeOf(Closed), Endpoint.concurrencyLimit(), InFlight});
  }
  if (IsClosed && !Endpoint.IsDrainReported && InFlight == 0) {
    Endpoint.IsDrainReported = true;
    Context.Out.emplace_back(
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

void owner::impl::checkHealthAndReport(owned_endpoint &Endpoint,
                                       context &Context) {
  if (Endpoint.NextHealthCheck <= Context.Now) {
    Endpoint.NextHealthCheck = Context.Now + Settings.HealthPeriod;
    Context.Out.emplace_back(probe_health{Endpoint.Definition.Id});
  }
  const endpoint_condition Condition =
      Stopping ? endpoint_condition::leaving : Endpoint.condition(Context.Now);
  const std::uint32_t Limit = Endpoint.concurrencyLimit();
  const bool ConditionChanged = Condition != Endpoint.ReportedCondition;
  Endpoint.HasUnreportedChange |=
      ConditionChanged || Limit != Endpoint.ReportedLimit;
  const millis SinceLastReport = Context.Now - Endpoint.LastReport;
  const millis Interval = Endpoint.HasUnreportedChange
                              ? Settings.MinReportInterval
                              : Settings.ReportPeriod;
  if (!ConditionChanged && SinceLastReport < Interval)
    return;
  Endpoint.HasUnreportedChange = false;
  Endpoint.LastReport = Context.Now;
  Endpoint.ReportedCondition = Condition;
  Endpoint.ReportedLimit = Limit;
  endpoint_report Report;
  Report.Endpoint = Endpoint.Definition.Id;
  Report.Condition = Condition;
  Report.Limit = Limit;
  Report.Queued = static_cast<std::uint32_t>(Endpoint.Queue->size());
  Report.Held = Endpoint.Held;
  Report.WarmGeneration = Endpoint.ColdStart->warmGeneration();
  Context.Out.emplace_back(publish_report{std::move(Report)});
}

} // namespace bulrush::query
