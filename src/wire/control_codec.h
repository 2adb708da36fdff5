/// Conversion of control's replicated commands, state and plans to and from
/// protobuf.
#pragma once

#include "control/operator_api.h"
#include "control/state_machine.h"

#include <string>
#include <string_view>

namespace bulrush::wire {

class Change;
class DaemonId;
class LedgerFinish;
class LedgerKey;
class LedgerStart;
class Plan;
class RunId;

/// Encodes a command as the payload of a log entry.
std::string encode(const control::command &Command);
expected<control::command> decodeCommand(std::string_view Bytes);

/// Encodes the replicated state as a snapshot.
std::string encode(const control::control_state &State);
expected<control::control_state> decodeState(std::string_view Bytes);

/// Returns the id of a plan: URL-safe base64 of a checksum and the whole plan.
std::string planId(const control::plan &Plan);
expected<control::plan> parsePlanId(std::string_view Text);

void toProto(const control::change &From, Change &To);
void toProto(const control::plan &From, Plan &To);
void toProto(const control::daemon_id &From, DaemonId &To);
void toProto(const control::run_id &From, RunId &To);
void toProto(const control::ledger_key &From, LedgerKey &To);
void toProto(const control::ledger_start &From, LedgerStart &To);
void toProto(const control::ledger_finish &From, LedgerFinish &To);

/// Returns an error if the kind of the change is unknown.
expected<control::change> fromProto(const Change &From);
expected<control::plan> fromProto(const Plan &From);
control::daemon_id fromProto(const DaemonId &From);
control::run_id fromProto(const RunId &From);
control::ledger_key fromProto(const LedgerKey &From);
control::ledger_start fromProto(const LedgerStart &From);
control::ledger_finish fromProto(const LedgerFinish &From);

} // namespace bulrush::wire
