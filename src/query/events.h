/// Events and actions that the router and the owner share.
#pragma once

#include "bulrushtray/fleet_config.h"
#include "bulrushtray/outcome.h"

#include <cstdint>

namespace bulrush::query {

/// A new configuration; ignored if its revision is older than the current one.
struct config_changed {
  fleet_config Config;
};

/// Requests a graceful stop: new requests are refused, requests in flight are
/// completed.
struct stop_requested {};

/// The time of the last `set_timer` has been reached.
struct timer_fired {};

/// Requests one `timer_fired` at this time. Replaces any earlier timer.
struct set_timer {
  instant At;
};

/// Adds `Count` to the counter of requests refused for this reason.
struct count_refusal {
  refusal Reason = refusal::none;
  std::uint32_t Count = 1;
};

} // namespace bulrush::query
