// What other relays ask of this one.
#include "relay/record_merge.h"
#include "relay/relay_impl.h"

#include <algorithm>

namespace bulrush::relay {

namespace {

/// The asker hears by then that the relay lives, and what it has.
constexpr double CheckShare = 0.3;
/// Requests of other relays are numbered apart from those of clients.
constexpr std::uint64_t AskedNumbers = std::uint64_t{1} << 63;

} // namespace

void relay::impl::on(const ask_arrived &Event) {
  if (isReady())
    admit(Event, Now);
  else
    Starting.add(Event, Now);
}

void relay::impl::admit(const ask_arrived &Event, instant ArrivedAt) {
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
  setTimes(Work, ArrivedAt, {}, {});
  Work.AnswerBy = ArrivedAt + Ask.AnswerIn;
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
  if (Found == AskedHere.end()) {
    Starting.remove(Event.From, Event.Ask);
    return;
  }
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
    noteStages(Work);
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

} // namespace bulrush::relay
