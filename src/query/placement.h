/// Assigns endpoints to live daemons. The assignment is a pure function of the
/// deployment and the set of live daemons, so that all daemons with the same
/// membership agree on it.
#pragma once

#include "bulrushtray/world.h"

#include <limits>
#include <vector>

namespace bulrush::query {

/// The owner of an endpoint while no daemon is live.
inline constexpr vm_id NoOwner{std::numeric_limits<std::uint32_t>::max()};

/// Returns the owners of all endpoints, indexed by endpoint id.
///
/// An owner is chosen by rendezvous hashing among the live daemons in the
/// endpoint's zone, or in all zones if its zone has no suitable one. Replicas
/// of a shard get different owners if there are enough daemons. Which endpoints
/// are replicas follows from the layout of the settings: if each endpoint of a
/// pool holds one shard, those whose positions in the pool are equal modulo the
/// number of shards; if endpoints hold several shards, those at neighboring
/// positions. Ids in `Live` that the deployment does not contain are ignored.
std::vector<vm_id> ownersOf(const deployment &Deployment,
                            const std::vector<vm_id> &Live);

/// Returns the owner of one endpoint, or `NoOwner` if no daemon is live.
vm_id ownerOf(const deployment &Deployment, const std::vector<vm_id> &Live,
              endpoint_id Endpoint);

} // namespace bulrush::query
