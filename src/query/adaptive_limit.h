/// How many requests at a time a warm endpoint bears, learnt from its sheds.
#pragma once

#include <algorithm>
#include <cstdint>

namespace bulrush::query {

/// Lowers the limit below each level that was shed, and tries the next level
/// again after a number of successes that doubles with each failed try.
class adaptive_limit {
public:
  adaptive_limit(std::uint32_t Slots, std::uint32_t RaiseReplies)
      : Slots(Slots), Limit(Slots), FirstNeeded(RaiseReplies),
        Needed(RaiseReplies) {}

  std::uint32_t limit() const { return Limit; }

  /// A request was shed that had been sent with `Level` in flight, itself
  /// included.
  void onShed(std::uint32_t Level) {
    const std::uint32_t Borne = std::max(1U, std::min(Level, Limit) - 1);
    if (Successes < Needed / 2 && Limit < Slots)
      Needed = std::min(Needed * 2, FirstNeeded * MostDoubling);
    Limit = Borne;
    Successes = 0;
  }

  /// A request sent with `Level` in flight was answered.
  void onSuccess(std::uint32_t Level) {
    if (Limit == Slots || Level < Limit)
      return;
    if (++Successes < Needed)
      return;
    Successes = 0;
    if (++Limit == Slots)
      Needed = FirstNeeded;
  }

  /// Forgets what was learnt, after the endpoint restarted.
  void reset() {
    Limit = Slots;
    Needed = FirstNeeded;
    Successes = 0;
  }

private:
  static constexpr std::uint32_t MostDoubling = 16;

  std::uint32_t Slots;
  std::uint32_t Limit;
  std::uint32_t FirstNeeded;
  std::uint32_t Needed;
  std::uint32_t Successes = 0;
};

} // namespace bulrush::query
