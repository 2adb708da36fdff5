// Shard requests of other relays.
#include "relay/record_merge.h"
#include "relay/relay_impl.h"

#include <algorithm>

namespace bulrush::relay {

namespace {

/// Share of the objective after which a first reply with the results so far is
/// sent. It also shows the requester that this relay is working.
constexpr double FirstReplyShare = 0.3;
/// Set in the ids of shard requests, so that they differ from those of client
/// requests.
constexpr std::uint64_t PeerRequestBit = std::uint64_t{1} << 63;

} // namespace

void relay::impl::on(const shard_request_arrived &Event) {
  if (isReady())
    admit(Event, Now);
  else
    StartQueue.add(Event, Now);
}

void relay::impl::admit(const shard_request_arrived &Event, instant ArrivedAt) {
  const shard_request &ShardRequest = Event.Request;
  announceLeaving(ShardRequest.Leaving);
  const query_id Id{PeerRequestBit | ++LastPeerRequest};
  auto Owned = std::make_unique<request_state>();
  request_state &Request = *Owned;
  ActiveRequests[Id] = std::move(Owned);
  PeerRequests[{Event.From, ShardRequest.Id}] = Id;
  auto Route = std::make_shared<route>();
  Route->IsIdempotent = ShardRequest.IsIdempotent;
  Route->Objective = ShardRequest.Objective;
  Route->Timeout = ShardRequest.Remaining;
  Route->MaxAttempts = ShardRequest.MaxAttempts;
  Route->Priority = ShardRequest.Priority;
  if (ShardRequest.IsQuery) {
    Route->Gather.Shards = ShardRequest.Shards;
    Route->Gather.TopRecords = ShardRequest.TopRecords;
  }
  Request.Id = Id;
  Request.Content = ShardRequest.Content;
  countActive(Request, 1);
  Request.Route = Route.get();
  Request.Urgency = ShardRequest.Priority;
  Request.RouteState =
      &Routes.try_emplace(ShardRequest.RouteKey, ShardRequest.Objective)
           .first->second;
  setDeadlines(Request, ArrivedAt, {}, {});
  Request.SoftDeadline = ArrivedAt + ShardRequest.SoftTimeout;
  Request.HedgeAt = hedgeTime(Request);
  if (ShardRequest.IsQuery)
    Request.OverdueAt = Request.SoftDeadline + LingerTime;
  Request.LogEvent.Shards =
      static_cast<std::uint32_t>(ShardRequest.Shards.size());
  Request.LogEvent.IsFromPeer = true;
  requester_state &Requester = Request.Requester.emplace();
  Requester.From = Event.From;
  Requester.ShardRequest = ShardRequest.Id;
  Requester.Route = Route;
  Requester.FirstReplyAt = Now + ShardRequest.Objective * FirstReplyShare;
  Requester.IsReported.resize(ShardRequest.Shards.size());
  for (const service_name &Shard : ShardRequest.Shards)
    Request.Parts.emplace_back().Service = &Endpoints.service(Shard);
  for (request_part &Part : Request.Parts) {
    Part.Deliveries = ShardRequest.IsRetry ? 1 : 0;
    Part.RepeatReason = repeat_reason::peer;
    startPart(Request, Part);
  }
  settle(Request);
}

void relay::impl::on(const shard_request_cancelled &Event) {
  const auto Found = PeerRequests.find({Event.From, Event.ShardRequest});
  if (Found == PeerRequests.end()) {
    StartQueue.remove(Event.From, Event.ShardRequest);
    return;
  }
  if (request_state *Request = find(Found->second))
    removeRequest(*Request, !Event.HasClientDisconnected);
}

/// Attempts are cancelled at once, as for a client that has disconnected: that
/// they did not end in time says nothing about their endpoints.
void relay::impl::on(const requester_lost &Event) {
  std::vector<query_id> Abandoned;
  for (auto Each = PeerRequests.lower_bound({Event.From, {}});
       Each != PeerRequests.end() && Each->first.first == Event.From; ++Each)
    Abandoned.push_back(Each->second);
  for (const query_id Id : Abandoned)
    if (request_state *Request = find(Id))
      removeRequest(*Request, false);
  const std::size_t Count = Abandoned.size() + StartQueue.remove(Event.From);
  if (Count > 0)
    Out->push_back(requester_log_event{Event.From.Address, Count});
}

/// Whether this relay may send second attempts. Only one relay may do so for a
/// shard, so a shard request of another relay needs a grant of its requester.
/// The first call requests the grant.
bool relay::impl::mayRetry(request_state &Request) {
  if (!Request.Requester || Request.Requester->MayRetry)
    return true;
  if (!Request.Requester->WantsRetry) {
    Request.Requester->WantsRetry = true;
    Request.Requester->HasSentReply = true;
    replyToRequester(Request, false);
  }
  return false;
}

void relay::impl::on(const retry_granted &Event) {
  const auto Found = PeerRequests.find({Event.From, Event.ShardRequest});
  request_state *Request =
      Found == PeerRequests.end() ? nullptr : find(Found->second);
  if (!Request)
    return;
  Request->Requester->MayRetry = true;
  for (request_part &Part : Request->Parts) {
    if (Part.Phase == part_phase::awaiting_grant)
      retryPart(*Request, Part);
  }
  if (Now >= Request->HedgeAt)
    sendHedges(*Request);
  settle(*Request);
}

/// Logs the end of a shard request.
void relay::impl::logPeerRequest(request_state &Request) {
  recordGatherTime(Request);
  Request.LogEvent.Elapsed = Now - Request.ArrivedAt;
  Request.LogEvent.Covered = Request.completedParts();
  Out->push_back(Request.LogEvent);
}

/// Sends the final reply if no part is pending. Otherwise sends any interim
/// reply that is due and schedules the next wake-up.
void relay::impl::settlePeerRequest(request_state &Request) {
  if (!Request.isGathered() && isGivenUp(Request, Request.Parts.front())) {
    unqueue(Request.Parts.front());
    Request.Parts.front().Phase = part_phase::failed;
  }
  const bool IsPending = std::any_of(Request.Parts.begin(), Request.Parts.end(),
                                     [](const auto &Part) {
                                       return Part.Phase != part_phase::done &&
                                              Part.Phase != part_phase::failed;
                                     });
  if (!IsPending) {
    replyToRequester(Request, true);
    logPeerRequest(Request);
    removeRequest(Request, true);
    return;
  }
  requester_state &Requester = *Request.Requester;
  if (!Requester.HasSentReply && Now >= Requester.FirstReplyAt) {
    Requester.HasSentReply = true;
    replyToRequester(Request, false);
  }
  if (Now >= Request.SoftDeadline && hasUnsentParts(Request))
    replyToRequester(Request, false);
  instant Next = nextWakeOf(Request, Now);
  if (!Requester.HasSentReply)
    Next = std::min(Next, Requester.FirstReplyAt);
  if (!Request.isGathered() && Now < Request.GiveUpAt)
    Next = std::min(Next, Request.GiveUpAt);
  scheduleWake(Request, Next);
}

/// Whether a completed part has not been included in a reply yet.
bool relay::impl::hasUnsentParts(const request_state &Request) {
  for (std::size_t I = 0; I < Request.Parts.size(); ++I)
    if (Request.Parts[I].Phase == part_phase::done &&
        !Request.Requester->IsReported[I])
      return true;
  return false;
}

/// Adds the endpoint's reply to a request that is not a query, or when to
/// retry.
void relay::impl::addEndpointReply(const request_state &Request,
                                   shard_reply &Reply) {
  const request_part &Part = Request.Parts.front();
  Reply.Reply = Part.Reply ? Part.Reply : Part.Failure;
  if (Reply.IsNotRun)
    Reply.RetryAfter = retryAfter(Request);
}

/// Sends the requester the parts that no earlier reply included. A reply
/// without parts shows that this relay is working, or requests a grant.
void relay::impl::replyToRequester(request_state &Request, bool IsFinal) {
  requester_state &Requester = *Request.Requester;
  shard_reply Reply;
  Reply.ShardRequest = Requester.ShardRequest;
  Reply.IsFinal = IsFinal;
  std::vector<std::string_view> Bodies;
  for (std::size_t I = 0; I < Request.Parts.size(); ++I) {
    const request_part &Part = Request.Parts[I];
    if (IsFinal && Part.Phase == part_phase::failed && Part.IsUnreachable)
      (Part.PossibleRuns > 0 ? Reply.Interrupted : Reply.Unreachable)
          .push_back(static_cast<std::uint32_t>(I));
    if (Part.Phase != part_phase::done || Requester.IsReported[I])
      continue;
    Requester.IsReported[I] = true;
    Reply.Covered.push_back(static_cast<std::uint32_t>(I));
    Reply.Signatures.push_back(Part.Reply->Signature);
    Bodies.push_back(Part.Reply->Body);
  }
  std::vector<service_name> Names;
  for (const request_part &Part : Request.Parts)
    Names.push_back(Part.Service->Name);
  Reply.Leaving = Endpoints.announcedLeaving(Names);
  Reply.IsNotRun = IsFinal && !Request.mayHaveRun();
  Reply.IsReachLost = Reach.isLost();
  Reply.WantsRetry = Requester.WantsRetry && !Requester.MayRetry;
  if (Request.isGathered())
    Reply.Records = greatestRecords(Bodies, Request.Route->Gather.TopRecords);
  else if (IsFinal)
    addEndpointReply(Request, Reply);
  Out->push_back(send_shard_reply{Requester.From, std::move(Reply)});
}

} // namespace bulrush::relay
