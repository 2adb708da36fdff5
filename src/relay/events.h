/// What the relay is told and what it asks its shell to do.
#pragma once

#include "http/message.h"
#include "relay/directory_change.h"
#include "relay/endpoint_state.h"
#include "relay/settings.h"
#include "relay/slices.h"

#include <memory>
#include <set>
#include <variant>

namespace bulrush::relay {

/// A client's request, forwarded whole.
struct opaque_request {
  std::string RequestId;
  std::string Method;
  std::string Host;
  std::string Target;
  std::vector<http::header> Headers; ///< that travel end to end
  std::string Body;
};

/// An endpoint's whole reply.
struct endpoint_reply {
  unsigned Status = 0;
  std::vector<http::header> Headers; ///< that travel end to end
  std::string Body;
  std::string Signature;        ///< of this reply; empty when there is none
  bool IsNotRun = false;        ///< it says that it did not run the request
  bool IsOtherInstance = false; ///< another one lives at this address now
};

/// One relay's question to another; unique in one life of the sender.
using shard_request_id = numeric_id<struct shard_request_tag, std::uint64_t>;

/// Asks another relay for some shards of a query.
struct shard_request {
  shard_request_id Id;
  std::shared_ptr<const opaque_request> Content;
  std::vector<service_name> Shards;
  std::string RouteKey; ///< what is learnt of latencies is kept by it
  std::uint32_t TopRecords = 0;
  std::uint32_t MaxAttempts = 1;
  millis Objective;
  millis SoftTimeout; ///< a later reply earns less
  millis Remaining;   ///< until the client's deadline
  /// Another relay was asked before: the sendings count against the budgets.
  bool IsRetry = false;
};

/// What has become of an ask since the last reply to it.
struct shard_reply {
  shard_request_id ShardRequest;
  std::vector<std::uint32_t> Covered;  ///< places in the ask
  std::vector<std::string> Signatures; ///< of the parts that are covered
  std::string Records;                 ///< the greatest of these parts
  bool IsFinal = false;                ///< nothing further comes
  /// The relay wants to send parts a second time; until the asker grants it,
  /// the asker may give them to another relay.
  bool WantsRetry = false;
};

// Events.

/// How far away a client is.
struct client_path {
  millis RoundTrip; ///< 0: unknown
  /// It opened its connection for this request.
  bool IsOnNewConnection = false;
};

/// `Request` must be new in this life of the process.
struct request_arrived {
  query_id Request;
  std::shared_ptr<const opaque_request> Content;
  millis ClientTimeout; ///< the client waits no longer; 0 when it does not say
  client_path Client;
};

/// How an attempt ended.
enum class attempt_end : std::uint8_t {
  replied,
  not_sent, ///< no connection; nothing was sent
  lost,     ///< the connection broke after sending began; it may have run
  connection_rejected, ///< like `lost`; the endpoint accepts no further
                       ///< connection now
  stale_connection,    ///< like `lost`; the endpoint had let go of a kept
                       ///< connection
  malformed_response   ///< the reply is no whole message; it ran
};

struct attempt_ended {
  attempt_no Attempt;
  attempt_end End = attempt_end::lost;
  std::shared_ptr<const endpoint_reply> Reply; ///< when replied
};

struct client_disconnected {
  query_id Request;
};

/// What an endpoint's health check says.
struct probe_ended {
  endpoint_no Endpoint;
  bool IsHealthy = false;
  std::string Instance; ///< empty when it does not say
  millis ColdFor;
};

/// The catalog in force; an older version than the one held is ignored.
struct catalog_arrived {
  std::shared_ptr<const catalog> Catalog;
};

/// The platform's list, read `Age` ago, or what has changed in it. A change to
/// another directory than the one held is ignored.
struct directory_arrived {
  std::shared_ptr<const directory_change> Change;
  millis Age;
};

struct zones_out_changed {
  std::set<std::string> Zones;
};

/// How many daemons share the endpoints, this one included.
struct peer_count_changed {
  std::uint32_t Count = 1;
};

/// The relays that take part, this one included.
struct peers_changed {
  std::vector<relay_peer> Peers;
};

struct shard_request_arrived {
  vm_id From;
  shard_request Request;
};

/// The asker needs no further reply.
struct shard_request_cancelled {
  vm_id From;
  shard_request_id ShardRequest;
  bool HasClientDisconnected = false;
};

/// The asker gives the shards of this ask to no other relay.
struct retry_granted {
  vm_id From;
  shard_request_id ShardRequest;
};

struct shard_reply_arrived {
  vm_id From;
  shard_reply Reply;
};

/// The link to a relay is down; what it was asked may be lost.
struct peer_lost {
  vm_id Peer;
};

struct timer_fired {};

using relay_event =
    std::variant<request_arrived, attempt_ended, client_disconnected,
                 probe_ended, catalog_arrived, directory_arrived,
                 zones_out_changed, peer_count_changed, peers_changed,
                 shard_request_arrived, shard_request_cancelled, retry_granted,
                 shard_reply_arrived, peer_lost, timer_fired>;

// Actions.

/// Ends with one `attempt_ended`, unless it is cancelled.
struct send_attempt {
  attempt_no Attempt;
  endpoint_no Endpoint;
  std::shared_ptr<const opaque_request> Content;
  millis Remaining; ///< until the client's deadline
  /// Not on a connection that has rested: the request cannot be repeated, or
  /// was lost on such a one.
  bool WantsFreshConnection = false;
};

/// Give the attempt up at once, so that its endpoint stops work on it.
struct cancel_attempt {
  attempt_no Attempt;
  endpoint_no Endpoint;
};

/// Why the relay answers by itself.
enum class relay_refusal : std::uint8_t {
  none,
  no_catalog,  ///< none has arrived yet
  no_route,    ///< none matches
  no_endpoint, ///< none can take the request; it was sent to none
  not_run,     ///< each endpoint that was asked said that it did not run it
  few_shards,  ///< too few shards can be asked
  lost,        ///< it may have run; no reply came
  out_of_time  ///< no reply before the deadline
};

/// Ends a request; each gets exactly one, unless its client has left.
struct send_answer {
  query_id Request;
  std::shared_ptr<const opaque_request> Content;
  unsigned Status = 0;
  relay_refusal Reason = relay_refusal::none;
  std::shared_ptr<const endpoint_reply> Reply; ///< passed through; else null
  bool IsGathered = false;
  std::string Body;
  std::vector<std::string> Signatures; ///< of the parts that are in
  std::uint32_t Missing = 0;           ///< shards that are left out
  millis RetryAfter;                   ///< of a refusal; 0 for none
};

/// Requests are likely: a connection is wanted.
struct preconnect_endpoint {
  endpoint_no Endpoint;
};

/// Ends with one `probe_ended`.
struct probe_endpoint {
  endpoint_no Endpoint;
};

/// From now on the endpoint may be sent to, with at most `Connections`.
struct open_endpoint {
  endpoint_no Endpoint;
  listed_endpoint Listed;
  std::string HealthPath;
  std::size_t Connections = 1;
  /// Whether requests are likely: a connection is opened at once.
  bool ShouldPreconnect = false;
};

/// Nothing further is sent to it once its attempts have ended.
struct close_endpoint {
  endpoint_no Endpoint;
};

struct send_shard_request {
  vm_id To;
  shard_request Request;
};

struct send_shard_reply {
  vm_id To;
  shard_reply Reply;
};

struct grant_retry {
  vm_id To;
  shard_request_id ShardRequest;
};

struct cancel_shard_request {
  vm_id To;
  shard_request_id ShardRequest;
  bool HasClientDisconnected = false;
};

/// One `timer_fired` is wanted at this time; replaces the one before.
struct set_timer {
  instant At;
};

/// What one request took, for the log and the statistics.
struct request_log_event {
  std::string RequestId;
  std::string Route;
  unsigned Status = 0;
  relay_refusal Reason = relay_refusal::none;
  catalog_version Version;
  millis Elapsed;
  millis Objective;
  millis QueueTime;         ///< the longest that a part waited to be sent
  millis GatherTime;        ///< from the first part to the answer
  std::uint32_t Shards = 0; ///< that were asked for
  std::uint32_t Covered = 0;
  std::uint32_t Hedges = 0;
  std::uint32_t Retries = 0;
  std::uint32_t BudgetDenials = 0; ///< further attempts that the budget denied
  std::uint32_t SliceRetries =
      0; ///< slices that another relay was asked for again
  bool HasClientDisconnected = false;
  bool IsFromPeer = false; ///< by another relay
  /// Some of the shards that are left out, or for which nothing has room.
  std::vector<service_name> MissingShards;
};

/// More names would make lines long and say no more.
inline constexpr std::size_t MaxMissingShards = 4;

/// One attempt that did not end as wanted.
struct attempt_log_event {
  std::string RequestId;
  service_name Service;
  std::string Instance;
  attempt_verdict Verdict = attempt_verdict::failure;
  unsigned Status = 0; ///< of the reply, where there is one
  millis Elapsed;
};

/// Why the relay changed what it believes of an endpoint.
enum class endpoint_state_change : std::uint8_t {
  listed,
  gone,
  suspected,
  probe_failed,
  probe_succeeded,
  cold,
  leaving
};

struct endpoint_log_event {
  std::string Instance;
  service_name Service;
  endpoint_state_change Change = endpoint_state_change::listed;
  millis ColdFor; ///< how long it stays cold
};

/// A relay was not heard in time, or is again.
struct peer_log_event {
  vm_id Peer;
  std::string RequestId; ///< of the query that shows it
  millis Backoff;        ///< 0: it is asked again
};

using relay_action =
    std::variant<send_attempt, cancel_attempt, send_answer, preconnect_endpoint,
                 probe_endpoint, open_endpoint, close_endpoint,
                 send_shard_request, send_shard_reply, cancel_shard_request,
                 grant_retry, set_timer, request_log_event, attempt_log_event,
                 endpoint_log_event, peer_log_event>;
using relay_actions = std::vector<relay_action>;

/// The names used in logs.
std::string_view toString(relay_refusal Reason);
std::string_view toString(attempt_verdict Verdict);
std::string_view toString(endpoint_state_change Change);

} // namespace bulrush::relay
