#include "query/router_impl.h"

#include <xxhash.h>

namespace bulrush::query {

namespace {

std::uint64_t hashOf(const std::string &Text, std::uint64_t Seed = 0) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

} // namespace

void router::impl::on(const command_arrived &Event) {
  query_state *Query = admit(Event);
  if (!Query)
    return;
  Query->IsCommand = true;
  Query->Key = {Event.Caller, Event.Key};
  Query->Phase = query_phase::ledger;
  const std::uint64_t KindHash = hashOf(Event.Kind);
  const std::uint64_t Digest =
      Event.Body ? hashOf(*Event.Body, KindHash) : KindHash;
  Out->emplace_back(ledger_start{Event.Query, Query->Key, {Digest}});
}

void router::impl::on(const ledger_replied &Event) {
  query_state *Query = find(Event.Query);
  const bool IsExpected = Query && Query->IsCommand &&
                          Query->Phase == query_phase::ledger &&
                          Query->Key == Event.Key;
  if (!IsExpected) {
    // The grant arrived after the query was answered. The command will not be
    // sent, so it is recorded as not run.
    if (!Query && Event.Verdict == ledger_verdict::granted)
      Out->emplace_back(ledger_record{Event.Key, outcome::not_run,
                                      refusal::timed_out, nullptr});
    return;
  }
  switch (Event.Verdict) {
  case ledger_verdict::granted:
    return sendCommand(*Query);
  case ledger_verdict::finished:
    return answerCommand(*Query, Event.Outcome, Event.Reason, Event.Body);
  case ledger_verdict::started:
    return answerCommand(*Query, outcome::unknown, refusal::none, nullptr);
  case ledger_verdict::refused:
    Query->RetryAfter = Event.RetryAfter;
    return answerCommand(*Query, outcome::not_run, Event.Reason, nullptr);
  }
}

/// Sends a command once, after the ledger has made its start durable.
void router::impl::sendCommand(query_state &Query) {
  Query.Phase = query_phase::replies;
  const std::optional<snapshot_choice> Pinned =
      Directory.choose(Query.Pool, *Out);
  if (!Ready || !Pinned) {
    const refusal Reason =
        Ready ? refusal::snapshot_missing : refusal::not_ready;
    return finishCommand(Query, outcome::not_run, Reason, nullptr);
  }
  const shard_map &Map = *Pinned->Map;
  const auto Shard =
      static_cast<std::uint32_t>(hashOf(Query.Key.Key.Value) % Map.total());
  const std::vector<endpoint_id> &Holders = Map.Holders[Shard];
  Tried.clear();
  const std::optional<endpoint_id> Target = Selector.choose(Holders, Tried);
  if (!Target)
    return finishCommand(Query, outcome::not_run, unavailableReason(Holders),
                         nullptr);
  const sub_id FirstSub{NextSub};
  NextSub += gather_state::subIdsNeeded(Map.total());
  Query.Gather.begin(Map.Snapshot, Map.total(), FirstSub, Query.Arrived);
  send(Query, {Shard}, *Target, true, retry_reason::lost);
  flush(Query);
}

void router::impl::onCommandReply(query_state &Query, const sub_reply &Reply) {
  Query.RetryAfter = Reply.RetryAfter;
  if (Reply.Outcome == outcome::unknown)
    return answerUnknownOutcome(Query, Reply.Sub, Reply.Reason);
  finishCommand(Query, Reply.Outcome, Reply.Reason, Reply.Body);
}

/// Answers with an unknown outcome, because no reply is expected in time. A
/// late reply can still record the outcome in the ledger.
void router::impl::answerUnknownOutcome(query_state &Query, sub_id Sub,
                                        refusal Reason) {
  if (LateCommands.size() < MaxLateCommands)
    LateCommands.emplace(Sub, Query.Key);
  answerCommand(Query, outcome::unknown, Reason, nullptr);
}

/// Records the outcome of a command whose start is durable, and answers it.
void router::impl::finishCommand(query_state &Query, outcome Outcome,
                                 refusal Reason, const shared_body &Body) {
  Out->emplace_back(ledger_record{Query.Key, Outcome, Reason, Body});
  answerCommand(Query, Outcome, Reason, Body);
}

void router::impl::answerCommand(query_state &Query, outcome Outcome,
                                 refusal Reason, const shared_body &Body) {
  answer Answer;
  Answer.Outcome = Outcome;
  Answer.Reason = Reason;
  Answer.Snapshot = Query.Gather.snapshot();
  Answer.Total = 1;
  if (Outcome == outcome::answered) {
    Answer.Covered = 1;
    Answer.Results.push_back(Body);
  }
  reply(Query, std::move(Answer));
}

/// Records the outcome of a command that was answered with an unknown outcome
/// before this reply arrived.
void router::impl::handleLateReply(const sub_reply &Reply) {
  const auto Late = LateCommands.find(Reply.Sub);
  if (Late == LateCommands.end() || Reply.Outcome == outcome::unknown)
    return;
  Out->emplace_back(
      ledger_record{Late->second, Reply.Outcome, Reply.Reason, Reply.Body});
  LateCommands.erase(Late);
}

void router::impl::onCommandDeadline(query_state &Query) {
  // An earlier request with the same key may have been executed; without the
  // ledger's verdict the outcome is unknown.
  if (Query.Phase == query_phase::ledger)
    return answerCommand(Query, outcome::unknown, refusal::timed_out, nullptr);
  for (std::uint32_t Shard = 0; Shard < Query.Gather.total(); ++Shard)
    if (Query.Gather[shard_id{Shard}].Pending > 0)
      return answerUnknownOutcome(Query, Query.Gather.subIdOf({Shard}, 0),
                                  refusal::timed_out);
}

} // namespace bulrush::query
