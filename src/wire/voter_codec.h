/// Conversions between the replicated log's messages and protobuf.
#pragma once

#include "bulrushtray/error.h"
#include "control/replica_messages.h"

namespace bulrush::wire {

class VoterMessage;

void toProto(const control::message &From, VoterMessage &To);

/// An error when the body or an entry is of no known kind.
expected<control::message> fromProto(const VoterMessage &From);

} // namespace bulrush::wire
