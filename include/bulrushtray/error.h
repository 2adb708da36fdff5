/// Errors as values.
#pragma once

#include <string>
#include <tl/expected.hpp>

namespace bulrush {

/// Why an operation gave no result, in words for an operator.
struct error {
  std::string Message;

  bool operator==(const error &) const = default;
};

/// A result or an error. Example: `expected<settings> S = parse(Text); if (!S)
/// return fail(S.error());`.
template <class T> using expected = tl::expected<T, error>;

/// Makes the error side of an `expected`.
inline tl::unexpected<error> fail(std::string Message) {
  return tl::unexpected<error>(error{std::move(Message)});
}
inline tl::unexpected<error> fail(error Error) {
  return tl::unexpected<error>(std::move(Error));
}

} // namespace bulrush
