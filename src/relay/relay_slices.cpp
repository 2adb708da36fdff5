// Slices: shards that other relays ask, and what they ask of this one.
#include "relay/record_merge.h"
#include "relay/relay_impl.h"

#include <algorithm>

namespace bulrush::relay {

namespace {

/// There and back between two relays of a zone, with what they do for the
/// messages.
constexpr millis HopTime{4};
/// The same between two zones of a region.
constexpr millis FarHopTime{6.5};
/// The asker hears by then that the relay lives, and what it has.
constexpr double CheckShare = 0.4;
/// A relay that did not answer is asked again after so long.
constexpr millis SilenceTime{1000};
/// Requests of other relays are numbered apart from those of clients.
constexpr std::uint64_t AskedNumbers = std::uint64_t{1} << 63;

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
      ask(Work, Each.Shards,
          {To, To == Each.First ? Each.Second : vm_id{}, Each.IsFar, false});
  }
}

/// This relay itself where neither is known to answer.
vm_id relay::impl::pickPeer(vm_id First, vm_id Second) const {
  for (const vm_id Each : {First, Second}) {
    const auto Silent = SilentPeers.find(Each);
    const bool IsSilent = Silent != SilentPeers.end() && Now < Silent->second;
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
  Work.Asks.push_back({Number, Target, Parts, false, false, false});
  Out->push_back(send_ask{Target.To, std::move(Ask)});
}

/// The relay that was asked is lost or silent: another one, or this one.
void relay::impl::askAgain(request_work &Work, std::size_t Index) {
  slice_ask &Old = Work.Asks[Index];
  Old.IsEnded = true;
  Asks.erase(Old.Ask);
  const vm_id To = pickPeer(Old.Target.Other, {});
  const bool MayAsk = !Old.IsGranted && Work.Route->MaxAttempts > 1;
  std::vector<std::size_t> Missing;
  for (const std::size_t Place : Old.Parts) {
    request_part &Part = Work.Parts[Place];
    if (Part.Phase != part_phase::asked)
      continue;
    Part.Phase = part_phase::failed;
    if (MayAsk)
      Missing.push_back(Place);
  }
  if (Missing.empty())
    return;
  ++Work.Note.Repeats;
  if (To != Settings.Self) {
    ask(Work, Missing, {To, {}, Old.Target.IsFar, true});
    return;
  }
  for (const std::size_t Place : Missing) {
    request_part &Part = Work.Parts[Place];
    Part.Runs = Part.Arrivals = 1; // by the relay that was asked before
    begin(Work, Part);
  }
}

void relay::impl::repeatSilent(request_work &Work) {
  const std::size_t Count = Work.Asks.size();
  for (std::size_t I = 0; I < Count; ++I) {
    const slice_ask &Each = Work.Asks[I];
    if (Each.IsEnded || Each.HasReplied)
      continue;
    SilentPeers[Each.Target.To] = Now + SilenceTime;
    Out->push_back(cancel_ask{Each.Target.To, Each.Ask, false});
    askAgain(Work, I);
  }
  Work.RepeatAt = Never;
}

void relay::impl::on(const peer_lost &Event) {
  SilentPeers[Event.Peer] = Now + SilenceTime;
  std::vector<ask_no> Lost;
  for (const auto &[Number, Place] : Asks) {
    const request_work *Work = find(Place.Request);
    if (Work && Work->Asks[Place.Index].Target.To == Event.Peer)
      Lost.push_back(Number);
  }
  for (const ask_no Number : Lost) {
    const auto Place = Asks.find(Number);
    request_work *Work =
        Place == Asks.end() ? nullptr : find(Place->second.Request);
    if (!Work)
      continue;
    askAgain(*Work, Place->second.Index);
    settle(*Work);
  }
}

void relay::impl::on(const ask_replied &Event) {
  SilentPeers.erase(Event.From);
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
  takeSlice(*Work, Ask, Event.Reply);
  if (Event.Reply.WantsRepeat && !Ask.IsGranted) {
    Ask.IsGranted = true;
    Out->push_back(grant_repeat{Ask.Target.To, Ask.Ask});
  }
  settle(*Work);
}

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
  }
  if (!Reply.IsFinal)
    return;
  for (const std::size_t Place : Ask.Parts)
    if (Work.Parts[Place].Phase == part_phase::asked)
      Work.Parts[Place].Phase = part_phase::failed;
}

void relay::impl::cancelAsks(const request_work &Work, bool HasClientLeft) {
  for (const slice_ask &Each : Work.Asks) {
    Asks.erase(Each.Ask);
    if (!Each.IsEnded)
      Out->push_back(cancel_ask{Each.Target.To, Each.Ask, HasClientLeft});
  }
}

// What other relays ask.

