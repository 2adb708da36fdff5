/// Counts events of the last 5 s.
#pragma once

#include "bulrushtray/clock.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <vector>

namespace bulrush::relay {

/// Counts by bins that are aligned with the clock, so that counts of several
/// objects add up bin by bin. An event counts for 5 s and for at most
/// `BinWidth` longer.
class recent_count {
public:
  static constexpr millis BinWidth{250};
  static constexpr millis Window{5000};

  void add(std::uint32_t Count, instant At) { addToBin(Count, binOf(At)); }
  std::uint32_t total(instant Now) const {
    std::uint32_t Sum = 0;
    for (std::int64_t Bin = binOf(Now) - Bins + 1; Bin <= binOf(Now); ++Bin)
      Sum += at(Bin);
    return Sum;
  }
  void add(const recent_count &Other) {
    for (std::int64_t Bin = Other.Newest - Bins + 1; Bin <= Other.Newest; ++Bin)
      addToBin(Other.at(Bin), Bin);
  }
  void subtract(const recent_count &Other) {
    for (std::int64_t Bin = Newest - Bins + 1; Bin <= Newest; ++Bin)
      Counts[slot(Bin)] -= std::min(Counts[slot(Bin)], Other.at(Bin));
  }
  /// Counts by age in steps of `BinWidth`, the latest first; without trailing
  /// zeros.
  std::vector<std::uint32_t> byAge(instant Now) const {
    std::vector<std::uint32_t> Out;
    for (std::int64_t Age = 0; Age < Bins; ++Age)
      Out.push_back(at(binOf(Now) - Age));
    while (!Out.empty() && Out.back() == 0)
      Out.pop_back();
    return Out;
  }

private:
  static constexpr std::int64_t Bins = 21;

  static std::int64_t binOf(instant At) {
    return static_cast<std::int64_t>(std::floor(At.Ms / BinWidth.Count));
  }
  static std::size_t slot(std::int64_t Bin) {
    return static_cast<std::size_t>((Bin % Bins + Bins) % Bins);
  }
  std::uint32_t at(std::int64_t Bin) const {
    return Bin > Newest - Bins && Bin <= Newest ? Counts[slot(Bin)] : 0;
  }
  void addToBin(std::uint32_t Count, std::int64_t Bin) {
    if (Count == 0 || Bin <= Newest - Bins)
      return;
    if (Bin >= Newest + Bins)
      Counts.fill(0);
    else
      for (std::int64_t Each = Newest + 1; Each <= Bin; ++Each)
        Counts[slot(Each)] = 0;
    Newest = std::max(Newest, Bin);
    Counts[slot(Bin)] += Count;
  }

  std::array<std::uint32_t, Bins> Counts{};
  std::int64_t Newest = 0;
};

} // namespace bulrush::relay
