// Attempts of one part: the first, hedges and further tries.
#include "relay/relay_impl.h"

#include <algorithm>

namespace bulrush::relay {

namespace {

/// Sendings of a request to one service, those included that no endpoint ran:
/// its client may come back in time.
constexpr std::uint32_t MaxSends = 4;
/// The same of one shard; the other shards are there already.
constexpr std::uint32_t MaxShardSends = 12;
/// A reply within this share of the time that is left comes in good time: there
/// is still enough for a second attempt.
constexpr double GoodTimeShare = 0.4;
/// Before a part is sent again to the endpoint that has shed it; twice as long
/// each time.
constexpr millis FirstShedPause{10};
constexpr millis LongestShedPause{160};
/// Before a part that the budget has stopped is tried again.
constexpr millis StarvedPause{50};
/// A part waits while it could still be run before the deadline, in typical
/// latencies.
constexpr double RunTimes = 2;

bool isSuccess(unsigned Status) { return Status >= 200 && Status < 300; }
bool isServerError(unsigned Status) { return Status >= 500; }

} // namespace

/// By when a reply to a part that is sent now is wanted. An answer that has
/// enough shards does not wait for it: an endpoint with too much work would do
/// what nobody waits for.
instant relay::impl::wantedBy(const request_work &Work) const {
  if (Work.Requester)
    return Now > Work.ArrivedAt ? Work.SoftDeadline : Never;
  const bool MayLeaveOut = Work.isGathered() && Work.isCoveredEnough();
  return MayLeaveOut ? Work.SoftDeadline : Never;
}

reply_timing relay::impl::wantedReply(const request_work &Work) const {
  return {Work.Learnt->Median.value(),
          (Work.SoftDeadline - Now) * GoodTimeShare, wantedBy(Work)};
}

void relay::impl::begin(request_work &Work, request_part &Part) {
  const bool IsEarly = Now < Part.NotBefore;
  if (!IsEarly && send(Work, Part))
    return;
  const availability State =
      Endpoints.available(*Part.Service, Now, Part.Tried);
  const bool IsStarved = Part.Arrivals > 0 && !Part.Service->Budget.canSpend();
  const bool MayWait = (State == availability::busy || IsEarly || IsStarved) &&
                       State != availability::none && Now < waitsUntil(Work);
  Part.Phase = MayWait ? part_phase::waiting : part_phase::failed;
  if (!MayWait)
    return;
  Waiting.insert(Work.Request);
  if (IsStarved)
    Part.NotBefore = std::max(Part.NotBefore, Now + StarvedPause);
  if (Now < Part.NotBefore)
    wakeAt(Work, Part.NotBefore);
}

/// How long a part waits for room or budget. Where too few shards are there the
/// answer is late in any case, and a late one is better than none.
instant relay::impl::waitsUntil(const request_work &Work) const {
  if (!Work.isGathered())
    return Work.SoftDeadline;
  const millis Run = Work.Learnt->Median.value() * RunTimes;
  return std::max(Work.SoftDeadline, Work.Deadline - Run);
}

/// Sends the part to the endpoint that is likely to reply first; false when no
/// endpoint can take it, or when it would be a further arrival and the budget
/// has too little beside `Reserve`.
bool relay::impl::send(request_work &Work, request_part &Part, double Reserve) {
  service_budget &Budget = Part.Service->Budget;
  Budget.refill(Now);
  const bool IsFurther = Part.Arrivals > 0;
  if (IsFurther && !Budget.canSpend(Reserve)) {
    Work.LogEvent.BudgetDenials += Part.IsHedgeDenied ? 0 : 1;
    Part.IsHedgeDenied = true;
    return false;
  }
  endpoint_state *To =
      Endpoints.choose(*Part.Service, Part.Tried, wantedReply(Work), Now);
  if (!To)
    return false;
  if (IsFurther)
    Budget.spend(Reserve);
  else
    Budget.onFirstAttempt();
  if (Part.Sends == 0)
    Work.LogEvent.QueueTime =
        std::max(Work.LogEvent.QueueTime, Now - Work.ArrivedAt);
  const attempt_no Attempt{++LastAttempt};
  Part.Phase = part_phase::running;
  Part.Running.push_back({Attempt, To->number(), Now});
  Part.Tried.push_back(To->number());
  ++Part.Sends;
  ++Part.Arrivals;
  ++Part.Runs;
  To->onSent(Attempt, Now);
  const auto Place = static_cast<std::size_t>(&Part - Work.Parts.data());
  Attempts[Attempt] = {Work.Request, Place, To->number(), Now, Work.Learnt};
  Out->push_back(
      send_attempt{Attempt, To->number(), Work.Content, Work.Deadline - Now,
                   !Work.Route->IsIdempotent || Part.HitStaleConnection});
  return true;
}

void relay::impl::hedge(request_work &Work, request_part &Part) {
  const bool MayHedge =
      Work.Route->IsIdempotent && Part.Phase == part_phase::running &&
      Part.Running.size() == 1 && Part.Runs < Work.Route->MaxAttempts;
  if (!MayHedge || Now >= Work.SoftDeadline || !mayRetry(Work))
    return;
  if (send(Work, Part, Part.Service->Budget.hedgeReserve()))
    ++Work.LogEvent.Hedges;
}

attempt_verdict relay::impl::verdictOf(const request_work *Work,
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
  case attempt_end::lost:
    return attempt_verdict::unreachable;
  }
  const endpoint_reply &Reply = *Event.Reply;
  if (Reply.IsOtherInstance)
    return attempt_verdict::unreachable;
  if (Reply.IsNotRun)
    return attempt_verdict::overload;
  const bool IsPlain = isSuccess(Reply.Status) ? !Reply.Signature.empty()
                                               : !isServerError(Reply.Status);
  const bool IsPartLost =
      Work && Work->isGathered() && !isSuccess(Reply.Status);
  return IsPlain && !IsPartLost ? attempt_verdict::success
                                : attempt_verdict::failure;
}

