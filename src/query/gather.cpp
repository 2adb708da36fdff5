#include "query/gather.h"

namespace bulrush::query {

void gather::begin(snapshot_id NewSnapshot, std::uint32_t NewTotal,
                   sub_id NewFirstSub, instant NewArrived) {
  Arrived = NewArrived;
  Log.clear();
  beginAgain(NewSnapshot, NewTotal, NewFirstSub);
  MayHaveRun = false;
}

void gather::beginAgain(snapshot_id NewSnapshot, std::uint32_t NewTotal,
                        sub_id NewFirstSub) {
  MayHaveRun |= Pending > 0;
  Snapshot = NewSnapshot;
  Total = NewTotal;
  FirstSub = NewFirstSub;
  FirstPlace = static_cast<std::uint32_t>(Log.size());
  Covered = 0;
  Lost = 0;
  Pending = 0;
  if (Shards.size() < Total)
    Shards.resize(Total);
  for (std::uint32_t Shard = 0; Shard < Total; ++Shard)
    Shards[Shard] = shard_progress{};
}

sub_id gather::subOf(shard_id Shard, std::uint32_t Attempt) const {
  return {FirstSub.Value + (*this)[Shard].Attempts[Attempt] - FirstPlace};
}

const attempt_record *gather::find(sub_id Sub) const {
  const std::uint64_t Count = Log.size() - FirstPlace;
  if (Sub < FirstSub || Sub.Value - FirstSub.Value >= Count)
    return nullptr;
  return &Log[FirstPlace + (Sub.Value - FirstSub.Value)];
}

sub_id gather::add(const attempt_record &Attempt) {
  shard_progress &Shard = (*this)[Attempt.Shard];
  Shard.Attempts[Shard.Count] = static_cast<std::uint32_t>(Log.size());
  Log.push_back(Attempt);
  ++Shard.Count;
  ++Shard.Pending;
  ++Pending;
  Shard.RetryAt = Never;
  return subOf(Attempt.Shard, Shard.Count - 1U);
}

void gather::endAttempt(sub_id Sub, attempt_state State, refusal Reason,
                        instant Now) {
  attempt_record &Attempt = Log[FirstPlace + (Sub.Value - FirstSub.Value)];
  Attempt.State = State;
  Attempt.Reason = Reason;
  Attempt.EndedAfterMs = static_cast<float>((Now - Arrived).Count);
  --(*this)[Attempt.Shard].Pending;
  --Pending;
}

void gather::abandon(sub_id Sub, attempt_state State, refusal Reason,
                     instant Now) {
  MayHaveRun = true;
  endAttempt(Sub, State, Reason, Now);
}

reply_meaning gather::accept(const sub_reply &Reply, instant Now) {
  const attempt_record *Known = find(Reply.Sub);
  if (!Known)
    return reply_meaning::ignored;
  if (Reply.Outcome != outcome::not_run)
    MayHaveRun = true;
  if (Known->State != attempt_state::pending)
    return reply_meaning::ignored;
  const shard_id Id = Known->Shard;
  const bool IsResult = Reply.Outcome == outcome::answered && Reply.Body;
  const bool IsPinned = Reply.Snapshot == Snapshot && Reply.Shard == Id &&
                        Reply.Endpoint == Known->Endpoint;
  if (!IsResult || !IsPinned) {
    const refusal Reason = IsResult ? refusal::wrong_snapshot : Reply.Reason;
    endAttempt(Reply.Sub, attempt_state::failed, Reason, Now);
    return reply_meaning::failed;
  }
  endAttempt(Reply.Sub, attempt_state::covered, refusal::none, Now);
  shard_progress &Shard = (*this)[Id];
  if (!Shard.isOpen())
    return reply_meaning::ignored;
  Shard.Covered = true;
  Shard.Body = Reply.Body;
  ++Covered;
  return reply_meaning::covered;
}

void gather::markLost(shard_id Id) {
  shard_progress &Shard = (*this)[Id];
  if (!Shard.isOpen())
    return;
  Shard.Lost = true;
  ++Lost;
}

std::vector<shard_id> gather::missing() const {
  std::vector<shard_id> Missing;
  for (std::uint32_t Shard = 0; Shard < Total; ++Shard)
    if (!Shards[Shard].Covered)
      Missing.push_back({Shard});
  return Missing;
}

std::vector<shared_body> gather::takeBodies() {
  std::vector<shared_body> Bodies;
  Bodies.reserve(Covered);
  for (std::uint32_t Shard = 0; Shard < Total; ++Shard)
    if (Shards[Shard].Covered)
      Bodies.push_back(std::move(Shards[Shard].Body));
  return Bodies;
}

} // namespace bulrush::query
