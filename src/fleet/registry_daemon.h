/// The registry on one machine with a disk: a voter of the replicated log,
/// the operators' calls, and the source of what relay daemons act on.
#pragma once

#include "fleet/adapter.h"

#include <memory>

namespace bulrush::fleet {

/// Runs until SIGTERM; returns the exit status of the process.
int runRegistry(const adapter &Adapter);

} // namespace bulrush::fleet
