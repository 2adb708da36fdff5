/// Merges the records of several replies.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush::relay {

inline constexpr std::size_t RecordBytes = 16; ///< fixed by the wire format

/// Returns the greatest `Count` records of all `Parts`, compared byte by byte,
/// in descending order. Keeps duplicates; ignores a trailing partial record.
std::string greatestRecords(const std::vector<std::string_view> &Parts,
                            std::size_t Count);

} // namespace bulrush::relay
