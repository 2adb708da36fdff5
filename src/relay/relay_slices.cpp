// Shard requests to other relays, one for each slice of a query.
#include "relay/relay_impl.h"

#include <algorithm>
#include <tuple>

namespace bulrush::relay {

namespace {

/// Round-trip time between two relays of a zone, including the processing of
/// the messages.
constexpr millis PeerRoundTrip{4};
/// The same for two relays in different zones of a region.
constexpr millis CrossZonePeerRoundTrip{6.5};
/// A relay that did not reply in time gets no slices for this long. The backoff
/// doubles each time that it fails again, up to `MaxPeerBackoff`. A slow
/// machine stays slow for seconds, and every query that waits for it is late.
constexpr millis InitialPeerBackoff{1000};
constexpr millis MaxPeerBackoff{16'000};

} // namespace

/// Starts all parts, locally or by requesting slices from other relays.
void relay::impl::scatter(request_state &Request) {
  const std::vector<slice> &QuerySlices =
      Slices.slicesOf(Request.Route->Gather, Endpoints);
  if (QuerySlices.empty()) {
    for (request_part &Part : Request.Parts)
      startPart(Request, Part);
    return;
  }
  for (const slice &Each : QuerySlices) {
    vm_id To = pickPeer(Each.Primary, Each.Backup);
    if (To == Settings.Self && Each.Primary != Settings.Self)
      To = pickPlanned(Request, Each.Shards, Each.Primary, false);
    if (To == Settings.Self)
      startLocally(Request, Each.Shards);
    else
      sendShardRequest(
          Request, Each.Shards,
          {To, fallbackFor(Each, To), zoneOf(To) != Settings.Zone, 0});
  }
}

/// The relay to use if `To` does not reply; 0: one that is planned for the
/// shards.
vm_id relay::impl::fallbackFor(const slice &Slice, vm_id To) {
  if (Slice.IsCrossZone)
    return Slice.LocalFallback;
  return To == Slice.Primary ? Slice.Backup : vm_id{};
}

/// The first of the two relays that is set and not in a backoff, else this
/// relay.
vm_id relay::impl::pickPeer(vm_id Primary, vm_id Backup) const {
  for (const vm_id Each : {Primary, Backup})
    if (Each.Value != 0 && !isInBackoff(Each))
      return Each;
  return Settings.Self;
}

/// Starts the parts at this relay.
void relay::impl::startLocally(request_state &Request,
                               const std::vector<std::size_t> &Parts) {
  for (const std::size_t PartIndex : Parts)
    if (Request.Parts[PartIndex].Phase != part_phase::done)
      startPart(Request, Request.Parts[PartIndex]);
}

/// Requests a slice from another relay. The soft timeout of the shard request
/// is the time to the soft deadline of `Request`, less the round trip.
void relay::impl::sendShardRequest(request_state &Request,
                                   const std::vector<std::size_t> &Parts,
                                   const slice_target &Target) {
  const shard_request_id Id{++LastShardRequest};
  shard_request ShardRequest;
  ShardRequest.Id = Id;
  ShardRequest.Content = Request.Content;
  ShardRequest.RouteKey = Request.Route->Host + Request.Route->PathPrefix;
  ShardRequest.TopRecords = Request.Route->Gather.TopRecords;
  ShardRequest.MaxAttempts = Request.Route->MaxAttempts - Target.PriorRuns;
  ShardRequest.Objective = Request.Route->Objective;
  const millis RoundTrip =
      Target.IsCrossZone ? CrossZonePeerRoundTrip : PeerRoundTrip;
  ShardRequest.SoftTimeout =
      std::max(millis{1}, Request.SoftDeadline - Now - RoundTrip);
  ShardRequest.Remaining = Request.Deadline - Now;
  ShardRequest.IsRetry = Target.PriorRuns > 0;
  ShardRequest.IsQuery = Request.isGathered();
  ShardRequest.IsIdempotent = Request.Route->IsIdempotent;
  ShardRequest.Priority = Request.Urgency;
  for (const std::size_t PartIndex : Parts) {
    ShardRequest.Shards.push_back(Request.Parts[PartIndex].Service->Name);
    Request.Parts[PartIndex].Phase = part_phase::delegated;
  }
  ShardRequest.Leaving = Endpoints.announcedLeaving(ShardRequest.Shards);
  OpenShardRequests[Id] = {Request.Id, Request.SliceRequests.size()};
  slice_request &Slice = Request.SliceRequests.emplace_back();
  Slice.Id = Id;
  Slice.Target = Target;
  Slice.Parts = Parts;
  if (!ShardRequest.IsRetry)
    Slice.RetryAt = Now + Request.Route->Objective * SliceRetryShare;
  Request.SliceRetryAt = std::min(Request.SliceRetryAt, Slice.RetryAt);
  Out->push_back(send_shard_request{Target.To, std::move(ShardRequest)});
}

/// Requests the missing parts of a slice whose relay is lost or does not reply
/// from the fallback relay, or starts them locally. This is done at most once,
/// as no more than two relays may send a part; otherwise the parts fail.
void relay::impl::retrySlice(request_state &Request, std::size_t Index) {
  const slice_target Old = Request.SliceRequests[Index].Target;
  const bool MayRetrySlice =
      !Request.SliceRequests[Index].IsRetryGranted &&
      !Request.SliceRequests[Index].IsRetried && Old.PriorRuns == 0 &&
      Request.Route->IsIdempotent && Request.Route->MaxAttempts > 1;
  const std::vector<std::size_t> Parts = Request.SliceRequests[Index].Parts;
  std::vector<std::size_t> Missing;
  for (const std::size_t PartIndex : Parts)
    if (Request.Parts[PartIndex].Phase == part_phase::delegated)
      Missing.push_back(PartIndex);
  if (!MayRetrySlice || Missing.empty()) {
    failUnansweredParts(Request, Parts);
    return;
  }
  Request.SliceRequests[Index].IsRetried = true;
  ++Request.LogEvent.SliceRetries;
  while (!Missing.empty()) {
    const vm_id To = pickRepeater(Request, Missing, Old);
    const auto IsTaken = [&](std::size_t PartIndex) {
      const auto &Planned = Request.Parts[PartIndex].Service->PlannedRelays;
      return To == Old.Fallback || Planned.count(To) > 0 ||
             Planned.size() == Planned.count(Old.To);
    };
    const auto Rest =
        std::stable_partition(Missing.begin(), Missing.end(), IsTaken);
    const std::vector<std::size_t> Taken(Missing.begin(), Rest);
    Missing.erase(Missing.begin(), Rest);
    if (To == Settings.Self)
      repeatLocally(Request, Taken);
    else // The first relay may have run one attempt.
      sendShardRequest(Request, Taken,
                       {To, {}, zoneOf(To) != Settings.Zone, 1});
  }
}

/// Starts parts here that another relay may have run one attempt of.
void relay::impl::repeatLocally(request_state &Request,
                                const std::vector<std::size_t> &Parts) {
  for (const std::size_t PartIndex : Parts) {
    request_part &Part = Request.Parts[PartIndex];
    Part.PossibleRuns = Part.Deliveries = 1;
    Part.RepeatReason = repeat_reason::slice;
    startPart(Request, Part);
  }
}

/// The relay that repeats parts of a slice: the fallback, else one that is
/// planned for many of them, as only these relays share the retry budgets. One
/// in a backoff may still be better than this relay, which has no share.
vm_id relay::impl::pickRepeater(const request_state &Request,
                                const std::vector<std::size_t> &Parts,
                                const slice_target &Old) const {
  if (Old.Fallback.Value != 0 && !isInBackoff(Old.Fallback))
    return Old.Fallback;
  return pickPlanned(Request, Parts, Old.To, true);
}

/// The relay that is planned for most of the parts, apart from `Excluded`;
/// this relay if there is none. The relays of a zone may fail together, so
/// those of the zone of `Excluded` come last.
vm_id relay::impl::pickPlanned(const request_state &Request,
                               const std::vector<std::size_t> &Parts,
                               vm_id Excluded, bool TakesUnresponsive) const {
  std::map<vm_id, std::size_t> PartCounts;
  for (const std::size_t PartIndex : Parts)
    for (const vm_id Each : Request.Parts[PartIndex].Service->PlannedRelays)
      if (Each != Excluded && (TakesUnresponsive || !isInBackoff(Each)))
        ++PartCounts[Each];
  const std::string ExcludedZone = zoneOf(Excluded);
  const auto RankOf = [&](vm_id Each, std::size_t Count) {
    return std::tuple(!isInBackoff(Each), Count, Each == Settings.Self,
                      zoneOf(Each) != ExcludedZone);
  };
  vm_id Best = Settings.Self;
  std::size_t BestCount = 0;
  for (const auto &[Each, Count] : PartCounts)
    if (BestCount == 0 || RankOf(Each, Count) > RankOf(Best, BestCount)) {
      Best = Each;
      BestCount = Count;
    }
  return Best;
}

/// The zone of a relay that reaches endpoints.
std::string relay::impl::zoneOf(vm_id Relay) const {
  if (Relay == Settings.Self)
    return Settings.Zone;
  const std::vector<relay_peer> &Others = Slices.others();
  const auto Found =
      std::find_if(Others.begin(), Others.end(),
                   [&](const relay_peer &Each) { return Each.Vm == Relay; });
  return Found == Others.end() ? std::string() : Found->Zone;
}

/// Marks those parts as failed for which no relay can still reply.
void relay::impl::failUnansweredParts(request_state &Request,
                                      const std::vector<std::size_t> &Parts) {
  for (const std::size_t PartIndex : Parts)
    if (Request.Parts[PartIndex].Phase == part_phase::delegated &&
        !Request.isDelegated(PartIndex))
      Request.Parts[PartIndex].Phase = part_phase::failed;
}

/// Starts or doubles the backoff of a relay; no effect during a backoff.
void relay::impl::markUnresponsive(vm_id Peer, const std::string &RequestId) {
  const auto [Known, IsNew] = UnresponsivePeers.try_emplace(Peer);
  peer_backoff &Backoff = Known->second;
  if (!IsNew && Now < Backoff.Until)
    return;
  Backoff.Duration = IsNew ? InitialPeerBackoff : Backoff.Duration * 2;
  Backoff.Duration = std::min(Backoff.Duration, MaxPeerBackoff);
  Backoff.Until = Now + Backoff.Duration;
  Out->push_back(peer_log_event{Peer, RequestId, Backoff.Duration});
}

/// Ends the backoff of a relay after a reply.
void relay::impl::markResponsive(vm_id Peer, const std::string &RequestId) {
  if (UnresponsivePeers.erase(Peer) > 0)
    Out->push_back(peer_log_event{Peer, RequestId, {}});
}

/// Retries the slices without any reply. Late replies to the first request
/// still count if they arrive first.
void relay::impl::retryUnansweredSlices(request_state &Request) {
  Request.SliceRetryAt = Never;
  const std::size_t Count = Request.SliceRequests.size();
  for (std::size_t I = 0; I < Count; ++I) {
    slice_request &Slice = Request.SliceRequests[I];
    if (Slice.IsEnded || Slice.HasReplied || Slice.RetryAt == Never)
      continue;
    if (Now < Slice.RetryAt) {
      Request.SliceRetryAt = std::min(Request.SliceRetryAt, Slice.RetryAt);
      continue;
    }
    Slice.RetryAt = Never;
    markUnresponsive(Request.SliceRequests[I].Target.To,
                     Request.Content->RequestId);
    retrySlice(Request, I);
  }
}

void relay::impl::on(const peer_lost &Event) {
  markUnresponsive(Event.Peer, {});
  std::vector<shard_request_id> Lost;
  for (const auto &[Id, Ref] : OpenShardRequests) {
    const request_state *Request = find(Ref.Request);
    if (Request && Request->SliceRequests[Ref.Index].Target.To == Event.Peer)
      Lost.push_back(Id);
  }
  for (const shard_request_id Id : Lost) {
    const auto Found = OpenShardRequests.find(Id);
    if (Found == OpenShardRequests.end())
      continue;
    const shard_request_ref Ref = Found->second;
    OpenShardRequests.erase(Found);
    request_state *Request = find(Ref.Request);
    if (!Request)
      continue;
    Request->SliceRequests[Ref.Index].IsEnded = true;
    retrySlice(*Request, Ref.Index);
    settle(*Request);
  }
}

void relay::impl::on(const shard_reply_arrived &Event) {
  announceLeaving(Event.Reply.Leaving);
  const auto Found = OpenShardRequests.find(Event.Reply.ShardRequest);
  if (Found == OpenShardRequests.end()) {
    Out->push_back(ignored_reply_event{Event.From, ignored_reply::not_open});
    return;
  }
  const shard_request_ref Ref = Found->second;
  request_state *Request = find(Ref.Request);
  if (Request && Request->SliceRequests[Ref.Index].Target.To != Event.From) {
    Out->push_back(ignored_reply_event{Event.From, ignored_reply::other_relay});
    return;
  }
  if (Event.Reply.IsFinal || !Request)
    OpenShardRequests.erase(Found);
  if (!Request)
    return;
  slice_request &Slice = Request->SliceRequests[Ref.Index];
  if (Event.Reply.IsReachLost)
    markWithoutReach(Event.From, Request->Content->RequestId);
  else if (!Slice.IsRetried)
    markResponsive(Event.From, Request->Content->RequestId);
  handleSliceReply(*Request, Slice, Event.Reply);
  if (Event.Reply.WantsRetry && !Slice.IsRetryGranted && !Slice.IsRetried) {
    Slice.IsRetryGranted = true;
    Out->push_back(grant_retry{Slice.Target.To, Slice.Id});
  }
  settle(*Request);
}

/// Adds the reply of a relay to the request.
void relay::impl::handleSliceReply(request_state &Request, slice_request &Slice,
                                   const shard_reply &Reply) {
  Slice.HasReplied = true;
  Slice.IsEnded = Reply.IsFinal;
  Slice.IsNotRun = Reply.IsFinal && Reply.IsNotRun;
  if (Request.isGathered())
    addMergedParts(Request, Slice, Reply);
  else
    addWholeReply(Request, Reply);
  if (!Reply.IsFinal)
    return;
  restartUnreachable(Request, Slice, Reply);
  failUnansweredParts(Request, Slice.Parts);
}

/// Adds the reply to a request that is not a query.
void relay::impl::addWholeReply(request_state &Request,
                                const shard_reply &Reply) {
  Request.RetryAfterElsewhere = Reply.RetryAfter;
  request_part &Part = Request.Parts.front();
  if (!Reply.Reply || Part.Phase == part_phase::done)
    return;
  if (isServerError(Reply.Reply->Status)) {
    Part.Failure = Reply.Reply;
    return;
  }
  unqueue(Part);
  Part.Phase = part_phase::done;
  Part.Reply = Reply.Reply;
  Quarantine.onSuccess(*Request.Content, *Out);
}

/// The records of a reply are merged and cannot be separated by part, so a
/// reply with a part that is already done is discarded.
void relay::impl::addMergedParts(request_state &Request,
                                 const slice_request &Slice,
                                 const shard_reply &Reply) {
  const bool IsUsable =
      Reply.Covered.size() == Reply.Signatures.size() &&
      std::all_of(
          Reply.Covered.begin(), Reply.Covered.end(), [&](std::uint32_t Each) {
            return Each < Slice.Parts.size() &&
                   Request.Parts[Slice.Parts[Each]].Phase != part_phase::done;
          });
  if (IsUsable && !Reply.Covered.empty()) {
    for (const std::uint32_t Each : Reply.Covered) {
      request_part &Part = Request.Parts[Slice.Parts[Each]];
      unqueue(Part);
      Part.Phase = part_phase::done;
    }
    Request.Merged.push_back({Reply.Signatures, Reply.Records});
    Quarantine.onSuccess(*Request.Content, *Out);
    Request.FirstPartAt = std::min(Request.FirstPartAt, Now);
  }
}

void relay::impl::cancelShardRequests(const request_state &Request,
                                      bool HasClientDisconnected) {
  for (const slice_request &Each : Request.SliceRequests) {
    OpenShardRequests.erase(Each.Id);
    if (!Each.IsEnded)
      Out->push_back(
          cancel_shard_request{Each.Target.To, Each.Id, HasClientDisconnected});
  }
}

// Membership of the relays.

void relay::impl::on(const peers_changed &Event) {
  Slices.setPeers(Event.Peers);
  updateSlicedServices();
  preconnectSlices();
}

/// Tells the endpoint set which services belong to sliced queries: only a few
/// relays send requests to these.
void relay::impl::updateSlicedServices() {
  if (!Table)
    return;
  std::set<service_name> Names;
  for (const route &Route : Table->content().Routes)
    if (Slices.isSliced(Route.Gather))
      Names.insert(Route.Gather.Shards.begin(), Route.Gather.Shards.end());
  Endpoints.setSlicedServices(Names, Slices.relaysPerShard(), *Out);
  updatePlannedRelays();
}

/// Tells the endpoint set which relays query the services that only sliced
/// queries use.
void relay::impl::updatePlannedRelays() {
  if (!Table)
    return;
  std::map<service_name, std::set<vm_id>> Planned;
  std::set<service_name> UsedByAll;
  std::set<std::vector<service_name>> Known;
  for (const route &Route : Table->content().Routes) {
    const std::vector<service_name> &Shards = Route.Gather.Shards;
    for (const weighted_service &Each : Route.Targets)
      UsedByAll.insert(Each.Service);
    if (!Slices.isSliced(Route.Gather)) {
      UsedByAll.insert(Shards.begin(), Shards.end());
      continue;
    }
    if (!Known.insert(Shards).second)
      continue;
    const auto Relays = Slices.relaysOf(Route.Gather, Endpoints);
    for (std::size_t I = 0; I < Shards.size(); ++I)
      Planned[Shards[I]].insert(Relays[I].begin(), Relays[I].end());
  }
  for (const service_name &Each : UsedByAll)
    Planned.erase(Each);
  Endpoints.setPlannedRelays(Planned);
}

/// Opens connections to the endpoints of the slices whose primary is this
/// relay, so that a relay that has just started replies as fast as others.
void relay::impl::preconnectSlices() {
  if (!isReady())
    return;
  std::set<service_name> FirstShards;
  for (const route &Route : Table->content().Routes) {
    const auto &Shards = Route.Gather.Shards;
    if (!Slices.isSliced(Route.Gather) ||
        !FirstShards.insert(Shards.front()).second)
      continue;
    for (const slice &Each : Slices.slicesOf(Route.Gather, Endpoints))
      if (Each.Primary == Settings.Self)
        for (const std::size_t PartIndex : Each.Shards)
          Endpoints.preconnect(Endpoints.service(Shards[PartIndex]), *Out);
  }
}

} // namespace bulrush::relay
