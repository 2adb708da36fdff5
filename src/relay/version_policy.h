/// Which software versions of a service's endpoints may get requests.
#pragma once

#include "relay/directory.h"

#include <cstdint>
#include <vector>

namespace bulrush::relay {

/// Identifies a rollout: the log index of its order; 0: none.
using rollout_id = numeric_id<struct rollout_tag, std::uint64_t>;

enum class rollout_state : std::uint8_t {
  none, ///< no rollout of the service was ordered
  in_progress,
  complete,   ///< only the target version gets requests
  rolled_back ///< the target version gets none
};

/// The leader's decision on the versions of one service.
struct version_policy {
  service_name Service;
  rollout_id Rollout;
  rollout_state State = rollout_state::none;
  software_version Target;
  /// While in progress: share of the first attempts that go to the target
  /// version, from 0 to 1.
  double Share = 0;
  std::vector<software_version> Barred; ///< rolled back before; get no requests
  /// Version in use before any order; empty: not known.
  software_version Established;

  bool operator==(const version_policy &) const = default;
};

} // namespace bulrush::relay
