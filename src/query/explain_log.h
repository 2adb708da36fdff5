/// A bounded log of recent queries and routing decisions, for `bulrushctl
/// explain`.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/ids.h"
#include "bulrushtray/outcome.h"
#include "query/router_events.h"

#include <string>
#include <vector>

namespace bulrush::query {

/// State of one attempt. Replies after its cancellation or after the answer of
/// the query do not change it.
enum class attempt_state : std::uint8_t {
  pending,   ///< no reply yet
  covered,   ///< its result is in the answer
  failed,    ///< refused, lost or for a different snapshot
  cancelled, ///< no longer needed
};

/// One attempt to search one shard or to execute a command.
struct attempt_record {
  shard_id Shard;
  endpoint_id Endpoint;
  vm_id Owner;
  float SentAfterMs = 0;  ///< time since the query arrived
  float EndedAfterMs = 0; ///< time since the query arrived
  bool IsPrimary = true;
  retry_reason Cause = retry_reason::hedge; ///< only if not the primary attempt
  attempt_state State = attempt_state::pending;
  refusal Reason = refusal::none; ///< only if failed
};

/// Why a due hedge was not sent.
enum class hedge_denial : std::uint8_t {
  none,
  no_budget,
  no_replica,
  too_many_open,
  latency_shifted
};

/// One query and the decisions made for it.
struct query_record {
  query_id Query;
  std::string RequestId;
  caller_id Caller;
  pool_id Pool;
  intent_name Intent;
  revision Revision; ///< revision of the configuration in use when it arrived
  bool IsCommand = false;
  snapshot_id Snapshot;
  snapshot_id Newest;         ///< newest snapshot that any endpoint held
  std::uint32_t Promised = 0; ///< shards with a usable holder when pinned
  std::uint32_t Covered = 0;  ///< number of shards in the answer
  std::uint32_t Total = 0;    ///< number of shards of the snapshot
  outcome Outcome = outcome::unknown;
  refusal Reason = refusal::none;
  instant Arrived;
  millis Elapsed;
  std::uint32_t Restarts = 0; ///< number of restarts on another snapshot
  hedge_denial HedgeDenial = hedge_denial::none; ///< the most recent one
  std::vector<attempt_record> Attempts;
};

/// A ring buffer of the most recent query records.
class explain_log {
public:
  explicit explain_log(std::uint32_t Capacity) : Ring(Capacity) {}

  /// Returns the record to fill in next, with its request id and attempts
  /// cleared but their memory kept. Returns null if the capacity is 0.
  query_record *nextRecord();

  /// Returns the latest record with a caller's request id, or null if there is
  /// none (any more).
  const query_record *findByRequestId(const std::string &RequestId) const;

  /// Returns up to `Limit` records with an attempt at `Endpoint`, latest first.
  std::vector<const query_record *> findByEndpoint(endpoint_id Endpoint,
                                                   std::size_t Limit) const;

  /// Returns up to `Limit` records with an attempt at any of `Endpoints`,
  /// latest first; with the endpoints of a zone, the records of that zone.
  std::vector<const query_record *>
  findByAnyEndpoint(const std::vector<endpoint_id> &Endpoints,
                    std::size_t Limit) const;

private:
  /// Returns the record before which `Age` newer ones exist.
  const query_record &recordByAge(std::size_t Age) const;
  std::size_t size() const;

  std::vector<query_record> Ring;
  std::uint64_t WrittenCount = 0;
};

std::string_view toString(attempt_state State);
std::string_view toString(hedge_denial Denial);

} // namespace bulrush::query
