/// A bounded memory of recent decisions, for `bulrushctl explain`.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/ids.h"
#include "bulrushtray/outcome.h"
#include "query/router_events.h"

#include <string>
#include <vector>

namespace bulrush::query {

/// How one attempt ended, as far as the query waited for it.
enum class attempt_state : std::uint8_t {
  pending,   ///< no reply yet
  covered,   ///< its result is in the answer
  failed,    ///< refused, lost or of another snapshot
  cancelled, ///< no longer needed
};

/// One attempt to have one shard searched.
struct attempt_record {
  shard_id Shard;
  endpoint_id Endpoint;
  vm_id Owner;
  float SentAfterMs = 0;  ///< since the query arrived
  float EndedAfterMs = 0; ///< since the query arrived
  bool IsPrimary = true;
  retry_reason Cause = retry_reason::hedge; ///< when not the primary
  attempt_state State = attempt_state::pending;
  refusal Reason = refusal::none; ///< when failed
};

/// Why a shard got no hedge although it was late.
enum class hedge_denial : std::uint8_t {
  none,
  no_budget,
  no_replica,
  too_many_open,
  latency_shifted
};

/// One query and all that was decided about it.
struct query_record {
  query_id Query;
  std::string RequestId;
  caller_id Caller;
  pool_id Pool;
  intent_name Intent;
  revision Revision; ///< of the configuration that it was matched with
  bool IsCommand = false;
  snapshot_id Snapshot;
  snapshot_id Newest; ///< that any endpoint held
  std::uint32_t Promised = 0;
  std::uint32_t Covered = 0;
  std::uint32_t Total = 0;
  outcome Outcome = outcome::unknown;
  refusal Reason = refusal::none;
  instant Arrived;
  millis Elapsed;
  std::uint32_t Repins = 0; ///< restarts on another snapshot
  hedge_denial HedgeDenial = hedge_denial::none; ///< the last one
  std::vector<attempt_record> Attempts;
};

/// The last queries, oldest overwritten first.
class explain_memory {
public:
  explicit explain_memory(std::uint32_t Queries) : Ring(Queries) {}

  /// The place for the next record, with its vectors emptied but not freed.
  /// Null when the memory has no room for any.
  query_record *next();

  /// The latest record of a caller's request id; null when forgotten.
  const query_record *findRequest(const std::string &RequestId) const;

  /// The records with an attempt at `Endpoint`, latest first.
  std::vector<const query_record *> findEndpoint(endpoint_id Endpoint,
                                                 std::size_t Limit) const;

  /// The records with an attempt at any of `Endpoints`, latest first. With the
  /// endpoints of a zone it tells of the zone.
  std::vector<const query_record *>
  findAny(const std::vector<endpoint_id> &Endpoints, std::size_t Limit) const;

private:
  const query_record &latest(std::size_t Back) const;
  std::size_t size() const;

  std::vector<query_record> Ring;
  std::uint64_t Written = 0;
};

std::string_view toString(attempt_state State);
std::string_view toString(hedge_denial Denial);

} // namespace bulrush::query
