#include "wire/control_codec.h"

#include "wire/generated/control.pb.h"
#include "wire/query_codec.h"

namespace bulrush::wire {

namespace {

using namespace control;

template <class Id> Id toNarrowId(std::uint32_t Value) {
  return {static_cast<decltype(Id::Value)>(Value)};
}

struct change_writer {
  Change &To;

  void operator()(const put_intent &C) const {
    toProto(C.Intent, *To.mutable_put_intent());
  }
  void operator()(const drop_intent &C) const {
    To.set_drop_intent(C.Name.Value);
  }
  void operator()(const zone_out &C) const { To.set_zone_out(C.Zone.Value); }
  void operator()(const zone_in &C) const { To.set_zone_in(C.Zone.Value); }
  void operator()(const endpoint_leave &C) const {
    To.set_endpoint_leave(C.Endpoint.Value);
  }
  void operator()(const endpoint_return &C) const {
    To.set_endpoint_return(C.Endpoint.Value);
  }
  void operator()(const add_voter &C) const { To.set_add_voter(C.Vm.Value); }
  void operator()(const remove_voter &C) const {
    To.set_remove_voter(C.Vm.Value);
  }
};

void toProto(const operator_command &From, OperatorCommand &To) {
  To.set_operator_id(From.Operator.Value);
  To.set_command_id(From.Command.Value);
  To.set_planned_on(From.BaseRevision.Value);
  toProto(From.Change, *To.mutable_change());
  To.set_time_ms(From.Time.Ms);
}

expected<command> fromProto(const OperatorCommand &From) {
  auto Change = fromProto(From.change());
  if (!Change)
    return fail(Change.error());
  return operator_command{{From.operator_id()},
                          {From.command_id()},
                          {From.planned_on()},
                          std::move(*Change),
                          {From.time_ms()}};
}

void toProto(const assignment &From, Assignment &To) {
  To.set_endpoint(From.Endpoint.Value);
  toProto(From.Holder, *To.mutable_holder());
}

assignment fromProto(const Assignment &From) {
  return {{From.endpoint()}, fromProto(From.holder())};
}

void toProto(const assign_endpoints &From, AssignEndpoints &To) {
  for (const assignment &Move : From.Moves)
    toProto(Move, *To.add_moves());
}

assign_endpoints fromProto(const AssignEndpoints &From) {
  assign_endpoints To;
  for (const Assignment &Move : From.moves())
    To.Moves.push_back(fromProto(Move));
  return To;
}

struct command_writer {
  LogCommand &To;

  void operator()(const operator_command &C) const {
    toProto(C, *To.mutable_operator_command());
  }
  void operator()(const assign_endpoints &C) const {
    toProto(C, *To.mutable_assign_endpoints());
  }
  void operator()(const ledger_start &C) const {
    toProto(C, *To.mutable_ledger_start());
  }
  void operator()(const ledger_finish &C) const {
    toProto(C, *To.mutable_ledger_finish());
  }
};

void toProto(const remembered_answer &From, RememberedAnswer &To) {
  To.set_operator_id(From.Operator.Value);
  To.set_command_id(From.Command.Value);
  To.set_fingerprint(From.Fingerprint);
  To.set_result(static_cast<std::uint32_t>(From.Answer.Result));
  To.set_revision(From.Answer.Revision.Value);
  To.set_time_ms(From.Time.Ms);
}

expected<remembered_answer> fromProto(const RememberedAnswer &From) {
  if (From.result() > static_cast<std::uint32_t>(command_result::reused_id))
    return fail("snapshot: unknown command result");
  const command_answer Answer{static_cast<command_result>(From.result()),
                              {From.revision()}};
  return remembered_answer{{From.operator_id()},
                           {From.command_id()},
                           From.fingerprint(),
                           Answer,
                           {From.time_ms()}};
}

void toProto(const history_entry &From, HistoryEntry &To) {
  To.set_revision(From.Revision.Value);
  To.set_operator_id(From.Operator.Value);
  To.set_command_id(From.Command.Value);
  toProto(From.Change, *To.mutable_change());
  To.set_time_ms(From.Time.Ms);
}

expected<history_entry> fromProto(const HistoryEntry &From) {
  auto Change = fromProto(From.change());
  if (!Change)
    return fail(Change.error());
  return history_entry{{From.revision()},
                       {From.operator_id()},
                       {From.command_id()},
                       std::move(*Change),
                       {From.time_ms()}};
}

void toProto(const ledger_record &From, LedgerRecord &To) {
  toProto(From.Key, *To.mutable_key());
  To.set_fingerprint(From.Fingerprint);
  To.set_issued_ms(From.Issued.Ms);
  toProto(From.Run, *To.mutable_run());
  To.set_finished(From.Finished);
  To.set_outcome(static_cast<std::uint32_t>(From.Outcome));
  To.set_reason(static_cast<std::uint32_t>(From.Reason));
  To.set_body(From.Body);
}

ledger_record fromProto(const LedgerRecord &From) {
  return {fromProto(From.key()),
          From.fingerprint(),
          {From.issued_ms()},
          fromProto(From.run()),
          From.finished(),
          outcomeFromProto(From.outcome()),
          refusalFromProto(From.reason()),
          From.body()};
}

template <class Message> bool parse(std::string_view Bytes, Message &To) {
  return To.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size()));
}

} // namespace

void toProto(const control::change &From, Change &To) {
  std::visit(change_writer{To}, From);
}

void toProto(const control::plan &From, Plan &To) {
  To.set_operator_id(From.Operator.Value);
  To.set_command_id(From.Command.Value);
  To.set_planned_on(From.BaseRevision.Value);
  toProto(From.Change, *To.mutable_change());
}

