/// Messages between the entry side and the owner side of the data path.
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

/// A body that several messages share without copying it.
using shared_body = std::shared_ptr<const std::string>;

/// One attempt to have one shard searched, or one command run, at one endpoint.
struct sub_request {
  sub_id Sub;
  query_id Query;
  endpoint_id Endpoint;
  shard_id Shard;
  snapshot_id Snapshot;
  std::uint32_t Attempt = 0; ///< 0 for the primary
  bool IsHedge = false;
  bool IsCommand = false; ///< non-idempotent: sent at most once
  double Weight = 1;      ///< the weight of the matched intent
  caller_id Caller;
  idempotency_key Key; ///< of a command
};

/// Sub-requests of one query for one owner.
struct sub_batch {
  vm_id From;
  millis
      Remaining; ///< until the query's deadline, counted from when it is sent
  shared_body Body; ///< the caller's query
  std::vector<sub_request> Items;
  incarnation_id Incarnation = {}; ///< of the sender; the link layer sets it
};

/// How one sub-request ended.
struct sub_reply {
  sub_id Sub;
  query_id Query;
  endpoint_id Endpoint;
  shard_id Shard;
  snapshot_id Snapshot;
  outcome Outcome = outcome::unknown;
  refusal Reason = refusal::none;
  shared_body Body;   ///< the endpoint's result when answered
  millis QueueTime;   ///< at the owner
  millis ServiceTime; ///< from sending to the reply, seen by the owner
  millis RetryAfter;  ///< for refusals: when a retry is worth while
};

/// A reply to `Request` in which only its identity is set.
inline sub_reply replyTo(const sub_request &Request) {
  sub_reply Reply;
  Reply.Sub = Request.Sub;
  Reply.Query = Request.Query;
  Reply.Endpoint = Request.Endpoint;
  Reply.Shard = Request.Shard;
  Reply.Snapshot = Request.Snapshot;
  return Reply;
}

/// What an endpoint holds of one snapshot.
struct held_snapshot {
  snapshot_id Snapshot;
  std::uint32_t TotalShards = 0;
  std::vector<shard_id> Shards;

  bool operator==(const held_snapshot &) const = default;
};

/// How much work an endpoint may be given now, as its owner sees it.
enum class endpoint_condition : std::uint8_t {
  unknown,
  cold,
  warm,
  shedding,
  leaving,
  lost
};

/// What an owner tells all entry daemons of one of its endpoints.
struct endpoint_report {
  endpoint_id Endpoint;
  endpoint_condition Condition = endpoint_condition::unknown;
  std::uint32_t Limit = 0; ///< in-flight requests allowed now
  std::uint32_t Queued = 0;
  std::vector<held_snapshot> Held;
  std::uint64_t WarmGeneration =
      0; ///< life in which it was seen warm last; 0 for none
};

} // namespace bulrush::query