void relay::impl::takeReply(request_work &Work, request_part &Part,
                            endpoint_no From, const attempt_ended &Event) {
  const attempt_verdict Verdict = verdictOf(&Work, Event);
  if (Part.Phase == part_phase::done)
    return;
  if (Verdict == attempt_verdict::success) {
    Part.Phase = part_phase::done;
    Part.Reply = Event.Reply;
    Work.FirstPartAt = std::min(Work.FirstPartAt, Now);
    return;
  }
  const bool IsShed = Event.Reply && Event.Reply->IsNotRun;
  const bool IsProvedUnrun = Event.End == attempt_end::not_sent || IsShed ||
                             (Event.Reply && Event.Reply->IsOtherInstance);
  if (IsProvedUnrun && Part.Runs > 0)
    --Part.Runs;
  if (Event.End == attempt_end::not_sent && Part.Arrivals > 0)
    --Part.Arrivals;
  if (Event.Reply && !IsProvedUnrun &&
      (isServerError(Event.Reply->Status) || Work.isGathered()))
    Part.Failure = Event.Reply;
  if (!Part.Running.empty())
    return;
  if (IsShed)
    waitAfterShed(Part, From);
  if (Event.End == attempt_end::stale_connection) {
    Part.HitStaleConnection = true;
    std::erase(Part.Tried, From);
  }
  tryAgain(Work, Part);
}

/// An endpoint that has shed a part may take it a little later, where no other
/// one can.
void relay::impl::waitAfterShed(request_part &Part, endpoint_no Endpoint) {
  if (Endpoints.available(*Part.Service, Now, Part.Tried) != availability::none)
    return;
  std::erase(Part.Tried, Endpoint);
  Part.ShedPause =
      Part.ShedPause > millis{0} ? Part.ShedPause * 2 : FirstShedPause;
  Part.ShedPause = std::min(Part.ShedPause, LongestShedPause);
  Part.NotBefore = Now + Part.ShedPause;
}

/// After a failed attempt.
void relay::impl::tryAgain(request_work &Work, request_part &Part) {
  Part.Phase = part_phase::failed;
  const bool IsSafe = Work.Route->IsIdempotent || Part.Runs == 0;
  const std::uint32_t Most = Work.isGathered() ? MaxShardSends : MaxSends;
  if (!IsSafe || Part.Runs >= Work.Route->MaxAttempts || Part.Sends >= Most ||
      Now >= Work.Deadline)
    return;
  if (Part.Runs > 0 && !mayRetry(Work)) {
    Part.Phase = part_phase::held;
    return;
  }
  const std::uint32_t Sends = Part.Sends;
  begin(Work, Part);
  if (Part.Sends > Sends)
    ++Work.LogEvent.Retries;
}

void relay::impl::observe(route_state &Learnt, millis Elapsed) {
  Learnt.Median.add(Elapsed);
  Learnt.Slow.add(Elapsed);
}

void relay::impl::noteAttempt(const request_work &Work,
                              const request_part &Part,
                              const endpoint_state *Endpoint,
                              attempt_verdict Verdict,
                              const attempt_ended &Event, millis Elapsed) {
  attempt_log_event LogEvent;
  LogEvent.RequestId = Work.Content->RequestId;
  LogEvent.Service = Part.Service->Name;
  if (Endpoint)
    LogEvent.Instance = Endpoint->listed().Identity.Instance;
  LogEvent.Verdict = Verdict;
  LogEvent.Status = Event.Reply ? Event.Reply->Status : 0;
  LogEvent.Elapsed = Elapsed;
  Out->push_back(std::move(LogEvent));
}

void relay::impl::cancel(attempt_no Attempt, attempt_verdict Verdict) {
  const auto Found = Attempts.find(Attempt);
  if (Found == Attempts.end())
    return;
  const attempt_place Place = Found->second;
  Attempts.erase(Found);
  endpoint_state *Endpoint = Endpoints.find(Place.Endpoint);
  if (Endpoint)
    Endpoint->onEnded(Attempt, Verdict, Place.Learnt->Median.value(), Now);
  if (Verdict == attempt_verdict::overdue) {
    observe(*Place.Learnt, Now - Place.SentAt);
    // It may be dead without a word: a probe tells.
    if (Endpoint)
      Endpoints.markSuspect(*Endpoint, Now, *Out);
  }
  Out->push_back(cancel_attempt{Attempt, Place.Endpoint});
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