void toProto(const control::daemon_id &From, DaemonId &To) {
  To.set_vm(From.Vm.Value);
  To.set_incarnation(From.Incarnation.Value);
}

void toProto(const control::run_id &From, RunId &To) {
  toProto(From.Daemon, *To.mutable_daemon());
  To.set_number(From.Number);
}

void toProto(const control::ledger_key &From, LedgerKey &To) {
  To.set_caller(From.Caller.Value);
  To.set_key(From.Key.Value);
}

void toProto(const control::ledger_start &From, LedgerStart &To) {
  toProto(From.Run, *To.mutable_run());
  toProto(From.Key, *To.mutable_key());
  To.set_fingerprint(From.Fingerprint);
  To.set_time_ms(From.Time.Ms);
}

void toProto(const control::ledger_finish &From, LedgerFinish &To) {
  toProto(From.Run, *To.mutable_run());
  toProto(From.Key, *To.mutable_key());
  To.set_outcome(static_cast<std::uint32_t>(From.Outcome));
  To.set_reason(static_cast<std::uint32_t>(From.Reason));
  To.set_body(From.Body);
  To.set_time_ms(From.Time.Ms);
}

expected<control::change> fromProto(const Change &From) {
  switch (From.kind_case()) {
  case Change::kPutIntent:
    return put_intent{fromProto(From.put_intent())};
  case Change::kDropIntent:
    return drop_intent{{From.drop_intent()}};
  case Change::kZoneOut:
    return zone_out{toNarrowId<zone_id>(From.zone_out())};
  case Change::kZoneIn:
    return zone_in{toNarrowId<zone_id>(From.zone_in())};
  case Change::kEndpointLeave:
    return endpoint_leave{{From.endpoint_leave()}};
  case Change::kEndpointReturn:
    return endpoint_return{{From.endpoint_return()}};
  case Change::kAddVoter:
    return add_voter{{From.add_voter()}};
  case Change::kRemoveVoter:
    return remove_voter{{From.remove_voter()}};
  case Change::KIND_NOT_SET:
    break;
  }
  return fail("change of unknown kind");
}

expected<control::plan> fromProto(const Plan &From) {
  auto Change = fromProto(From.change());
  if (!Change)
    return fail(Change.error());
  return plan{{From.operator_id()},
              {From.command_id()},
              {From.planned_on()},
              std::move(*Change)};
}

control::daemon_id fromProto(const DaemonId &From) {
  return {{From.vm()}, {From.incarnation()}};
}

control::run_id fromProto(const RunId &From) {
  return {fromProto(From.daemon()), From.number()};
}

control::ledger_key fromProto(const LedgerKey &From) {
  return {toNarrowId<caller_id>(From.caller()), {From.key()}};
}

control::ledger_start fromProto(const LedgerStart &From) {
  return {fromProto(From.run()),
          fromProto(From.key()),
          From.fingerprint(),
          {From.time_ms()}};
}

control::ledger_finish fromProto(const LedgerFinish &From) {
  return {fromProto(From.run()),
          fromProto(From.key()),
          outcomeFromProto(From.outcome()),
          refusalFromProto(From.reason()),
          From.body(),
          {From.time_ms()}};
}

std::string encode(const control::command &Command) {
  LogCommand To;
  std::visit(command_writer{To}, Command);
  return To.SerializeAsString();
}

expected<control::command> decodeCommand(std::string_view Bytes) {
  LogCommand From;
  if (!parse(Bytes, From))
    return fail("log entry: malformed command");
  switch (From.kind_case()) {
  case LogCommand::kOperatorCommand:
    return fromProto(From.operator_command());
  case LogCommand::kAssignEndpoints:
    return fromProto(From.assign_endpoints());
  case LogCommand::kLedgerStart:
    return fromProto(From.ledger_start());
  case LogCommand::kLedgerFinish:
    return fromProto(From.ledger_finish());
  case LogCommand::KIND_NOT_SET:
    break;
  }
  return fail("log entry: command of unknown kind");
}

std::string encode(const control::control_state &State) {
  ControlState To;
  To.set_applied(State.Applied.Value);
  To.set_time_ms(State.Time.Ms);
  toProto(State.Config, *To.mutable_config());
  for (const remembered_answer &Answer : State.Answers)
    toProto(Answer, *To.add_answers());
  for (const history_entry &Entry : State.History)
    toProto(Entry, *To.add_history());
  for (const assignment &Each : State.Assignments)
    toProto(Each, *To.add_assignments());
  for (const ledger_record &Record : State.Ledger)
    toProto(Record, *To.add_ledger());
  return To.SerializeAsString();
}

expected<control::control_state> decodeState(std::string_view Bytes) {
  ControlState From;
  if (!parse(Bytes, From))
    return fail("snapshot: malformed control state");
  control_state To;
  To.Applied = {From.applied()};
  To.Time = {From.time_ms()};
  To.Config = fromProto(From.config());
  for (const RememberedAnswer &Each : From.answers()) {
    auto Answer = fromProto(Each);
    if (!Answer)
      return fail(Answer.error());
    To.Answers.push_back(std::move(*Answer));
  }
  for (const HistoryEntry &Each : From.history()) {
    auto Entry = fromProto(Each);
    if (!Entry)
      return fail(Entry.error());
    To.History.push_back(std::move(*Entry));
  }
  for (const Assignment &Each : From.assignments())
    To.Assignments.push_back(fromProto(Each));
  for (const LedgerRecord &Each : From.ledger())
    To.Ledger.push_back(fromProto(Each));
  return To;
}

} // namespace bulrush::wire
