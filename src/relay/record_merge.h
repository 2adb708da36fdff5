/// The greatest records of the parts of one answer.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush::relay {

inline constexpr std::size_t RecordBytes = 16; ///< by the wire format

/// The greatest `Count` records of all `Parts`, greatest first, compared byte
/// by byte. Equal records all count; a rest shorter than a record is none.
std::string greatestRecords(const std::vector<std::string_view> &Parts,
                            std::size_t Count);

} // namespace bulrush::relay
