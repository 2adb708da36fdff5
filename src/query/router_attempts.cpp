#include "query/router_impl.h"

#include <algorithm>
#include <cmath>

namespace bulrush::query {

namespace {

/// Weight of one reply in the moving average of an endpoint's latency.
constexpr float LatencyWeight = 0.1F;
/// A latency counts as at most this multiple of the average, so that one
/// straggler does not divert traffic from its endpoint for long.
constexpr float MaxLatencyRatio = 3;
/// Maximum ratio of the mean latency of a hedge's target to that of the
/// endpoint with the pending attempt.
constexpr float MaxHedgeTargetRatio = 2.5F;
/// Delay before a denied hedge is considered again.
constexpr millis HedgeRecheck{2};

retry_reason retryReasonFor(refusal Reason) {
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

/// Returns whether a failure indicates overload, in which case other attempts
/// fail at the same time and a retry must back off.
bool indicatesOverload(retry_reason Cause) {
  return Cause == retry_reason::shed || Cause == retry_reason::owner_refused;
}

} // namespace

void router::impl::handleReply(query_state &Query, const sub_reply &Reply) {
  const attempt_record *Known = Query.Gather.find(Reply.Sub);
  const bool WasPending = Known && Known->State == attempt_state::pending;
  const reply_effect Effect = Query.Gather.accept(Reply, Now);
  if (!WasPending)
    return;
  const endpoint_id Endpoint = Known->Endpoint;
  --Endpoints[Endpoint].Outstanding;
  if (Reply.Outcome == outcome::answered)
    observe(Query, Endpoint, Query.Gather.elapsed(*Known, Now), true);
  if (Query.IsCommand)
    return onCommandReply(Query, Reply);
  const shard_id Shard = Known->Shard;
  if (Effect == reply_effect::covered)
    return abandon(Query, Shard, attempt_state::cancelled, refusal::cancelled);
  const refusal Reason = Known->Reason;
  const retry_reason Cause = retryReasonFor(Reason);
  if (Cause == retry_reason::wrong_snapshot)
    Directory.removeHeld(Endpoint, Query.Gather.snapshot());
  Query.LastFailure = Reason;
  Query.RetryAfter = std::max(Query.RetryAfter, Reply.RetryAfter);
  onAttemptFailed(Query, Shard, Cause);
}

/// Ends all pending attempts for a shard and cancels them at their owners.
void router::impl::abandon(query_state &Query, shard_id Shard,
                           attempt_state State, refusal Reason) {
  const shard_progress &Progress = Query.Gather[Shard];
  for (std::uint32_t Index = 0; Progress.Pending > 0 && Index < Progress.Count;
       ++Index) {
    const attempt_record &Attempt = Query.Gather.attempt(Shard, Index);
    if (Attempt.State != attempt_state::pending)
      continue;
    const sub_id Sub = Query.Gather.subIdOf(Shard, Index);
    Outbox.cancel(Attempt.Owner, Sub);
    --Endpoints[Attempt.Endpoint].Outstanding;
    observe(Query, Attempt.Endpoint, Query.Gather.elapsed(Attempt, Now), false);
    Query.Gather.abandon(Sub, State, Reason, Now);
  }
}

/// Updates the latency statistics with the duration of an attempt. Without a
/// reply (`HasReply` is false) the duration so far is a lower bound; it counts
/// only if it is above the estimate.
void router::impl::observe(const query_state &Query, endpoint_id Endpoint,
                           millis Elapsed, bool HasReply) {
  endpoint_view &View = Endpoints[Endpoint];
  const float TookMs = std::min(static_cast<float>(Elapsed.Count),
                                MaxLatencyRatio * View.LatencyMs);
  const matched_intent &Intent = *Query.Intent;
  if (HasReply || TookMs > View.LatencyMs)
    View.LatencyMs += LatencyWeight * (TookMs - View.LatencyMs);
  if (Query.IsCommand)
    return;
  const bool IsLate = Elapsed > HedgeDelays.delay(Endpoint, Intent.Class,
                                                  Intent.Intent.Deadline);
  if (HasReply || IsLate)
    HedgeDelays.observe(Endpoint, Intent.Class, Elapsed);
}

void router::impl::onAttemptFailed(query_state &Query, shard_id Shard,
                                   retry_reason Cause) {
  shard_progress &Progress = Query.Gather[Shard];
  if (!Progress.isOpen() || Progress.Pending > 0)
    return;
  Progress.HedgeAt = Never;
  if (Progress.Count >= MaxAttempts || !hasUsableHolder(Query, Shard))
    return Query.Gather.markFailed(Shard);
  Progress.RetryCause = Cause;
  const bool IsFirst = Progress.Count == 1;
  if (IsFirst && !indicatesOverload(Cause))
    return retry(Query, Shard);
  const double Doubled = std::exp2(Progress.Count - 1);
  const millis Backoff =
      std::min(Settings.Retry.BaseBackoff * Doubled, Settings.Retry.MaxBackoff);
  const instant At = Now + Backoff * Selector.drawUniform();
  if (At >= Query.Deadline)
    return Query.Gather.markFailed(Shard);
  Progress.RetryAt = At;
  wakeAt(Query, At);
}

void router::impl::retry(query_state &Query, shard_id Shard) {
  shard_progress &Progress = Query.Gather[Shard];
  Progress.RetryAt = Never;
  const std::optional<endpoint_id> Target = retryTarget(Query, Shard);
  if (!Target || !budgetOf(Query).spendRetries(1))
    return Query.Gather.markFailed(Shard);
  Out->emplace_back(count_retry{Progress.RetryCause, 1});
  send(Query, Shard, *Target, false, Progress.RetryCause);
}

bool router::impl::hasUsableHolder(const query_state &Query,
                                   shard_id Shard) const {
  const shard_map *Map = Directory.find(Query.Pool, Query.Gather.snapshot());
  return Map && isAnyUsable(Map->Holders[Shard.Value]);
}

/// Returns a usable holder that was not tried yet, or else any usable holder.
std::optional<endpoint_id> router::impl::retryTarget(query_state &Query,
                                                     shard_id Shard) {
  const shard_map *Map = Directory.find(Query.Pool, Query.Gather.snapshot());
  if (!Ready || !Map)
    return std::nullopt;
  const std::vector<endpoint_id> &Holders = Map->Holders[Shard.Value];
  collectTried(Query.Gather, Shard);
  if (const auto Target = Selector.choose(Holders, Tried))
    return Target;
  Tried.clear();
  return Selector.choose(Holders, Tried);
}

void router::impl::collectTried(const gather_state &Gather, shard_id Shard) {
  Tried.clear();
  for (std::uint32_t Index = 0; Index < Gather[Shard].Count; ++Index)
    Tried.push_back(Gather.attempt(Shard, Index).Endpoint);
}

/// Ends the attempts sent to an owner that is no longer reachable. They may
/// have been executed.
void router::impl::onOwnerLost(query_state &Query, vm_id Owner) {
  for (std::uint32_t Shard = 0; Shard < Query.Gather.total(); ++Shard) {
    const shard_progress &Progress = Query.Gather[shard_id{Shard}];
    for (std::uint32_t Index = 0; Index < Progress.Count; ++Index) {
      const attempt_record &Attempt = Query.Gather.attempt({Shard}, Index);
      if (Attempt.State != attempt_state::pending || Attempt.Owner != Owner)
        continue;
      --Endpoints[Attempt.Endpoint].Outstanding;
      const sub_id Sub = Query.Gather.subIdOf({Shard}, Index);
      Query.Gather.abandon(Sub, attempt_state::failed, refusal::link_down, Now);
      Query.LastFailure = refusal::link_down;
      if (Query.IsCommand)
        return answerUnknownOutcome(Query, Sub, refusal::link_down);
      Outbox.cancel(Owner, Sub);
      onAttemptFailed(Query, {Shard}, retry_reason::lost);
    }
  }
  flush(Query);
  finishIfDecided(Query);
}

void router::impl::onWake(query_state &Query) {
  Query.WakeAt = Never;
  if (Now >= Query.Deadline)
    return onDeadline(Query);
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
  finishIfDecided(Query);
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
    Progress.HedgingDone = true;
  else
    Progress.HedgeAt = Now + HedgeRecheck;
}

hedge_denial router::impl::tryHedge(query_state &Query, shard_id Shard) {
  const gather_state &Gather = Query.Gather;
  const double MaxOpen =
      std::max(1.0, Settings.Hedge.MaxOpenShare * Gather.total());
  if (Gather.open() > MaxOpen)
    return hedge_denial::too_many_open;
  const intent_class Class = Query.Intent->Class;
  if (HedgeDelays.isPoolSlow(Query.Pool, Class))
    return hedge_denial::latency_shifted;
  const shard_map *Map = Directory.find(Query.Pool, Gather.snapshot());
  if (!Ready || !Map)
    return hedge_denial::no_replica;
  collectTried(Gather, Shard);
  const auto Target = hedgeTarget(Map->Holders[Shard.Value]);
  if (!Target)
    return hedge_denial::no_replica;
  if (HedgeDelays.isZoneSlow(Endpoints[*Target].Zone, Class))
    return hedge_denial::latency_shifted;
  if (!budgetOf(Query).spendHedge())
    return hedge_denial::no_budget;
  Out->emplace_back(count_retry{retry_reason::hedge, 1});
  Query.Gather[Shard].HedgingDone = true;
  send(Query, Shard, *Target, false, retry_reason::hedge);
  return hedge_denial::none;
}

admission_throttle &router::impl::throttleOf(const query_state &Query) {
  const std::size_t Class = Query.Intent->Class.Value;
  if (Throttles.size() <= Class)
    Throttles.resize(Class + 1);
  return Throttles[Class];
}

/// Returns another warm holder. If that one is known to be much slower than the
/// endpoint with the pending attempt, and this daemon has nothing else
/// outstanding there, returns the same endpoint again: a straggler rarely means
/// that the whole endpoint is slow.
std::optional<endpoint_id>
router::impl::hedgeTarget(const std::vector<endpoint_id> &Holders) {
  const auto Other = Selector.chooseWarm(Holders, Tried);
  if (!Other)
    return std::nullopt;
  const endpoint_id Original = Tried.back();
  const endpoint_view &View = Endpoints[Original];
  const bool IsOtherSlow =
      Endpoints[*Other].LatencyMs > MaxHedgeTargetRatio * View.LatencyMs;
  const bool MayReuse = View.usable() && View.Outstanding <= 1 &&
                        View.Condition == endpoint_condition::warm;
  return IsOtherSlow && MayReuse ? Original : Other;
}

retry_budget &router::impl::budgetOf(const query_state &Query) {
  const std::size_t Class = Query.Intent->Class.Value;
  while (Budgets.size() <= Class)
    Budgets.emplace_back(Settings.Retry);
  return Budgets[Class];
}

} // namespace bulrush::query
