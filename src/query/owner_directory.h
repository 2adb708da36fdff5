/// Interface through which the router determines the owners of endpoints.
#pragma once

#include "bulrushtray/ids.h"

#include <vector>

namespace bulrush::query {

/// Maps endpoints to their owners. The router calls `ownerOf` once for each
/// endpoint after each change of membership.
class owner_directory {
public:
  virtual ~owner_directory() = default;
  /// Returns the owner of `Endpoint` among `Live`, which is sorted and not
  /// empty.
  virtual vm_id ownerOf(const std::vector<vm_id> &Live,
                        endpoint_id Endpoint) const = 0;
};

} // namespace bulrush::query
