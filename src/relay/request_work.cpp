#include "relay/request_work.h"

#include <algorithm>
#include <cmath>

namespace bulrush::relay {

std::uint32_t request_work::covered() const {
  return static_cast<std::uint32_t>(
      std::count_if(Parts.begin(), Parts.end(), [](const request_part &Part) {
        return Part.Phase == part_phase::done;
      }));
}

std::uint32_t request_work::leastCovered() const {
  constexpr double Rounding = 1e-9;
  const double Least =
      Route->Gather.MinCoverage * static_cast<double>(Parts.size());
  const auto Whole = static_cast<std::uint32_t>(std::ceil(Least - Rounding));
  return std::max(1U, Whole);
}

bool request_work::isDelegated(std::size_t Place) const {
  return std::any_of(ShardRequests.begin(), ShardRequests.end(),
                     [&](const slice_request &ShardRequest) {
                       return !ShardRequest.IsEnded &&
                              std::find(ShardRequest.Parts.begin(),
                                        ShardRequest.Parts.end(),
                                        Place) != ShardRequest.Parts.end();
                     });
}

bool request_work::isSettled(std::size_t Place) const {
  const part_phase Phase = Parts[Place].Phase;
  return Phase == part_phase::done ||
         (Phase == part_phase::failed && !isDelegated(Place));
}

bool request_work::hasRun() const {
  // Another relay that was asked may have sent its shards.
  return !ShardRequests.empty() ||
         std::any_of(Parts.begin(), Parts.end(),
                     [](const request_part &Part) { return Part.Runs > 0; });
}

} // namespace bulrush::relay
