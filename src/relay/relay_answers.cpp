// The end of a request.
#include "relay/record_merge.h"
#include "relay/relay_impl.h"

#include <algorithm>

namespace bulrush::relay {

namespace {

/// Attempts of a request that has its answer may end by themselves for so long:
/// their connections stay whole, and their latencies are learnt.
constexpr millis LingerTime{250};
/// Refused requests may come back when an endpoint is likely to be free or
/// found again.
constexpr millis BusyRetryAfter{60};
constexpr millis DownRetryAfter{400};
constexpr millis LeastRetryAfter{150};

} // namespace

void relay::impl::settle(request_work &Work) {
  if (Work.Requester)
    settlePeerRequest(Work);
  else if (Work.isGathered())
    settleGather(Work);
  else
    settleSingle(Work);
}

void relay::impl::settleGather(request_work &Work) {
  bool IsPending = false;
  for (std::size_t I = 0; I < Work.Parts.size() && !IsPending; ++I)
    IsPending = !Work.isSettled(I);
  const bool IsTime = Now >= Work.SoftDeadline && Work.isCoveredEnough();
  if (!IsPending || IsTime) {
    if (Work.isCoveredEnough())
      answerGathered(Work);
    else
      refuse(Work,
             Work.hasRun() ? relay_refusal::lost : relay_refusal::few_shards);
    return;
  }
  instant Next = Now < Work.SoftDeadline ? Work.SoftDeadline : Work.Deadline;
  if (Now < Work.HedgeAt)
    Next = std::min(Next, Work.HedgeAt);
  if (Now < Work.SliceRetryAt && !Work.ShardRequests.empty())
    Next = std::min(Next, Work.SliceRetryAt);
  wakeAt(Work, Next);
}

void relay::impl::settleSingle(request_work &Work) {
  request_part &Part = Work.Parts.front();
  switch (Part.Phase) {
  case part_phase::done:
    answerReply(Work, Part.Reply);
    return;
  case part_phase::failed:
    if (Part.Failure)
      answerReply(Work, Part.Failure);
    else if (Part.Runs > 0)
      refuse(Work, relay_refusal::lost);
    else
      refuse(Work, Part.Sends > 0 ? relay_refusal::not_run
                                  : relay_refusal::no_endpoint);
    return;
  case part_phase::waiting:
    if (Now >= Work.GiveUpAt && Part.Runs == 0)
      refuse(Work, Part.Sends > 0 ? relay_refusal::not_run
                                  : relay_refusal::no_endpoint);
    else
      wakeAt(Work,
             std::min(std::max(Work.GiveUpAt, Now + millis{1}), Work.Deadline));
    return;
  case part_phase::delegated: // never: a single request is no slice
  case part_phase::held:
  case part_phase::running:
    wakeAt(Work, Now < Work.HedgeAt ? std::min(Work.HedgeAt, Work.Deadline)
                                    : Work.Deadline);
    return;
  }
}

void relay::impl::answerGathered(request_work &Work) {
  send_answer Answer;
  Answer.Status = 200;
  Answer.IsGathered = true;
  std::vector<std::string_view> Bodies;
  for (const request_part &Part : Work.Parts) {
    if (Part.Phase != part_phase::done || !Part.Reply)
      continue;
    Bodies.push_back(Part.Reply->Body);
    Answer.Signatures.push_back(Part.Reply->Signature);
  }
  for (const merged_parts &Merged : Work.Merged) {
    Bodies.push_back(Merged.Records);
    Answer.Signatures.insert(Answer.Signatures.end(), Merged.Signatures.begin(),
                             Merged.Signatures.end());
  }
  Answer.Missing =
      static_cast<std::uint32_t>(Work.Parts.size() - Answer.Signatures.size());
  Answer.Body = greatestRecords(Bodies, Work.Route->Gather.TopRecords);
  give(Work, std::move(Answer));
}

void relay::impl::answerReply(request_work &Work,
                              std::shared_ptr<const endpoint_reply> Reply) {
  send_answer Answer;
  Answer.Status = Reply->Status;
  Answer.Reply = std::move(Reply);
  give(Work, std::move(Answer));
}

/// 503 only where no endpoint has run the request or ever will.
void relay::impl::refuse(request_work &Work, relay_refusal Reason) {
  send_answer Answer;
  Answer.Reason = Reason;
  Answer.Status = 503;
  if (Work.hasRun())
    Answer.Status = Reason == relay_refusal::out_of_time ? 504 : 502;
  if (Answer.Status == 503)
    Answer.RetryAfter = retryAfter(Work);
  give(Work, std::move(Answer));
}

millis relay::impl::retryAfter(const request_work &Work) const {
  const bool IsBusy = std::any_of(
      Work.Parts.begin(), Work.Parts.end(), [&](const request_part &Part) {
        return Endpoints.available(*Part.Service, Now) != availability::none;
      });
  return IsBusy && !Work.isGathered() ? BusyRetryAfter : DownRetryAfter;
}

void relay::impl::atDeadline(request_work &Work) {
  if (Work.Requester) {
    replyToRequester(Work, true);
    forget(Work, false);
    return;
  }
  if (Work.isGathered() && Work.isCoveredEnough())
    answerGathered(Work);
  else
    refuse(Work, relay_refusal::out_of_time);
}

void relay::impl::give(request_work &Work, send_answer Answer) {
  Answer.Request = Work.Request;
  Answer.Content = Work.Content;
  Work.LogEvent.Status = Answer.Status;
  Work.LogEvent.Reason = Answer.Reason;
  noteStages(Work);
  Work.LogEvent.Elapsed = Now - Work.ArrivedAt;
  Work.LogEvent.Covered = Work.covered();
  if (Answer.Reason != relay_refusal::few_shards)
    noteLacking(Work);
  Out->push_back(std::move(Answer));
  Out->push_back(Work.LogEvent);
  const bool MayLinger = Work.Route->IsIdempotent && Now < Work.Deadline;
  forget(Work, MayLinger);
}

void relay::impl::noteStages(request_work &Work) const {
  if (Work.isGathered() && Work.FirstPartAt < Now)
    Work.LogEvent.GatherTime = Now - Work.FirstPartAt;
}

void relay::impl::noteLacking(request_work &Work) {
  Work.LogEvent.MissingShards.clear();
  if (!Work.isGathered())
    return;
  for (const request_part &Part : Work.Parts)
    if (Part.Phase != part_phase::done &&
        Work.LogEvent.MissingShards.size() < MaxMissingShards)
      Work.LogEvent.MissingShards.push_back(Part.Service->Name);
}

void relay::impl::forget(request_work &Work, bool Linger) {
  for (const request_part &Part : Work.Parts) {
    for (const running_attempt &Each : Part.Running) {
      endpoint_state *Endpoint = Endpoints.find(Each.Endpoint);
      if (Endpoint && Part.Phase == part_phase::running && Linger)
        Endpoint->onLateReply(Now);
      if (Linger)
        Lingering.push_back({Each.Attempt, Now + LingerTime});
      else
        cancel(Each.Attempt, attempt_verdict::cancelled);
    }
  }
  cancelShardRequests(Work, Work.LogEvent.HasClientDisconnected);
  if (Work.Requester)
    PeerRequests.erase({Work.Requester->From, Work.Requester->ShardRequest});
  Waiting.erase(Work.Request);
  Works.erase(Work.Request);
}

void relay::impl::refuseUnrouted(const request_arrived &Event,
                                 instant ArrivedAt, unsigned Status,
                                 relay_refusal Reason) {
  send_answer Answer;
  Answer.Request = Event.Request;
  Answer.Content = Event.Content;
  Answer.Status = Status;
  Answer.Reason = Reason;
  if (Status == 503)
    Answer.RetryAfter = std::max(LeastRetryAfter, Starting.expectedWait(Now));
  request_log_event LogEvent;
  LogEvent.RequestId = Event.Content->RequestId;
  LogEvent.Status = Status;
  LogEvent.Reason = Reason;
  LogEvent.Version = version();
  LogEvent.Elapsed = Now - ArrivedAt;
  Out->push_back(std::move(Answer));
  Out->push_back(std::move(LogEvent));
}

} // namespace bulrush::relay
