/// What the router is told and what it asks its shell to do.
#pragma once

#include "query/events.h"
#include "query/messages.h"

#include <variant>

namespace bulrush::query {

/// A caller's search. `Query` must be new in this life of the process.
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

/// What makes a command recognisable: callers draw their keys on their own.
struct command_key {
  caller_id Caller;
  idempotency_key Key;

  auto operator<=>(const command_key &) const = default;
};

/// What the ledger says of an idempotency key.
enum class ledger_verdict : std::uint8_t {
  granted,  ///< the start is durable: the command may be sent once
  finished, ///< the key has an outcome already
  started,  ///< the key was started before; its outcome is unknown
  refused   ///< nothing was started; `Reason` says why
};

/// The ledger's reply to `ledger_start`.
struct ledger_replied {
  query_id Query;
  command_key Key;
  ledger_verdict Verdict = ledger_verdict::refused;
  outcome Outcome = outcome::unknown; ///< when finished
  refusal Reason = refusal::none;     ///< when finished or refused
  shared_body Body;                   ///< when finished
  millis RetryAfter;                  ///< when refused
};

/// Sub-requests that ended at one owner.
struct replies_arrived {
  vm_id From;
  std::vector<sub_reply> Replies;
};

/// What an owner publishes of its endpoints.
struct reports_arrived {
  vm_id From;
  std::vector<endpoint_report> Reports;
};

/// A membership; an older epoch than the one in force is ignored.
struct membership_changed {
  membership Membership;
};

/// The link to a daemon is down or its heartbeats have stopped.
struct vm_suspected {
  vm_id Vm;
};

/// A daemon that was suspected is heard again.
struct vm_recovered {
  vm_id Vm;
};

/// The freshness lease of this daemon was gained or has run out.
struct readiness_changed {
  bool Ready = false;
};

/// The caller has closed its connection.
struct caller_disconnected {
  query_id Query;
};

using router_event =
    std::variant<search_arrived, command_arrived, ledger_replied,
                 replies_arrived, reports_arrived, config_changed,
                 membership_changed, vm_suspected, vm_recovered,
                 readiness_changed, caller_disconnected, stop_requested,
                 timer_fired>;

/// What a caller is told. Each query gets exactly one.
struct answer {
  std::string RequestId;
  outcome Outcome = outcome::not_run;
  refusal Reason = refusal::none;
  intent_name Intent; ///< empty when none matched
  snapshot_id Snapshot;
  std::uint32_t Covered = 0; ///< shards in the answer
  std::uint32_t Total = 0;   ///< shards of the snapshot
  std::vector<shard_id> Missing;
  std::vector<shared_body> Results; ///< in the order of the shards
  millis RetryAfter; ///< for refusals: when a retry is worth while
};

/// Send to the owner `To`, over one message.
struct send_batch {
  vm_id To;
  sub_batch Batch;
};

/// Tell the owner `To` that these attempts are no longer needed.
struct send_cancel {
  vm_id To;
  std::vector<sub_id> Subs;
};

/// Answer the caller of `Query`.
struct send_answer {
  query_id Query;
  answer Answer;
};

/// A digest of a command's kind and body, to tell a resend from another command
/// with the same key.
struct request_digest {
  std::uint64_t Value = 0;

  bool operator==(const request_digest &) const = default;
};

/// Make the start of `Key` durable; the reply is `ledger_replied`.
struct ledger_start {
  query_id Query;
  command_key Key;
  request_digest Digest;
};

/// Make the outcome of `Key` durable. Whoever carries it repeats it until it
/// is.
struct ledger_record {
  command_key Key;
  outcome Outcome = outcome::unknown;
  refusal Reason = refusal::none;
  shared_body Body;
};

/// Count `Count` additional sub-requests.
struct count_retry {
  retry_reason Reason = retry_reason::hedge;
  std::uint32_t Count = 1;
};

/// Why queries of a pool are pinned to another snapshot than before.
enum class snapshot_change_reason : std::uint8_t {
  first,    ///< none was known
  newer,    ///< as complete as the one before
  coverage, ///< promises more coverage
  gone      ///< nothing holds the one before
};

/// One line for the log: queries of `Pool` move to another snapshot.
struct log_snapshot_moved {
  pool_id Pool;
  snapshot_id From;
  snapshot_id To;
  snapshot_change_reason Reason = snapshot_change_reason::first;
  std::uint32_t Promised = 0; ///< shards that a usable endpoint holds
  std::uint32_t Total = 0;
};

using router_action =
    std::variant<send_batch, send_cancel, send_answer, ledger_start,
                 ledger_record, set_timer, count_refusal, count_retry,
                 log_snapshot_moved>;

/// The name used in logs.
std::string_view toString(snapshot_change_reason Reason);

} // namespace bulrush::query
