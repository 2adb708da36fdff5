/// Which daemon owns an endpoint, as the router asks it.
#pragma once

#include "bulrushtray/ids.h"

#include <vector>

namespace bulrush::query {

/// Names the owner of an endpoint. The router asks once for each endpoint after
/// each change of membership.
class owner_directory {
public:
  virtual ~owner_directory() = default;
  /// The owner among `Live`, which is ascending and not empty.
  virtual vm_id ownerOf(const std::vector<vm_id> &Live,
                        endpoint_id Endpoint) const = 0;
};

} // namespace bulrush::query
