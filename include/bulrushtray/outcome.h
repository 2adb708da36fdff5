/// Outcomes of requests, and the reasons for refusals and retries.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace bulrush {

/// Whether a completed request was executed, as far as this is known.
enum class outcome : std::uint8_t {
  answered, ///< it was executed and its result was received
  not_run,  ///< proven: it was not executed and will not be
  unknown   ///< it may have been executed
};

/// Why a request or sub-request was refused. Each reason has a counter.
enum class refusal : std::uint8_t {
  none,
  no_intent,           ///< no confirmed intent matches the request
  deadline_unmeetable, ///< load is too high to answer before the deadline
  queue_full,          ///< the queue is at its length limit
  no_owner,            ///< no owner of the endpoint could be reached
  lease_lost,          ///< the lease of this daemon has expired
  zone_out,            ///< the endpoint's zone is out of service
  endpoint_leaving,    ///< the endpoint is draining or has left
  endpoint_shed,       ///< the endpoint shed it without executing it
  endpoint_lost,       ///< unreachable, or connection failed before a reply
  snapshot_missing,    ///< the endpoint, or every endpoint, lacks the snapshot
  wrong_snapshot,      ///< the reply was computed from another snapshot
  timed_out,           ///< no reply before the deadline
  cancelled,           ///< no longer needed, e.g. another attempt was answered
  incomplete,          ///< coverage is below the minimum of the intent
  draining,            ///< this daemon is stopping
  not_ready,           ///< this daemon has no up-to-date configuration
  link_down,           ///< not queued for the owner, or the owner is suspected
  bad_request,         ///< the request is malformed
  duplicate_key,       ///< the idempotency key was used for another request
  key_expired,         ///< the idempotency key is older than the key lifetime
  no_quorum,           ///< the control voters have no majority
};
inline constexpr std::size_t RefusalCount =
    static_cast<std::size_t>(refusal::no_quorum) + 1;

/// Why a sub-request is sent again. Each reason has a counter.
enum class retry_reason : std::uint8_t {
  hedge,          ///< no reply within the adaptive hedge delay
  shed,           ///< the endpoint shed it
  lost,           ///< the connection failed, or the attempt timed out
  owner_refused,  ///< the owner refused it
  wrong_snapshot, ///< the endpoint lacks the snapshot, or used another one
};
inline constexpr std::size_t RetryReasonCount =
    static_cast<std::size_t>(retry_reason::wrong_snapshot) + 1;

/// Returns the name used in answers, logs and metrics.
std::string_view toString(outcome Outcome);
std::string_view toString(refusal Reason);
std::string_view toString(retry_reason Reason);

} // namespace bulrush
