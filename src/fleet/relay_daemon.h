/// The relay process of one vm: forwards clients' requests to endpoints.
#pragma once

#include "fleet/adapter.h"

namespace bulrush::fleet {

/// Runs until SIGTERM; returns the exit status of the process.
int runRelay(const adapter &Adapter);

} // namespace bulrush::fleet
