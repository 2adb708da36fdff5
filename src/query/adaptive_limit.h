/// How many requests at a time a warm endpoint bears, learnt from its sheds.
#pragma once

#include <algorithm>
#include <cstdint>

namespace bulrush::query {

/// Lowers the limit below each level that was shed, and tries the next level
/// again after a number of successes that doubles with each failed try.
class adaptive_limit {
public:
  adaptive_limit(std::uint32_t Slots, std::uint32_t LimitRaiseReplies)
      : Slots(Slots), Limit(Slots), InitialRequired(LimitRaiseReplies),
        RequiredSuccesses(LimitRaiseReplies) {}

  std::uint32_t limit() const { return Limit; }

  /// A request was shed that had been sent with `Level` in flight, itself
  /// included.
  void onShed(std::uint32_t InFlight) {
    const std::uint32_t NewLimit = std::max(1U, std::min(InFlight, Limit) - 1);
    if (Successes < RequiredSuccesses / 2 && Limit < Slots)
      RequiredSuccesses =
          std::min(RequiredSuccesses * 2, InitialRequired * MaxBackoffFactor);
    Limit = NewLimit;
    Successes = 0;
  }

  /// A request sent with `Level` in flight was answered.
  void onSuccess(std::uint32_t InFlight) {
    if (Limit == Slots || InFlight < Limit)
      return;
    if (++Successes < RequiredSuccesses)
      return;
    Successes = 0;
    if (++Limit == Slots)
      RequiredSuccesses = InitialRequired;
  }

  /// Forgets what was learnt, after the endpoint restarted.
  void reset() {
    Limit = Slots;
    RequiredSuccesses = InitialRequired;
    Successes = 0;
  }

private:
  static constexpr std::uint32_t MaxBackoffFactor = 16;

  std::uint32_t Slots;
  std::uint32_t Limit;
  std::uint32_t InitialRequired;
  std::uint32_t RequiredSuccesses;
  std::uint32_t Successes = 0;
};

} // namespace bulrush::query
