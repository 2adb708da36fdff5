/// Events that the relay handles and actions that its shell performs.
#pragma once

#include "http/message.h"
#include "relay/crash_reports.h"
#include "relay/directory_change.h"
#include "relay/endpoint_state.h"
#include "relay/quota_meter.h"
#include "relay/rate_limits.h"
#include "relay/rollout_report.h"
#include "relay/settings.h"
#include "relay/slice_planner.h"

#include <array>
#include <memory>
#include <optional>
#include <set>
#include <variant>

namespace bulrush::relay {

/// A header that identifies the client.
struct credential_header {
  http::header Header;
  /// Among all end-to-end headers, in the order in which the client sent them.
  std::size_t Position = 0;
};

/// A client's request, which the relay forwards unchanged.
struct opaque_request {
  std::string RequestId;
  std::string Method;
  std::string Host;
  std::string Target;
  std::vector<http::header> Headers; ///< end-to-end headers
  std::string Body;
  /// Headers that identify the client, as it sent them, by `Position`. They
  /// are returned to `Headers` when the request is admitted if the catalog has
  /// no accounts, and removed otherwise.
  std::vector<credential_header> Credentials = {};
  account_name Account = {}; ///< of the client; empty: none
};

/// A complete reply of an endpoint.
struct endpoint_reply {
  unsigned Status = 0;
  std::vector<http::header> Headers; ///< end-to-end headers
  std::string Body;
  std::string Signature; ///< of this reply; empty if it has none
  /// The endpoint states that it did not execute the request.
  bool IsNotRun = false;
  bool IsOtherInstance = false; ///< another instance now uses this address
  bool IsLeaving = false;       ///< the endpoint states that it stops soon
  /// Time for which the endpoint wants no requests; 0 if it states none.
  millis RetryAfter;
  bool HasInvalidRetryAfter = false; ///< it states a time that is not a number
  /// Requests that the endpoint takes from all relays together; none if it
  /// states no limit.
  std::optional<request_rate> RateLimit;
  bool HasInvalidRateLimit = false; ///< it states a limit that is not a number
};

/// A request of one relay to another. Each run of a relay starts at a random
/// number, so that no two runs use the same ids.
using shard_request_id = numeric_id<struct shard_request_tag, std::uint64_t>;

/// The link on which another relay sent a shard request. Replies go to this
/// link only: another link from the same address may belong to another process,
/// which uses ids of its own.
struct requester_link {
  std::uint64_t Number = 0; ///< unique until this process restarts
  /// Source of the connection, for logs; says nothing about the relay.
  vm_id Address = {};

