#include "query/owner_events.h"

#include <array>

namespace bulrush::query {

namespace {

constexpr std::array<std::string_view, 17> CauseNames = {"new_owner",
                                                         "lease_renewed_late",
                                                         "generation_changed",
                                                         "cold_flag",
                                                         "connection_lost",
                                                         "connect_refused",
                                                         "latency_jump",
                                                         "shed",
                                                         "timed_out",
                                                         "health",
                                                         "success",
                                                         "draining",
                                                         "zone_out",
                                                         "endpoint_leaving",
                                                         "lease_lost",
                                                         "returned",
                                                         "stopping"};

constexpr std::array<std::string_view, 8> ChangeNames = {
    "turned_cold", "slot_opened", "slots_closed", "turned_warm",
    "closed",      "opened",      "drained",      "lost"};

} // namespace

std::string_view toString(endpoint_cause Cause) {
  return CauseNames[static_cast<std::size_t>(Cause)];
}

std::string_view toString(endpoint_change Change) {
  return ChangeNames[static_cast<std::size_t>(Change)];
}

} // namespace bulrush::query
