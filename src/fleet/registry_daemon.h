/// The registry process of one vm with a disk: it is a voter of the
/// replicated log, serves the operators' calls, and as leader sends relay
/// daemons the catalog, the zones taken out of service and the endpoint
/// directory.
#pragma once

#include "fleet/adapter.h"

#include <memory>

namespace bulrush::fleet {

/// Runs until SIGTERM; returns the exit status of the process.
int runRegistry(const adapter &Adapter);

} // namespace bulrush::fleet
