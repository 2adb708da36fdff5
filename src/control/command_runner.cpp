#include "control/command_runner.h"

#include <algorithm>
#include <iterator>

namespace bulrush::control {

namespace {

constexpr millis BusyRetryAfter{1000};

run_answered unsure(std::uint64_t Run, refusal Reason) {
  return {Run, outcome::unknown, Reason, {}, BusyRetryAfter};
}

run_answered notRun(std::uint64_t Run, refusal Reason, millis RetryAfter) {
  return {Run, outcome::not_run, Reason, {}, RetryAfter};
}

/// The answer to a caller whose run the ledger did not grant.
run_answered toAnswer(const ledger_answer &Answer) {
  const std::uint64_t Run = Answer.Run.Number;
  switch (Answer.Verdict) {
  case ledger_verdict::finished:
    return {Run, Answer.Outcome, Answer.Reason, Answer.Body, {}};
  case ledger_verdict::reused:
    return notRun(Run, refusal::duplicate_key, {});
  case ledger_verdict::bad_key:
    return notRun(Run, refusal::bad_request, {});
  case ledger_verdict::full:
    return notRun(Run, refusal::queue_full, BusyRetryAfter);
  case ledger_verdict::expired:
    return {Run, outcome::unknown, refusal::key_expired, {}, {}};
  case ledger_verdict::started:
  case ledger_verdict::granted:
  case ledger_verdict::recorded:
    break;
  }
  return unsure(Run, refusal::timed_out);
}

} // namespace

void command_runner::step(const runner_event &Event, instant Now,
                          std::vector<runner_action> &Out) {
  std::visit([&](const auto &E) { on(E, Now, Out); }, Event);
}

void command_runner::on(const run_requested &Event, instant Now,
                        std::vector<runner_action> &Out) {
  if (Runs.size() >= MaxRuns) {
    Out.push_back(unsure(Event.Run, refusal::queue_full));
    return;
  }
  run Run;
  Run.Key = Event.Key;
  Run.Fingerprint = Event.Fingerprint;
  Run.Deadline = Now + Event.Remaining;
  const auto [Place, IsNew] = Runs.emplace(Event.Run, std::move(Run));
  if (IsNew)
    ask(Place, false, Now, Out);
}

void command_runner::on(const ledger_answered &Event, instant Now,
                        std::vector<runner_action> &Out) {
  if (Event.Answer.Run.Daemon != Self)
    return;
  const run_place Run = Runs.find(Event.Answer.Run.Number);
  if (Run == Runs.end())
    return;
  const bool IsRecorded = Event.Answer.Verdict == ledger_verdict::recorded;
  if (Run->second.Stage == stage::asking && !IsRecorded) {
    onVerdict(Run, Event.Answer, Now, Out);
    return;
  }
  const stage Stage = Run->second.Stage;
  if (!IsRecorded || (Stage != stage::recording && Stage != stage::reporting))
    return;
  if (Stage == stage::recording) {
    const send_ended &Ended = Run->second.Ended;
    Out.push_back(
        run_answered{Run->first, Ended.Outcome, Ended.Reason, Ended.Body, {}});
  }
  Runs.erase(Run);
}

void command_runner::onVerdict(run_place Run, const ledger_answer &Answer,
                               instant Now, std::vector<runner_action> &Out) {
  if (Answer.Verdict != ledger_verdict::granted) {
    Out.push_back(toAnswer(Answer));
    Runs.erase(Run);
    return;
  }
  if (Now >= Run->second.Deadline) {
    const refusal Reason = refusal::deadline_unmeetable;
    record(Run, {Run->first, outcome::not_run, Reason, {}}, stage::recording,
           Now, Out);
    return;
  }
  Run->second.Stage = stage::sending;
  Out.push_back(
      send_once{Run->first, Run->second.Key, Run->second.Deadline - Now});
}

void command_runner::on(const send_ended &Event, instant Now,
                        std::vector<runner_action> &Out) {
  const run_place Run = Runs.find(Event.Run);
  if (Run == Runs.end())
    return;
  const stage Stage = Run->second.Stage;
  if (Stage != stage::sending && Stage != stage::late)
    return;
  const bool IsLate = Stage == stage::late;
  if (Event.Outcome != outcome::unknown) {
    record(Run, Event, IsLate ? stage::reporting : stage::recording, Now, Out);
    return;
  }
  // The ledger's record stays `started`, which says the same.
  if (!IsLate)
    Out.push_back(unsure(Event.Run, Event.Reason));
  Runs.erase(Run);
}

void command_runner::on(const runner_tick &, instant Now,
                        std::vector<runner_action> &Out) {
  for (auto Run = Runs.begin(); Run != Runs.end();) {
    const run_place Current = Run++;
    onTime(Current, Now, Out);
  }
}

void command_runner::onTime(run_place Run, instant Now,
                            std::vector<runner_action> &Out) {
  run &State = Run->second;
  if (State.Stage == stage::sending && Now >= State.Deadline) {
    Out.push_back(unsure(Run->first, refusal::timed_out));
    State.Stage = stage::late;
    State.GiveUp = Now + ReportPatience;
  }
  if (State.Stage == stage::sending)
    return;
  if (State.Stage == stage::asking && Now >= State.Deadline) {
    Out.push_back(unsure(Run->first, refusal::no_quorum));
    record(Run, {Run->first, outcome::not_run, refusal::no_quorum, {}},
           stage::reporting, Now, Out);
    return;
  }
  if (State.Stage == stage::recording && Now >= State.GiveUp) {
    const send_ended &Ended = State.Ended;
    Out.push_back(
        run_answered{Run->first, Ended.Outcome, Ended.Reason, Ended.Body, {}});
    State.Stage = stage::reporting;
    State.GiveUp = Now + ReportPatience;
  }
  if (State.Stage != stage::asking && Now >= State.GiveUp) {
    Runs.erase(Run);
    return;
  }
  if (State.Stage != stage::late && Now >= State.AskAgain)
    ask(Run, true, Now, Out);
}

void command_runner::ask(run_place Run, bool IsRepeat, instant Now,
                         std::vector<runner_action> &Out) {
  run &State = Run->second;
  State.AskAgain = Now + AskInterval;
  const run_id Id{Self, Run->first};
  if (State.Stage == stage::asking) {
    const ledger_start Start{Id, State.Key, State.Fingerprint, {}};
    Out.push_back(ask_ledger{Start, IsRepeat});
    return;
  }
  const send_ended &Ended = State.Ended;
  ledger_finish Finish{Id,           State.Key,  Ended.Outcome,
                       Ended.Reason, Ended.Body, {}};
  Out.push_back(ask_ledger{std::move(Finish), IsRepeat});
}

void command_runner::record(run_place Run, send_ended Ended, stage Stage,
                            instant Now, std::vector<runner_action> &Out) {
  run &State = Run->second;
  State.Stage = Stage;
  State.Ended = std::move(Ended);
  State.GiveUp =
      Now + (Stage == stage::recording ? RecordPatience : ReportPatience);
  ask(Run, false, Now, Out);
}

} // namespace bulrush::control
