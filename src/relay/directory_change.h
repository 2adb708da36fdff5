/// What turns one directory into a later one.
#pragma once

#include "relay/directory.h"

namespace bulrush::relay {

struct directory_change {
  directory_version
      Base; ///< of the directory that it applies to; 0: it is whole
  directory_version Version;
  std::vector<listed_endpoint> Endpoints; ///< new or changed
  std::vector<endpoint_identity> Removed;

  bool isFull() const { return Base == directory_version{}; }
  bool operator==(const directory_change &) const = default;
};

/// The whole directory as a change.
directory_change fullChange(const directory &Directory);
/// How long an endpoint stays cold shrinks by itself: that alone is no change.
directory_change changeBetween(const directory &Old, const directory &New);

} // namespace bulrush::relay
