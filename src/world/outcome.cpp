#include "bulrushtray/outcome.h"

#include <array>

namespace bulrush {

namespace {

constexpr std::array<std::string_view, 3> OutcomeNames = {"answered", "not_run",
                                                          "unknown"};

constexpr std::array<std::string_view, RefusalCount> RefusalNames = {
    "none",          "no_intent",        "deadline_unmeetable",
    "queue_full",    "no_owner",         "lease_lost",
    "zone_out",      "endpoint_leaving", "endpoint_shed",
    "endpoint_lost", "snapshot_missing", "wrong_snapshot",
    "timed_out",     "cancelled",        "incomplete",
    "draining",      "not_ready",        "link_down",
    "bad_request",   "duplicate_key",    "key_expired",
    "no_quorum",
};

constexpr std::array<std::string_view, RetryReasonCount> RetryNames = {
    "hedge", "shed", "lost", "owner_refused", "wrong_snapshot"};

} // namespace

std::string_view toString(outcome Outcome) {
  return OutcomeNames[static_cast<std::size_t>(Outcome)];
}

std::string_view toString(refusal Reason) {
  return RefusalNames[static_cast<std::size_t>(Reason)];
}

std::string_view toString(retry_reason Reason) {
  return RetryNames[static_cast<std::size_t>(Reason)];
}

} // namespace bulrush
