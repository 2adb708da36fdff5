/// Conversions of the messages between entry daemons and control.
#pragma once

#include "control/control_core.h"
#include "control/ledger_client.h"

namespace bulrush::wire {

class Heartbeat;
class HeartbeatReply;
class LedgerAnswer;
class LedgerAsk;
class OperatorForward;
class OperatorResult;

void put(const control::heartbeat &From, Heartbeat &To);
void put(const control::heartbeat_reply &From, HeartbeatReply &To);
void put(const control::send_ledger_request &From, LedgerAsk &To);
void put(const control::ledger_answer &From, LedgerAnswer &To);

control::heartbeat take(const Heartbeat &From);
expected<control::heartbeat_reply> take(const HeartbeatReply &From);
expected<control::ledger_request_received> take(const LedgerAsk &From);
expected<control::ledger_answer> take(const LedgerAnswer &From);

/// A request that one voter passes on to the leader, and the leader's result.
void put(const control::forward_request &From, OperatorForward &To);
expected<control::operator_request_received> take(vm_id Sender,
                                                  const OperatorForward &From);
void put(const control::operator_answer &From, OperatorResult &To);
expected<control::forwarded_result_received> take(const OperatorResult &From);

} // namespace bulrush::wire
