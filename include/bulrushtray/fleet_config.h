/// The configuration and the membership that every daemon receives.
#pragma once

#include "bulrushtray/world.h"

#include <vector>

namespace bulrush {

/// Configuration set by operators. A daemon replaces it only with one of a
/// higher revision.
struct fleet_config {
  revision Revision;
  std::vector<intent> Intents;
  std::vector<zone_id> ZonesOut;
  std::vector<endpoint_id> Leaving; ///< receive no new requests

  bool operator==(const fleet_config &) const = default;
};

/// The entry daemons in service. The owners of endpoints are chosen among them.
struct membership {
  std::uint64_t Epoch = 0; ///< incremented with each change
  std::vector<vm_id> Live; ///< in ascending order

  bool operator==(const membership &) const = default;
};

} // namespace bulrush
