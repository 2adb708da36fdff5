/// The accepted configuration, as every daemon receives it.
#pragma once

#include "bulrushtray/world.h"

#include <vector>

namespace bulrush {

/// State that operators change. A daemon replaces it only by one with a larger
/// revision.
struct fleet_config {
  revision Revision;
  std::vector<intent> Intents;
  std::vector<zone_id> ZonesOut;
  std::vector<endpoint_id> Leaving; ///< endpoints that get no new work

  bool operator==(const fleet_config &) const = default;
};

/// The entry daemons that take part. Owners of endpoints are chosen among them.
struct membership {
  std::uint64_t Epoch = 0; ///< goes up with each change
  std::vector<vm_id> Live; ///< ascending

  bool operator==(const membership &) const = default;
};

} // namespace bulrush
