/// Messages between the routers and the owners of endpoints.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/ids.h"
#include "bulrushtray/outcome.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrush::query {

/// A body that messages share without copying it.
using shared_body = std::shared_ptr<const std::string>;

/// One attempt to search one shard, or to execute one command, at one endpoint.
struct sub_request {
  sub_id Sub;
  query_id Query;
  endpoint_id Endpoint;
  shard_id Shard;
  snapshot_id Snapshot;
  std::uint32_t Attempt = 0; ///< 0 for the primary attempt
  bool IsHedge = false;
  bool IsCommand = false; ///< non-idempotent, so sent at most once
  double Weight = 1;      ///< the weight of the matched intent
  caller_id Caller;
  idempotency_key Key; ///< only of a command
};

/// The sub-requests of one query that go to one owner.
struct sub_batch {
  vm_id From;
  millis Remaining; ///< time until the query's deadline when the batch is sent
  shared_body Body; ///< the caller's query
  std::vector<sub_request> Items;
  incarnation_id Incarnation = {}; ///< of the sender; set by the link layer
};

/// The result of one sub-request.
struct sub_reply {
  sub_id Sub;
  query_id Query;
  endpoint_id Endpoint;
  shard_id Shard;
  snapshot_id Snapshot;
  outcome Outcome = outcome::unknown;
  refusal Reason = refusal::none;
  shared_body Body;   ///< the endpoint's result if answered
  millis QueueTime;   ///< wait in the queue of the owner
  millis ServiceTime; ///< from sending to the reply, measured by the owner
  millis RetryAfter;  ///< of a refusal: suggested delay before a retry
};

/// Returns a reply that identifies `Request`, with its other fields unset.
inline sub_reply replyTo(const sub_request &Request) {
  sub_reply Reply;
  Reply.Sub = Request.Sub;
  Reply.Query = Request.Query;
  Reply.Endpoint = Request.Endpoint;
  Reply.Shard = Request.Shard;
  Reply.Snapshot = Request.Snapshot;
  return Reply;
}

/// The shards of one snapshot that an endpoint holds.
struct held_snapshot {
  snapshot_id Snapshot;
  std::uint32_t TotalShards = 0;
  std::vector<shard_id> Shards;

  bool operator==(const held_snapshot &) const = default;
};

/// State of an endpoint as its owner sees it.
enum class endpoint_condition : std::uint8_t {
  unknown,  ///< no report yet, or the lease of its owner has expired
  cold,     ///< may be slow, for example after a restart; uses few slots
  warm,     ///< all slots may be used
  shedding, ///< warm, but has shed requests; uses fewer slots
  leaving,  ///< gets no new requests
  lost      ///< unreachable according to health checks
};

/// The state of an endpoint, which its owner publishes to all entry daemons.
struct endpoint_report {
  endpoint_id Endpoint;
  endpoint_condition Condition = endpoint_condition::unknown;
  std::uint32_t Limit = 0; ///< current limit on requests in flight
  std::uint32_t Queued = 0;
  std::vector<held_snapshot> Held;
  std::uint64_t WarmGeneration = 0; ///< generation last seen warm; 0 for none
};

} // namespace bulrush::query
