/// Error type and result type for operations that can fail.
#pragma once

#include <string>
#include <tl/expected.hpp>

namespace bulrush {

/// A failed operation, with a message that operators can read.
struct error {
  std::string Message;

  bool operator==(const error &) const = default;
};

/// A value or an error. Example: `expected<settings> S = parse(Text); if (!S)
/// return fail(S.error());`.
template <class T> using expected = tl::expected<T, error>;

/// Creates an `expected` that holds an error.
inline tl::unexpected<error> fail(std::string Message) {
  return tl::unexpected<error>(error{std::move(Message)});
}
inline tl::unexpected<error> fail(error Error) {
  return tl::unexpected<error>(std::move(Error));
}

} // namespace bulrush
