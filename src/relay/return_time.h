/// When refused clients should come back.
#pragma once

#include "relay/catalog.h"

#include <map>
#include <optional>

namespace bulrush::relay {

/// Computes the delays that refusals state. All refusals of a relay use it.
class return_time {
public:
  /// For a request whose endpoints are down or leaving.
  static millis whenDown() { return DownDelay; }
  /// For a request during startup, which is expected to take `Left` longer.
  static millis atStart(millis Left);
  /// Longest random time to add after a pause that endpoints asked for, so that
  /// clients do not all return at the same moment.
  static millis spreadAfterPause(millis Pause);
  /// For a request whose endpoints are busy. `Wait` is the expected wait of a
  /// part that arrives now, and `Interval` the time between the sends of two
  /// waiting parts; without them the queue of the service says nothing. Clients
  /// that are refused one after the other get successive times, so that no more
  /// of them return at a time than the service has capacity for.
  millis whenBusy(const service_name &Service, std::optional<millis> Wait,
                  std::optional<millis> Interval, instant Now);

  /// Longest delay of `whenBusy`: clients that are told more often give up.
  static constexpr millis MaxBusyDelay{2000};

private:
  /// Delay until a busy endpoint is likely to be free.
  static constexpr millis BusyDelay{60};
  /// Delay until an unavailable endpoint is likely to be back.
  static constexpr millis DownDelay{400};

  /// By service: when the client that was refused last should come back.
  std::map<service_name, instant> LastReturn;
};

} // namespace bulrush::relay
