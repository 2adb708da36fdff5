// Completion of requests: answers, refusals and cleanup.
#include "relay/record_merge.h"
#include "relay/relay_impl.h"

#include <algorithm>

namespace bulrush::relay {

namespace {

/// Whether this status tells clients that a request was not and never will be
/// run.
bool promisesNotRun(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace

/// Answers the request if it is complete, else schedules its next wake-up.
void relay::impl::settle(request_state &Request) {
  detour(Request);
  if (Request.Requester)
    settlePeerRequest(Request);
  else if (Request.isGathered())
    settleGather(Request);
  else
    settleSingle(Request);
}

void relay::impl::settleGather(request_state &Request) {
  std::uint32_t Pending = 0;
  for (std::size_t I = 0; I < Request.Parts.size(); ++I)
    Pending += Request.isSettled(I) ? 0 : 1;
  const bool IsDue = Now >= Request.SoftDeadline && Request.hasEnoughParts();
  const bool CanSucceed =
      Request.completedParts() + Pending >= Request.requiredParts();
  if (Pending == 0 || IsDue || !CanSucceed) {
    if (Request.hasEnoughParts())
      answerGathered(Request);
    else
      refuse(Request, Request.mayHaveRun() ? relay_refusal::lost
                                           : relay_refusal::few_shards);
    return;
  }
  instant Next = nextWakeOf(Request, Now);
  if (Now < Request.SliceRetryAt && !Request.SliceRequests.empty())
    Next = std::min(Next, Request.SliceRetryAt);
  scheduleWake(Request, Next);
}

/// The next of the times that apply to every query: hedges, the soft deadline,
/// overdue attempts and the deadline.
instant relay::impl::nextWakeOf(const request_state &Request, instant Now) {
  instant Next = Request.Deadline;
  for (const instant Each :
       {Request.HedgeAt, Request.SoftDeadline, Request.OverdueAt})
    if (Now < Each)
      Next = std::min(Next, Each);
  return Next;
}

/// Probes the endpoints that have not replied to a query which waits for them
/// past its objective: they may be down without closing their connections.
/// Later queries need not wait in vain. The attempts go on, as a late reply is
/// still used.
void relay::impl::suspectOverdue(request_state &Request) {
  Request.OverdueAt = Never;
  for (const request_part &Part : Request.Parts)
    for (const running_attempt &Each : Part.Running) {
      endpoint_state *Endpoint = Endpoints.find(Each.Endpoint);
      if (!Endpoint || Now - Each.SentAt < LingerTime)
        continue;
      Reach.onUnheard(Each.Endpoint, Now);
      Endpoints.markSuspect(*Endpoint, Now, *Out);
    }
}

void relay::impl::settleSingle(request_state &Request) {
  request_part &Part = Request.Parts.front();
  switch (Part.Phase) {
  case part_phase::done:
    forwardReply(Request, Part.Reply);
    return;
  case part_phase::failed:
    if (Part.Failure)
      forwardReply(Request, Part.Failure);
    else if (Request.mayHaveRun())
      refuse(Request, relay_refusal::lost);
    else
      refuse(Request, Part.Sends > 0 ? relay_refusal::not_run
                                     : relay_refusal::no_endpoint);
    return;
  case part_phase::waiting:
    if (const instant PauseEnd = pauseEndInTime(Request, Part);
        PauseEnd < Never)
      scheduleWake(Request, PauseEnd);
    else if (isGivenUp(Request, Part))
      refuse(Request, Part.Sends > 0 ? relay_refusal::not_run
                                     : relay_refusal::no_endpoint);
    else
      scheduleWake(Request,
                   std::min(std::max(Request.GiveUpAt, Now + millis{1}),
                            Request.Deadline));
    return;
  case part_phase::delegated:
    scheduleWake(Request, Now < Request.SliceRetryAt
                              ? std::min(Request.SliceRetryAt, Request.Deadline)
                              : Request.Deadline);
    return;
  case part_phase::unreachable: // `settle` has requested it elsewhere
  case part_phase::awaiting_grant:
  case part_phase::running:
    scheduleWake(Request, Now < Request.HedgeAt
                              ? std::min(Request.HedgeAt, Request.Deadline)
                              : Request.Deadline);
    return;
  }
}

/// Whether a request that is not a query has waited for an endpoint too long,
/// and may still be refused.
bool relay::impl::isGivenUp(const request_state &Request,
                            const request_part &Part) const {
  return Part.Phase == part_phase::waiting && Now >= Request.GiveUpAt &&
         Part.PossibleRuns == 0 && pauseEndInTime(Request, Part) == Never &&
         !isNextInTime(Request, Part);
}

void relay::impl::answerGathered(request_state &Request) {
  send_answer Answer;
  Answer.Status = 200;
  Answer.IsGathered = true;
  std::vector<std::string_view> Bodies;
  for (const request_part &Part : Request.Parts) {
    if (Part.Phase != part_phase::done || !Part.Reply)
      continue;
    Bodies.push_back(Part.Reply->Body);
    Answer.Signatures.push_back(Part.Reply->Signature);
  }
  for (const merged_parts &Merged : Request.Merged) {
    Bodies.push_back(Merged.Records);
    Answer.Signatures.insert(Answer.Signatures.end(), Merged.Signatures.begin(),
                             Merged.Signatures.end());
  }
  Answer.Missing = static_cast<std::uint32_t>(Request.Parts.size() -
                                              Answer.Signatures.size());
  Answer.Body = greatestRecords(Bodies, Request.Route->Gather.TopRecords);
  sendAnswer(Request, std::move(Answer));
}

/// Forwards the reply of an endpoint, unless its status would promise the
/// client that the request was not run although the endpoint does not state
/// that.
void relay::impl::forwardReply(request_state &Request,
                               std::shared_ptr<const endpoint_reply> Reply) {
  if (promisesNotRun(Reply->Status) && !Reply->IsNotRun) {
    refuse(Request, relay_refusal::lost);
    return;
  }
  send_answer Answer;
  Answer.Status = Reply->Status;
  Answer.Reply = std::move(Reply);
  sendAnswer(Request, std::move(Answer));
}

/// Answers with 503 only if no endpoint has executed the request or ever will;
/// otherwise with 502, or 504 at the deadline.
void relay::impl::refuse(request_state &Request, relay_refusal Reason) {
  send_answer Answer;
  Answer.Reason = Reason;
  Answer.Status = 503;
  if (Request.mayHaveRun())
    Answer.Status = Reason == relay_refusal::out_of_time ? 504 : 502;
  if (Answer.Status == 503)
    Answer.RetryAfter = retryAfter(Request);
  sendAnswer(Request, std::move(Answer));
}

/// Delay after which a refused client should retry. If endpoints asked for a
/// pause it ends after the pause plus a random time, so that clients do not all
/// return at the same moment.
millis relay::impl::retryAfter(const request_state &Request) {
  if (Request.RetryAfterElsewhere > millis{0})
    return Request.RetryAfterElsewhere;
  const millis Pause = pauseOf(Request);
  if (Pause > millis{0})
    return Pause + Endpoints.drawTime(return_time::spreadAfterPause(Pause));
  const bool IsBusy = std::any_of(
      Request.Parts.begin(), Request.Parts.end(),
      [&](const request_part &Part) {
        return Endpoints.available(*Part.Service, Now) != availability::none;
      });
  return IsBusy ? busyRetryAfter(Request) : return_time::whenDown();
}

/// Delay by the queue of the service in which a part would wait longest. A
/// query needs many services at a time, so it gets at least the time after
/// which an unavailable endpoint is likely to be back.
millis relay::impl::busyRetryAfter(const request_state &Request) {
  const service_state *Longest = Request.Parts.front().Service;
  std::optional<millis> LongestWait;
  for (const request_part &Part : Request.Parts) {
    const auto Wait = Part.Service->Queue.expectedWait(itemOf(Request, Part));
    if (!Wait || (LongestWait && *Wait <= *LongestWait))
      continue;
    Longest = Part.Service;
    LongestWait = Wait;
  }
  const millis Delay = ReturnTime.whenBusy(Longest->Name, LongestWait,
                                           Longest->Queue.interval(), Now);
  return Request.isGathered() ? std::max(Delay, return_time::whenDown())
                              : Delay;
}

/// Time until so many services have an endpoint again that the request can be
/// answered; 0 if not pauses alone are the obstacle.
millis relay::impl::pauseOf(const request_state &Request) const {
  std::vector<instant> Returns;
  for (const request_part &Part : Request.Parts) {
    const bool IsOpen =
        Endpoints.available(*Part.Service, Now) != availability::none;
    Returns.push_back(IsOpen ? Now
                             : Endpoints.nextPauseEnd(*Part.Service, Now));
  }
  std::sort(Returns.begin(), Returns.end());
  const instant Return = Returns[Request.requiredParts() - 1];
  return Return < Never ? Return - Now : millis{0};
}

/// Ends the request at its deadline: answers if enough shards have replied,
/// else refuses. A shard request of another relay gets its final reply.
void relay::impl::handleDeadline(request_state &Request) {
  if (Request.Requester) {
    replyToRequester(Request, true);
    logPeerRequest(Request);
    removeRequest(Request, false);
    return;
  }
  if (Request.isGathered() && Request.hasEnoughParts())
    answerGathered(Request);
  else
    refuse(Request, relay_refusal::out_of_time);
}

void relay::impl::sendAnswer(request_state &Request, send_answer Answer) {
  Answer.Request = Request.Id;
  Answer.Content = Request.Content;
  Request.LogEvent.Status = Answer.Status;
  Request.LogEvent.Reason = Answer.Reason;
  recordGatherTime(Request);
  Request.LogEvent.Elapsed = Now - Request.ArrivedAt;
  Request.LogEvent.Covered = Request.completedParts();
  if (Answer.Reason != relay_refusal::few_shards)
    recordMissingShards(Request);
  Out->push_back(std::move(Answer));
  Out->push_back(Request.LogEvent);
  const bool MayLinger = Request.Route->IsIdempotent && Now < Request.Deadline;
  removeRequest(Request, MayLinger);
}

/// Records for the log the time between the first completed part and now.
void relay::impl::recordGatherTime(request_state &Request) const {
  if (Request.isGathered() && Request.FirstPartAt < Now)
    Request.LogEvent.GatherTime = Now - Request.FirstPartAt;
}

/// Records for the log some of the shards that the answer lacks.
void relay::impl::recordMissingShards(request_state &Request) {
  Request.LogEvent.MissingShards.clear();
  if (!Request.isGathered())
    return;
  for (const request_part &Part : Request.Parts)
    if (Part.Phase != part_phase::done &&
        Request.LogEvent.MissingShards.size() < MaxMissingShards)
      Request.LogEvent.MissingShards.push_back(Part.Service->Name);
}

/// Whether the attempt ends with its request because the time is up, after a
/// time in which an endpoint that is up replies.
bool relay::impl::isOverdue(const request_state &Request,
                            const running_attempt &Attempt) const {
  return Now >= Request.Deadline && Now - Attempt.SentAt >= LingerTime;
}

/// Deletes the request. Its running attempts are cancelled, after `LingerTime`
/// if `Linger` is set.
void relay::impl::removeRequest(request_state &Request, bool Linger) {
  for (const request_part &Part : Request.Parts) {
    for (const running_attempt &Each : Part.Running) {
      endpoint_state *Endpoint = Endpoints.find(Each.Endpoint);
      if (Endpoint && Part.Phase == part_phase::running && Linger)
        Endpoint->onLateReply(Now);
      if (Linger)
        Lingering.push_back({Each.Attempt, Now + LingerTime});
      else
        cancel(Each.Attempt, isOverdue(Request, Each)
                                 ? attempt_verdict::overdue
                                 : attempt_verdict::cancelled);
    }
  }
  cancelShardRequests(Request, Request.LogEvent.HasClientDisconnected);
  if (Request.Requester)
    PeerRequests.erase(
        {Request.Requester->From, Request.Requester->ShardRequest});
  for (request_part &Part : Request.Parts)
    unqueue(Part);
  countActive(Request, -1);
  ActiveRequests.erase(Request.Id);
}

/// Refuses a request for which no `request_state` exists.
void relay::impl::refuseUnadmitted(const request_arrived &Event,
                                   instant ArrivedAt, unsigned Status,
                                   relay_refusal Reason, millis RetryAfter,
                                   const account_name &Account) {
  send_answer Answer;
  Answer.Request = Event.Request;
  Answer.Content = Event.Content;
  Answer.Status = Status;
  Answer.Reason = Reason;
  if (RetryAfter > millis{0})
    Answer.RetryAfter = RetryAfter;
  else if (Status == 503)
    Answer.RetryAfter = return_time::atStart(StartQueue.expectedWait(Now));
  request_log_event LogEvent;
  LogEvent.RequestId = Event.Content->RequestId;
  LogEvent.Account = Account;
  LogEvent.Status = Status;
  LogEvent.Reason = Reason;
  LogEvent.Version = version();
  LogEvent.Elapsed = Now - ArrivedAt;
  Out->push_back(std::move(Answer));
  Out->push_back(std::move(LogEvent));
}

} // namespace bulrush::relay
