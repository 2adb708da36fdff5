// Slices: shards that other relays ask.
#include "relay/relay_impl.h"

#include <algorithm>

namespace bulrush::relay {

namespace {

/// There and back between two relays of a zone, with what they do for the
/// messages.
constexpr millis HopTime{4};
/// The same between two zones of a region.
constexpr millis FarHopTime{6.5};
/// A relay that was not heard in time is asked again after so long, each time
/// after twice as long as before: a slow machine stays slow for seconds, and
/// each query that waits for it is late.
constexpr millis FirstSilence{1000};
constexpr millis LongestSilence{16'000};

} // namespace

/// Begins all parts, here or at the relays that ask their slices.
void relay::impl::scatter(request_work &Work) {
  const std::vector<slice> &Cut =
      Slices.slicesOf(Work.Route->Gather, Endpoints);
  if (Cut.empty()) {
    for (request_part &Part : Work.Parts)
      begin(Work, Part);
    return;
  }
  for (const slice &Each : Cut) {
    const vm_id To = pickPeer(Each.Primary, Each.Backup);
    if (To == Settings.Self)
      beginHere(Work, Each.Shards);
    else
      sendShardRequest(Work, Each.Shards,
                       {To, otherOf(Each, To), Each.IsCrossZone, false});
  }
}

/// Whom to ask where `To` says nothing; 0: this relay itself. All relays of
/// another zone may be lost together.
vm_id relay::impl::otherOf(const slice &Slice, vm_id To) {
  return Slice.IsCrossZone || To != Slice.Primary ? vm_id{} : Slice.Backup;
}

/// This relay itself where neither is known to answer.
vm_id relay::impl::pickPeer(vm_id Primary, vm_id Backup) const {
  for (const vm_id Each : {Primary, Backup}) {
    const auto Silent = SilentPeers.find(Each);
    const bool IsSilent =
        Silent != SilentPeers.end() && Now < Silent->second.Until;
    if (Each.Value != 0 && !IsSilent)
      return Each;
  }
  return Settings.Self;
}

void relay::impl::beginHere(request_work &Work,
                            const std::vector<std::size_t> &Parts) {
  for (const std::size_t Place : Parts)
    if (Work.Parts[Place].Phase != part_phase::done)
      begin(Work, Work.Parts[Place]);
}

void relay::impl::sendShardRequest(request_work &Work,
                                   const std::vector<std::size_t> &Parts,
                                   const slice_target &Target) {
  const shard_request_id Number{++LastShardRequest};
  shard_request ShardRequest;
  ShardRequest.Id = Number;
  ShardRequest.Content = Work.Content;
  ShardRequest.RouteKey = Work.Route->Host + Work.Route->PathPrefix;
  ShardRequest.TopRecords = Work.Route->Gather.TopRecords;
  // One sending by the relay that was asked before may have run.
  ShardRequest.MaxAttempts = Work.Route->MaxAttempts - (Target.IsRetry ? 1 : 0);
  ShardRequest.Objective = Work.Route->Objective;
  const millis Hop = Target.IsCrossZone ? FarHopTime : HopTime;
  ShardRequest.SoftTimeout = std::max(millis{1}, Work.SoftDeadline - Now - Hop);
  ShardRequest.Remaining = Work.Deadline - Now;
  ShardRequest.IsRetry = Target.IsRetry;
  for (const std::size_t Place : Parts) {
    ShardRequest.Shards.push_back(Work.Parts[Place].Service->Name);
    Work.Parts[Place].Phase = part_phase::delegated;
  }
  ShardRequests[Number] = {Work.Request, Work.ShardRequests.size()};
  Work.ShardRequests.push_back({Number, Target, Parts});
  Out->push_back(send_shard_request{Target.To, std::move(ShardRequest)});
}

/// The relay that was asked is lost or silent: another one is asked as well, or
/// this one asks itself. Three relays would be more than may send a part.
void relay::impl::retrySlice(request_work &Work, std::size_t Index) {
  const slice_target Old = Work.ShardRequests[Index].Target;
  const bool MayRetryElsewhere = !Work.ShardRequests[Index].IsGranted &&
                                 !Work.ShardRequests[Index].IsReplaced &&
                                 !Old.IsRetry && Work.Route->MaxAttempts > 1;
  const std::vector<std::size_t> Parts = Work.ShardRequests[Index].Parts;
  std::vector<std::size_t> Missing;
  for (const std::size_t Place : Parts)
    if (Work.Parts[Place].Phase == part_phase::delegated)
      Missing.push_back(Place);
  if (!MayRetryElsewhere || Missing.empty()) {
    failUnrequested(Work, Parts);
    return;
  }
  Work.ShardRequests[Index].IsReplaced = true;
  ++Work.LogEvent.SliceRetries;
  const vm_id To = pickPeer(Old.Other, {});
  if (To != Settings.Self) {
    sendShardRequest(Work, Missing, {To, {}, Old.IsCrossZone, true});
    return;
  }
  for (const std::size_t Place : Missing) {
    request_part &Part = Work.Parts[Place];
    Part.Runs = Part.Arrivals = 1; // by the relay that was asked before
    begin(Work, Part);
  }
}

/// Nothing more comes for these parts, unless another relay was asked too.
void relay::impl::failUnrequested(request_work &Work,
                                  const std::vector<std::size_t> &Parts) {
  for (const std::size_t Place : Parts)
    if (Work.Parts[Place].Phase == part_phase::delegated &&
        !Work.isDelegated(Place))
      Work.Parts[Place].Phase = part_phase::failed;
}

void relay::impl::noteSilent(vm_id Peer, const std::string &RequestId) {
  const auto [Known, IsNew] = SilentPeers.try_emplace(Peer);
  peer_silence &Silence = Known->second;
  if (!IsNew && Now < Silence.Until)
    return;
  Silence.Backoff = IsNew ? FirstSilence : Silence.Backoff * 2;
  Silence.Backoff = std::min(Silence.Backoff, LongestSilence);
  Silence.Until = Now + Silence.Backoff;
  Out->push_back(peer_log_event{Peer, RequestId, Silence.Backoff});
}

void relay::impl::noteHeard(vm_id Peer, const std::string &RequestId) {
  if (SilentPeers.erase(Peer) > 0)
    Out->push_back(peer_log_event{Peer, RequestId, {}});
}

/// What the silent ones still reply counts, where it comes first.
void relay::impl::retrySilent(request_work &Work) {
  Work.SliceRetryAt = Never;
  const std::size_t Count = Work.ShardRequests.size();
  for (std::size_t I = 0; I < Count; ++I) {
    if (Work.ShardRequests[I].IsEnded || Work.ShardRequests[I].HasReplied)
      continue;
    noteSilent(Work.ShardRequests[I].Target.To, Work.Content->RequestId);
    retrySlice(Work, I);
  }
}

void relay::impl::on(const peer_lost &Event) {
  noteSilent(Event.Peer, {});
  std::vector<shard_request_id> Lost;
  for (const auto &[Number, Place] : ShardRequests) {
    const request_work *Work = find(Place.Request);
    if (Work && Work->ShardRequests[Place.Index].Target.To == Event.Peer)
      Lost.push_back(Number);
  }
  for (const shard_request_id Number : Lost) {
    const auto Found = ShardRequests.find(Number);
    if (Found == ShardRequests.end())
      continue;
    const shard_request_place Place = Found->second;
    ShardRequests.erase(Found);
    request_work *Work = find(Place.Request);
    if (!Work)
      continue;
    Work->ShardRequests[Place.Index].IsEnded = true;
    retrySlice(*Work, Place.Index);
    settle(*Work);
  }
}

void relay::impl::on(const shard_reply_arrived &Event) {
  const auto Found = ShardRequests.find(Event.Reply.ShardRequest);
  if (Found == ShardRequests.end())
    return;
  const shard_request_place Place = Found->second;
  request_work *Work = find(Place.Request);
  if (Event.Reply.IsFinal || !Work)
    ShardRequests.erase(Found);
  if (!Work)
    return;
  slice_request &ShardRequest = Work->ShardRequests[Place.Index];
  if (!ShardRequest.IsReplaced)
    noteHeard(Event.From, Work->Content->RequestId);
  takeSlice(*Work, ShardRequest, Event.Reply);
  if (Event.Reply.WantsRetry && !ShardRequest.IsGranted &&
      !ShardRequest.IsReplaced) {
    ShardRequest.IsGranted = true;
    Out->push_back(grant_retry{ShardRequest.Target.To, ShardRequest.Id});
  }
  settle(*Work);
}

/// Merged parts cannot be told apart: a reply that holds one that is there
/// already is of no use.
void relay::impl::takeSlice(request_work &Work, slice_request &ShardRequest,
                            const shard_reply &Reply) {
  ShardRequest.HasReplied = true;
  ShardRequest.IsEnded = Reply.IsFinal;
  const bool IsSound =
      Reply.Covered.size() == Reply.Signatures.size() &&
      std::all_of(Reply.Covered.begin(), Reply.Covered.end(),
                  [&](std::uint32_t Each) {
                    return Each < ShardRequest.Parts.size() &&
                           Work.Parts[ShardRequest.Parts[Each]].Phase !=
                               part_phase::done;
                  });
  if (IsSound && !Reply.Covered.empty()) {
    for (const std::uint32_t Each : Reply.Covered)
      Work.Parts[ShardRequest.Parts[Each]].Phase = part_phase::done;
    Work.Merged.push_back({Reply.Signatures, Reply.Records});
    Work.FirstPartAt = std::min(Work.FirstPartAt, Now);
  }
  if (Reply.IsFinal)
    failUnrequested(Work, ShardRequest.Parts);
}

void relay::impl::cancelShardRequests(const request_work &Work,
                                      bool HasClientDisconnected) {
  for (const slice_request &Each : Work.ShardRequests) {
    ShardRequests.erase(Each.Id);
    if (!Each.IsEnded)
      Out->push_back(
          cancel_shard_request{Each.Target.To, Each.Id, HasClientDisconnected});
  }
}

// Who takes part.

void relay::impl::on(const peers_changed &Event) {
  Slices.setPeers(Event.Peers);
  noteSliced();
  warmSlices();
}

/// Shards of sliced queries are asked by few relays.
void relay::impl::noteSliced() {
  if (!Table)
    return;
  std::set<service_name> Names;
  for (const route &Route : Table->content().Routes)
    if (Slices.isSliced(Route.Gather))
      Names.insert(Route.Gather.Shards.begin(), Route.Gather.Shards.end());
  Endpoints.setSlicedServices(Names, Slices.relaysPerShard(), *Out);
}

/// Opens connections to the endpoints that this relay will ask first: others
/// wait for it no longer than for one that runs for long.
void relay::impl::warmSlices() {
  if (!isReady())
    return;
  std::set<service_name> Done;
  for (const route &Route : Table->content().Routes) {
    const auto &Shards = Route.Gather.Shards;
    if (!Slices.isSliced(Route.Gather) || !Done.insert(Shards.front()).second)
      continue;
    for (const slice &Each : Slices.slicesOf(Route.Gather, Endpoints))
      if (Each.Primary == Settings.Self)
        for (const std::size_t Place : Each.Shards)
          Endpoints.preconnect(Endpoints.service(Shards[Place]), *Out);
  }
}

} // namespace bulrush::relay
