#include "relay/request_state.h"

#include <algorithm>
#include <cmath>

namespace bulrush::relay {

std::uint32_t request_state::completedParts() const {
  return static_cast<std::uint32_t>(
      std::count_if(Parts.begin(), Parts.end(), [](const request_part &Part) {
        return Part.Phase == part_phase::done;
      }));
}

std::uint32_t request_state::requiredParts() const {
  constexpr double RoundingTolerance = 1e-9;
  const double Exact =
      Route->Gather.MinCoverage * static_cast<double>(Parts.size());
  const auto Required =
      static_cast<std::uint32_t>(std::ceil(Exact - RoundingTolerance));
  return std::max(1U, Required);
}

bool request_state::isDelegated(std::size_t Index) const {
  return std::any_of(SliceRequests.begin(), SliceRequests.end(),
                     [&](const slice_request &Slice) {
                       return !Slice.IsEnded &&
                              std::find(Slice.Parts.begin(), Slice.Parts.end(),
                                        Index) != Slice.Parts.end();
                     });
}

bool request_state::isSettled(std::size_t Index) const {
  const part_phase Phase = Parts[Index].Phase;
  return Phase == part_phase::done ||
         (Phase == part_phase::failed && !isDelegated(Index));
}

bool request_state::mayHaveRun() const {
  // Another relay may have sent the shards requested from it to endpoints.
  return std::any_of(
             SliceRequests.begin(), SliceRequests.end(),
             [](const slice_request &Slice) { return !Slice.IsNotRun; }) ||
         std::any_of(Parts.begin(), Parts.end(), [](const request_part &Part) {
           return Part.PossibleRuns > 0;
         });
}

} // namespace bulrush::relay
