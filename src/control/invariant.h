/// Broken invariants stop the process; every other failure is a value.
#pragma once

#include <cstdio>
#include <cstdlib>

namespace bulrush::control {

/// Stops the process with a message unless `Holds`.
inline void invariant(bool Holds, const char *What) {
  if (Holds)
    return;
  std::fprintf(stderr, "invariant broken: %s\n", What);
  std::abort();
}

} // namespace bulrush::control
