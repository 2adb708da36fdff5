/// State of the requests that the relay is processing.
#pragma once

#include "relay/endpoint_set.h"
#include "relay/latency_quantile.h"
#include "relay/route_table.h"

#include <optional>
#include <set>

namespace bulrush::relay {

/// Latency statistics and traffic split of one route. Survives catalog updates.
struct route_state {
  explicit route_state(millis Objective)
      : Median(0.5, Objective * 0.15), Tail(TailQuantile, Objective * 0.3) {}

  /// Latency quantile after which a hedge is sent.
  static constexpr double TailQuantile = 0.85;

  latency_quantile Median;
  latency_quantile Tail;
  std::map<std::string, double> Credits; ///< traffic split, by service
};

/// An attempt without a reply yet.
struct running_attempt {
  attempt_no Attempt;
  endpoint_no Endpoint;
  instant SentAt;
};

/// Progress of one part of a request.
enum class part_phase : std::uint8_t {
  waiting, ///< for endpoint capacity, retry budget or the end of a backoff
  running,
  delegated,      ///< to another relay
  unreachable,    ///< from this relay; to be requested from another one
  awaiting_grant, ///< failed; retried once the requester grants it
  done,
  failed
};

/// The part of a request that one service handles: one shard of a query, or the
/// whole request.
struct request_part {
  service_state *Service = nullptr;
  part_phase Phase = part_phase::waiting;
  std::vector<running_attempt> Running;
  std::vector<endpoint_no> Tried;
  std::uint32_t Sends = 0;      ///< attempts, including those that were not run
  std::uint32_t Deliveries = 0; ///< attempts that reached an endpoint
  std::uint32_t PossibleRuns = 0; ///< attempts that may have been executed
  instant NotBefore{-1e300};      ///< end of the shed or budget backoff
  millis ShedBackoff;             ///< most recent backoff after a shed
  std::uint32_t Detours = 0;  ///< requests to relays that may reach endpoints
  bool IsUnreachable = false; ///< failed since no endpoint was reachable
  bool IsBudgetDenied = false;
  /// Of the next attempt, if it is a further one and no hedge.
  repeat_reason RepeatReason = repeat_reason::failure;
  bool HasWaited = false;          ///< in the queue of its service
  std::optional<work_item> Queued; ///< set while it waits there
  bool WasOffered = false; ///< to the endpoints, whether or not one accepted
  bool HitStaleConnection = false;               ///< in an earlier attempt
  std::shared_ptr<const endpoint_reply> Reply;   ///< set when done
  std::shared_ptr<const endpoint_reply> Failure; ///< most recent error reply

  /// Whether the next attempt is the first one, here and at other relays.
  bool isUnsent() const { return Sends == 0 && Deliveries == 0; }
};

/// The relay from which a slice is requested.
struct slice_target {
  vm_id To;
  vm_id Fallback;           ///< used if `To` does not reply; 0: none
  bool IsCrossZone = false; ///< the relay is in another zone
  /// Attempts of these parts that may have been executed before.
  std::uint32_t PriorRuns = 0;
};

/// A shard request that was sent for one slice.
struct slice_request {
  shard_request_id Id;
  slice_target Target;
  std::vector<std::size_t> Parts;
  instant RetryAt = Never; ///< without any reply, it is retried then
  bool HasReplied = false;
  bool IsRetryGranted = false; ///< the relay may retry parts; no other may
  bool IsRetried = false;      ///< its parts were also requested elsewhere
  bool IsEnded = false;        ///< no further reply can arrive
  bool IsNotRun = false; ///< the relay states that no endpoint executed a part
};

/// Parts whose records another relay has already merged.
struct merged_parts {
  std::vector<std::string> Signatures;
  std::string Records;
};

/// The relay that sent a shard request, and what was replied to it so far.
struct requester_state {
  requester_link From;
  shard_request_id ShardRequest;      ///< unique at the requester only
  std::shared_ptr<const route> Route; ///< built from the shard request
  instant FirstReplyAt; ///< a first reply is sent by then, even without results
  bool HasSentReply = false;
  bool WantsRetry = false;
  bool MayRetry = false;        ///< granted by the requester
  std::vector<bool> IsReported; ///< by part: included in a reply
};

/// One request from its arrival until its answer.
struct request_state {
  query_id Id;
  std::shared_ptr<const opaque_request> Content;
  std::shared_ptr<const route_table> Table; ///< at arrival; owns `Route`
  const route *Route = nullptr;
  route_state *RouteState = nullptr;
  /// Priority of the account, else of the route; 0 is the highest.
  std::uint32_t Urgency = 0;
  instant ArrivedAt;
  instant HedgeAt;      ///< running parts are hedged from then on
  instant SoftDeadline; ///< latest answer that meets the objective
  /// A request that is not a query is refused then, if it still waits and no
  /// endpoint may have executed it.
  instant GiveUpAt;
  instant Deadline;
  /// When endpoints that have not replied to a query are suspected; `Never`
  /// once that is done.
  instant OverdueAt = Never;
  instant WakeAt = Never;      ///< earliest scheduled wake-up
  instant FirstPartAt = Never; ///< when the first part completed
  std::vector<request_part> Parts;
  std::vector<slice_request> SliceRequests;
  std::vector<merged_parts> Merged;
  instant SliceRetryAt = Never; ///< earliest `RetryAt` of the slices
  /// Retry delay that another relay gave for its refusal; 0: none.
  millis RetryAfterElsewhere;
  /// Relays that do not reach the endpoints of some parts, and their zones.
  std::vector<vm_id> RelaysWithoutPath;
  std::set<std::string> ZonesWithoutPath;
  std::optional<requester_state> Requester; ///< set for a shard request
  request_log_event LogEvent;

  /// Whether the answer merges the replies of several shards.
  bool isGathered() const { return !Route->Gather.Shards.empty(); }
  std::uint32_t completedParts() const;
  /// Number of parts that an answer needs: the minimum coverage of the route
  /// times the number of parts, rounded up, at least 1.
  std::uint32_t requiredParts() const;
  bool hasEnoughParts() const { return completedParts() >= requiredParts(); }
  /// Whether the part was requested from a relay that may still reply.
  bool isDelegated(std::size_t Index) const;
  /// Whether the part is done, or has failed and no relay can still reply.
  bool isSettled(std::size_t Index) const;
  bool mayHaveRun() const; ///< whether an endpoint may have executed it
};

} // namespace bulrush::relay
