/// Events that the router handles and actions that its shell performs.
#pragma once

#include "query/events.h"
#include "query/messages.h"

#include <variant>

namespace bulrush::query {

/// A caller's search. `Query` must be unique until the process restarts.
struct search_arrived {
  query_id Query;
  caller_id Caller;
  std::string Kind;
  shared_body Body;
  std::string RequestId;
};

/// A caller's non-idempotent command.
struct command_arrived {
  query_id Query;
  caller_id Caller;
  std::string Kind;
  shared_body Body;
  std::string RequestId;
  idempotency_key Key;
};

/// Identity of a command. Callers choose their keys independently, so the key
/// alone is not unique.
struct command_key {
  caller_id Caller;
  idempotency_key Key;

  auto operator<=>(const command_key &) const = default;
};

/// The ledger's decision on an idempotency key.
enum class ledger_verdict : std::uint8_t {
  granted,  ///< the start is durable; the command may be sent once
  finished, ///< the key already has an outcome
  started,  ///< the key was started before and its outcome is unknown
  refused   ///< not started, for the reason in `Reason`
};

/// The ledger's reply to `ledger_start`.
struct ledger_replied {
  query_id Query;
  command_key Key;
  ledger_verdict Verdict = ledger_verdict::refused;
  outcome Outcome = outcome::unknown; ///< if finished
  refusal Reason = refusal::none;     ///< if finished or refused
  shared_body Body;                   ///< if finished
  millis RetryAfter;                  ///< if refused
};

/// Replies of one owner to sub-requests.
struct replies_arrived {
  vm_id From;
  std::vector<sub_reply> Replies;
};

/// Endpoint reports published by an owner.
struct reports_arrived {
  vm_id From;
  std::vector<endpoint_report> Reports;
};

/// A new membership; ignored if its epoch is older than the current one.
struct membership_changed {
  membership Membership;
};

/// The link to a daemon is down, or its heartbeats have stopped.
struct vm_suspected {
  vm_id Vm;
};

/// Messages arrive again from a suspected daemon.
struct vm_recovered {
  vm_id Vm;
};

/// The freshness lease of this daemon was acquired or has expired.
struct readiness_changed {
  bool Ready = false;
};

/// The caller closed its connection.
struct caller_disconnected {
  query_id Query;
};

using router_event =
    std::variant<search_arrived, command_arrived, ledger_replied,
                 replies_arrived, reports_arrived, config_changed,
                 membership_changed, vm_suspected, vm_recovered,
                 readiness_changed, caller_disconnected, stop_requested,
                 timer_fired>;

/// The answer to a caller. Every query gets exactly one.
struct answer {
  std::string RequestId;
  outcome Outcome = outcome::not_run;
  refusal Reason = refusal::none;
  intent_name Intent; ///< empty if none matched
  snapshot_id Snapshot;
  std::uint32_t Covered = 0; ///< number of shards in the answer
  std::uint32_t Total = 0;   ///< number of shards of the snapshot
  std::vector<shard_id> Missing;
  std::vector<shared_body> Results; ///< in shard order
  millis RetryAfter; ///< of a refusal: suggested delay before a retry
};

/// Sends a batch to the owner `To` in one message.
struct send_batch {
  vm_id To;
  sub_batch Batch;
};

/// Tells the owner `To` that these sub-requests are no longer needed.
struct send_cancel {
  vm_id To;
  std::vector<sub_id> Subs;
};

/// Answers the caller of `Query`.
struct send_answer {
  query_id Query;
  answer Answer;
};

/// A digest of a command's kind and body, which distinguishes a resend from a
/// different command with the same key.
struct request_digest {
  std::uint64_t Value = 0;

  bool operator==(const request_digest &) const = default;
};

/// Makes the start of `Key` durable; the reply is `ledger_replied`.
struct ledger_start {
  query_id Query;
  command_key Key;
  request_digest Digest;
};

/// Makes the outcome of `Key` durable. The shell resends it until it is
/// acknowledged.
struct ledger_record {
  command_key Key;
  outcome Outcome = outcome::unknown;
  refusal Reason = refusal::none;
  shared_body Body;
};

/// Adds `Count` to the counter of additional sub-requests for this reason.
struct count_retry {
  retry_reason Reason = retry_reason::hedge;
  std::uint32_t Count = 1;
};

/// Why new queries of a pool are pinned to a different snapshot.
enum class snapshot_change_reason : std::uint8_t {
  first,    ///< no snapshot was in use before
  newer,    ///< it is newer, and the previous one was fully covered
  coverage, ///< it is expected to give more coverage
  gone      ///< no endpoint holds the previous one any more
};

/// A log event: new queries of `Pool` use a different snapshot.
struct log_snapshot_moved {
  pool_id Pool;
  snapshot_id From;
  snapshot_id To;
  snapshot_change_reason Reason = snapshot_change_reason::first;
  std::uint32_t Promised = 0; ///< shards held by a usable endpoint
  std::uint32_t Total = 0;
};

using router_action =
    std::variant<send_batch, send_cancel, send_answer, ledger_start,
                 ledger_record, set_timer, count_refusal, count_retry,
                 log_snapshot_moved>;

/// Returns the name used in logs.
std::string_view toString(snapshot_change_reason Reason);

} // namespace bulrush::query
