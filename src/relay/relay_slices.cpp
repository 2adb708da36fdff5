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
    const vm_id To = pickPeer(Each.First, Each.Second);
    if (To == Settings.Self)
      beginHere(Work, Each.Shards);
    else
      ask(Work, Each.Shards, {To, otherOf(Each, To), Each.IsFar, false});
  }
}

/// Whom to ask where `To` says nothing; 0: this relay itself. All relays of
/// another zone may be lost together.
vm_id relay::impl::otherOf(const slice &Slice, vm_id To) {
  return Slice.IsFar || To != Slice.First ? vm_id{} : Slice.Second;
}

/// This relay itself where neither is known to answer.
vm_id relay::impl::pickPeer(vm_id First, vm_id Second) const {
  for (const vm_id Each : {First, Second}) {
    const auto Silent = UnresponsivePeers.find(Each);
    const bool IsSilent =
        Silent != UnresponsivePeers.end() && Now < Silent->second.Until;
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

void relay::impl::ask(request_work &Work, const std::vector<std::size_t> &Parts,
                      const ask_target &Target) {
  const ask_no Number{++LastAsk};
  shard_ask Ask;
  Ask.Ask = Number;
  Ask.Content = Work.Content;
  Ask.RouteKey = Work.Route->Host + Work.Route->PathPrefix;
  Ask.TopRecords = Work.Route->Gather.TopRecords;
  // One sending by the relay that was asked before may have run.
  Ask.MaxAttempts = Work.Route->MaxAttempts - (Target.IsRepeat ? 1 : 0);
  Ask.Objective = Work.Route->Objective;
  const millis Hop = Target.IsFar ? FarHopTime : HopTime;
  Ask.AnswerIn = std::max(millis{1}, Work.AnswerBy - Now - Hop);
  Ask.Remaining = Work.Deadline - Now;
  Ask.IsRepeat = Target.IsRepeat;
  for (const std::size_t Place : Parts) {
    Ask.Shards.push_back(Work.Parts[Place].Service->Name);
    Work.Parts[Place].Phase = part_phase::asked;
  }
  Asks[Number] = {Work.Request, Work.Asks.size()};
  Work.Asks.push_back({Number, Target, Parts});
  Out->push_back(send_ask{Target.To, std::move(Ask)});
}

/// The relay that was asked is lost or silent: another one is asked as well, or
/// this one asks itself. Three relays would be more than may send a part.
void relay::impl::askAgain(request_work &Work, std::size_t Index) {
  const ask_target Old = Work.Asks[Index].Target;
  const bool MayAsk = !Work.Asks[Index].IsGranted &&
                      !Work.Asks[Index].IsReplaced && !Old.IsRepeat &&
                      Work.Route->MaxAttempts > 1;
  const std::vector<std::size_t> Parts = Work.Asks[Index].Parts;
  std::vector<std::size_t> Missing;
  for (const std::size_t Place : Parts)
    if (Work.Parts[Place].Phase == part_phase::asked)
      Missing.push_back(Place);
  if (!MayAsk || Missing.empty()) {
    failUnasked(Work, Parts);
    return;
  }
  Work.Asks[Index].IsReplaced = true;
  ++Work.Note.Repeats;
  const vm_id To = pickPeer(Old.Other, {});
  if (To != Settings.Self) {
    ask(Work, Missing, {To, {}, Old.IsFar, true});
    return;
  }
  for (const std::size_t Place : Missing) {
    request_part &Part = Work.Parts[Place];
    Part.Runs = Part.Arrivals = 1; // by the relay that was asked before
    begin(Work, Part);
  }
}

/// Nothing more comes for these parts, unless another relay was asked too.
void relay::impl::failUnasked(request_work &Work,
                              const std::vector<std::size_t> &Parts) {
  for (const std::size_t Place : Parts)
    if (Work.Parts[Place].Phase == part_phase::asked && !Work.isAsked(Place))
      Work.Parts[Place].Phase = part_phase::failed;
}

void relay::impl::noteSilent(vm_id Peer, const std::string &RequestId) {
  const auto [Known, IsNew] = UnresponsivePeers.try_emplace(Peer);
  peer_silence &Silence = Known->second;
  if (!IsNew && Now < Silence.Until)
    return;
  Silence.PassedOver = IsNew ? FirstSilence : Silence.PassedOver * 2;
  Silence.PassedOver = std::min(Silence.PassedOver, LongestSilence);
  Silence.Until = Now + Silence.PassedOver;
  Out->push_back(peer_note{Peer, RequestId, Silence.PassedOver});
}

void relay::impl::noteHeard(vm_id Peer, const std::string &RequestId) {
  if (UnresponsivePeers.erase(Peer) > 0)
    Out->push_back(peer_note{Peer, RequestId, {}});
}

/// What the silent ones still reply counts, where it comes first.
void relay::impl::repeatSilent(request_work &Work) {
  Work.RepeatAt = Never;
  const std::size_t Count = Work.Asks.size();
  for (std::size_t I = 0; I < Count; ++I) {
    if (Work.Asks[I].IsEnded || Work.Asks[I].HasReplied)
      continue;
    noteSilent(Work.Asks[I].Target.To, Work.Content->RequestId);
    askAgain(Work, I);
  }
}

void relay::impl::on(const peer_lost &Event) {
  noteSilent(Event.Peer, {});
  std::vector<ask_no> Lost;
  for (const auto &[Number, Place] : Asks) {
    const request_work *Work = find(Place.Request);
    if (Work && Work->Asks[Place.Index].Target.To == Event.Peer)
      Lost.push_back(Number);
  }
  for (const ask_no Number : Lost) {
    const auto Found = Asks.find(Number);
    if (Found == Asks.end())
      continue;
    const ask_place Place = Found->second;
    Asks.erase(Found);
    request_work *Work = find(Place.Request);
    if (!Work)
      continue;
    Work->Asks[Place.Index].IsEnded = true;
    askAgain(*Work, Place.Index);
    settle(*Work);
  }
}

void relay::impl::on(const ask_replied &Event) {
  const auto Found = Asks.find(Event.Reply.Ask);
  if (Found == Asks.end())
    return;
  const ask_place Place = Found->second;
  request_work *Work = find(Place.Request);
  if (Event.Reply.IsFinal || !Work)
    Asks.erase(Found);
  if (!Work)
    return;
  slice_ask &Ask = Work->Asks[Place.Index];
  if (!Ask.IsReplaced)
    noteHeard(Event.From, Work->Content->RequestId);
  takeSlice(*Work, Ask, Event.Reply);
  if (Event.Reply.WantsRepeat && !Ask.IsGranted && !Ask.IsReplaced) {
    Ask.IsGranted = true;
    Out->push_back(grant_repeat{Ask.Target.To, Ask.Ask});
  }
  settle(*Work);
}

/// Merged parts cannot be told apart: a reply that holds one that is there
/// already is of no use.
void relay::impl::takeSlice(request_work &Work, slice_ask &Ask,
                            const shard_reply &Reply) {
  Ask.HasReplied = true;
  Ask.IsEnded = Reply.IsFinal;
  const bool IsSound = Reply.Covered.size() == Reply.Signatures.size() &&
                       std::all_of(Reply.Covered.begin(), Reply.Covered.end(),
                                   [&](std::uint32_t Each) {
                                     return Each < Ask.Parts.size() &&
                                            Work.Parts[Ask.Parts[Each]].Phase !=
                                                part_phase::done;
                                   });
  if (IsSound && !Reply.Covered.empty()) {
    for (const std::uint32_t Each : Reply.Covered)
      Work.Parts[Ask.Parts[Each]].Phase = part_phase::done;
    Work.Merged.push_back({Reply.Signatures, Reply.Records});
    Work.FirstPartAt = std::min(Work.FirstPartAt, Now);
  }
  if (Reply.IsFinal)
    failUnasked(Work, Ask.Parts);
}

void relay::impl::cancelAsks(const request_work &Work, bool HasClientLeft) {
  for (const slice_ask &Each : Work.Asks) {
    Asks.erase(Each.Ask);
    if (!Each.IsEnded)
      Out->push_back(cancel_ask{Each.Target.To, Each.Ask, HasClientLeft});
  }
}

// Who takes part.

void relay::impl::on(const peers_arrived &Event) {
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
  Endpoints.setSliced(Names, Slices.sharers(), *Out);
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
      if (Each.First == Settings.Self)
        for (const std::size_t Place : Each.Shards)
          Endpoints.warm(Endpoints.service(Shards[Place]), *Out);
  }
}

} // namespace bulrush::relay
