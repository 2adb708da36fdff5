/// Events and actions of the `owner` core.
#pragma once

#include "query/events.h"
#include "query/messages.h"

#include <variant>

namespace bulrush::query {

/// One sending of a sub-request to an endpoint, unique in one `owner`.
using attempt_id = numeric_id<struct attempt_tag, std::uint64_t>;

/// Sub-requests came from an entry daemon.
struct batch_arrived {
  sub_batch Batch;
};

/// An entry daemon no longer needs these.
struct cancel_arrived {
  vm_id From;
  incarnation_id Incarnation;
  std::vector<sub_id> Subs;
};

/// How a sending to an endpoint ended.
enum class reply_kind : std::uint8_t {
  answered,
  shed,              ///< refused, not run
  snapshot_missing,  ///< refused, not run
  expired,           ///< refused: its deadline had passed, not run
  draining,          ///< refused, not run
  cancelled,         ///< cancelled before it ran
  cancelled_running, ///< cancelled while it ran
  expired_running,   ///< cut at its deadline while it ran
  duplicate_key,     ///< refused, not run
  connection_lost,   ///< closed after the request was sent; it may have run
  connect_refused,   ///< no connection; nothing was sent
  timed_out          ///< the shell waits no longer; it may still run
};

/// What the headers of a reply say.
struct reply_headers {
  snapshot_id Snapshot;
  shard_id Shard;
  std::uint64_t Generation = 0; ///< 0 when absent
  bool Cold = false;
  bool Draining = false;
  std::uint32_t InFlight = 0;
  millis RetryAfter;
};

/// A sending ended.
struct endpoint_replied {
  endpoint_id Endpoint;
  attempt_id Attempt;
  reply_kind Kind = reply_kind::answered;
  reply_headers Headers;
  shared_body Body;
  millis Latency; ///< from sending to the whole reply
};

/// What an endpoint says of itself; it may lag or mislead.
enum class health_state : std::uint8_t { warm, cold, draining, unreachable };

/// A health probe ended.
struct health_arrived {
  endpoint_id Endpoint;
  health_state State = health_state::warm;
  std::uint64_t Generation = 0; ///< 0 when absent
  std::uint32_t InFlight = 0;
  std::vector<held_snapshot> Held;
};

/// The right to send to one endpoint.
struct owner_grant {
  endpoint_id Endpoint;
  instant Expiry;         ///< on this daemon's clock
  instant InheritedUntil; ///< an earlier owner's work may run until then
};

/// What other owners say of their endpoints.
struct peer_reports_arrived {
  std::vector<endpoint_report> Reports;
};

/// All endpoints that this daemon owns from now on; the others are lost.
struct ownership_changed {
  std::vector<owner_grant> Grants;
};

using owner_event =
    std::variant<batch_arrived, cancel_arrived, endpoint_replied,
                 health_arrived, peer_reports_arrived, config_changed,
                 ownership_changed, stop_requested, timer_fired>;

/// Send one request to an endpoint; ends with one `endpoint_replied`.
struct send_to_endpoint {
  attempt_id Attempt;
  vm_id From;
  incarnation_id Incarnation;
  sub_request Request;
  millis Remaining; ///< until its deadline
  shared_body Body;
};

/// Ask an endpoint to give up a request that was sent.
struct cancel_at_endpoint {
  endpoint_id Endpoint;
  attempt_id Attempt;
  vm_id From;
  incarnation_id Incarnation;
  sub_id Sub;
};

/// Tell the entry daemon how a sub-request ended.
struct reply_to_entry {
  vm_id To;
  incarnation_id Incarnation;
  sub_reply Reply;
};

/// Ask an endpoint for its health; ends with one `health_arrived`.
struct probe_health {
  endpoint_id Endpoint;
};

/// Tell all entry daemons.
struct publish_report {
  endpoint_report Report;
};

/// Why an owner changed what it lets an endpoint do.
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

/// What an owner changed.
enum class endpoint_change : std::uint8_t {
  turned_cold,
  slot_opened,
  slots_closed,
  turned_warm,
  closed,  ///< takes no new work
  opened,  ///< takes work again
  drained, ///< closed, and nothing is in flight any more
  lost     ///< owned no longer
};

/// One decision on an endpoint, for the log and for `explain`.
struct endpoint_event {
  endpoint_id Endpoint;
  endpoint_change Change = endpoint_change::turned_cold;
  endpoint_cause Cause = endpoint_cause::new_owner;
  std::uint32_t Limit = 0; ///< in-flight requests allowed after it
  std::uint32_t InFlight = 0;
};

/// After `stop_requested`: nothing is queued or in flight any more.
struct owner_drained {};

using owner_action =
    std::variant<send_to_endpoint, cancel_at_endpoint, reply_to_entry,
                 probe_health, publish_report, set_timer, count_refusal,
                 endpoint_event, owner_drained>;

/// The name used in logs.
std::string_view toString(endpoint_cause Cause);
std::string_view toString(endpoint_change Change);

} // namespace bulrush::query
