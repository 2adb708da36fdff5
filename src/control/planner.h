/// Works out what a change would do, without doing it.
#pragma once

#include "control/operator_api.h"
#include "query/messages.h"

#include <map>

namespace bulrush::control {

/// What endpoints hold, as their owners report it.
using endpoint_reports = std::map<endpoint_id, query::endpoint_report>;

/// The effects of `Change` on `Config`; an error when the change is not valid.
/// Shards are looked up in each pool's newest snapshot that is reported.
expected<plan_effects> computeEffects(const deployment &Deployment,
                                      const fleet_config &Config,
                                      const endpoint_reports &Reports,
                                      const change &Change);

} // namespace bulrush::control
