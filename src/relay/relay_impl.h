/// Implementation of the relay; see relay.h.
#pragma once

#include "query/wake_queue.h"
#include "relay/account_table.h"
#include "relay/crash_detector.h"
#include "relay/reach_monitor.h"
#include "relay/relay.h"
#include "relay/request_quarantine.h"
#include "relay/request_state.h"
#include "relay/return_time.h"
#include "relay/rollout_tally.h"
#include "relay/start_queue.h"

namespace bulrush::relay {

/// How long the attempts of an answered request may continue before they are
/// cancelled. An attempt that ends within this time keeps its connection usable
/// and its latency is recorded. A longer one makes its endpoint suspect, also
/// if the request is not answered yet.
inline constexpr millis LingerTime{250};
/// Share of the objective after which a slice without any reply is requested
/// from another relay. A working relay sends its first reply by 0.3 of the
/// objective (`FirstReplyShare`). One that has not replied by this time is
/// unlikely to reply in time.
inline constexpr double SliceRetryShare = 0.5;

inline bool isServerError(unsigned Status) { return Status >= 500; }

class relay::impl {
public:
  impl(relay_settings Settings, std::uint64_t Seed);

  void step(const relay_event &Event, instant Now, relay_actions &Actions);
  std::size_t active() const {
    return ActiveRequests.size() + StartQueue.size() + Quotas.waiting();
  }
  bool isReady() const { return Table && HasDirectory; }
  relay_gauges gauges(instant At) const;
  std::map<account_name, quota_counters> quotas(instant At) const {
    return Quotas.counters(At);
  }
  catalog_version version() const {
    return Table ? Table->content().Version : catalog_version{};
  }

private:
  /// The request, the part and the endpoint of an attempt.
  struct attempt_context {
    query_id Request;
    std::size_t Part = 0;
    endpoint_no Endpoint;
    instant SentAt;
    route_state *RouteState = nullptr;
    rollout_id Rollout;    ///< in progress when it was sent; 0: none
    bool IsTarget = false; ///< it went to the target of the rollout
    service_state *Service = nullptr;
  };

  // relay.cpp: events and admission
  void on(const request_arrived &Event);
  void on(const attempt_ended &Event);
  void on(const client_disconnected &Event);
  void on(const probe_ended &Event);
  void on(const catalog_arrived &Event);
  bool isNewer(const catalog_arrived &Event) const;
  void on(const directory_arrived &Event);
  void on(const zones_out_changed &Event);
  void on(const peer_count_changed &Event);
  void on(const peers_changed &Event);
  void on(const shard_request_arrived &Event);
  void on(const shard_request_cancelled &Event);
  void on(const retry_granted &Event);
  void on(const requester_lost &Event);
  void on(const shard_reply_arrived &Event);
  void on(const limit_grants_arrived &Event);
  void on(const quota_grants_arrived &Event);
  void on(const verdicts_arrived &Event);
  void on(const version_policies_arrived &Event);
  void on(const leader_found &Event);
  void on(const peer_lost &Event);
  void on(const timer_fired &Event);
  void admit(const request_arrived &Event, instant ArrivedAt);
  void admit(const shard_request_arrived &Event, instant ArrivedAt);
  void admitQueued();
  void armTimer();
  void updateReach();
  void scheduleWake(request_state &Request, instant At);
  void handleWake(request_state &Request);
  request_state *find(query_id Id);
  instant hedgeTime(const request_state &Request) const;
  void sendHedges(request_state &Request);
  millis networkDelay(client_path Client) const;
  void setDeadlines(request_state &Request, instant ArrivedAt,
                    millis ClientTimeout, client_path Client) const;
  service_name pickTarget(request_state &Request) const;
  bool hasEnoughServableShards(request_state &Request, instant LatestAt) const;

  // relay_accounts.cpp: accounts of the clients
  /// A request of a client and its account.
  struct identified_request {
    std::shared_ptr<const opaque_request> Content; ///< to forward
    const account *Account = nullptr;
    bool IsAuthorized = false;
  };
  /// A request that waits for a token of its account.
  struct quota_waiter {
    request_arrived Event;
    instant ArrivedAt;
  };
  void admit(const request_arrived &Event, instant ArrivedAt,
             const quota_decision *Decision);
  void begin(const request_arrived &Event, instant ArrivedAt,
             const route &Route, const identified_request &Identified,
             const quota_decision &Decision);
  void apply(const std::vector<quota_decision> &Decisions);
  void reportQuotas();
  identified_request
  identify(const std::shared_ptr<const opaque_request> &Content,
           const route &Route) const;

  void countActive(const request_state &Request, int Change);
  bool isBesideLarger(const account_name &Account) const;

