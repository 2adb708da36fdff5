#include "daemon/ledger_link.h"

#include "wire/daemon_codec.h"
#include "wire/generated/bulrush.pb.h"

namespace bulrush::daemon {

namespace {

query::ledger_verdict toQueryVerdict(control::start_verdict Verdict) {
  switch (Verdict) {
  case control::start_verdict::granted:
    return query::ledger_verdict::granted;
  case control::start_verdict::finished:
    return query::ledger_verdict::finished;
  case control::start_verdict::refused:
    return query::ledger_verdict::refused;
  }
  return query::ledger_verdict::refused;
}

} // namespace

ledger_link::ledger_link(control::daemon_id Self, wire::link_set &Links,
                         std::vector<wire::process_id> Voters,
                         telemetry::metrics &Metrics, event_handler OnEvent)
    : Client(Self), Links(Links), Voters(std::move(Voters)), Metrics(Metrics),
      OnEvent(std::move(OnEvent)) {}

void ledger_link::start(const query::ledger_start &Start) {
  control::start_requested Event;
  Event.Run = Start.Query.Value;
  Event.Key = {Start.Key.Caller, Start.Key.Key};
  Event.Fingerprint = Start.Digest.Value;
  step(Event, Clock.now());
}

void ledger_link::record(const query::ledger_record &Record) {
  control::record_requested Event;
  Event.Key = {Record.Key.Caller, Record.Key.Key};
  Event.Outcome = Record.Outcome;
  Event.Reason = Record.Reason;
  if (Record.Body)
    Event.Body = *Record.Body;
  step(Event, Clock.now());
}

void ledger_link::onAnswer(const control::ledger_answer &Answer, instant Now) {
  step(control::ledger_answer_received{Answer}, Now);
}

void ledger_link::tick(instant Now) { step(control::client_tick{}, Now); }

void ledger_link::step(const control::client_event &Event, instant Now) {
  std::vector<control::client_action> Actions;
  Client.step(Event, Now, Actions);
  for (const control::client_action &Action : Actions)
    std::visit([this](const auto &Each) { run(Each); }, Action);
}

void ledger_link::run(const control::send_ledger_request &Request) {
  Metrics.add("ledger_asked", Request.IsRetry ? "repeat" : "first");
  wire::Envelope Message;
  wire::toProto(Request, *Message.mutable_ledger_ask());
  if (Leader && !Request.IsRetry) {
    Links.send(*Leader, Message);
    return;
  }
  for (const wire::process_id &Voter : Voters)
    Links.send(Voter, Message);
}

void ledger_link::run(const control::start_decided &Decided) {
  query::ledger_replied Event;
  Event.Query.Value = Decided.Run;
  Event.Key = {Decided.Key.Caller, Decided.Key.Key};
  Event.Verdict = toQueryVerdict(Decided.Verdict);
  Event.Outcome = Decided.Outcome;
  Event.Reason = Decided.Reason;
  Event.Body = std::make_shared<const std::string>(Decided.Body);
  Event.RetryAfter = Decided.RetryAfter;
  OnEvent(std::move(Event));
}

} // namespace bulrush::daemon
