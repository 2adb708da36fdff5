#include "query/gather.h"

namespace bulrush::query {

void gather_state::begin(snapshot_id NewSnapshot, std::uint32_t NewTotal,
                         sub_id NewFirstSub, instant NewArrived) {
  Arrived = NewArrived;
  Log.clear();
  restart(NewSnapshot, NewTotal, NewFirstSub);
  MayHaveRun = false;
}

void gather_state::restart(snapshot_id NewSnapshot, std::uint32_t NewTotal,
                           sub_id NewFirstSub) {
  MayHaveRun |= Pending > 0;
  Snapshot = NewSnapshot;
  Total = NewTotal;
  FirstSub = NewFirstSub;
  FirstLogIndex = static_cast<std::uint32_t>(Log.size());
  Covered = 0;
  Failed = 0;
  Pending = 0;
  if (Shards.size() < Total)
    Shards.resize(Total);
  for (std::uint32_t Shard = 0; Shard < Total; ++Shard)
    Shards[Shard] = shard_progress{};
}

sub_id gather_state::subIdOf(shard_id Shard, std::uint32_t Attempt) const {
  return {FirstSub.Value + (*this)[Shard].Attempts[Attempt] - FirstLogIndex};
}

const attempt_record *gather_state::find(sub_id Sub) const {
  const std::uint64_t Count = Log.size() - FirstLogIndex;
  if (Sub < FirstSub || Sub.Value - FirstSub.Value >= Count)
    return nullptr;
  return &Log[FirstLogIndex + (Sub.Value - FirstSub.Value)];
}

sub_id gather_state::add(const attempt_record &Attempt) {
  shard_progress &Shard = (*this)[Attempt.Shard];
  Shard.Attempts[Shard.Count] = static_cast<std::uint32_t>(Log.size());
  Log.push_back(Attempt);
  ++Shard.Count;
  ++Shard.Pending;
  ++Pending;
  Shard.RetryAt = Never;
  return subIdOf(Attempt.Shard, Shard.Count - 1U);
}

void gather_state::endAttempt(sub_id Sub, attempt_state State, refusal Reason,
                              instant Now) {
  attempt_record &Attempt = Log[FirstLogIndex + (Sub.Value - FirstSub.Value)];
  Attempt.State = State;
  Attempt.Reason = Reason;
  Attempt.EndedAfterMs = static_cast<float>((Now - Arrived).Count);
  --(*this)[Attempt.Shard].Pending;
  --Pending;
}

void gather_state::abandon(sub_id Sub, attempt_state State, refusal Reason,
                           instant Now) {
  MayHaveRun = true;
  endAttempt(Sub, State, Reason, Now);
}

reply_effect gather_state::accept(const sub_reply &Reply, instant Now) {
  const attempt_record *Known = find(Reply.Sub);
  if (!Known)
    return reply_effect::ignored;
  if (Reply.Outcome != outcome::not_run)
    MayHaveRun = true;
  if (Known->State != attempt_state::pending)
    return reply_effect::ignored;
  const shard_id Id = Known->Shard;
  const bool IsResult = Reply.Outcome == outcome::answered && Reply.Body;
  const bool IsExpected = Reply.Snapshot == Snapshot && Reply.Shard == Id &&
                          Reply.Endpoint == Known->Endpoint;
  if (!IsResult || !IsExpected) {
    const refusal Reason = IsResult ? refusal::wrong_snapshot : Reply.Reason;
    endAttempt(Reply.Sub, attempt_state::failed, Reason, Now);
    return reply_effect::failed;
  }
  endAttempt(Reply.Sub, attempt_state::covered, refusal::none, Now);
  shard_progress &Shard = (*this)[Id];
  if (!Shard.isOpen())
    return reply_effect::ignored;
  Shard.Covered = true;
  Shard.Body = Reply.Body;
  ++Covered;
  return reply_effect::covered;
}

void gather_state::markFailed(shard_id Id) {
  shard_progress &Shard = (*this)[Id];
  if (!Shard.isOpen())
    return;
  Shard.Failed = true;
  ++Failed;
}

std::vector<shard_id> gather_state::missing() const {
  std::vector<shard_id> Missing;
  for (std::uint32_t Shard = 0; Shard < Total; ++Shard)
    if (!Shards[Shard].Covered)
      Missing.push_back({Shard});
  return Missing;
}

std::vector<shared_body> gather_state::takeResults() {
  std::vector<shared_body> Bodies;
  Bodies.reserve(Covered);
  for (std::uint32_t Shard = 0; Shard < Total; ++Shard)
    if (Shards[Shard].Covered)
      Bodies.push_back(std::move(Shards[Shard].Body));
  return Bodies;
}

} // namespace bulrush::query
