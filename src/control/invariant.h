/// Assertions that stay enabled in release builds.
#pragma once

#include <stdexcept>
#include <string>

namespace bulrush::control {

/// The state in memory is not to be relied on any more: the object that threw
/// must be built anew from what is on disk. All other failures are returned as
/// values.
class invariant_violation : public std::logic_error {
public:
  using std::logic_error::logic_error;
};

/// Throws an `invariant_violation` with `Description` unless `Holds`.
inline void invariant(bool Holds, const char *Description) {
  if (!Holds)
    throw invariant_violation(std::string("invariant violated: ") +
                              Description);
}

} // namespace bulrush::control
