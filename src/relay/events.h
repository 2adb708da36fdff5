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
using ask_no = numbered<struct ask_tag, std::uint64_t>;

/// Asks another relay for some shards of a query.
struct shard_ask {
  ask_no Ask;
  std::shared_ptr<const opaque_request> Content;
  std::vector<service_name> Shards;
  std::string RouteKey; ///< what is learnt of latencies is kept by it
  std::uint32_t TopRecords = 0;
  std::uint32_t MaxAttempts = 1;
  millis Objective;
  millis AnswerIn;  ///< a later reply earns less
  millis Remaining; ///< until the client's deadline
  /// Another relay was asked before: the sendings count against the budgets.
  bool IsRepeat = false;
};

/// What has become of an ask since the last reply to it.
struct shard_reply {
  ask_no Ask;
  std::vector<std::uint32_t> Covered;  ///< places in the ask
  std::vector<std::string> Signatures; ///< of the parts that are covered
  std::string Records;                 ///< the greatest of these parts
  bool IsFinal = false;                ///< nothing further comes
  /// The relay wants to send parts a second time; until the asker grants it,
  /// the asker may give them to another relay.
  bool WantsRepeat = false;
};

// Events.

/// How far away a client is.
struct client_distance {
  millis RoundTrip; ///< 0: unknown
  /// It opened its connection for this request.
  bool IsOnNewConnection = false;
};

/// `Request` must be new in this life of the process.
struct request_arrived {
  query_id Request;
  std::shared_ptr<const opaque_request> Content;
  millis Patience; ///< the client waits no longer; 0 when it does not say
  client_distance Client;
};

/// How an attempt ended.
enum class attempt_end : std::uint8_t {
  replied,
  not_sent,    ///< no connection; nothing was sent
  lost,        ///< the connection broke after sending began; it may have run
  turned_away, ///< like `lost`; the endpoint accepts no further connection now
  forgotten,   ///< like `lost`; the endpoint had let go of a kept connection
  garbled      ///< the reply is no whole message; it ran
};

struct attempt_ended {
  attempt_no Attempt;
  attempt_end End = attempt_end::lost;
  std::shared_ptr<const endpoint_reply> Reply; ///< when replied
};

struct client_left {
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

struct zones_out_arrived {
  std::set<std::string> Zones;
};

/// How many daemons share the endpoints, this one included.
struct peers_counted {
  std::uint32_t Count = 1;
};

/// The relays that take part, this one included.
struct peers_arrived {
  std::vector<relay_peer> Peers;
};

struct ask_arrived {
  vm_id From;
  shard_ask Ask;
};

/// The asker needs no further reply.
struct ask_cancelled {
  vm_id From;
  ask_no Ask;
  bool HasClientLeft = false;
};

/// The asker gives the shards of this ask to no other relay.
struct repeat_granted {
  vm_id From;
  ask_no Ask;
};

struct ask_replied {
  vm_id From;
  shard_reply Reply;
};

/// The link to a relay is down; what it was asked may be lost.
struct peer_lost {
  vm_id Peer;
};

struct timer_fired {};

using relay_event =
    std::variant<request_arrived, attempt_ended, client_left, probe_ended,
                 catalog_arrived, directory_arrived, zones_out_arrived,
                 peers_counted, peers_arrived, ask_arrived, ask_cancelled,
                 repeat_granted, ask_replied, peer_lost, timer_fired>;

// Actions.

/// Ends with one `attempt_ended`, unless it is cancelled.
struct send_attempt {
  attempt_no Attempt;
  endpoint_no Endpoint;
  std::shared_ptr<const opaque_request> Content;
  millis Remaining; ///< until the client's deadline
  /// Not on a connection that has rested: the request cannot be repeated, or
  /// was lost on such a one.
  bool WantsFresh = false;
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
struct give_answer {
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
struct warm_endpoint {
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
  bool IsWarm = false;
};

/// Nothing further is sent to it once its attempts have ended.
struct close_endpoint {
  endpoint_no Endpoint;
};

struct send_ask {
  vm_id To;
  shard_ask Ask;
};

struct send_reply {
  vm_id To;
  shard_reply Reply;
};

struct grant_repeat {
  vm_id To;
  ask_no Ask;
};

struct cancel_ask {
  vm_id To;
  ask_no Ask;
  bool HasClientLeft = false;
};

/// One `timer_fired` is wanted at this time; replaces the one before.
struct wake_at {
  instant At;
};

/// What one request took, for the log and the statistics.
struct request_note {
  std::string RequestId;
  std::string Route;
  unsigned Status = 0;
  relay_refusal Reason = relay_refusal::none;
  catalog_version Version;
  millis Took;
  millis Objective;
  millis Queued;            ///< the longest that a part waited to be sent
  millis Gathering;         ///< from the first part to the answer
  std::uint32_t Shards = 0; ///< that were asked for
  std::uint32_t Covered = 0;
  std::uint32_t Hedges = 0;
  std::uint32_t Retries = 0;
  std::uint32_t Starved = 0; ///< further attempts that the budget denied
  std::uint32_t Repeats = 0; ///< slices that another relay was asked for again
  bool ClientLeft = false;
  bool IsAsk = false; ///< by another relay
  /// Some of the shards that are left out, or for which nothing has room.
  std::vector<service_name> Lacking;
};

/// More names would make lines long and say no more.
inline constexpr std::size_t MaxLacking = 4;

/// One attempt that did not end as wanted.
struct attempt_note {
  std::string RequestId;
  service_name Service;
  std::string Instance;
  attempt_verdict Verdict = attempt_verdict::failure;
  unsigned Status = 0; ///< of the reply, where there is one
  millis Took;
};

/// Why the relay changed what it believes of an endpoint.
enum class belief_change : std::uint8_t {
  listed,
  gone,
  suspected,
  probe_failed,
  probe_succeeded,
  cold,
  leaving
};

struct belief_note {
  std::string Instance;
  service_name Service;
  belief_change Change = belief_change::listed;
  millis Detail; ///< how long it stays cold
};

/// A relay was not heard in time, or is again.
struct peer_note {
  vm_id Peer;
  std::string RequestId; ///< of the query that shows it
  millis PassedOverFor;  ///< 0: it is asked again
};

using relay_action =
    std::variant<send_attempt, cancel_attempt, give_answer, warm_endpoint,
                 probe_endpoint, open_endpoint, close_endpoint, send_ask,
                 send_reply, cancel_ask, grant_repeat, wake_at, request_note,
                 attempt_note, belief_note, peer_note>;
using relay_actions = std::vector<relay_action>;

/// The names used in logs.
std::string_view toString(relay_refusal Reason);
std::string_view toString(attempt_verdict Verdict);
std::string_view toString(belief_change Change);

} // namespace bulrush::relay
