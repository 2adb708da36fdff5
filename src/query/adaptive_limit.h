/// Adaptive limit on the requests in flight at a warm endpoint.
#pragma once

#include <algorithm>
#include <cstdint>

namespace bulrush::query {

/// When the endpoint sheds a request, lowers the limit below the concurrency at
/// which this happened. Raises it by one after a number of successes at the
/// limit; the number doubles each time a raise soon leads to another shed.
class adaptive_limit {
public:
  adaptive_limit(std::uint32_t Slots, std::uint32_t LimitRaiseReplies)
      : Slots(Slots), Limit(Slots), InitialRequired(LimitRaiseReplies),
        RequiredSuccesses(LimitRaiseReplies) {}

  std::uint32_t limit() const { return Limit; }

  /// The endpoint shed a request that had been sent as the `InFlight`-th in
  /// flight.
  void onShed(std::uint32_t InFlight) {
    const std::uint32_t NewLimit = std::max(1U, std::min(InFlight, Limit) - 1);
    if (Successes < RequiredSuccesses / 2 && Limit < Slots)
      RequiredSuccesses =
          std::min(RequiredSuccesses * 2, InitialRequired * MaxBackoffFactor);
    Limit = NewLimit;
    Successes = 0;
  }

  /// A request that had been sent as the `InFlight`-th in flight was answered.
  void onSuccess(std::uint32_t InFlight) {
    if (Limit == Slots || InFlight < Limit)
      return;
    if (++Successes < RequiredSuccesses)
      return;
    Successes = 0;
    if (++Limit == Slots)
      RequiredSuccesses = InitialRequired;
  }

  /// Restores the initial limit, for example after a restart of the endpoint.
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
