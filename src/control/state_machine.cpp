#include "control/state_machine.h"

#include <algorithm>

namespace bulrush::control {

namespace {

wall_time timeOf(const command &Command) {
  return std::visit(
      [](const auto &C) {
        if constexpr (requires { C.Time; })
          return C.Time;
        else
          return wall_time{};
      },
      Command);
}

} // namespace

state_machine::state_machine(deployment Deployment, memory_limits Limits)
    : Deployment(std::move(Deployment)), Limits(Limits), Ledger(Limits.Ledger) {
}

apply_result state_machine::apply(const command &Command, log_index Index) {
  if (Index <= Applied)
    return {};
  Applied = Index;
  Time = std::max(Time, timeOf(Command));
  if (const auto *C = std::get_if<operator_command>(&Command))
    return apply(*C);
  if (const auto *C = std::get_if<ledger_start>(&Command))
    return Ledger.start(*C, Time);
  if (const auto *C = std::get_if<ledger_finish>(&Command))
    return Ledger.finish(*C);
  for (const assignment &Move : std::get<assign_endpoints>(Command).Moves)
    Assignments[Move.Endpoint] = Move.Holder;
  return {};
}

void state_machine::skip(log_index Index) {
  Applied = std::max(Applied, Index);
}

std::optional<command_answer>
state_machine::answerOf(const operator_command &Command) const {
  const auto Found = Answers.find({Command.Operator, Command.Command});
  if (Found == Answers.end())
    return std::nullopt;
  if (Found->second.Fingerprint != fingerprint(Command.Change))
    return command_answer{command_result::reused_id, Config.Revision};
  return Found->second.Answer;
}

command_answer state_machine::apply(const operator_command &Command) {
  forgetOldAnswers();
  if (const auto First = answerOf(Command))
    return *First;
  command_answer Answer = decide(Command);
  if (Answer.Result == command_result::accepted) {
    applyTo(Config, Command.Change);
    Answer.Revision = Config.Revision;
    History.push_back({Config.Revision, Command.Operator, Command.Command,
                       Command.Change, Command.Time});
    if (History.size() > Limits.MaxHistory)
      History.pop_front();
  }
  remember(Command, Answer);
  return Answer;
}

command_answer state_machine::decide(const operator_command &Command) const {
  if (Command.BaseRevision != Config.Revision)
    return {command_result::conflict, Config.Revision};
  if (!validate(Deployment, Config, Command.Change))
    return {command_result::invalid, Config.Revision};
  return {command_result::accepted, Config.Revision};
}

void state_machine::remember(const operator_command &Command,
                             const command_answer &Answer) {
  answer_key Key{Command.Operator, Command.Command};
  Answers[Key] = {Command.Operator, Command.Command,
                  fingerprint(Command.Change), Answer, Time};
  AnswerOrder.push_back(std::move(Key));
}

void state_machine::forgetOldAnswers() {
  const auto IsOld = [this](const answer_key &Key) {
    return Answers.at(Key).Time < Time - Limits.MaxAnswerAge;
  };
  while (!AnswerOrder.empty() && (AnswerOrder.size() >= Limits.MaxAnswers ||
                                  IsOld(AnswerOrder.front()))) {
    Answers.erase(AnswerOrder.front());
    AnswerOrder.pop_front();
  }
}

control_state state_machine::snapshot() const {
  control_state Out;
  Out.Applied = Applied;
  Out.Time = Time;
  Out.Config = Config;
  for (const answer_key &Key : AnswerOrder)
    Out.Answers.push_back(Answers.at(Key));
  Out.History.assign(History.begin(), History.end());
  for (const auto &[Endpoint, Holder] : Assignments)
    Out.Assignments.push_back({Endpoint, Holder});
  Out.Ledger = Ledger.records();
  return Out;
}

expected<void> state_machine::restore(control_state State) {
  if (State.Config.Revision < Config.Revision || State.Applied < Applied)
    return fail("snapshot at revision " +
                std::to_string(State.Config.Revision.Value) + " and index " +
                std::to_string(State.Applied.Value) + " is older than " +
                std::to_string(Config.Revision.Value) + " and " +
                std::to_string(Applied.Value));
  Applied = State.Applied;
  Time = State.Time;
  Config = std::move(State.Config);
  Answers.clear();
  AnswerOrder.clear();
  for (remembered_answer &Answer : State.Answers) {
    answer_key Key{Answer.Operator, Answer.Command};
    AnswerOrder.push_back(Key);
    Answers.emplace(std::move(Key), std::move(Answer));
  }
  History.assign(State.History.begin(), State.History.end());
  Assignments.clear();
  for (const assignment &A : State.Assignments)
    Assignments[A.Endpoint] = A.Holder;
  Ledger.restore(std::move(State.Ledger));
  return {};
}

} // namespace bulrush::control
