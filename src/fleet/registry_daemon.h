/// The registry process of one vm with a disk: it is a voter of the
/// replicated log, serves the operators' calls, and as leader sends relay
/// daemons the catalog, the zones taken out of service and the endpoint
/// directory.
#pragma once

#include "fleet/adapter.h"

#include <cstdint>

namespace bulrush::fleet {

/// Runs until SIGTERM; returns the exit status of the process. `FleetSize` is
/// the number of registries of a new fleet, 0 if unknown; it counts only if it
/// is that of the voters which tolerate the losses in the settings.
int runRegistry(const adapter &Adapter, std::uint32_t FleetSize);

} // namespace bulrush::fleet
