/// What became of a request, and the reasons for refusals and retries.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace bulrush {

/// What is known of a request that has ended.
enum class outcome : std::uint8_t {
  answered, ///< it ran and its result is here
  not_run,  ///< proved: it did not run and will not
  unknown   ///< it may have run
};

/// Why a request or a sub-request was refused. Each has a counter.
enum class refusal : std::uint8_t {
  none,
  no_intent,           ///< no confirmed intent matches the request
  deadline_unmeetable, ///< the queue is too long for the deadline
  queue_full,          ///< the queue is at its bound
  no_owner,            ///< no daemon holds the endpoint's lease
  lease_lost,          ///< the daemon's own lease has run out
  zone_out,            ///< the endpoint's zone is taken out
  endpoint_leaving,    ///< the endpoint drains or has left
  endpoint_shed,       ///< the endpoint refused, without running it
  endpoint_lost,       ///< the connection broke before a reply
  snapshot_missing,    ///< the endpoint does not hold the pinned snapshot
  wrong_snapshot,      ///< the reply came from another snapshot
  timed_out,           ///< no reply before the deadline
  cancelled,           ///< another attempt answered first
  incomplete,          ///< the intent demands all shards and some are missing
  draining,            ///< this daemon is stopping
  not_ready,           ///< this daemon has no fresh configuration
  link_down,           ///< the message to another daemon could not be queued
  bad_request,         ///< malformed
  duplicate_key,       ///< the idempotency key was used for another request
  key_expired,         ///< the idempotency key is older than the window
  no_quorum,           ///< the control group has no majority
};
inline constexpr std::size_t RefusalCount =
    static_cast<std::size_t>(refusal::no_quorum) + 1;

/// Why a sub-request is sent once more. Each has a counter.
enum class retry_reason : std::uint8_t {
  hedge,          ///< slower than the adaptive delay
  shed,           ///< the endpoint refused it
  lost,           ///< the connection broke
  owner_refused,  ///< the owner refused it
  wrong_snapshot, ///< the reply came from another snapshot
};
inline constexpr std::size_t RetryReasonCount =
    static_cast<std::size_t>(retry_reason::wrong_snapshot) + 1;

/// The name used in answers, logs and metrics.
std::string_view toString(outcome Outcome);
std::string_view toString(refusal Reason);
std::string_view toString(retry_reason Reason);

} // namespace bulrush
