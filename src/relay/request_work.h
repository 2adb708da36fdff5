/// One request under way in the relay.
#pragma once

#include "relay/endpoint_set.h"
#include "relay/latency_quantile.h"
#include "relay/route_table.h"

#include <optional>

namespace bulrush::relay {

/// What was learnt of one route; kept over versions of the catalog.
struct route_state {
  explicit route_state(millis Objective)
      : Median(0.5, Objective * 0.15), Slow(SlowShare, Objective * 0.3) {}

  /// The share of attempts that end before a hedge is sent.
  static constexpr double SlowShare = 0.93;

  latency_quantile Median;
  latency_quantile Slow;
  std::map<std::string, double> Credits; ///< of the split, by service
};

struct running_attempt {
  attempt_no Attempt;
  endpoint_no Endpoint;
  instant SentAt;
};

enum class part_phase : std::uint8_t {
  waiting, ///< for an endpoint that can take it
  running,
  delegated, ///< of another relay
  held,      ///< failed; sent again once the asker grants it
  done,
  failed
};

/// What one service is asked for: a shard, or the whole request.
struct request_part {
  service_state *Service = nullptr;
  part_phase Phase = part_phase::waiting;
  std::vector<running_attempt> Running;
  std::vector<endpoint_no> Tried;
  std::uint32_t Sends = 0;
  std::uint32_t Arrivals = 0; ///< sendings that reached an endpoint
  std::uint32_t Runs = 0;     ///< sendings that may have run
  instant NotBefore{-1e300};  ///< after endpoints have shed it
  millis ShedPause;           ///< the last one
  bool IsHedgeDenied = false;
  bool HitStaleConnection = false; ///< an attempt was lost on a kept connection
  std::shared_ptr<const endpoint_reply> Reply;   ///< done: its result
  std::shared_ptr<const endpoint_reply> Failure; ///< the last failing reply
};

/// Whom a slice is asked of.
struct slice_target {
  vm_id To;
  vm_id Other;              ///< asked where `To` does not answer; 0: none
  bool IsCrossZone = false; ///< in another zone
  bool IsRetry = false;     ///< another relay was asked before
};

/// A slice that another relay was asked for.
struct slice_request {
  shard_request_id Id;
  slice_target Target;
  std::vector<std::size_t> Parts;
  bool HasReplied = false;
  bool IsGranted = false;  ///< it may send parts again, so no other relay may
  bool IsReplaced = false; ///< another relay was asked for its parts as well
  bool IsEnded = false;
};

/// Parts that another relay has merged.
struct merged_parts {
  std::vector<std::string> Signatures;
  std::string Records;
};

/// Where the work comes from when another relay asked for it.
struct requester_state {
  vm_id From;
  shard_request_id ShardRequest;
  std::shared_ptr<const route> Route; ///< of the asker, as far as it said
  instant CheckAt; ///< the asker hears by then that this relay lives
  bool HasChecked = false;
  bool WantsRetry = false;
  bool MayRetry = false;        ///< granted by the asker
  std::vector<bool> IsReported; ///< by part
};

struct request_work {
  query_id Request;
  std::shared_ptr<const opaque_request> Content;
  std::shared_ptr<const route_table> Table; ///< pinned at its arrival
  const route *Route = nullptr;
  route_state *Learnt = nullptr;
  instant ArrivedAt;
  instant HedgeAt;      ///< parts that still run get a second attempt
  instant SoftDeadline; ///< a later answer earns less
  instant GiveUpAt;     ///< a request that was sent to no endpoint is refused
  instant Deadline;
  instant WakeAt = Never; ///< the next look at it
  instant FirstPartAt = Never;
  std::vector<request_part> Parts;
  std::vector<slice_request> ShardRequests;
  std::vector<merged_parts> Merged;
  instant SliceRetryAt; ///< slices without any reply are asked for again
  std::optional<requester_state> Requester;
  request_log_event LogEvent;

  bool isGathered() const { return !Route->Gather.Shards.empty(); }
  std::uint32_t covered() const;
  std::uint32_t leastCovered() const;
  bool isCoveredEnough() const { return covered() >= leastCovered(); }
  /// Whether a relay was asked for the part and may still reply.
  bool isDelegated(std::size_t Place) const;
  /// Whether nothing more can come for the part.
  bool isSettled(std::size_t Place) const;
  bool hasRun() const; ///< whether an endpoint may have run it
};

} // namespace bulrush::relay
