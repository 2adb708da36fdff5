/// Conversion of the fleet's messages and of the registry's log entries and
/// snapshots to and from protobuf.
#pragma once

#include "bulrushtray/error.h"
#include "control/registry_machine.h"
#include "fleet/messages.h"

#include <string>

namespace bulrush::wire {

std::string encode(const fleet::fleet_message &Message);
/// Returns an error if the bytes are not a known message.
expected<fleet::fleet_message> decodeFleet(std::string_view Bytes);

/// Returns the kind of a message that `decodeFleet` refuses because this build
/// does not know it: the field number of the body, after `voter.` for one of a
/// voter message. Empty if the message is malformed or has no body.
std::string unknownKind(std::string_view Bytes);

std::string encode(const control::registry_command &Command);
/// Returns an error if the command is malformed, of a kind that this build does
/// not know, or raises the level beyond that of this build.
expected<control::registry_command>
decodeRegistryCommand(std::string_view Bytes);

std::string encode(const control::registry_state &State);
/// Returns an error if the snapshot is malformed or of a higher level than this
/// build.
expected<control::registry_state> decodeRegistryState(std::string_view Bytes);

/// What a command or snapshot that was refused says about itself.
struct record_header {
  std::uint32_t Kind = 0;  ///< of a command; 0 in a snapshot
  std::uint32_t Level = 0; ///< of a snapshot, or of the command that raises it
};
record_header commandHeader(std::string_view Bytes);
record_header snapshotHeader(std::string_view Bytes);

} // namespace bulrush::wire
