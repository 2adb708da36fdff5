#include "query/router_impl.h"

namespace bulrush::query {

namespace {

/// Whether a caller may do better by asking again.
bool isWorthARetry(refusal Reason) {
  return Reason != refusal::no_intent && Reason != refusal::duplicate_key &&
         Reason != refusal::key_expired && Reason != refusal::bad_request;
}

bool isLoad(refusal Reason) {
  return Reason == refusal::deadline_unmeetable ||
         Reason == refusal::queue_full || Reason == refusal::endpoint_shed ||
         Reason == refusal::timed_out;
}

} // namespace

/// A command that the ledger has not been asked about may have run before,
/// through another daemon or in an earlier life of this one.
void router::impl::refuse(query_state &Query, refusal Reason) {
  answer Answer;
  Answer.Outcome = Query.IsCommand ? outcome::unknown : outcome::not_run;
  Answer.Reason = Reason;
  reply(Query, std::move(Answer));
}

/// Refuses before anything is sent, and names the shards nobody can search.
void router::impl::refuseUnpromised(query_state &Query,
                                    const snapshot_choice &Pinned) {
  const shard_map &Map = *Pinned.Map;
  Query.Newest = Pinned.Newest;
  Query.Promised = Pinned.Promised;
  answer Answer;
  Answer.Outcome = outcome::not_run;
  Answer.Reason =
      Pinned.Promised > 0 ? refusal::incomplete : whyNone(Map.Holders.front());
  Answer.Snapshot = Map.Snapshot;
  Answer.Total = Map.total();
  for (std::uint32_t Shard = 0; Shard < Map.total(); ++Shard)
    if (!isUsable(Map.Holders[Shard]))
      Answer.Missing.push_back({Shard});
  reply(Query, std::move(Answer));
}

bool router::impl::isUsable(const std::vector<endpoint_id> &Holders) const {
  for (const endpoint_id Id : Holders)
    if (Endpoints[Id].usable())
      return true;
  return false;
}

void router::impl::atDeadline(query_state &Query) {
  if (Query.IsCommand)
    return commandAtDeadline(Query);
  if (Query.Phase == query_phase::snapshot)
    return refuse(Query, refusal::incomplete);
  Query.LastFailure = refusal::timed_out;
  finish(Query);
}

/// Answers a search with what there is, or refuses it.
void router::impl::finish(query_state &Query) {
  gather &Gather = Query.Gather;
  const bool IsEnough =
      Gather.covered() > 0 && isEnough(Query, Gather.covered(), Gather.total());
  answer Answer;
  Answer.Snapshot = Gather.snapshot();
  Answer.Covered = Gather.covered();
  Answer.Total = Gather.total();
  if (Gather.covered() < Gather.total())
    Answer.Missing = Gather.missing();
  if (IsEnough) {
    Answer.Outcome = outcome::answered;
    Answer.Results = Gather.takeBodies();
    return reply(Query, std::move(Answer));
  }
  Answer.Outcome = Gather.nothingRan() ? outcome::not_run : outcome::unknown;
  const bool HasOwnReason =
      Gather.covered() == 0 || Query.LastFailure == refusal::timed_out;
  Answer.Reason = HasOwnReason ? Query.LastFailure : refusal::incomplete;
  reply(Query, std::move(Answer));
}

/// The one answer of a query; the query is gone afterwards.
void router::impl::reply(query_state &Query, answer Answer) {
  Answer.RequestId = Query.RequestId;
  if (Query.Intent)
    Answer.Intent = Query.Intent->Intent.Name;
  if (Answer.Outcome != outcome::answered) {
    if (isWorthARetry(Answer.Reason))
      Answer.RetryAfter =
          Query.RetryAfter > millis{0} ? Query.RetryAfter : Settings.RetryAfter;
    Out->emplace_back(count_refusal{Answer.Reason, 1});
  }
  if (Query.IsAdmitted)
    throttleOf(Query).ended(Settings.Throttle, Now,
                            Answer.Outcome != outcome::answered &&
                                isLoad(Query.LastFailure));
  cancelPending(Query);
  remember(Query, Answer);
  Out->emplace_back(send_answer{Query.Id, std::move(Answer)});
  forget(Query);
}

void router::impl::cancelPending(query_state &Query) {
  if (Query.IsCommand)
    return releaseCommand(Query);
  if (Query.Gather.pending() == 0)
    return;
  for (std::uint32_t Shard = 0; Shard < Query.Gather.total(); ++Shard)
    abandon(Query, {Shard}, attempt_state::cancelled, refusal::cancelled);
}

/// A command that may have run is not cancelled, only no longer counted.
void router::impl::releaseCommand(const query_state &Query) {
  for (std::uint32_t Shard = 0; Shard < Query.Gather.total(); ++Shard) {
    const shard_progress &Progress = Query.Gather[shard_id{Shard}];
    if (Progress.Pending > 0)
      --Endpoints[Query.Gather.attempt({Shard}, 0).Endpoint].Outstanding;
  }
}

/// Whether nothing was decided about a query but its primary attempts.
bool router::impl::isPlain(const query_state &Query, const answer &Answer) {
  return !Query.IsCommand && Answer.Outcome == outcome::answered &&
         Answer.Covered == Answer.Total &&
         Query.Gather.attempts() == Answer.Total &&
         Query.HedgeDenial == hedge_denial::none;
}

void router::impl::remember(query_state &Query, const answer &Answer) {
  const bool IsPlainOne = isPlain(Query, Answer);
  if (IsPlainOne && Now < NextPlain)
    return;
  if (IsPlainOne)
    NextPlain = Now + Settings.ExplainPlainGap;
  query_record *Record = Explain.next();
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
  Record->Repins = Query.Repins;
  Record->HedgeDenial = Query.HedgeDenial;
  Query.Gather.swapLog(Record->Attempts);
}

void router::impl::forget(query_state &Query) {
  const auto Place = Queries.find(Query.Id);
  std::unique_ptr<query_state> State = std::move(Place->second);
  Queries.erase(Place);
  if (Spare.size() >= MaxSpare)
    return;
  gather Gather = std::move(State->Gather);
  *State = query_state{};
  State->Gather = std::move(Gather);
  Spare.push_back(std::move(State));
}

} // namespace bulrush::query
