/// Conversion of the messages between entry daemons and control voters, and
/// among the voters, to and from protobuf.
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

void toProto(const control::heartbeat &From, Heartbeat &To);
void toProto(const control::heartbeat_reply &From, HeartbeatReply &To);
void toProto(const control::send_ledger_request &From, LedgerAsk &To);
void toProto(const control::ledger_answer &From, LedgerAnswer &To);

control::heartbeat fromProto(const Heartbeat &From);
expected<control::heartbeat_reply> fromProto(const HeartbeatReply &From);
expected<control::ledger_request_received> fromProto(const LedgerAsk &From);
expected<control::ledger_answer> fromProto(const LedgerAnswer &From);

/// An operator's request forwarded by a voter to the leader, and the leader's
/// result.
void toProto(const control::forward_request &From, OperatorForward &To);
expected<control::operator_request_received>
fromProto(vm_id Sender, const OperatorForward &From);
void toProto(const control::operator_answer &From, OperatorResult &To);
expected<control::forwarded_result_received>
fromProto(const OperatorResult &From);

} // namespace bulrush::wire