  // relay_order.cpp: parts that wait for an endpoint
  work_item itemOf(const request_state &Request,
                   const request_part &Part) const;
  void enqueue(request_state &Request, request_part &Part);
  static void unqueue(request_part &Part);
  bool isBehind(const request_state &Request, const request_part &Part) const;
  bool isHopeless(const request_state &Request, const request_part &Part) const;
  bool isNextInTime(const request_state &Request,
                    const request_part &Part) const;
  void markFreed(service_state &Service);
  void markAllFreed();
  void dispatchFreed();
  void dispatch(service_state &Service);
  bool startNext(service_state &Service, std::vector<work_item> &Blocked);
  void endWaitForCold(service_state &Service);

  // relay_attempts.cpp: attempts of one part
  instant waitLimit(const request_state &Request) const;
  instant replyNeededBy(const request_state &Request) const;
  static instant cancelDueAt(const request_state &ShardRequest);
  reply_timing replyTiming(const request_state &Request) const;
  void startPart(request_state &Request, request_part &Part,
                 bool IsNext = false);
  bool sendPart(request_state &Request, request_part &Part,
                const reply_timing &Timing, repeat_reason Reason,
                double Reserve = 0);
  void sendHedge(request_state &Request, request_part &Part);
  bool mayHedge(const request_state &Request, const request_part &Part) const;
  void handleReply(request_state &Request, request_part &Part, endpoint_no From,
                   const attempt_ended &Event);
  void retryPart(request_state &Request, request_part &Part);
  void backOffAfterShed(request_part &Part, endpoint_no Endpoint);
  void applyStatements(endpoint_state &Endpoint, const endpoint_reply &Reply,
                       instant SentAt);
  void announceLeaving(const std::vector<endpoint_identity> &Endpoints);
  static instant latestSendAfterPause(const request_state &Request);
  instant pauseEndInTime(const request_state &Request,
                         const request_part &Part) const;
  attempt_verdict verdictOf(const request_state *Request,
                            const attempt_ended &Event) const;
  void noteLost(const request_state &Request, const attempt_context &Attempt,
                attempt_end End);
  void noteReach(endpoint_no Endpoint, attempt_end End);
  void noteCrashes(const probe_ended &Event);
  void reportCrashes();
  void recordLatency(route_state &RouteState, millis Elapsed);
  void logAttempt(const request_state &Request, const request_part &Part,
                  const endpoint_state *Endpoint, attempt_verdict Verdict,
                  const attempt_ended &Event, millis Elapsed);

  // relay_slices.cpp: shard requests to other relays; relay_peer_requests.cpp:
  // shard requests of other relays
  void scatter(request_state &Request);
  void updateSlicedServices();
  void updatePlannedRelays();
  void preconnectSlices();
  static vm_id fallbackFor(const slice &Slice, vm_id To);
  vm_id pickPeer(vm_id Primary, vm_id Backup) const;
  vm_id pickRepeater(const request_state &Request,
                     const std::vector<std::size_t> &Parts,
                     const slice_target &Old) const;
  vm_id pickPlanned(const request_state &Request,
                    const std::vector<std::size_t> &Parts, vm_id Excluded,
                    bool TakesUnresponsive) const;
  std::string zoneOf(vm_id Relay) const;
  void repeatLocally(request_state &Request,
                     const std::vector<std::size_t> &Parts);
  void sendShardRequest(request_state &Request,
                        const std::vector<std::size_t> &Parts,
                        const slice_target &Target);
  void startLocally(request_state &Request,
                    const std::vector<std::size_t> &Parts);
  void retrySlice(request_state &Request, std::size_t Index);
  void retryUnansweredSlices(request_state &Request);
  void markUnresponsive(vm_id Peer, const std::string &RequestId);
  void markResponsive(vm_id Peer, const std::string &RequestId);
  static void failUnansweredParts(request_state &Request,
                                  const std::vector<std::size_t> &Parts);
  void handleSliceReply(request_state &Request, slice_request &Slice,
                        const shard_reply &Reply);
  void addWholeReply(request_state &Request, const shard_reply &Reply);
  void addMergedParts(request_state &Request, const slice_request &Slice,
                      const shard_reply &Reply);
  void cancelShardRequests(const request_state &Request,
                           bool HasClientDisconnected);
  void settlePeerRequest(request_state &Request);
  void logPeerRequest(request_state &Request);
  bool mayRetry(request_state &Request);
  static bool hasUnsentParts(const request_state &Request);
  void replyToRequester(request_state &Request, bool IsFinal);
  void addEndpointReply(const request_state &Request, shard_reply &Reply);

  // relay_detours.cpp: parts whose endpoints only other relays reach
  bool isUnreachable(const request_part &Part) const;
  bool mayDetour(const request_state &Request, const request_part &Part) const;
  void markUnreachable(request_state &Request, request_part &Part);
  void detour(request_state &Request);
  const relay_peer *pickDetour(const request_state &Request) const;
  bool isInBackoff(vm_id Peer) const;
  void restartUnreachable(request_state &Request, const slice_request &Slice,
                          const shard_reply &Reply);
  void interruptRunning(request_state &Request);
  void markWithoutReach(vm_id Peer, const std::string &RequestId);

