#include "control/ledger_client.h"

namespace bulrush::control {

namespace {

constexpr millis BusyRetryAfter{1000};

start_decided toDecision(const ledger_key &Key, const ledger_answer &Answer) {
  start_decided Out{
      Answer.Run.Number, Key, start_verdict::finished, {}, {}, {}, {}};
  switch (Answer.Verdict) {
  case ledger_verdict::granted:
    Out.Verdict = start_verdict::granted;
    break;
  case ledger_verdict::finished:
    Out.Outcome = Answer.Outcome;
    Out.Reason = Answer.Reason;
    Out.Body = Answer.Body;
    break;
  case ledger_verdict::reused:
    Out.Verdict = start_verdict::refused;
    Out.Reason = refusal::duplicate_key;
    break;
  case ledger_verdict::bad_key:
    Out.Verdict = start_verdict::refused;
    Out.Reason = refusal::bad_request;
    break;
  case ledger_verdict::full:
    Out.Verdict = start_verdict::refused;
    Out.Reason = refusal::queue_full;
    Out.RetryAfter = BusyRetryAfter;
    break;
  case ledger_verdict::expired:
    Out.Outcome = outcome::unknown;
    Out.Reason = refusal::key_expired;
    break;
  case ledger_verdict::started:
  case ledger_verdict::recorded:
    Out.Outcome = outcome::unknown;
    Out.RetryAfter = BusyRetryAfter;
    break;
  }
  return Out;
}

} // namespace

void ledger_client::step(const client_event &Event, instant Now,
                         std::vector<client_action> &Out) {
  std::visit([&](const auto &E) { on(E, Now, Out); }, Event);
}

void ledger_client::on(const start_requested &Event, instant Now,
                       std::vector<client_action> &Out) {
  if (Starts.size() >= MaxPending) {
    Out.push_back(start_decided{Event.Run,
                                Event.Key,
                                start_verdict::finished,
                                outcome::unknown,
                                refusal::queue_full,
                                {},
                                BusyRetryAfter});
    return;
  }
  const ledger_start Start{{Self, Event.Run}, Event.Key, Event.Fingerprint, {}};
  Starts[Event.Run] = {Start, Now + ResendInterval, Now + RequestTimeout};
  Out.push_back(send_ledger_request{Start, false});
}

void ledger_client::on(const record_requested &Event, instant Now,
                       std::vector<client_action> &Out) {
  const auto Run = Granted.find(Event.Key);
  if (Run == Granted.end())
    return;
  const ledger_finish Finish{{Self, Run->second}, Event.Key,  Event.Outcome,
                             Event.Reason,        Event.Body, {}};
  if (Finishes.size() < MaxPending)
    Finishes[Run->second] = {Finish, Now + ResendInterval,
                             Now + RequestTimeout};
  Granted.erase(Run);
  Out.push_back(send_ledger_request{Finish, false});
}

void ledger_client::on(const ledger_answer_received &Event, instant,
                       std::vector<client_action> &Out) {
  const ledger_answer &Answer = Event.Answer;
  if (Answer.Run.Daemon != Self)
    return;
  if (Answer.Verdict == ledger_verdict::recorded) {
    const auto It = Finishes.find(Answer.Run.Number);
    if (It == Finishes.end())
      return;
    const ledger_key Key = std::get<ledger_finish>(It->second.Request).Key;
    Finishes.erase(It);
    Out.push_back(outcome_recorded{Key});
    return;
  }
  const auto It = Starts.find(Answer.Run.Number);
  if (It == Starts.end())
    return;
  const ledger_key Key = std::get<ledger_start>(It->second.Request).Key;
  Starts.erase(It);
  if (Answer.Verdict == ledger_verdict::granted)
    Granted[Key] = Answer.Run.Number;
  Out.push_back(toDecision(Key, Answer));
}

void ledger_client::on(const client_tick &, instant Now,
                       std::vector<client_action> &Out) {
  resendDue(Starts, Now, Out);
  resendDue(Finishes, Now, Out);
}

void ledger_client::resendDue(pending_map &Requests, instant Now,
                              std::vector<client_action> &Out) {
  std::erase_if(Requests, [&](const auto &Entry) {
    return Now >= Entry.second.ExpiresAt;
  });
  for (auto &[Run, Pending] : Requests) {
    if (Now < Pending.ResendAt)
      continue;
    Pending.ResendAt = Now + ResendInterval;
    Out.push_back(send_ledger_request{Pending.Request, true});
  }
}

} // namespace bulrush::control
