#include "query/router_impl.h"

namespace bulrush::query {

namespace {

/// Returns whether the caller may succeed by retrying the request.
bool isRetryable(refusal Reason) {
  return Reason != refusal::no_intent && Reason != refusal::duplicate_key &&
         Reason != refusal::key_expired && Reason != refusal::bad_request;
}

bool isCausedByLoad(refusal Reason) {
  return Reason == refusal::deadline_unmeetable ||
         Reason == refusal::queue_full || Reason == refusal::endpoint_shed ||
         Reason == refusal::timed_out;
}

} // namespace

/// Refuses a query. If the ledger was not consulted, the outcome of a command
/// is unknown: it may have run before, through another daemon or before a
/// restart of this one.
void router::impl::refuse(query_state &Query, refusal Reason) {
  answer Answer;
  Answer.Outcome = Query.IsCommand ? outcome::unknown : outcome::not_run;
  Answer.Reason = Reason;
  reply(Query, std::move(Answer));
}

/// Refuses a search before any sub-request is sent and lists the shards that
/// have no usable holder.
void router::impl::refuseForCoverage(query_state &Query,
                                     const snapshot_choice &Pinned) {
  const shard_map &Map = *Pinned.Map;
  Query.Newest = Pinned.Newest;
  Query.Promised = Pinned.Promised;
  answer Answer;
  Answer.Outcome = outcome::not_run;
  Answer.Reason = Pinned.Promised > 0 ? refusal::incomplete
                                      : unavailableReason(Map.Holders.front());
  Answer.Snapshot = Map.Snapshot;
  Answer.Total = Map.total();
  for (std::uint32_t Shard = 0; Shard < Map.total(); ++Shard)
    if (!isAnyUsable(Map.Holders[Shard]))
      Answer.Missing.push_back({Shard});
  reply(Query, std::move(Answer));
}

bool router::impl::isAnyUsable(const std::vector<endpoint_id> &Holders) const {
  for (const endpoint_id Id : Holders)
    if (Endpoints[Id].usable())
      return true;
  return false;
}

void router::impl::onDeadline(query_state &Query) {
  if (Query.IsCommand)
    return onCommandDeadline(Query);
  if (Query.Phase == query_phase::snapshot)
    return refuse(Query, refusal::incomplete);
  Query.LastFailure = refusal::timed_out;
  finish(Query);
}

/// Answers a search with the results so far if they meet its minimum coverage,
/// or refuses it.
void router::impl::finish(query_state &Query) {
  gather_state &Gather = Query.Gather;
  const bool MeetsMinCoverage =
      Gather.covered() > 0 &&
      meetsMinCoverage(Query, Gather.covered(), Gather.total());
  answer Answer;
  Answer.Snapshot = Gather.snapshot();
  Answer.Covered = Gather.covered();
  Answer.Total = Gather.total();
  if (Gather.covered() < Gather.total())
    Answer.Missing = Gather.missing();
  if (MeetsMinCoverage) {
    Answer.Outcome = outcome::answered;
    Answer.Results = Gather.takeResults();
    return reply(Query, std::move(Answer));
  }
  Answer.Outcome = Gather.nothingRan() ? outcome::not_run : outcome::unknown;
  const bool HasSpecificReason =
      Gather.covered() == 0 || Query.LastFailure == refusal::timed_out;
  Answer.Reason = HasSpecificReason ? Query.LastFailure : refusal::incomplete;
  reply(Query, std::move(Answer));
}

/// Sends the only answer of a query and removes the query.
void router::impl::reply(query_state &Query, answer Answer) {
  Answer.RequestId = Query.RequestId;
  if (Query.Intent)
    Answer.Intent = Query.Intent->Intent.Name;
  if (Answer.Outcome != outcome::answered) {
    if (isRetryable(Answer.Reason))
      Answer.RetryAfter =
          Query.RetryAfter > millis{0} ? Query.RetryAfter : Settings.RetryAfter;
    Out->emplace_back(count_refusal{Answer.Reason, 1});
  }
  if (Query.IsAdmitted)
    throttleOf(Query).onQueryEnded(Settings.Throttle, Now,
                                   Answer.Outcome != outcome::answered &&
                                       isCausedByLoad(Query.LastFailure));
  cancelPending(Query);
  recordQuery(Query, Answer);
  Out->emplace_back(send_answer{Query.Id, std::move(Answer)});
  removeQuery(Query);
}

void router::impl::cancelPending(query_state &Query) {
  if (Query.IsCommand)
    return releaseOutstanding(Query);
  if (Query.Gather.pending() == 0)
    return;
  for (std::uint32_t Shard = 0; Shard < Query.Gather.total(); ++Shard)
    abandon(Query, {Shard}, attempt_state::cancelled, refusal::cancelled);
}

/// Releases the endpoint of a pending command without cancelling the command,
/// because it may already be running.
void router::impl::releaseOutstanding(const query_state &Query) {
  for (std::uint32_t Shard = 0; Shard < Query.Gather.total(); ++Shard) {
    const shard_progress &Progress = Query.Gather[shard_id{Shard}];
    if (Progress.Pending > 0)
      --Endpoints[Query.Gather.attempt({Shard}, 0).Endpoint].Outstanding;
  }
}

/// Returns whether a search was fully answered by its primary attempts, with
/// neither a restart nor a hedge considered and denied.
bool router::impl::isUneventful(const query_state &Query,
                                const answer &Answer) {
  return !Query.IsCommand && Answer.Outcome == outcome::answered &&
         Answer.Covered == Answer.Total &&
         Query.Gather.attempts() == Answer.Total &&
         Query.HedgeDenial == hedge_denial::none;
}

void router::impl::recordQuery(query_state &Query, const answer &Answer) {
  const bool IsUneventful = isUneventful(Query, Answer);
  if (IsUneventful && Now < NextUneventful)
    return;
  if (IsUneventful)
    NextUneventful = Now + Settings.ExplainUneventfulInterval;
  query_record *Record = Explain.nextRecord();
  if (!Record)
    return;
  Record->Query = Query.Id;
  Record->RequestId = Query.RequestId;
  Record->Caller = Query.Caller;
  Record->Pool = Query.Pool;
  Record->Intent = Answer.Intent;
  Record->Revision = Query.Revision;
  Record->IsCommand = Query.IsCommand;
  Record->Snapshot = Answer.Snapshot;
  Record->Newest = Query.Newest;
  Record->Promised = Query.Promised;
  Record->Covered = Answer.Covered;
  Record->Total = Answer.Total;
  Record->Outcome = Answer.Outcome;
  Record->Reason = Answer.Reason;
  Record->Arrived = Query.Arrived;
  Record->Elapsed = Now - Query.Arrived;
  Record->Restarts = Query.Restarts;
  Record->HedgeDenial = Query.HedgeDenial;
  Query.Gather.swapAttemptLog(Record->Attempts);
}

void router::impl::removeQuery(query_state &Query) {
  const auto It = Queries.find(Query.Id);
  std::unique_ptr<query_state> State = std::move(It->second);
  Queries.erase(It);
  if (FreeStates.size() >= MaxFreeStates)
    return;
  gather_state Gather = std::move(State->Gather);
  *State = query_state{};
  State->Gather = std::move(Gather);
  FreeStates.push_back(std::move(State));
}

} // namespace bulrush::query
