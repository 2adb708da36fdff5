// What other relays ask of this one.
#include "relay/record_merge.h"
#include "relay/relay_impl.h"

#include <algorithm>

namespace bulrush::relay {

namespace {

/// The asker hears by then that the relay lives, and what it has.
constexpr double CheckShare = 0.3;
/// Requests of other relays are numbered apart from those of clients.
constexpr std::uint64_t PeerRequestNumbers = std::uint64_t{1} << 63;

} // namespace

void relay::impl::on(const shard_request_arrived &Event) {
  if (isReady())
    admit(Event, Now);
  else
    Starting.add(Event, Now);
}

void relay::impl::admit(const shard_request_arrived &Event, instant ArrivedAt) {
  const shard_request &ShardRequest = Event.Request;
  const query_id Number{PeerRequestNumbers | ++LastPeerRequest};
  auto Owned = std::make_unique<request_work>();
  request_work &Work = *Owned;
  Works[Number] = std::move(Owned);
  PeerRequests[{Event.From, ShardRequest.Id}] = Number;
  auto Route = std::make_shared<route>();
  Route->IsIdempotent = true;
  Route->Objective = ShardRequest.Objective;
  Route->Timeout = ShardRequest.Remaining;
  Route->MaxAttempts = ShardRequest.MaxAttempts;
  Route->Gather.Shards = ShardRequest.Shards;
  Route->Gather.TopRecords = ShardRequest.TopRecords;
  Work.Request = Number;
  Work.Content = ShardRequest.Content;
  Work.Route = Route.get();
  Work.Learnt =
      &Routes.try_emplace(ShardRequest.RouteKey, ShardRequest.Objective)
           .first->second;
  setTimes(Work, ArrivedAt, {}, {});
  Work.SoftDeadline = ArrivedAt + ShardRequest.SoftTimeout;
  Work.SliceRetryAt = Never;
  Work.LogEvent.IsFromPeer = true;
  requester_state &Requester = Work.Requester.emplace();
  Requester.From = Event.From;
  Requester.ShardRequest = ShardRequest.Id;
  Requester.Route = Route;
  Requester.CheckAt = Now + ShardRequest.Objective * CheckShare;
  Requester.IsReported.resize(ShardRequest.Shards.size());
  for (const service_name &Shard : ShardRequest.Shards)
    Work.Parts.emplace_back().Service = &Endpoints.service(Shard);
  for (request_part &Part : Work.Parts) {
    Part.Arrivals = ShardRequest.IsRetry ? 1 : 0;
    begin(Work, Part);
  }
  settle(Work);
}

void relay::impl::on(const shard_request_cancelled &Event) {
  const auto Found = PeerRequests.find({Event.From, Event.ShardRequest});
  if (Found == PeerRequests.end()) {
    Starting.remove(Event.From, Event.ShardRequest);
    return;
  }
  if (request_work *Work = find(Found->second))
    forget(*Work, !Event.HasClientDisconnected);
}

/// A part is sent a second time by one relay only: the asker must know before
/// it asks another one.
bool relay::impl::mayRetry(request_work &Work) {
  if (!Work.Requester || Work.Requester->MayRetry)
    return true;
  if (!Work.Requester->WantsRetry) {
    Work.Requester->WantsRetry = true;
    Work.Requester->HasChecked = true;
    replyToRequester(Work, false);
  }
  return false;
}

void relay::impl::on(const retry_granted &Event) {
  const auto Found = PeerRequests.find({Event.From, Event.ShardRequest});
  request_work *Work =
      Found == PeerRequests.end() ? nullptr : find(Found->second);
  if (!Work)
    return;
  Work->Requester->MayRetry = true;
  for (request_part &Part : Work->Parts) {
    if (Part.Phase == part_phase::held)
      tryAgain(*Work, Part);
    else if (Now >= Work->HedgeAt)
      hedge(*Work, Part);
  }
  settle(*Work);
}

void relay::impl::settlePeerRequest(request_work &Work) {
  const bool IsPending =
      std::any_of(Work.Parts.begin(), Work.Parts.end(), [](const auto &Part) {
        return Part.Phase != part_phase::done &&
               Part.Phase != part_phase::failed;
      });
  if (!IsPending) {
    replyToRequester(Work, true);
    noteStages(Work);
    Work.LogEvent.Elapsed = Now - Work.ArrivedAt;
    Work.LogEvent.Covered = Work.covered();
    Out->push_back(Work.LogEvent);
    forget(Work, true);
    return;
  }
  requester_state &Requester = *Work.Requester;
  if (!Requester.HasChecked && Now >= Requester.CheckAt) {
    Requester.HasChecked = true;
    replyToRequester(Work, false);
  }
  if (Now >= Work.SoftDeadline && hasNews(Work))
    replyToRequester(Work, false);
  instant Next = Now < Work.SoftDeadline ? Work.SoftDeadline : Work.Deadline;
  if (Now < Work.HedgeAt)
    Next = std::min(Next, Work.HedgeAt);
  if (!Requester.HasChecked)
    Next = std::min(Next, Requester.CheckAt);
  wakeAt(Work, Next);
}

bool relay::impl::hasNews(const request_work &Work) {
  for (std::size_t I = 0; I < Work.Parts.size(); ++I)
    if (Work.Parts[I].Phase == part_phase::done &&
        !Work.Requester->IsReported[I])
      return true;
  return false;
}

/// Sends what the asker was not told yet; an empty reply only as a sign of
/// life.
void relay::impl::replyToRequester(request_work &Work, bool IsFinal) {
  requester_state &Requester = *Work.Requester;
  shard_reply Reply;
  Reply.ShardRequest = Requester.ShardRequest;
  Reply.IsFinal = IsFinal;
  std::vector<std::string_view> Bodies;
  for (std::size_t I = 0; I < Work.Parts.size(); ++I) {
    const request_part &Part = Work.Parts[I];
    if (Part.Phase != part_phase::done || Requester.IsReported[I])
      continue;
    Requester.IsReported[I] = true;
    Reply.Covered.push_back(static_cast<std::uint32_t>(I));
    Reply.Signatures.push_back(Part.Reply->Signature);
    Bodies.push_back(Part.Reply->Body);
  }
  Reply.WantsRetry = Requester.WantsRetry && !Requester.MayRetry;
  Reply.Records = greatestRecords(Bodies, Work.Route->Gather.TopRecords);
  Out->push_back(send_shard_reply{Requester.From, std::move(Reply)});
}

} // namespace bulrush::relay
