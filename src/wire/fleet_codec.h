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

std::string encode(const control::registry_command &Command);
expected<control::registry_command>
decodeRegistryCommand(std::string_view Bytes);

std::string encode(const control::registry_state &State);
expected<control::registry_state> decodeRegistryState(std::string_view Bytes);

} // namespace bulrush::wire
