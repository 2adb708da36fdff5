#include "query/router_impl.h"

#include <algorithm>

namespace bulrush::query {

/// Pins a search to a snapshot and sends its sub-requests, lets it wait for
/// more coverage, or refuses it.
void router::impl::pinOrWait(query_state &Query) {
  if (!Ready)
    return refuse(Query, refusal::not_ready);
  const std::optional<snapshot_choice> Pinned =
      Directory.choose(Query.Pool, *Out);
  if (!Pinned)
    return refuse(Query, refusal::snapshot_missing);
  if (canMeetMinCoverage(Query, *Pinned))
    return scatter(Query, *Pinned, false);
  if (Pinned->Promised == 0 || Now >= Query.CoverageWaitUntil)
    return refuseForCoverage(Query, *Pinned);
  Query.Phase = query_phase::snapshot;
  Waiting.push_back(Query.Id);
  wakeAt(Query, Query.CoverageWaitUntil);
}

bool router::impl::canMeetMinCoverage(const query_state &Query,
                                      const snapshot_choice &Pinned) {
  return Pinned.Promised > 0 &&
         meetsMinCoverage(Query, Pinned.Promised, Pinned.Map->total());
}

bool router::impl::meetsMinCoverage(const query_state &Query,
                                    std::uint32_t Covered,
                                    std::uint32_t Total) {
  constexpr double Rounding = 1e-9;
  const double Needed = Query.Intent->Intent.MinCoverage.share() * Total;
  return Covered >= Needed - Rounding;
}

/// Pins the query to a snapshot and sends the primary attempt for each shard.
/// `IsRestart` if the query has already run on another snapshot.
void router::impl::scatter(query_state &Query, const snapshot_choice &Pinned,
                           bool IsRestart) {
  const shard_map &Map = *Pinned.Map;
  Query.Phase = query_phase::replies;
  Query.Newest = Pinned.Newest;
  Query.Promised = Pinned.Promised;
  const sub_id FirstSub{NextSub};
  NextSub += gather_state::subIdsNeeded(Map.total());
  if (IsRestart)
    Query.Gather.restart(Map.Snapshot, Map.total(), FirstSub);
  else
    Query.Gather.begin(Map.Snapshot, Map.total(), FirstSub, Query.Arrived);
  for (std::uint32_t Shard = 0; Shard < Map.total(); ++Shard)
    sendPrimary(Query, Map, {Shard}, IsRestart);
  const std::uint32_t Sent = Query.Gather.pending();
  if (IsRestart)
    Out->emplace_back(count_retry{retry_reason::wrong_snapshot, Sent});
  else
    budgetOf(Query).earn(Sent, Query.Intent->Intent.ExtraLoad);
  flush(Query);
  finishIfDecided(Query);
}

void router::impl::sendPrimary(query_state &Query, const shard_map &Map,
                               shard_id Shard, bool IsRestart) {
  const std::vector<endpoint_id> &Holders = Map.Holders[Shard.Value];
  Tried.clear();
  const std::optional<endpoint_id> Target = Selector.choose(Holders, Tried);
  if (Target)
    return send(Query, Shard, *Target, !IsRestart,
                retry_reason::wrong_snapshot);
  Query.LastFailure = unavailableReason(Holders);
  Query.Gather.markFailed(Shard);
}

/// Returns why no endpoint of `Holders` is usable.
refusal
router::impl::unavailableReason(const std::vector<endpoint_id> &Holders) const {
  if (Holders.empty())
    return refusal::snapshot_missing;
  const endpoint_view &View = Endpoints[Holders.front()];
  if (View.ZoneOut)
    return refusal::zone_out;
  if (View.Leaving || View.Condition == endpoint_condition::leaving)
    return refusal::endpoint_leaving;
  if (!View.Owner || View.OwnerSuspected)
    return refusal::no_owner;
  return refusal::endpoint_lost;
}

void router::impl::send(query_state &Query, shard_id Shard,
                        endpoint_id Endpoint, bool IsPrimary,
                        retry_reason Cause) {
  endpoint_view &View = Endpoints[Endpoint];
  const matched_intent &Intent = *Query.Intent;
  attempt_record Attempt;
  Attempt.Shard = Shard;
  Attempt.Endpoint = Endpoint;
  Attempt.Owner = *View.Owner;
  Attempt.SentAfterMs = static_cast<float>((Now - Query.Arrived).Count);
  Attempt.IsPrimary = IsPrimary;
  Attempt.Cause = Cause;
  const std::uint32_t Number = Query.Gather[Shard].Count;
  sub_request Item;
  Item.Sub = Query.Gather.add(Attempt);
  Item.Query = Query.Id;
  Item.Endpoint = Endpoint;
  Item.Shard = Shard;
  Item.Snapshot = Query.Gather.snapshot();
  Item.Attempt = Number;
  Item.IsHedge = !IsPrimary && Cause == retry_reason::hedge;
  Item.IsCommand = Query.IsCommand;
  Item.Weight = Intent.Intent.Weight;
  Item.Caller = Query.Caller;
  Item.Key = Query.Key.Key;
  Outbox.add(Attempt.Owner, std::move(Item));
  ++View.Outstanding;
  if (Query.IsCommand || !Settings.Hedge.Enabled)
    return;
  shard_progress &Progress = Query.Gather[Shard];
  if (Progress.HedgingDone)
    return;
  Progress.HedgeAt =
      Now + HedgeDelays.delay(Endpoint, Intent.Class, Intent.Intent.Deadline);
  wakeAt(Query, Progress.HedgeAt);
}

void router::impl::flush(const query_state &Query) {
  Outbox.flushBatches(Query.Body, Query.Deadline - Now, *Out);
}

/// Finishes the query once every shard is covered or failed, or once its
/// minimum coverage can no longer be met. In the latter case it first tries to
/// restart the query on another snapshot.
void router::impl::finishIfDecided(query_state &Query) {
  const gather_state &Gather = Query.Gather;
  if (Query.Phase != query_phase::replies || Query.IsCommand)
    return;
  const std::uint32_t Reachable = Gather.covered() + Gather.open();
  const bool IsCoverageUnmeetable =
      Reachable == 0 || !meetsMinCoverage(Query, Reachable, Gather.total());
  if (IsCoverageUnmeetable && tryRestart(Query))
    return;
  if (IsCoverageUnmeetable || Gather.open() == 0)
    finish(Query);
}

/// Restarts a query on another snapshot that can meet its minimum coverage, if
/// enough time and budget are left. Returns whether the query was restarted.
bool router::impl::tryRestart(query_state &Query) {
  const millis Elapsed = Now - Query.Arrived;
  const bool HasTimeLeft =
      Elapsed < Query.Intent->Intent.Deadline * MaxRestartShare;
  if (!Ready || Query.Restarts > 0 || !HasTimeLeft)
    return false;
  const std::optional<snapshot_choice> Other =
      Directory.choose(Query.Pool, *Out);
  if (!Other || Other->Map->Snapshot == Query.Gather.snapshot() ||
      !canMeetMinCoverage(Query, *Other))
    return false;
  if (!budgetOf(Query).spendRetries(Other->Promised))
    return false;
  ++Query.Restarts;
  cancelPending(Query);
  Outbox.flushCancels(*Out);
  scatter(Query, *Other, true);
  return true;
}

} // namespace bulrush::query
