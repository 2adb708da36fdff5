/// Formats the recorded queries for the explain API.
#pragma once

#include "bulrushtray/world.h"
#include "query/explain_log.h"

#include <string>

namespace bulrush::daemon {

/// Returns the records of `Target` as JSON text, or an empty string if there
/// are none. `Target` is `query/ID`, `endpoint/NUMBER` or `zone/NAME`.
std::string explainText(const query::explain_log &Log,
                        const deployment &Deployment,
                        const std::string &Target);

} // namespace bulrush::daemon
