#include "relay/record_merge.h"

#include <algorithm>

namespace bulrush::relay {

std::string greatestRecords(const std::vector<std::string_view> &Parts,
                            std::size_t Count) {
  std::vector<std::string_view> Records;
  for (const std::string_view Part : Parts)
    for (std::size_t At = 0; At + RecordBytes <= Part.size(); At += RecordBytes)
      Records.push_back(Part.substr(At, RecordBytes));
  Count = std::min(Count, Records.size());
  const auto Middle = Records.begin() + static_cast<std::ptrdiff_t>(Count);
  std::partial_sort(Records.begin(), Middle, Records.end(), std::greater<>());
  std::string Out;
  Out.reserve(Count * RecordBytes);
  for (auto Each = Records.begin(); Each != Middle; ++Each)
    Out += *Each;
  return Out;
}

} // namespace bulrush::relay
