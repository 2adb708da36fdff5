#include "query/router_impl.h"

#include <algorithm>
#include <cmath>

namespace bulrush::query {

namespace {

/// Weight of one reply in an endpoint's mean latency.
constexpr float LatencyWeight = 0.1F;
/// A reply counts at most as this many times the mean, so that one straggler
/// does not turn work away from its endpoint for long.
constexpr float MaxLatencyRatio = 3;
/// A hedge's target may be so many times slower than the endpoint waited for.
constexpr float MaxTargetRatio = 2.5F;
/// A hedge that was denied is considered again after this.
constexpr millis HedgeRecheck{2};

retry_reason causeOf(refusal Reason) {
  switch (Reason) {
  case refusal::endpoint_shed:
    return retry_reason::shed;
  case refusal::snapshot_missing:
  case refusal::wrong_snapshot:
    return retry_reason::wrong_snapshot;
  case refusal::none:
  case refusal::endpoint_lost:
  case refusal::link_down:
  case refusal::timed_out:
  case refusal::cancelled:
    return retry_reason::lost;
  default:
    return retry_reason::owner_refused;
  }
}

/// Whether a failure tells of load, so that others fail at the same time.
bool tellsOfLoad(retry_reason Cause) {
  return Cause == retry_reason::shed || Cause == retry_reason::owner_refused;
}

} // namespace

void router::impl::takeReply(query_state &Query, const sub_reply &Reply) {
  const attempt_record *Known = Query.Gather.find(Reply.Sub);
  const bool WasPending = Known && Known->State == attempt_state::pending;
  const reply_meaning Meaning = Query.Gather.accept(Reply, Now);
  if (!WasPending)
    return;
  const endpoint_id Endpoint = Known->Endpoint;
  --Endpoints[Endpoint].Outstanding;
  if (Reply.Outcome == outcome::answered)
    observe(Query, Endpoint, Query.Gather.elapsed(*Known, Now), true);
  if (Query.IsCommand)
    return commandEnded(Query, Reply);
  const shard_id Shard = Known->Shard;
  if (Meaning == reply_meaning::covered)
    return abandon(Query, Shard, attempt_state::cancelled, refusal::cancelled);
  const refusal Reason = Known->Reason;
  const retry_reason Cause = causeOf(Reason);
  if (Cause == retry_reason::wrong_snapshot)
    Directory.forget(Endpoint, Query.Gather.snapshot());
  Query.LastFailure = Reason;
  Query.RetryAfter = std::max(Query.RetryAfter, Reply.RetryAfter);
  attemptFailed(Query, Shard, Cause);
}

/// Ends all running attempts of a shard; the owners are told.
void router::impl::abandon(query_state &Query, shard_id Shard,
                           attempt_state State, refusal Reason) {
  const shard_progress &Progress = Query.Gather[Shard];
  for (std::uint32_t At = 0; Progress.Pending > 0 && At < Progress.Count;
       ++At) {
    const attempt_record &Attempt = Query.Gather.attempt(Shard, At);
    if (Attempt.State != attempt_state::pending)
      continue;
    const sub_id Sub = Query.Gather.subOf(Shard, At);
    Outbox.cancel(Attempt.Owner, Sub);
    --Endpoints[Attempt.Endpoint].Outstanding;
    observe(Query, Attempt.Endpoint, Query.Gather.elapsed(Attempt, Now), false);
    Query.Gather.abandon(Sub, State, Reason, Now);
  }
}

/// Learns from the time that an attempt took, or has taken without a reply.
void router::impl::observe(const query_state &Query, endpoint_id Endpoint,
                           millis Elapsed, bool Ended) {
  endpoint_view &View = Endpoints[Endpoint];
  const float TookMs = std::min(static_cast<float>(Elapsed.Count),
                                MaxLatencyRatio * View.LatencyMs);
  const matched_intent &Intent = *Query.Intent;
  if (Ended || TookMs > View.LatencyMs)
    View.LatencyMs += LatencyWeight * (TookMs - View.LatencyMs);
  if (Query.IsCommand)
    return;
  const bool IsLate =
      Elapsed > Hedges.delay(Endpoint, Intent.Class, Intent.Intent.Deadline);
  if (Ended || IsLate)
    Hedges.observe(Endpoint, Intent.Class, Elapsed);
}

void router::impl::attemptFailed(query_state &Query, shard_id Shard,
                                 retry_reason Cause) {
  shard_progress &Progress = Query.Gather[Shard];
  if (!Progress.isOpen() || Progress.Pending > 0)
    return;
  Progress.HedgeAt = Never;
  if (Progress.Count >= MaxAttempts || !hasHolder(Query, Shard))
    return Query.Gather.markLost(Shard);
  Progress.RetryCause = Cause;
  const bool IsFirst = Progress.Count == 1;
  if (IsFirst && !tellsOfLoad(Cause))
    return retry(Query, Shard);
  const double Doubled = std::exp2(Progress.Count - 1);
  const millis Backoff =
      std::min(Settings.Retry.BaseBackoff * Doubled, Settings.Retry.MaxBackoff);
  const instant At = Now + Backoff * Choice.draw();
  if (At >= Query.Deadline)
    return Query.Gather.markLost(Shard);
  Progress.RetryAt = At;
  wakeAt(Query, At);
}

void router::impl::retry(query_state &Query, shard_id Shard) {
  shard_progress &Progress = Query.Gather[Shard];
  Progress.RetryAt = Never;
  const std::optional<endpoint_id> Target = retryTarget(Query, Shard);
  if (!Target || !budgetOf(Query).spendRetries(1))
    return Query.Gather.markLost(Shard);
  Out->emplace_back(count_retry{Progress.RetryCause, 1});
  send(Query, Shard, *Target, false, Progress.RetryCause);
}

bool router::impl::hasHolder(const query_state &Query, shard_id Shard) const {
  const shard_map *Map = Directory.find(Query.Pool, Query.Gather.snapshot());
  return Map && isUsable(Map->Holders[Shard.Value]);
}

/// A holder that was not tried yet, else any.
std::optional<endpoint_id> router::impl::retryTarget(query_state &Query,
                                                     shard_id Shard) {
  const shard_map *Map = Directory.find(Query.Pool, Query.Gather.snapshot());
  if (!Ready || !Map)
    return std::nullopt;
  const std::vector<endpoint_id> &Holders = Map->Holders[Shard.Value];
  collectTried(Query.Gather, Shard);
  if (const auto Target = Choice.choose(Holders, Tried))
    return Target;
  Tried.clear();
  return Choice.choose(Holders, Tried);
}

void router::impl::collectTried(const gather &Gather, shard_id Shard) {
  Tried.clear();
  for (std::uint32_t At = 0; At < Gather[Shard].Count; ++At)
    Tried.push_back(Gather.attempt(Shard, At).Endpoint);
}

/// The owner is not heard any more: what it was sent may have run.
void router::impl::loseOwner(query_state &Query, vm_id Owner) {
  for (std::uint32_t Shard = 0; Shard < Query.Gather.total(); ++Shard) {
    const shard_progress &Progress = Query.Gather[shard_id{Shard}];
    for (std::uint32_t At = 0; At < Progress.Count; ++At) {
      const attempt_record &Attempt = Query.Gather.attempt({Shard}, At);
      if (Attempt.State != attempt_state::pending || Attempt.Owner != Owner)
        continue;
      --Endpoints[Attempt.Endpoint].Outstanding;
      const sub_id Sub = Query.Gather.subOf({Shard}, At);
      Query.Gather.abandon(Sub, attempt_state::failed, refusal::link_down, Now);
      Query.LastFailure = refusal::link_down;
      if (Query.IsCommand)
        return commandLost(Query, Sub, refusal::link_down);
      Outbox.cancel(Owner, Sub);
      attemptFailed(Query, {Shard}, retry_reason::lost);
    }
  }
  flush(Query);
  settle(Query);
}

void router::impl::wakeUp(query_state &Query) {
  Query.WakeAt = Never;
  if (Now >= Query.Deadline)
    return atDeadline(Query);
  wakeAt(Query, Query.Deadline);
  if (Query.Phase == query_phase::snapshot)
    return pinOrWait(Query);
  if (Query.Phase != query_phase::replies || Query.IsCommand)
    return;
  instant Next = Never;
  for (std::uint32_t Shard = 0; Shard < Query.Gather.total(); ++Shard) {
    const shard_progress &Progress = Query.Gather[shard_id{Shard}];
    if (!Progress.isOpen())
      continue;
    if (Progress.RetryAt <= Now)
      retry(Query, {Shard});
    if (Progress.HedgeAt <= Now)
      hedge(Query, {Shard});
    Next = std::min({Next, Progress.RetryAt, Progress.HedgeAt});
  }
  wakeAt(Query, Next);
  flush(Query);
  settle(Query);
}

void router::impl::hedge(query_state &Query, shard_id Shard) {
  shard_progress &Progress = Query.Gather[Shard];
  Progress.HedgeAt = Never;
  if (Progress.Pending != 1 || Progress.Count >= MaxAttempts)
    return;
  const hedge_denial Denial = tryHedge(Query, Shard);
  if (Denial == hedge_denial::none)
    return;
  Query.HedgeDenial = Denial;
  if (Denial == hedge_denial::no_replica)
    Progress.HedgeClosed = true;
  else
    Progress.HedgeAt = Now + HedgeRecheck;
}

hedge_denial router::impl::tryHedge(query_state &Query, shard_id Shard) {
  const gather &Gather = Query.Gather;
  const double MayBeOpen =
      std::max(1.0, Settings.Hedge.OpenShare * Gather.total());
  if (Gather.open() > MayBeOpen)
    return hedge_denial::too_many_open;
  const intent_class Class = Query.Intent->Class;
  if (Hedges.isShifted(Query.Pool, Class))
    return hedge_denial::latency_shifted;
  const shard_map *Map = Directory.find(Query.Pool, Gather.snapshot());
  if (!Ready || !Map)
    return hedge_denial::no_replica;
  collectTried(Gather, Shard);
  const auto Target = hedgeTarget(Map->Holders[Shard.Value]);
  if (!Target)
    return hedge_denial::no_replica;
  if (Hedges.isZoneShifted(Endpoints[*Target].Zone, Class))
    return hedge_denial::latency_shifted;
  if (!budgetOf(Query).spendHedge())
    return hedge_denial::no_budget;
  Out->emplace_back(count_retry{retry_reason::hedge, 1});
  Query.Gather[Shard].HedgeClosed = true;
  send(Query, Shard, *Target, false, retry_reason::hedge);
  return hedge_denial::none;
}

admission_throttle &router::impl::throttleOf(const query_state &Query) {
  const std::size_t Class = Query.Intent->Class.Value;
  if (Throttles.size() <= Class)
    Throttles.resize(Class + 1);
  return Throttles[Class];
}

/// Another warm holder. When that one is known to be much slower than the
/// endpoint that is waited for, which has nothing else of this daemon to do,
/// then that endpoint once more: a straggler is seldom the whole endpoint.
std::optional<endpoint_id>
router::impl::hedgeTarget(const std::vector<endpoint_id> &Holders) {
  const auto Other = Choice.chooseWarm(Holders, Tried);
  if (!Other)
    return std::nullopt;
  const endpoint_id Waited = Tried.back();
  const endpoint_view &View = Endpoints[Waited];
  const bool IsOtherSlow =
      Endpoints[*Other].LatencyMs > MaxTargetRatio * View.LatencyMs;
  const bool MayRepeat = View.usable() && View.Outstanding <= 1 &&
                         View.Condition == endpoint_condition::warm;
  return IsOtherSlow && MayRepeat ? Waited : Other;
}

retry_budget &router::impl::budgetOf(const query_state &Query) {
  const std::size_t Class = Query.Intent->Class.Value;
  while (Budgets.size() <= Class)
    Budgets.emplace_back(Settings.Retry);
  return Budgets[Class];
}

} // namespace bulrush::query