  auto operator<=>(const requester_link &) const = default;
};

/// Requests some shards of a query from another relay, or one service's reply
/// to a request that is not a query.
struct shard_request {
  shard_request_id Id;
  std::shared_ptr<const opaque_request> Content;
  std::vector<service_name> Shards;
  std::string RouteKey; ///< key of the latency statistics
  std::uint32_t TopRecords = 0;
  std::uint32_t MaxAttempts = 1; ///< per shard
  millis Objective;              ///< latency objective of the route
  /// Time until the requester would miss its objective; a later reply is worth
  /// less.
  millis SoftTimeout;
  millis Remaining; ///< until the client's deadline
  /// The shards were requested from another relay before, so every attempt
  /// counts against the retry budget.
  bool IsRetry = false;
  /// Endpoints of the shards that announced to the requester that they stop.
  std::vector<endpoint_identity> Leaving;
  /// Otherwise `Shards` names one service, and its reply is returned unchanged.
  bool IsQuery = true;
  bool IsIdempotent = true;
  std::uint32_t Priority = 0; ///< 0 is the highest
};

/// The results of a shard request since the previous reply to it.
struct shard_reply {
  shard_request_id ShardRequest;
  std::vector<std::uint32_t> Covered;  ///< indices into `shard_request::Shards`
  std::vector<std::string> Signatures; ///< of the covered shards
  std::string Records;  ///< the top records of the covered shards, merged
  bool IsFinal = false; ///< no further reply follows
  /// The relay wants to send second attempts. Until the requester grants this,
  /// the requester may request the shards from another relay.
  bool WantsRetry = false;
  /// Endpoints of the shards that announced to this relay that they stop.
  std::vector<endpoint_identity> Leaving;
  /// No endpoint has executed any of the shards or ever will; only in a final
  /// reply.
  bool IsNotRun = false;
  /// Indices of shards whose endpoints this relay does not reach; only in a
  /// final reply. No endpoint has executed or will execute those in
  /// `Unreachable`; one may have executed those in `Interrupted`.
  std::vector<std::uint32_t> Unreachable = {};
  std::vector<std::uint32_t> Interrupted = {};
  bool IsReachLost = false; ///< this relay reaches no endpoint of any service
  /// To a request that is not a query: the endpoint's reply to forward; null if
  /// there is none.
  std::shared_ptr<const endpoint_reply> Reply = nullptr;
  /// When the client of such a request should retry if it was not run; 0 if not
  /// known.
  millis RetryAfter{};
};

// Events.

/// Network path to a client.
struct client_path {
  millis RoundTrip; ///< 0 if unknown
  /// The client opened its connection for this request.
  bool IsOnNewConnection = false;
};

/// A request arrived from a client. `Request` must be unique until the process
/// restarts.
struct request_arrived {
  query_id Request;
  std::shared_ptr<const opaque_request> Content;
  millis ClientTimeout; ///< given by the client; 0 if it gave none
  client_path Client;
};

/// How an attempt ended.
enum class attempt_end : std::uint8_t {
  replied,        ///< a complete reply was received
  connect_failed, ///< no connection could be opened; nothing was sent
  not_sent, ///< withdrawn, or too many waited for a connection; nothing was
            ///< sent
  lost,     ///< the connection failed after sending began; the request may have
            ///< been executed
  connection_rejected, ///< like `lost`; the endpoint closed a new connection,
                       ///< so none is opened for a while
  stale_connection,  ///< like `lost`; the endpoint had already closed the idle
                     ///< connection
  malformed_response ///< the reply could not be parsed; the request was
                     ///< executed
};

/// An attempt ended.
struct attempt_ended {
  attempt_no Attempt;
  attempt_end End = attempt_end::lost;
  std::shared_ptr<const endpoint_reply> Reply; ///< set if `End` is `replied`
};

/// The client closed its connection before its answer.
struct client_disconnected {
  query_id Request;
};

/// A health check ended; the fields are the endpoint's reply.
struct probe_ended {
  endpoint_no Endpoint;
  bool IsHealthy = false;
  std::string Instance;          ///< empty if not reported
  std::optional<millis> ColdFor; ///< remaining cold time; none if not stated
  bool IsLeaving = false;        ///< the endpoint states that it stops soon
  millis RetryAfter; ///< time for which it wants no requests; 0: none
  /// Requests that it takes from all relays together; none if not stated.
  std::optional<request_rate> RateLimit = std::nullopt;
  /// A reply arrived, healthy or not.
  bool HasReplied = false;
};

/// The current catalog; ignored unless its version is newer than the last one.
struct catalog_arrived {
  std::shared_ptr<const catalog> Catalog;
  /// The version may be that of the last one, whose sender may have left out
  /// what its build does not know.
  bool MayRepeatVersion = false;
};

/// The platform's list of endpoints, read `Age` ago, or the changes to it. An
/// older list is ignored, and so are changes whose base is not the current
/// list.
struct directory_arrived {
  std::shared_ptr<const directory_change> Change;
  millis Age;
};

/// All zones that are out of service.
struct zones_out_changed {
  std::set<std::string> Zones;
};

/// Number of relays that share the endpoints, including this one; part of each
/// heartbeat of the registry's leader.
struct peer_count_changed {
  std::uint32_t Count = 1;
};

/// All relays in service, including this one.
struct peers_changed {
  std::vector<relay_peer> Peers;
};

/// Another relay requests shards from this one.
struct shard_request_arrived {
  requester_link From;
  shard_request Request;
};

/// The requester needs no further reply.
struct shard_request_cancelled {
  requester_link From;
  shard_request_id ShardRequest;
  bool HasClientDisconnected = false;
};

/// The requester permits second attempts: it requests these shards from no
/// other relay.
struct retry_granted {
  requester_link From;
  shard_request_id ShardRequest;
};

/// A link on which another relay sent shard requests is closed. Nobody waits
/// for the replies: the other relay has ended or will request the shards
/// elsewhere.
struct requester_lost {
  requester_link From;
};

/// Another relay replied to a shard request of this one.
struct shard_reply_arrived {
  vm_id From;
  shard_reply Reply;
};

/// What the registry's leader tells of rate limits that endpoints state.
struct limit_grants_arrived {
  std::vector<limit_grant> Grants;
};

/// Tokens of accounts that the registry's leader grants.
struct quota_grants_arrived {
  std::vector<quota_grant> Grants;
};

/// What the registry's leader decided on requests under which endpoints went
/// down.
struct verdicts_arrived {
  std::vector<verdict_notice> Notices;
};

/// What the registry's leader decided on the software versions of services.
struct version_policies_arrived {
  std::vector<version_policy> Policies;
  bool IsFull = false; ///< services that are not listed have no policy
};

/// This relay follows a leader of the registry from now on; it may have
/// followed the same one before.
struct leader_found {};

/// The link to a relay is down; shard requests sent to it may be lost.
struct peer_lost {
  vm_id Peer;
};

/// The time of the last `set_timer` has been reached.
struct timer_fired {};

using relay_event = std::variant<
    request_arrived, attempt_ended, client_disconnected, probe_ended,
    catalog_arrived, directory_arrived, zones_out_changed, peer_count_changed,
    peers_changed, shard_request_arrived, shard_request_cancelled,
    retry_granted, requester_lost, shard_reply_arrived, limit_grants_arrived,
    verdicts_arrived, quota_grants_arrived, version_policies_arrived,
    leader_found, peer_lost, timer_fired>;

// Actions.

/// Sends a request to an endpoint. One `attempt_ended` follows unless the
/// attempt is cancelled.
struct send_attempt {
  attempt_no Attempt;
  endpoint_no Endpoint;
  std::shared_ptr<const opaque_request> Content;
  millis Remaining; ///< until the client's deadline
  /// Idle connections must not be used: the request is not idempotent, or an
  /// attempt of it already failed on a stale connection.
  bool WantsFreshConnection = false;
};

/// Cancels an attempt immediately so that the endpoint stops processing it.
struct cancel_attempt {
  attempt_no Attempt;
  endpoint_no Endpoint;
};

/// Why the relay answers a request itself instead of forwarding a reply.
enum class relay_refusal : std::uint8_t {
  none,
  no_catalog,   ///< no catalog has arrived yet
  no_route,     ///< no route matches the request
  unauthorized, ///< the request has no valid API key
  over_quota,   ///< the account has used its quota
  no_endpoint,  ///< no endpoint was available; the request was never sent
  not_run,      ///< attempts were made, but none was executed
  few_shards,   ///< too few shards could be served; no attempt was executed
  lost, ///< it may have been executed; no reply, or too few shards replied
  quarantined, ///< endpoints went down under it; it is sent to none
  out_of_time  ///< no reply, or too few shards replied, before the deadline
};

/// Answers a client. Every request gets exactly one answer unless its client
/// has disconnected.
struct send_answer {
  query_id Request;
  std::shared_ptr<const opaque_request> Content;
  unsigned Status = 0;
  relay_refusal Reason = relay_refusal::none;
  /// Reply to forward; null if there is none.
  std::shared_ptr<const endpoint_reply> Reply;
  bool IsGathered = false; ///< `Body` merges the replies of several shards
  std::string Body;
  std::vector<std::string> Signatures; ///< of the shards in the answer
  std::uint32_t Missing = 0;           ///< number of shards not in the answer
  millis RetryAfter; ///< set if `Status` is 503 or 429, else 0
};

/// Requests are likely soon: opens a connection in advance.
struct preconnect_endpoint {
  endpoint_no Endpoint;
};

/// Sends a health check. One `probe_ended` follows.
struct probe_endpoint {
  endpoint_no Endpoint;
};

/// Adds or updates an endpoint, with at most `Connections` open connections.
struct open_endpoint {
  endpoint_no Endpoint;
  listed_endpoint Listed;
  std::string HealthPath;
  std::size_t Connections = 1;
  /// Requests are likely: one connection is opened immediately.
  bool ShouldPreconnect = false;
};

/// Removes an endpoint. Attempts in flight run to their end.
struct close_endpoint {
  endpoint_no Endpoint;
};

/// The endpoint gets no requests for a while or for good: ends the attempts
/// that wait for a connection to it as `not_sent` and closes its idle
/// connections.
struct withdraw_attempts {
  endpoint_no Endpoint;
};

/// Sends a shard request to another relay.
struct send_shard_request {
  vm_id To;
  shard_request Request;
};

/// Replies to a shard request of another relay.
struct send_shard_reply {
  requester_link To;
  shard_reply Reply;
};

/// Permits another relay to send second attempts; see `retry_granted`.
struct grant_retry {
  vm_id To;
  shard_request_id ShardRequest;
};

/// Tells another relay that no further reply is needed.
struct cancel_shard_request {
  vm_id To;
  shard_request_id ShardRequest;
  bool HasClientDisconnected = false;
};

/// Tells the registry's leader of the rate limits of endpoints that this relay
/// wants to send requests to.
struct send_limit_reports {
  std::vector<limit_report> Reports;
};

/// Tells the registry's leader of the use of the quotas of accounts.
struct send_quota_reports {
  bool IsFirst = false; ///< to this leader, or since a loss of contact
  std::vector<quota_report> Reports;
};

/// Tells the registry's leader of requests under which endpoints went down.
struct send_crash_reports {
  std::vector<crash_report> Reports;
};

/// Tells the registry's leader how the rollouts in progress fare at this relay.
struct send_rollout_reports {
  std::vector<rollout_report> Reports;
};

/// Tells the registry's leader whether this relay reaches endpoints, so that
/// other relays send it no shard requests while it does not.
struct report_reach {
  bool HasReach = true;
};

/// Requests one `timer_fired` at this time. Replaces any earlier timer.
struct set_timer {
  instant At;
};

/// Why a part is sent to an endpoint again.
enum class repeat_reason : std::uint8_t {
  hedge,
  failure, ///< the attempt before failed
  shed,    ///< the endpoint before did not run it
  slice,   ///< this relay sends it as the relay of its slice did not reply
  detour,  ///< the relay before lost its path to the endpoint
  peer     ///< requested by a relay that had requested it elsewhere before
};
inline constexpr std::size_t RepeatReasonCount = 6;

/// Repeats of parts for one reason.
struct repeat_count {
  std::uint32_t Sent = 0;
  std::uint32_t Denied = 0; ///< by the retry budget

