/// Why a data folder could not be opened.
#pragma once

#include <cstdint>
#include <string>
#include <tl/expected.hpp>

namespace bulrush::store {

enum class folder_fault : std::uint8_t {
  disk,          ///< an operation failed and may succeed later
  damaged,       ///< the files don't hold what was written to them
  unknown_format ///< the files are intact, but another build's
};

struct folder_error {
  folder_fault Fault = folder_fault::disk;
  std::string Message; ///< names the file
};

template <class T> using folder_result = tl::expected<T, folder_error>;

/// Creates a `folder_result` that holds an error.
inline tl::unexpected<folder_error> failFolder(folder_fault Fault,
                                               std::string Message) {
  return tl::unexpected<folder_error>(folder_error{Fault, std::move(Message)});
}

} // namespace bulrush::store
