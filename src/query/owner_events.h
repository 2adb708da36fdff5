/// Events that the owner handles and actions that its shell performs.
#pragma once

#include "query/events.h"
#include "query/messages.h"

#include <variant>

namespace bulrush::query {

/// An admitted sub-request of an `owner`, queued or sent to its endpoint.
using attempt_id = numeric_id<struct attempt_tag, std::uint64_t>;

/// Sub-requests arrived from an entry daemon.
struct batch_arrived {
  sub_batch Batch;
};

/// An entry daemon no longer needs these sub-requests.
struct cancel_arrived {
  vm_id From;
  incarnation_id Incarnation;
  std::vector<sub_id> Subs;
};

/// How an attempt at an endpoint ended.
enum class reply_kind : std::uint8_t {
  answered,
  shed,              ///< refused for overload, not executed
  snapshot_missing,  ///< refused for a missing snapshot, not executed
  expired,           ///< refused after its deadline, not executed
  draining,          ///< refused while draining, not executed
  cancelled,         ///< cancelled before execution
  cancelled_running, ///< cancelled during execution
  expired_running,   ///< aborted at its deadline during execution
  duplicate_key,     ///< refused for a duplicate key, not executed
  connection_lost,   ///< connection lost after sending; may have been executed
  connect_refused,   ///< no connection; nothing was sent
  timed_out          ///< the shell stopped waiting; it may still be executing
};

/// The fields of a reply's headers.
struct reply_headers {
  snapshot_id Snapshot;
  shard_id Shard;
  std::uint64_t Generation = 0; ///< 0 if absent
  bool Cold = false;
  bool Draining = false;
  std::uint32_t InFlight = 0;
  millis RetryAfter;
};

/// An attempt ended.
struct endpoint_replied {
  endpoint_id Endpoint;
  attempt_id Attempt;
  reply_kind Kind = reply_kind::answered;
  reply_headers Headers;
  shared_body Body;
  millis Latency; ///< from sending to the end of the reply
};

/// Health as the endpoint itself reports it; may be outdated or wrong.
enum class health_state : std::uint8_t { warm, cold, draining, unreachable };

/// A health check ended.
struct health_arrived {
  endpoint_id Endpoint;
  health_state State = health_state::warm;
  std::uint64_t Generation = 0; ///< 0 if absent
  std::uint32_t InFlight = 0;
  std::vector<held_snapshot> Held;
};

/// A lease on one endpoint: the exclusive right to send requests to it.
struct owner_grant {
  endpoint_id Endpoint;
  instant Expiry;         ///< on this daemon's clock
  instant InheritedUntil; ///< requests of an earlier owner may run until then
};

/// Endpoint reports of other owners.
struct peer_reports_arrived {
  std::vector<endpoint_report> Reports;
};

/// The complete list of endpoints that this daemon owns; it loses all others.
struct ownership_changed {
  std::vector<owner_grant> Grants;
};

using owner_event =
    std::variant<batch_arrived, cancel_arrived, endpoint_replied,
                 health_arrived, peer_reports_arrived, config_changed,
                 ownership_changed, stop_requested, timer_fired>;

/// Sends a request to an endpoint. One `endpoint_replied` follows.
struct send_to_endpoint {
  attempt_id Attempt;
  vm_id From;
  incarnation_id Incarnation;
  sub_request Request;
  millis Remaining; ///< time until its deadline
  shared_body Body;
};

/// Asks an endpoint to cancel a request that was sent to it.
struct cancel_at_endpoint {
  endpoint_id Endpoint;
  attempt_id Attempt;
  vm_id From;
  incarnation_id Incarnation;
  sub_id Sub;
};

/// Sends the result of a sub-request to its entry daemon.
struct reply_to_entry {
  vm_id To;
  incarnation_id Incarnation;
  sub_reply Reply;
};

/// Sends a health check to an endpoint. One `health_arrived` follows.
struct probe_health {
  endpoint_id Endpoint;
};

/// Publishes a report to all entry daemons.
struct publish_report {
  endpoint_report Report;
};

/// Why an owner changed the state or the limit of an endpoint.
enum class endpoint_cause : std::uint8_t {
  new_owner,
  lease_renewed_late,
  generation_changed,
  cold_flag,
  connection_lost,
  connect_refused,
  latency_jump,
  shed,
  timed_out,
  health,
  success,
  draining,
  zone_out,
  endpoint_leaving,
  lease_lost,
  returned,
  stopping
};

/// Changes that an owner makes to the state or the limit of an endpoint.
enum class endpoint_change : std::uint8_t {
  turned_cold,
  slot_opened,
  slots_closed,
  turned_warm,
  closed,  ///< gets no new requests
  opened,  ///< gets requests again
  drained, ///< closed, and no requests are in flight
  lost     ///< no longer owned
};

/// A change of an endpoint, for the log and for `explain`.
struct endpoint_event {
  endpoint_id Endpoint;
  endpoint_change Change = endpoint_change::turned_cold;
  endpoint_cause Cause = endpoint_cause::new_owner;
  std::uint32_t Limit = 0; ///< limit on requests in flight after the change
  std::uint32_t InFlight = 0;
};

/// After `stop_requested`: no requests are queued or in flight.
struct owner_drained {};

using owner_action =
    std::variant<send_to_endpoint, cancel_at_endpoint, reply_to_entry,
                 probe_health, publish_report, set_timer, count_refusal,
                 endpoint_event, owner_drained>;

/// Return the name used in logs.
std::string_view toString(endpoint_cause Cause);
std::string_view toString(endpoint_change Change);

} // namespace bulrush::query
