/// Assertions that stay enabled in release builds. A violated invariant aborts
/// the process; all other failures are returned as values.
#pragma once

#include <cstdio>
#include <cstdlib>

namespace bulrush::control {

/// Prints `Description` and aborts the process unless `Holds`.
inline void invariant(bool Holds, const char *Description) {
  if (Holds)
    return;
  std::fprintf(stderr, "invariant violated: %s\n", Description);
  std::abort();
}

} // namespace bulrush::control