  // relay_rollouts.cpp: counts and reports of rollouts in progress
  void noteVersionSent(service_state &Service, const endpoint_state &To,
                       attempt_context &Attempt, bool IsFirstAttempt);
  attempt_outcome outcomeOf(const endpoint_state &Endpoint,
                            attempt_verdict Verdict, attempt_end End) const;
  void noteVersionEnded(const attempt_context &Attempt,
                        const endpoint_state &Endpoint, attempt_verdict Verdict,
                        attempt_end End);
  void noteVersionProbe(const probe_ended &Event);
  instant nextRolloutReport() const;
  void reportRollouts();
  void countInFlight(rollout_report &Report);

  // relay_answers.cpp: completion of requests
  void settle(request_state &Request);
  void settleGather(request_state &Request);
  void settleSingle(request_state &Request);
  bool isGivenUp(const request_state &Request, const request_part &Part) const;
  void answerGathered(request_state &Request);
  void forwardReply(request_state &Request,
                    std::shared_ptr<const endpoint_reply> Reply);
  void refuse(request_state &Request, relay_refusal Reason);
  void handleDeadline(request_state &Request);
  void suspectOverdue(request_state &Request);
  static instant nextWakeOf(const request_state &Request, instant Now);
  void sendAnswer(request_state &Request, send_answer Answer);
  void recordGatherTime(request_state &Request) const;
  static void recordMissingShards(request_state &Request);
  void removeRequest(request_state &Request, bool Linger);
  bool isOverdue(const request_state &Request,
                 const running_attempt &Attempt) const;
  millis retryAfter(const request_state &Request);
  millis busyRetryAfter(const request_state &Request);
  millis pauseOf(const request_state &Request) const;
  void refuseUnadmitted(const request_arrived &Event, instant ArrivedAt,
                        unsigned Status, relay_refusal Reason,
                        millis RetryAfter = {},
                        const account_name &Account = {},
                        const quota_decision &Quota = {});

  /// An attempt of an answered request.
  struct lingering_attempt {
    attempt_no Attempt;
    instant Until; ///< cancelled at this time
  };
  void cancel(attempt_no Attempt, attempt_verdict Verdict);
  void cancelLingering();

  /// A request under which an endpoint went down.
  struct held_crash {
    crash Crash;
    endpoint_identity Endpoint;
    service_name Service;
  };
  /// A relay that did not reply in time.
  struct peer_backoff {
    instant Until{-1e300}; ///< gets no slices until then
    millis Duration;
  };
  /// The request and the index of a shard request in `SliceRequests`.
  struct shard_request_ref {
    query_id Request;
    std::size_t Index = 0;
  };

  /// A rollout in progress.
  struct active_rollout {
    service_state *Service = nullptr;
    rollout_tally Tally;
  };

  relay_settings Settings;
  endpoint_set Endpoints;
  reach_monitor Reach;
  crash_detector Crashes;
  /// Crashes that have not been reported yet.
  std::vector<held_crash> HeldCrashes;
  request_quarantine Quarantine;
  std::map<service_name, active_rollout> Rollouts;
  slice_planner Slices;
  /// Shard requests of this relay that have not ended.
  std::unordered_map<shard_request_id, shard_request_ref> OpenShardRequests;
  /// Shard requests of other relays, by the requester's link and id.
  std::map<std::pair<requester_link, shard_request_id>, query_id> PeerRequests;
  std::map<vm_id, peer_backoff> UnresponsivePeers;
  /// Starts at random: a relay of an older build may reply to requests that
  /// this relay sent before it was restarted.
  std::uint64_t LastShardRequest;
  std::size_t NextDetour; ///< index into `Slices.others()`
  std::uint64_t LastPeerRequest = 0;
  std::shared_ptr<const route_table> Table;
  std::uint64_t AccountSeed;
  /// Accounts of `Table`; none if its catalog has none.
  std::optional<account_table> Accounts;
  quota_meter Quotas;
  std::unordered_map<query_id, quota_waiter> QuotaWaiters;
  /// Requests in progress by account, of accounts that have any.
  std::map<account_name, std::size_t> ActiveByAccount;
  std::size_t ActiveOfAccounts = 0; ///< sum of `ActiveByAccount`
  bool HasDirectory = false;
  std::map<std::string, route_state> Routes; ///< by host and path prefix
  std::unordered_map<query_id, std::unique_ptr<request_state>> ActiveRequests;
  std::unordered_map<attempt_no, attempt_context> Attempts;
  std::vector<lingering_attempt> Lingering;
  /// Services with waiting parts, and some without any more.
  std::map<service_name, service_state *> Backlogged;
  std::set<service_state *> Freed; ///< see `markFreed`
  return_time ReturnTime;
  query::wake_queue Wakes;
  instant HousekeepingAt = Never;
  std::uint64_t LastAttempt = 0;
  start_queue StartQueue;
  instant Now;                  ///< time of the current step
  relay_actions *Out = nullptr; ///< actions of the current step
};

} // namespace bulrush::relay
