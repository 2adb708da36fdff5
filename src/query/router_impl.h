/// Implementation of the router; see router.h.
#pragma once

#include "query/admission_throttle.h"
#include "query/gather.h"
#include "query/hedge_delay.h"
#include "query/intent_match.h"
#include "query/outbox.h"
#include "query/replica_choice.h"
#include "query/retry_budget.h"
#include "query/router.h"
#include "query/snapshot_directory.h"
#include "query/wake_queue.h"

#include <unordered_map>

namespace bulrush::query {

/// The event that an unanswered query waits for: a snapshot with enough
/// coverage, the verdict of the ledger or the replies to its sub-requests.
enum class query_phase : std::uint8_t { snapshot, ledger, replies };

/// State of an unanswered query.
struct query_state {
  query_id Id;
  caller_id Caller;
  pool_id Pool;
  std::string RequestId;
  shared_body Body;
  shared_intent Intent;
  revision Revision;
  command_key Key;
  bool IsCommand = false;
  bool IsAdmitted = false; ///< a search that the throttle admitted
  query_phase Phase = query_phase::snapshot;
  instant Arrived;
  instant Deadline;
  instant CoverageWaitUntil; ///< limit of the wait for enough coverage
  instant WakeAt = Never;
  snapshot_id Newest;
  std::uint32_t Promised = 0;
  std::uint32_t Restarts = 0;
  refusal LastFailure = refusal::none;
  hedge_denial HedgeDenial = hedge_denial::none;
  millis RetryAfter; ///< longest suggested delay in any reply so far
  gather_state Gather;
};

class router::impl {
public:
  impl(const deployment &Deployment, vm_id Self,
       std::unique_ptr<const owner_directory> Owners, router_settings Settings);

  void step(const router_event &Event, instant Now,
            std::vector<router_action> &Actions);
  std::size_t active() const { return Queries.size(); }
  const explain_log &explain() const { return Explain; }

private:
  // router.cpp: events and timers
  void on(const search_arrived &Event);
  void on(const command_arrived &Event);
  void on(const ledger_replied &Event);
  void on(const replies_arrived &Event);
  void on(const reports_arrived &Event);
  void on(const config_changed &Event);
  void on(const membership_changed &Event);
  void on(const vm_suspected &Event);
  void on(const vm_recovered &Event);
  void on(const readiness_changed &Event);
  void on(const caller_disconnected &Event);
  void on(const stop_requested &Event);
  void on(const timer_fired &Event);
  void retryWaitingQueries();
  void wakeAt(query_state &Query, instant At);
  void armTimer();
  millis timeToAnswer(const intent &Intent) const;
  query_state *find(query_id Id);
  template <class Arrival> query_state *admit(const Arrival &Event);

  // router_search.cpp: scatter, completion and restart of a search
  void pinOrWait(query_state &Query);
  static bool canMeetMinCoverage(const query_state &Query,
                                 const snapshot_choice &Pinned);
  static bool meetsMinCoverage(const query_state &Query, std::uint32_t Covered,
                               std::uint32_t Total);
  void scatter(query_state &Query, const snapshot_choice &Pinned,
               bool IsRestart);
  void sendPrimary(query_state &Query, const shard_map &Map, shard_id Shard,
                   bool IsRestart);
  void send(query_state &Query, shard_id Shard, endpoint_id Endpoint,
            bool IsPrimary, retry_reason Cause);
  void flush(const query_state &Query);
  void finishIfDecided(query_state &Query);
  bool tryRestart(query_state &Query);
  refusal unavailableReason(const std::vector<endpoint_id> &Holders) const;

  // router_attempts.cpp: replies, retries and hedges
  void handleReply(query_state &Query, const sub_reply &Reply);
  void onAttemptFailed(query_state &Query, shard_id Shard, retry_reason Cause);
  void retry(query_state &Query, shard_id Shard);
  bool hasUsableHolder(const query_state &Query, shard_id Shard) const;
  std::optional<endpoint_id> retryTarget(query_state &Query, shard_id Shard);
  void abandon(query_state &Query, shard_id Shard, attempt_state State,
               refusal Reason);
  void onOwnerLost(query_state &Query, vm_id Owner);
  void onWake(query_state &Query);
  void hedge(query_state &Query, shard_id Shard);
  std::optional<endpoint_id>
  hedgeTarget(const std::vector<endpoint_id> &Holders);
  hedge_denial tryHedge(query_state &Query, shard_id Shard);
  void observe(const query_state &Query, endpoint_id Endpoint, millis Elapsed,
               bool HasReply);
  void collectTried(const gather_state &Gather, shard_id Shard);
  retry_budget &budgetOf(const query_state &Query);
  admission_throttle &throttleOf(const query_state &Query);

  // router_command.cpp: commands
  void sendCommand(query_state &Query);
  void onCommandReply(query_state &Query, const sub_reply &Reply);
  void answerUnknownOutcome(query_state &Query, sub_id Sub, refusal Reason);
  void onCommandDeadline(query_state &Query);
  void finishCommand(query_state &Query, outcome Outcome, refusal Reason,
                     const shared_body &Body);
  void answerCommand(query_state &Query, outcome Outcome, refusal Reason,
                     const shared_body &Body);
  void handleLateReply(const sub_reply &Reply);

  // router_answer.cpp: answers, refusals and cleanup
  void refuse(query_state &Query, refusal Reason);
  void refuseForCoverage(query_state &Query, const snapshot_choice &Pinned);
  bool isAnyUsable(const std::vector<endpoint_id> &Holders) const;
  void onDeadline(query_state &Query);
  void finish(query_state &Query);
  void reply(query_state &Query, answer Answer);
  void cancelPending(query_state &Query);
  void releaseOutstanding(const query_state &Query);
  static bool isUneventful(const query_state &Query, const answer &Answer);
  void recordQuery(query_state &Query, const answer &Answer);
  void removeQuery(query_state &Query);

  /// A query is not restarted on another snapshot after this share of its
  /// deadline.
  static constexpr double MaxRestartShare = 0.5;
  /// Maximum number of released query states kept for reuse.
  static constexpr std::size_t MaxFreeStates = 256;
  /// Maximum number of commands answered with an unknown outcome whose late
  /// reply is still recorded in the ledger.
  static constexpr std::size_t MaxLateCommands = 1024;

  std::vector<pool_id> Pools; ///< indexed by caller id
  router_settings Settings;
  std::unique_ptr<const owner_directory> Owners;
  endpoint_table Endpoints;
  snapshot_directory Directory;
  intent_matcher Intents;
  replica_selector Selector;
  hedge_delay_estimator HedgeDelays;
  std::vector<retry_budget> Budgets;         ///< indexed by intent class
  std::vector<admission_throttle> Throttles; ///< indexed by intent class
  explain_log Explain;
  outbox Outbox;
  wake_queue WakeQueue;
  std::unordered_map<query_id, std::unique_ptr<query_state>> Queries;
  std::vector<std::unique_ptr<query_state>> FreeStates;
  std::unordered_map<sub_id, command_key> LateCommands;
  std::vector<query_id> Waiting; ///< queries in phase `snapshot`
  /// Scratch: endpoints already tried for a shard.
  std::vector<endpoint_id> Tried;
  revision Revision;
  std::uint64_t Epoch = 0;
  std::uint64_t NextSub = 1;
  /// Time from which the next uneventful query is recorded.
  instant NextUneventful;
  bool Ready = false;
  bool Stopping = false;
  instant Now;                               ///< time of the current step
  std::vector<router_action> *Out = nullptr; ///< actions of the current step
};

} // namespace bulrush::query