  bool operator==(const repeat_count &) const = default;
};

/// A completed or abandoned request, for the log and the metrics.
struct request_log_event {
  std::string RequestId;
  std::string Route;
  account_name Account;                       ///< of the client; empty: none
  quota_state Quota = quota_state::unlimited; ///< of the account
  millis QuotaWait;                           ///< for a token of the account
  unsigned Status = 0;
  relay_refusal Reason = relay_refusal::none;
  catalog_version Version;
  millis Elapsed;
  millis Objective;
  millis QueueTime; ///< longest wait of a part until its first attempt
  /// Parts that were to be sent before a part that had to wait, when it began
  /// to wait; the maximum over its parts.
  std::uint32_t QueuedBehind = 0;
  millis GatherTime;          ///< from the first completed part to the answer
  std::uint32_t Shards = 0;   ///< number of requested shards
  std::uint32_t Covered = 0;  ///< number of completed parts
  std::uint32_t Attempts = 0; ///< that this relay sent to endpoints
  std::uint32_t Hedges = 0;
  std::uint32_t Retries = 0;
  std::uint32_t BudgetDenials = 0; ///< second attempts denied by the budget
  /// The attempts that took from the retry budget, or were denied by it.
  std::array<repeat_count, RepeatReasonCount> Repeats; ///< by `repeat_reason`
  /// Slices that were requested again because their relay was lost or did not
  /// reply.
  std::uint32_t SliceRetries = 0;
  bool HasClientDisconnected = false;
  bool IsFromPeer = false; ///< the request is a shard request of another relay
  /// Times that this relay reached no endpoint of the service of a part.
  std::uint32_t Unreachable = 0;
  /// Such parts that were requested from relays that may reach the endpoints.
  std::uint32_t Detours = 0;
  vm_id DetouredTo; ///< the last of these relays; 0: none
  /// Some of the shards that are not in the answer or have no available
  /// endpoint.
  std::vector<service_name> MissingShards;
};

/// Maximum number of names in `MissingShards`; keeps log lines short.
inline constexpr std::size_t MaxMissingShards = 4;

/// A failed attempt, for the log.
struct attempt_log_event {
  std::string RequestId;
  request_fingerprint Fingerprint;
  service_name Service;
  std::string Instance;
  software_version Version; ///< of the endpoint
  attempt_verdict Verdict = attempt_verdict::failure;
  unsigned Status = 0; ///< of the reply; 0 if there is none
  millis Elapsed;
};

/// An endpoint went down while it ran a request, for the log.
struct crash_log_event {
  std::string RequestId;
  request_fingerprint Fingerprint;
  std::string Instance;
  service_name Service;
};

/// Changes in the state that the relay keeps for an endpoint.
enum class endpoint_state_change : std::uint8_t {
  listed,
  gone,
  suspected,
  probe_failed,
  probe_succeeded,
  cold,
  leaving,           ///< according to the directory
  announced_leaving, ///< according to the endpoint itself
  paused,            ///< it wants no requests for a while
  invalid_retry_after,
  rate_limited,       ///< it states how many requests it takes
  rate_limit_changed, ///< it states another number
  rate_limit_lifted,
  invalid_rate_limit
};

/// A change of the state of an endpoint, for the log.
struct endpoint_log_event {
  std::string Instance;
  service_name Service;
  software_version Version;
  endpoint_state_change Change = endpoint_state_change::listed;
  millis ColdFor;         ///< remaining cold time; 0 if it does not apply
  millis PauseFor;        ///< time without requests; 0 if it does not apply
  request_rate RateLimit; ///< that it states; 0 if it does not apply
  /// Requests that this relay has sent it under the limit that is lifted.
  std::uint64_t SentUnderLimit = 0;
  /// No other endpoint of the service can get requests.
  bool IsLastOfService = false;
};

/// This relay reaches no endpoint any more, or some again; for the log.
struct reach_log_event {
  bool IsLost = false;
  std::size_t UnheardEndpoints = 0; ///< that did not reply since any other did
  millis DoubtTime;                 ///< since the second of them did not reply
};

/// Another relay was lost, did not reply in time, or replies again; for the
/// log.
struct peer_log_event {
  vm_id Peer;
  /// Of the query that detected it; empty if the link to the relay was lost.
  std::string RequestId;
  millis Backoff; ///< time for which it gets no slices; 0: it replies again
  bool IsReachLost = false; ///< it replied that it reaches no endpoint
};

/// Another relay's link was lost while this relay worked on its shard requests;
/// for the log.
struct requester_log_event {
  vm_id Address;             ///< source of the connection
  std::size_t Abandoned = 0; ///< shard requests
};

/// Why a shard reply was ignored.
enum class ignored_reply : std::uint8_t {
  not_open,   ///< its request has ended here, or was sent by another process
  other_relay ///< it is from another relay than the request was sent to
};

/// A shard reply was ignored; for the metrics.
struct ignored_reply_event {
  vm_id Peer;
  ignored_reply Reason = ignored_reply::not_open;
};

using relay_action =
    std::variant<send_attempt, cancel_attempt, send_answer, preconnect_endpoint,
                 probe_endpoint, open_endpoint, close_endpoint,
                 withdraw_attempts, send_shard_request, send_shard_reply,
                 cancel_shard_request, grant_retry, send_limit_reports,
                 send_quota_reports, send_crash_reports, send_rollout_reports,
                 report_reach, set_timer, request_log_event, attempt_log_event,
                 crash_log_event, endpoint_log_event, peer_log_event,
                 requester_log_event, ignored_reply_event, reach_log_event>;
using relay_actions = std::vector<relay_action>;

/// Return the names used in logs.
std::string_view toString(relay_refusal Reason);
std::string_view toString(attempt_verdict Verdict);
std::string_view toString(endpoint_state_change Change);
std::string_view toString(request_verdict Verdict);
std::string_view toString(quota_state State);
std::string_view toString(ignored_reply Reason);
std::string_view toString(repeat_reason Reason);

/// The log event of a change of this endpoint.
endpoint_log_event makeLogEvent(const endpoint_state &Endpoint,
                                endpoint_state_change Change,
                                millis ColdFor = {});

} // namespace bulrush::relay
