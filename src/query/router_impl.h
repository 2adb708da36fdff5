/// The inside of the router; see router.h.
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

/// What a query waits for.
enum class query_phase : std::uint8_t { snapshot, ledger, replies };

/// A query that has no answer yet.
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
  bool IsAdmitted = false; ///< a search that the throttle let through
  query_phase Phase = query_phase::snapshot;
  instant Arrived;
  instant Deadline;
  instant WholeBy; ///< until then it waits for a whole snapshot
  instant WakeAt = Never;
  snapshot_id Newest;
  std::uint32_t Promised = 0;
  std::uint32_t Repins = 0;
  refusal LastFailure = refusal::none;
  hedge_denial HedgeDenial = hedge_denial::none;
  millis RetryAfter; ///< the longest hint so far
  gather Gather;
};

class router::impl {
public:
  impl(const deployment &Deployment, vm_id Self,
       std::unique_ptr<const owner_directory> Owners, router_settings Settings);

  void step(const router_event &Event, instant Now,
            std::vector<router_action> &Actions);
  std::size_t active() const { return Queries.size(); }
  const explain_memory &explain() const { return Explain; }

private:
  // router.cpp: events that concern no single query
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
  void retryWaiting();
  void wakeAt(query_state &Query, instant At);
  void armTimer();
  millis timeFor(const intent &Intent) const;
  query_state *find(query_id Id);
  template <class Arrival> query_state *admit(const Arrival &Event);

  // router_search.cpp: the way of one search
  void pinOrWait(query_state &Query);
  static bool promisesEnough(const query_state &Query,
                             const snapshot_choice &Pinned);
  static bool isEnough(const query_state &Query, std::uint32_t Covered,
                       std::uint32_t Total);
  void scatter(query_state &Query, const snapshot_choice &Pinned, bool Again);
  void sendFirst(query_state &Query, const shard_map &Map, shard_id Shard,
                 bool Again);
  void send(query_state &Query, shard_id Shard, endpoint_id Endpoint,
            bool IsPrimary, retry_reason Cause);
  void flush(const query_state &Query);
  void settle(query_state &Query);
  bool repin(query_state &Query);
  refusal whyNone(const std::vector<endpoint_id> &Holders) const;

  // router_attempts.cpp: replies, retries and hedges
  void takeReply(query_state &Query, const sub_reply &Reply);
  void attemptFailed(query_state &Query, shard_id Shard, retry_reason Cause);
  void retry(query_state &Query, shard_id Shard);
  bool hasHolder(const query_state &Query, shard_id Shard) const;
  std::optional<endpoint_id> retryTarget(query_state &Query, shard_id Shard);
  void abandon(query_state &Query, shard_id Shard, attempt_state State,
               refusal Reason);
  void loseOwner(query_state &Query, vm_id Owner);
  void wakeUp(query_state &Query);
  void hedge(query_state &Query, shard_id Shard);
  std::optional<endpoint_id>
  hedgeTarget(const std::vector<endpoint_id> &Holders);
  hedge_denial tryHedge(query_state &Query, shard_id Shard);
  void observe(const query_state &Query, endpoint_id Endpoint, millis Elapsed,
               bool Ended);
  void collectTried(const gather &Gather, shard_id Shard);
  retry_budget &budgetOf(const query_state &Query);
  admission_throttle &throttleOf(const query_state &Query);

  // router_command.cpp: the way of one command
  void sendCommand(query_state &Query);
  void commandEnded(query_state &Query, const sub_reply &Reply);
  void commandLost(query_state &Query, sub_id Sub, refusal Reason);
  void commandAtDeadline(query_state &Query);
  void finishCommand(query_state &Query, outcome Outcome, refusal Reason,
                     const shared_body &Body);
  void answerCommand(query_state &Query, outcome Outcome, refusal Reason,
                     const shared_body &Body);
  void takeLateReply(const sub_reply &Reply);

  // router_answer.cpp: the end of a query
  void refuse(query_state &Query, refusal Reason);
  void refuseUnpromised(query_state &Query, const snapshot_choice &Pinned);
  bool isUsable(const std::vector<endpoint_id> &Holders) const;
  void atDeadline(query_state &Query);
  void finish(query_state &Query);
  void reply(query_state &Query, answer Answer);
  void cancelPending(query_state &Query);
  void releaseCommand(const query_state &Query);
  static bool isPlain(const query_state &Query, const answer &Answer);
  void remember(query_state &Query, const answer &Answer);
  void forget(query_state &Query);

  /// No restart on another snapshot after this share of the deadline.
  static constexpr double MaxRepinShare = 0.5;
  /// States kept for the next queries.
  static constexpr std::size_t MaxSpare = 256;
  /// Commands answered as unknown whose late reply is still recorded.
  static constexpr std::size_t MaxLateCommands = 1024;

  std::vector<pool_id> Pools; ///< by caller
  router_settings Settings;
  std::unique_ptr<const owner_directory> Owners;
  endpoint_table Endpoints;
  snapshot_directory Directory;
  intent_match Intents;
  replica_choice Choice;
  hedge_delay Hedges;
  std::vector<retry_budget> Budgets;         ///< by class
  std::vector<admission_throttle> Throttles; ///< by class
  explain_memory Explain;
  outbox Outbox;
  wake_queue Wakes;
  std::unordered_map<query_id, std::unique_ptr<query_state>> Queries;
  std::vector<std::unique_ptr<query_state>> Spare;
  std::unordered_map<sub_id, command_key> LateCommands;
  std::vector<query_id> Waiting;  ///< for a snapshot
  std::vector<endpoint_id> Tried; ///< of the choice under way
  revision Revision;
  std::uint64_t Epoch = 0;
  std::uint64_t NextSub = 1;
  instant NextPlain; ///< a query without incident is remembered from then on
  bool Ready = false;
  bool Stopping = false;
  instant Now;                               ///< of the step under way
  std::vector<router_action> *Out = nullptr; ///< of the step under way
};

} // namespace bulrush::query
