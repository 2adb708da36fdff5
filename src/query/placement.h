/// Which live daemon owns which endpoint: a pure function of the deployment and
/// the live daemons, so that all who know the same membership agree.
#pragma once

#include "bulrushtray/world.h"

#include <limits>
#include <vector>

namespace bulrush::query {

/// Stands for "no daemon is live".
inline constexpr vm_id NoOwner{std::numeric_limits<std::uint32_t>::max()};

/// Owners of all endpoints, each at the place of its endpoint's number.
///
/// An owner is chosen by rendezvous hashing, in the endpoint's own zone where a
/// daemon of it is live. Replicas of a shard get different owners where there
/// are enough daemons; by the layout of the settings, endpoints whose places in
/// their pool are equal modulo the number of shards are replicas, and
/// neighbours are where endpoints hold several shards. Ids in `Live` that the
/// deployment does not know are ignored.
std::vector<vm_id> ownersOf(const deployment &Deployment,
                            const std::vector<vm_id> &Live);

/// The owner of one endpoint; `NoOwner` when no daemon is live.
vm_id ownerOf(const deployment &Deployment, const std::vector<vm_id> &Live,
              endpoint_id Endpoint);

} // namespace bulrush::query
