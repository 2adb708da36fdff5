// Attempts of one part: the first attempt, hedges and retries.
#include "relay/fingerprint.h"
#include "relay/relay_impl.h"

#include <algorithm>
#include <utility>

namespace bulrush::relay {

namespace {

/// Maximum attempts of a request to one service, including those that no
/// endpoint executed. Refusing the request then leaves its client time to
/// retry.
constexpr std::uint32_t MaxSends = 4;
/// Maximum attempts for one shard of a query. Higher than `MaxSends`, because
/// giving up would waste the replies of the other shards.
constexpr std::uint32_t MaxShardSends = 12;
/// A reply within this share of the remaining time is early enough: it leaves
/// time for a second attempt.
constexpr double EarlyReplyShare = 0.4;
/// Delay before a part is sent again to the endpoint that shed it. Doubles on
/// each shed up to `MaxShedBackoff`.
constexpr millis InitialShedBackoff{10};
constexpr millis MaxShedBackoff{160};
/// Delay before a part that the retry budget denied is retried.
constexpr millis BudgetRetryDelay{50};
/// Time from the soft deadline of a shard request, which is one round trip
/// before that of its query, until a cancellation sent then has arrived.
constexpr millis CancelTransit{10};
/// A hedge is urgent once this many median latencies are left for its reply.
constexpr double UrgentHedgeFactor = 3;
/// A part of a query stops waiting this many median latencies before the
/// deadline.
constexpr double RunTimeFactor = 2;

bool isSuccess(unsigned Status) { return Status >= 200 && Status < 300; }

} // namespace

/// Time after which a reply to a part that is sent now would go unused; `Never`
/// if the request waits for it until its deadline. A query that has enough
/// shards is answered without the part, so an overloaded endpoint would work in
/// vain. Whether the query of a shard request has enough shards is known to the
/// requester only, which cancels it then: until that would have arrived, the
/// limit is the soft deadline, except for attempts that are sent on arrival.
instant relay::impl::replyNeededBy(const request_state &Request) const {
  if (Request.Requester)
    return Now > Request.ArrivedAt && Now < cancelDueAt(Request)
               ? Request.SoftDeadline
               : Never;
  const bool IsOptional = Request.isGathered() && Request.hasEnoughParts();
  return IsOptional ? Request.SoftDeadline : Never;
}

/// When a shard request would have been cancelled if its query had enough
/// shards at the soft deadline.
instant relay::impl::cancelDueAt(const request_state &ShardRequest) {
  return ShardRequest.SoftDeadline + CancelTransit;
}

reply_timing relay::impl::replyTiming(const request_state &Request) const {
  return {Request.RouteState->Median.value(),
          (Request.SoftDeadline - Now) * EarlyReplyShare,
          replyNeededBy(Request)};
}

/// Sends the part, or lets it wait or fail if it cannot be sent now. `IsNext`:
/// no waiting part goes before it.
void relay::impl::startPart(request_state &Request, request_part &Part,
                            bool IsNext) {
  unqueue(Part);
  if (Quarantine.holds(*Request.Content, Now)) {
    Part.Phase = part_phase::failed;
    return;
  }
  Endpoints.startDueChecks(*Part.Service, Now);
  Part.IsUnreachable = false;
  if (isUnreachable(Part)) {
    markUnreachable(Request, Part);
    return;
  }
  const bool IsEarly = Now < Part.NotBefore;
  const bool IsBehind = !IsEarly && !IsNext && isBehind(Request, Part);
  if (!IsEarly && !IsBehind &&
      sendPart(Request, Part, replyTiming(Request), Part.RepeatReason))
    return;
  reply_timing Timing;
  Timing.LatestSendAt = latestSendAfterPause(Request);
  Timing.IsFirstAttempt = Part.isUnsent();
  const availability State =
      Endpoints.available(*Part.Service, Now, Part.Tried, Timing);
  const bool IsOverBudget =
      Part.Deliveries > 0 && !Part.Service->Budget.canSpend();
  const instant PauseEnd =
      State == availability::none ? pauseEndInTime(Request, Part) : Never;
  const bool HasEndpoint =
      State != availability::none &&
      (State == availability::busy || IsEarly || IsOverBudget || IsBehind);
  // An endpoint is open, but its reply would come after the soft deadline. The
  // requester may need it all the same.
  const bool IsDeferred = Request.Requester && State == availability::open &&
                          !HasEndpoint && Now < cancelDueAt(Request);
  // Without a share of the budget, a token comes by chance only.
  const bool IsDenied = IsOverBudget && !Part.Service->Budget.refillsOverTime();
  const bool MayWaitForTurn = HasEndpoint && !IsDenied &&
                              Now < waitLimit(Request) &&
                              !isHopeless(Request, Part);
  const bool MayWait = MayWaitForTurn || PauseEnd < Never || IsDeferred;
  Part.Phase = MayWait ? part_phase::waiting : part_phase::failed;
  if (!MayWait)
    return;
  if (IsOverBudget)
    Part.NotBefore = std::max(Part.NotBefore, Now + BudgetRetryDelay);
  // A part that may not be sent yet must not hold up the others.
  if (Now < Part.NotBefore)
    scheduleWake(Request, Part.NotBefore);
  else
    enqueue(Request, Part);
  if (IsBehind && State == availability::open)
    markFreed(*Part.Service);
  if (PauseEnd < Never)
    scheduleWake(Request, PauseEnd);
  if (IsDeferred)
    scheduleWake(Request, cancelDueAt(Request));
}

/// When the first endpoint that only a pause excludes accepts requests again;
/// `Never` if that is too late for the part.
instant relay::impl::pauseEndInTime(const request_state &Request,
                                    const request_part &Part) const {
  const instant PauseEnd =
      Endpoints.nextPauseEnd(*Part.Service, Now, Part.Tried);
  const bool IsInTime = PauseEnd <= latestSendAfterPause(Request);
  return PauseEnd < Never && IsInTime ? PauseEnd : Never;
}

/// Until when a part waits for the end of a pause.
instant relay::impl::latestSendAfterPause(const request_state &Request) {
  const instant LatestReply =
      Request.isGathered() ? Request.Deadline : Request.SoftDeadline;
  return LatestReply - Request.RouteState->Median.value();
}

/// Applies what an endpoint says of itself in a reply: that it stops soon, that
/// it wants no requests for a while, or how many it takes.
void relay::impl::applyStatements(endpoint_state &Endpoint,
                                  const endpoint_reply &Reply, instant SentAt) {
  if (Reply.IsOtherInstance)
    return;
  if (Reply.IsLeaving)
    announceLeaving({Endpoint.listed().Identity});
  if (Reply.HasInvalidRetryAfter)
    endpoint_set::reportInvalidRetryAfter(Endpoint, *Out);
  if (Reply.RetryAfter > millis{0})
    Endpoints.pause(Endpoint, Reply.RetryAfter, Now, *Out);
  if (Reply.HasInvalidRateLimit)
    endpoint_set::reportInvalidRateLimit(Endpoint, *Out);
  else
    Endpoints.onRateLimit(Endpoint, Reply.RateLimit, SentAt, Now, *Out);
}

void relay::impl::announceLeaving(
    const std::vector<endpoint_identity> &Leaving) {
  for (const endpoint_identity &Each : Leaving)
    if (Endpoints.announceLeaving(Each, Now, *Out))
      Slices.clearCache();
}

/// Time until which a part may wait for capacity or retry budget. Parts of a
/// query may wait past the objective: with too few shards the answer is late in
/// any case, and a late answer is better than none.
instant relay::impl::waitLimit(const request_state &Request) const {
  if (!Request.isGathered())
    return Request.SoftDeadline;
  const millis RunTime = Request.RouteState->Median.value() * RunTimeFactor;
  return std::max(Request.SoftDeadline, Request.Deadline - RunTime);
}

/// Sends the part to the best available endpoint. Returns false if no endpoint
/// can accept it, or if an attempt has already reached an endpoint and the
/// retry budget holds less than one token above `Reserve`.
bool relay::impl::sendPart(request_state &Request, request_part &Part,
                           const reply_timing &Timing, repeat_reason Reason,
                           double Reserve) {
  Endpoints.startDueChecks(*Part.Service, Now);
  service_budget &Budget = Part.Service->Budget;
  Budget.refill(Now);
  const bool IsExtraAttempt = Part.Deliveries > 0;
  repeat_count &Repeats =
      Request.LogEvent.Repeats[static_cast<std::size_t>(Reason)];
  if (IsExtraAttempt && !Budget.canSpend(Reserve)) {
    if (!std::exchange(Part.IsBudgetDenied, true)) {
      ++Request.LogEvent.BudgetDenials;
      ++Repeats.Denied;
    }
    return false;
  }
  reply_timing PartTiming = Timing;
  PartTiming.IsFirstTry = !std::exchange(Part.WasOffered, true);
  PartTiming.LatestSendAt = latestSendAfterPause(Request);
  PartTiming.IsFirstAttempt = Part.isUnsent();
  endpoint_state *To =
      Endpoints.choose(*Part.Service, Part.Tried, PartTiming, Now);
  if (!To)
    return false;
  if (IsExtraAttempt) {
    Budget.spend(Reserve);
    ++Repeats.Sent;
  } else {
    Budget.onFirstAttempt();
  }
  if (Part.Sends == 0)
    Request.LogEvent.QueueTime =
        std::max(Request.LogEvent.QueueTime, Now - Request.ArrivedAt);
  const attempt_no Attempt{++LastAttempt};
  ++Request.LogEvent.Attempts;
  Part.Phase = part_phase::running;
  Part.Running.push_back({Attempt, To->number(), Now});
  Part.Tried.push_back(To->number());
  ++Part.Sends;
  ++Part.Deliveries;
  ++Part.PossibleRuns;
  To->onSent(Attempt, Now);
  const auto Index = static_cast<std::size_t>(&Part - Request.Parts.data());
  attempt_context &Context = Attempts[Attempt];
  Context.Request = Request.Id;
  Context.Part = Index;
  Context.Endpoint = To->number();
  Context.SentAt = Now;
  Context.RouteState = Request.RouteState;
  Context.Service = Part.Service;
  if (Part.Service->Split)
    noteVersionSent(*Part.Service, *To, Context, PartTiming.IsFirstAttempt);
  if (!Part.Service->Queue.isEmpty())
    Part.Service->Queue.onSent(itemOf(Request, Part), Now);
  Out->push_back(send_attempt{
      Attempt, To->number(), Request.Content, Request.Deadline - Now,
      !Request.Route->IsIdempotent || Part.HitStaleConnection});
  return true;
}

/// Sends a second attempt for a running part if the route, the budget and, for
/// a shard request, the requester permit it.
void relay::impl::sendHedge(request_state &Request, request_part &Part) {
  if (!mayHedge(Request, Part) || Quarantine.holds(*Request.Content, Now) ||
      isUnreachable(Part) || isBehind(Request, Part) || !mayRetry(Request))
    return;
  reply_timing Timing = replyTiming(Request);
  Timing.IgnoresPastSlowness = true;
  const millis TimeLeft = Request.SoftDeadline - Now;
  const bool IsUrgent =
      TimeLeft <= Request.RouteState->Median.value() * UrgentHedgeFactor;
  if (sendPart(Request, Part, Timing, repeat_reason::hedge,
               Part.Service->Budget.hedgeReserve(IsUrgent)))
    ++Request.LogEvent.Hedges;
}

/// Whether the route permits a hedge of the part now.
bool relay::impl::mayHedge(const request_state &Request,
                           const request_part &Part) const {
  return Request.Route->IsIdempotent && Part.Phase == part_phase::running &&
         Part.Running.size() == 1 &&
         Part.PossibleRuns < Request.Route->MaxAttempts &&
         Now < Request.SoftDeadline;
}

/// Classifies the end of an attempt for endpoint health and retries. A 2xx
/// reply needs a signature to be a success; another status below 500 is a
/// success unless the request is a query over shards.
attempt_verdict relay::impl::verdictOf(const request_state *Request,
                                       const attempt_ended &Event) const {
  switch (Event.End) {
  case attempt_end::replied:
    break;
  case attempt_end::malformed_response:
    return attempt_verdict::failure;
  case attempt_end::connection_rejected:
    return attempt_verdict::overload;
  case attempt_end::stale_connection:
    return attempt_verdict::stale_connection;
  case attempt_end::not_sent:
    return attempt_verdict::cancelled;
  case attempt_end::connect_failed:
  case attempt_end::lost:
    return attempt_verdict::unreachable;
  }
  const endpoint_reply &Reply = *Event.Reply;
  if (Reply.IsOtherInstance)
    return attempt_verdict::unreachable;
  if (Reply.IsNotRun)
    return attempt_verdict::overload;
  const bool IsValid = isSuccess(Reply.Status) ? !Reply.Signature.empty()
                                               : !isServerError(Reply.Status);
  const bool IsFailedShard =
      Request && Request->isGathered() && !isSuccess(Reply.Status);
  return IsValid && !IsFailedShard ? attempt_verdict::success
                                   : attempt_verdict::failure;
}

void relay::impl::handleReply(request_state &Request, request_part &Part,
                              endpoint_no From, const attempt_ended &Event) {
  const attempt_verdict Verdict = verdictOf(&Request, Event);
  if (Part.Phase == part_phase::done)
    return;
  if (Verdict == attempt_verdict::success) {
    Part.Phase = part_phase::done;
    Part.Reply = Event.Reply;
    Quarantine.onSuccess(*Request.Content, *Out);
    Request.FirstPartAt = std::min(Request.FirstPartAt, Now);
    return;
  }
  const bool IsShed = Event.Reply && Event.Reply->IsNotRun;
  const bool IsUnsent = Event.End == attempt_end::not_sent ||
                        Event.End == attempt_end::connect_failed;
  const bool IsKnownNotRun =
      IsUnsent || IsShed || (Event.Reply && Event.Reply->IsOtherInstance);
  if (IsKnownNotRun && Part.PossibleRuns > 0)
    --Part.PossibleRuns;
  if (IsUnsent && Part.Deliveries > 0)
    --Part.Deliveries;
  if (Event.Reply && !IsKnownNotRun &&
      (isServerError(Event.Reply->Status) || Request.isGathered()))
    Part.Failure = Event.Reply;
  if (!Part.Running.empty())
    return;
  Part.RepeatReason = IsShed ? repeat_reason::shed : repeat_reason::failure;
  if (IsShed)
    backOffAfterShed(Part, From);
  if (Event.End == attempt_end::stale_connection) {
    Part.HitStaleConnection = true;
    std::erase(Part.Tried, From);
  }
  retryPart(Request, Part);
  // No endpoint is left that a connection could be opened to.
  if (Event.End == attempt_end::connect_failed &&
      Part.Phase == part_phase::failed)
    markUnreachable(Request, Part);
}

/// If no other endpoint is available, makes the endpoint that shed the part
/// eligible again after a backoff.
void relay::impl::backOffAfterShed(request_part &Part, endpoint_no Endpoint) {
  if (Endpoints.available(*Part.Service, Now, Part.Tried) != availability::none)
    return;
  std::erase(Part.Tried, Endpoint);
  Part.ShedBackoff =
      Part.ShedBackoff > millis{0} ? Part.ShedBackoff * 2 : InitialShedBackoff;
  Part.ShedBackoff = std::min(Part.ShedBackoff, MaxShedBackoff);
  Part.NotBefore = Now + Part.ShedBackoff;
}

/// Retries a part whose last running attempt has failed, if the limits permit
/// it and the request is idempotent or was certainly not executed.
void relay::impl::retryPart(request_state &Request, request_part &Part) {
  Part.Phase = part_phase::failed;
  const bool IsSafe = Request.Route->IsIdempotent || Part.PossibleRuns == 0;
  const std::uint32_t SendLimit =
      Request.isGathered() ? MaxShardSends : MaxSends;
  if (!IsSafe || Part.PossibleRuns >= Request.Route->MaxAttempts ||
      Part.Sends >= SendLimit || Now >= Request.Deadline)
    return;
  if (Part.PossibleRuns > 0 && !mayRetry(Request)) {
    Part.Phase = part_phase::awaiting_grant;
    return;
  }
  const std::uint32_t SendsBefore = Part.Sends;
  startPart(Request, Part);
  if (Part.Sends > SendsBefore)
    ++Request.LogEvent.Retries;
}

/// Remembers a request whose connection broke while the endpoint may have run
/// it. One that another endpoint has answered does not make endpoints go down.
void relay::impl::noteLost(const request_state &Request,
                           const attempt_context &Attempt, attempt_end End) {
  const bool MayHaveRun = End != attempt_end::replied &&
                          End != attempt_end::connect_failed &&
                          End != attempt_end::not_sent;
  if (MayHaveRun && Request.completedParts() == 0)
    Crashes.onLost(Attempt.Endpoint,
                   {fingerprintOf(*Request.Content), Request.Content->RequestId,
                    Attempt.SentAt, Now});
}

/// Whether the endpoint was heard. One that closed a connection may be
/// reachable, so that says nothing.
void relay::impl::noteReach(endpoint_no Endpoint, attempt_end End) {
  switch (End) {
  case attempt_end::replied:
  case attempt_end::malformed_response:
    Reach.onHeard();
    return;
  case attempt_end::connect_failed:
  case attempt_end::lost:
    Reach.onUnheard(Endpoint, Now);
    return;
  case attempt_end::not_sent:
  case attempt_end::connection_rejected:
  case attempt_end::stale_connection:
    return;
  }
}

/// Notes the requests that an endpoint was running when it went down.
void relay::impl::noteCrashes(const probe_ended &Event) {
  const endpoint_state *Endpoint = Endpoints.find(Event.Endpoint);
  for (const crash &Each :
       Crashes.onProbeEnded(Event.Endpoint, Event.IsHealthy, Now))
    if (Endpoint)
      HeldCrashes.push_back(
          {Each, Endpoint->listed().Identity, Endpoint->listed().Service});
}

/// Reports the crashes once another endpoint has been heard. Without reach,
/// they are this relay's loss of its path and no crashes.
void relay::impl::reportCrashes() {
  if (Reach.isLost())
    HeldCrashes.clear();
  if (Reach.isInDoubt())
    return;
  for (const held_crash &Each : std::exchange(HeldCrashes, {})) {
    Out->push_back(crash_log_event{Each.Crash.RequestId, Each.Crash.Request,
                                   Each.Endpoint.Instance, Each.Service});
    Quarantine.onCrash(Each.Crash.Request,
                       {Each.Endpoint, Each.Crash.SentAt, Each.Crash.At}, Now,
                       *Out);
  }
}

void relay::impl::recordLatency(route_state &RouteState, millis Elapsed) {
  RouteState.Median.add(Elapsed);
  RouteState.Tail.add(Elapsed);
}

void relay::impl::logAttempt(const request_state &Request,
                             const request_part &Part,
                             const endpoint_state *Endpoint,
                             attempt_verdict Verdict,
                             const attempt_ended &Event, millis Elapsed) {
  attempt_log_event LogEvent;
  LogEvent.RequestId = Request.Content->RequestId;
  LogEvent.Fingerprint = fingerprintOf(*Request.Content);
  LogEvent.Service = Part.Service->Name;
  if (Endpoint) {
    LogEvent.Instance = Endpoint->listed().Identity.Instance;
    LogEvent.Version = Endpoint->listed().Version;
  }
  LogEvent.Verdict = Verdict;
  LogEvent.Status = Event.Reply ? Event.Reply->Status : 0;
  LogEvent.Elapsed = Elapsed;
  Out->push_back(std::move(LogEvent));
}

void relay::impl::cancel(attempt_no Attempt, attempt_verdict Verdict) {
  const auto Found = Attempts.find(Attempt);
  if (Found == Attempts.end())
    return;
  const attempt_context Context = Found->second;
  Attempts.erase(Found);
  endpoint_state *Endpoint = Endpoints.find(Context.Endpoint);
  if (Endpoint)
    Endpoint->onEnded(Attempt, Verdict, Context.RouteState->Median.value(),
                      Now);
  if (Endpoint && Context.Rollout.Value != 0)
    noteVersionEnded(Context, *Endpoint, Verdict, attempt_end::lost);
  markFreed(*Context.Service);
  if (Verdict == attempt_verdict::overdue) {
    recordLatency(*Context.RouteState, Now - Context.SentAt);
    Reach.onUnheard(Context.Endpoint, Now);
  }
  // The endpoint may be down without closing its connections; probe it.
  if (Endpoint && Verdict != attempt_verdict::cancelled)
    Endpoints.markSuspect(*Endpoint, Now, *Out);
  Out->push_back(cancel_attempt{Attempt, Context.Endpoint});
}

void relay::impl::cancelLingering() {
  std::erase_if(Lingering, [&](const lingering_attempt &Each) {
    if (Each.Until > Now)
      return false;
    cancel(Each.Attempt, attempt_verdict::overdue);
    return true;
  });
}

} // namespace bulrush::relay
