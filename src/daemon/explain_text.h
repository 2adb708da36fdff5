/// The JSON text of what is remembered of a query, an endpoint or a zone.
#pragma once

#include "bulrushtray/world.h"
#include "query/explain_memory.h"

#include <string>

namespace bulrush::daemon {

/// `Target` is `query/ID`, `endpoint/NUMBER` or `zone/NAME`. Empty when nothing
/// is remembered.
std::string explainText(const query::explain_log &Memory,
                        const deployment &Deployment,
                        const std::string &Target);

} // namespace bulrush::daemon
