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
/// only by a cold time that counts down from `Old`: see `keepCountDowns`.
directory_change changeBetween(const directory &Old, const directory &New);

/// A cold time that ends earlier than published by at most this much counts as
/// the same one, since readings of the list vary.
inline constexpr millis MaxEarlierEnd{500};

/// Replaces the cold times of `New` that are those of `Old`, less the time
/// between the two readings, by what relays that hold `Old` count down to. A
/// cold time that ends later, however little, is another one: the endpoint may
/// have become cold again. So the end that relays know is never too early.
void keepCountDowns(const directory &Old, directory &New);

} // namespace bulrush::relay
