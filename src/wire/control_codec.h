/// Conversions between control's replicated commands, state and plans and
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

/// The payload of a log entry.
std::string encode(const control::command &Command);
expected<control::command> decodeCommand(std::string_view Bytes);

/// A snapshot of the replicated state.
std::string encode(const control::control_state &State);
expected<control::control_state> decodeState(std::string_view Bytes);

/// The text that names a plan and holds all of it, with a checksum.
std::string planId(const control::plan &Plan);
expected<control::plan> parsePlanId(std::string_view Text);

void put(const control::change &From, Change &To);
void put(const control::plan &From, Plan &To);
void put(const control::daemon_id &From, DaemonId &To);
void put(const control::run_id &From, RunId &To);
void put(const control::ledger_key &From, LedgerKey &To);
void put(const control::ledger_start &From, LedgerStart &To);
void put(const control::ledger_finish &From, LedgerFinish &To);

/// An error when the kind of the change is not known.
expected<control::change> take(const Change &From);
expected<control::plan> take(const Plan &From);
control::daemon_id take(const DaemonId &From);
control::run_id take(const RunId &From);
control::ledger_key take(const LedgerKey &From);
control::ledger_start take(const LedgerStart &From);
control::ledger_finish take(const LedgerFinish &From);

} // namespace bulrush::wire
