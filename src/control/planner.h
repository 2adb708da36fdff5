/// Computes the effects of a change without applying it.
#pragma once

#include "control/operator_api.h"
#include "query/messages.h"

#include <map>

namespace bulrush::control {

/// The latest report of each endpoint by its owner.
using endpoint_reports = std::map<endpoint_id, query::endpoint_report>;

/// The effects of applying `Change` to `Config`, or an error if the change is
/// not valid. Shards are looked up in the newest reported snapshot of each
/// pool.
expected<plan_effects> computeEffects(const deployment &Deployment,
                                      const fleet_config &Config,
                                      const endpoint_reports &Reports,
                                      const change &Change);

} // namespace bulrush::control
