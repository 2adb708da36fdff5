/// Conversion of the replicated log's messages to and from protobuf.
#pragma once

#include "bulrushtray/error.h"
#include "control/replica_messages.h"

namespace bulrush::wire {

class VoterMessage;

void toProto(const control::message &From, VoterMessage &To);

/// Returns an error if the body or an entry is of an unknown kind.
expected<control::message> fromProto(const VoterMessage &From);

} // namespace bulrush::wire