void relay::impl::on(const ask_arrived &Event) {
  const shard_ask &Ask = Event.Ask;
  const query_id Number{AskedNumbers | ++LastAsked};
  auto Owned = std::make_unique<request_work>();
  request_work &Work = *Owned;
  Works[Number] = std::move(Owned);
  AskedHere[{Event.From, Ask.Ask}] = Number;
  auto Route = std::make_shared<route>();
  Route->IsIdempotent = true;
  Route->Objective = Ask.Objective;
  Route->Timeout = Ask.Remaining;
  Route->MaxAttempts = Ask.MaxAttempts;
  Route->Gather.Shards = Ask.Shards;
  Route->Gather.TopRecords = Ask.TopRecords;
  Work.Request = Number;
  Work.Content = Ask.Content;
  Work.Route = Route.get();
  Work.Learnt = &Routes.try_emplace(Ask.RouteKey, Ask.Objective).first->second;
  setTimes(Work, Now, {}, {});
  Work.AnswerBy = Now + Ask.AnswerIn;
  Work.RepeatAt = Never;
  Work.Note.IsAsk = true;
  asked_work &Asker = Work.Asker.emplace();
  Asker.From = Event.From;
  Asker.Ask = Ask.Ask;
  Asker.Route = Route;
  Asker.CheckAt = Now + Ask.Objective * CheckShare;
  Asker.IsTold.resize(Ask.Shards.size());
  for (const service_name &Shard : Ask.Shards)
    Work.Parts.emplace_back().Service = &Endpoints.service(Shard);
  for (request_part &Part : Work.Parts) {
    Part.Arrivals = Ask.IsRepeat ? 1 : 0;
    begin(Work, Part);
  }
  settle(Work);
}

void relay::impl::on(const ask_cancelled &Event) {
  const auto Found = AskedHere.find({Event.From, Event.Ask});
  if (Found == AskedHere.end())
    return;
  if (request_work *Work = find(Found->second))
    forget(*Work, !Event.HasClientLeft);
}

/// A part is sent a second time by one relay only: the asker must know before
/// it asks another one.
bool relay::impl::mayRepeat(request_work &Work) {
  if (!Work.Asker || Work.Asker->MayRepeat)
    return true;
  if (!Work.Asker->WantsRepeat) {
    Work.Asker->WantsRepeat = true;
    Work.Asker->HasChecked = true;
    tellAsker(Work, false);
  }
  return false;
}

void relay::impl::on(const repeat_granted &Event) {
  const auto Found = AskedHere.find({Event.From, Event.Ask});
  request_work *Work = Found == AskedHere.end() ? nullptr : find(Found->second);
  if (!Work)
    return;
  Work->Asker->MayRepeat = true;
  for (request_part &Part : Work->Parts) {
    if (Part.Phase == part_phase::held)
      tryAgain(*Work, Part);
    else if (Now >= Work->HedgeAt)
      hedge(*Work, Part);
  }
  settle(*Work);
}

void relay::impl::settleAsked(request_work &Work) {
  const bool IsPending =
      std::any_of(Work.Parts.begin(), Work.Parts.end(), [](const auto &Part) {
        return Part.Phase != part_phase::done &&
               Part.Phase != part_phase::failed;
      });
  if (!IsPending) {
    tellAsker(Work, true);
    Work.Note.Took = Now - Work.ArrivedAt;
    Work.Note.Covered = Work.covered();
    Out->push_back(Work.Note);
    forget(Work, true);
    return;
  }
  asked_work &Asker = *Work.Asker;
  if (!Asker.HasChecked && Now >= Asker.CheckAt) {
    Asker.HasChecked = true;
    tellAsker(Work, false);
  }
  if (Now >= Work.AnswerBy && hasNews(Work))
    tellAsker(Work, false);
  instant Next = Now < Work.AnswerBy ? Work.AnswerBy : Work.Deadline;
  if (Now < Work.HedgeAt)
    Next = std::min(Next, Work.HedgeAt);
  if (!Asker.HasChecked)
    Next = std::min(Next, Asker.CheckAt);
  wakeAt(Work, Next);
}

bool relay::impl::hasNews(const request_work &Work) {
  for (std::size_t I = 0; I < Work.Parts.size(); ++I)
    if (Work.Parts[I].Phase == part_phase::done && !Work.Asker->IsTold[I])
      return true;
  return false;
}

/// Sends what the asker was not told yet; an empty reply only as a sign of
/// life.
void relay::impl::tellAsker(request_work &Work, bool IsFinal) {
  asked_work &Asker = *Work.Asker;
  shard_reply Reply;
  Reply.Ask = Asker.Ask;
  Reply.IsFinal = IsFinal;
  std::vector<std::string_view> Bodies;
  for (std::size_t I = 0; I < Work.Parts.size(); ++I) {
    const request_part &Part = Work.Parts[I];
    if (Part.Phase != part_phase::done || Asker.IsTold[I])
      continue;
    Asker.IsTold[I] = true;
    Reply.Covered.push_back(static_cast<std::uint32_t>(I));
    Reply.Signatures.push_back(Part.Reply->Signature);
    Bodies.push_back(Part.Reply->Body);
  }
  Reply.WantsRepeat = Asker.WantsRepeat && !Asker.MayRepeat;
  Reply.Records = greatestRecords(Bodies, Work.Route->Gather.TopRecords);
  Out->push_back(send_reply{Asker.From, std::move(Reply)});
}

// Who takes part.

void relay::impl::on(const peers_arrived &Event) {
  Slices.setPeers(Event.Peers);
  noteSliced();
}

/// Shards of sliced queries are asked by few relays.
void relay::impl::noteSliced() {
  if (!Table)
    return;
  std::set<service_name> Names;
  std::size_t Sharers = 1;
  for (const route &Route : Table->content().Routes) {
    if (!Slices.isSliced(Route.Gather))
      continue;
    const auto &Shards = Route.Gather.Shards;
    if (Names.count(Shards.front()) == 0)
      Sharers = std::max(Sharers, Slices.sharers(Route.Gather, Endpoints));
    Names.insert(Shards.begin(), Shards.end());
  }
  Endpoints.setSliced(Names, Sharers, *Out);
}

} // namespace bulrush::relay
