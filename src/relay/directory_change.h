/// Difference between two versions of the directory.
#pragma once

#include "relay/directory.h"

namespace bulrush::relay {

/// A full directory or the difference to an earlier version.
struct directory_change {
  directory_version Base; ///< version that the change applies to; 0: full
  directory_version Version;
  std::vector<listed_endpoint> Endpoints; ///< new or changed
  std::vector<endpoint_identity> Removed;

  bool isFull() const { return Base == directory_version{}; }
  bool operator==(const directory_change &) const = default;
};

/// Returns a change that holds the full directory.
directory_change fullChange(const directory &Directory);
/// Returns the difference from `Old` to `New`. Leaves out endpoints that differ
/// only by a shorter remaining cold time, which elapses by itself.
directory_change changeBetween(const directory &Old, const directory &New);

} // namespace bulrush::relay
