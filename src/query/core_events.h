/// Events and actions that the router and the owner have in common.
#pragma once

#include "bulrushtray/fleet_config.h"
#include "bulrushtray/outcome.h"

namespace bulrush::query {

/// A configuration; an older revision than the one in force is ignored.
struct config_changed {
  fleet_config Config;
};

/// The process is to stop: no new work, work in flight runs to its end.
struct stop_requested {};

/// The instant of the last `set_timer` has come.
struct timer_fired {};

/// Send `timer_fired` at this instant. Replaces the instant set before.
struct set_timer {
  instant At;
};

/// Count `Count` requests that were refused for this reason.
struct count_refusal {
  refusal Reason = refusal::none;
  std::uint32_t Count = 1;
};

} // namespace bulrush::query
