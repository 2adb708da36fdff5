/// Requests of operators and their results. The HTTP layer converts them from
/// and to JSON.
#pragma once

#include "control/commands.h"

#include <string>
#include <variant>
#include <vector>

namespace bulrush::control {

/// A planned change. The id of a plan is this struct in encoded form, so any
/// control VM can decode it and none has to store plans.
struct plan {
  operator_id Operator;
  command_id Command;
  revision BaseRevision;
  change Change;

  bool operator==(const plan &) const = default;
};

/// Requests the effects of a change without applying it.
struct plan_request {
  operator_id Operator;
  command_id Command;
  change Change;
};

/// Requests that a plan be applied.
struct confirm_request {
  plan Plan;
  /// The operator has not sent this command to any VM before. Only then may the
  /// result be `not_run` if the command could not be proposed to the log.
  bool IsFirstSend = false;
};

/// Requests the status of the system from the leader.
struct status_request {};

using operator_request =
    std::variant<plan_request, confirm_request, status_request>;

/// Shards of a pool that would lose their last replica.
struct lost_shards {
  std::string Pool;
  std::vector<shard_id> Shards;

  bool operator==(const lost_shards &) const = default;
};

/// Number of slots of a pool that accept new requests.
struct pool_capacity {
  std::string Pool;
  std::uint32_t SlotsBefore = 0;
  std::uint32_t SlotsAfter = 0;
  bool IsShardMapKnown = false; ///< endpoints have reported their shards

  bool operator==(const pool_capacity &) const = default;
  /// Load per remaining slot relative to the current load; 0 if no slot is
  /// left.
  double loadFactor() const {
    return SlotsAfter == 0 ? 0 : double(SlotsBefore) / SlotsAfter;
  }
};

/// Effects that a change would have if it were confirmed now.
struct plan_effects {
  std::vector<std::string> Callers;   ///< callers that the intent applies to
  std::vector<std::string> Zones;     ///< affected zones
  std::vector<endpoint_id> Endpoints; ///< affected endpoints
  std::vector<pool_capacity> Pools;   ///< pools of the affected endpoints
  std::vector<lost_shards> Lost; ///< shards that would lose their last replica
  std::vector<std::string>
      IncompleteIntents; ///< their coverage could no longer be met
  std::vector<std::string>
      Displaced;     ///< the old intent, and those of lower weight on its pools
  percent ExtraLoad; ///< limit on hedges and retries after the change
  percent ExtraLoadBefore; ///< limit before the change
  millis Deadline;         ///< predicted limit on the answer time; 0: unchanged
  bool IsNoChange = false; ///< the configuration would stay the same

  bool operator==(const plan_effects &) const = default;
};

/// A plan with its effects.
struct plan_result {
  plan Plan;
  plan_effects Effects;
};

/// Result of a confirm request, as far as the control VM can prove it.
enum class confirm_status : std::uint8_t {
  accepted,
  conflict,
  invalid,
  reused_id,
  not_run, ///< proven: the command never reached the log
  unknown  ///< it may still take effect; resend it to get the result
};

/// The answer to a confirm request.
struct confirm_result {
  confirm_status Status = confirm_status::unknown;
  revision Revision;
};

/// The request was refused and had no effect.
struct request_refused {
  refusal Reason = refusal::bad_request;
  std::string Message;
};

/// Rollout state of a revision.
struct rollout_status {
  revision Revision;
  bool IsInForce = false;    ///< no daemon uses an older revision
  std::vector<vm_id> Behind; ///< may still use an older revision
  std::vector<vm_id>
      Suspended; ///< have an older revision but no valid lease to use it

  bool operator==(const rollout_status &) const = default;
};

/// Status of the system as the leader sees it.
struct status_result {
  vm_id Leader;
  term_id Term;
  rollout_status Rollout; ///< of the accepted configuration
  membership Members;
  std::uint32_t EndpointsMoving = 0;

  bool operator==(const status_result &) const = default;
};

using operator_result =
    std::variant<plan_result, confirm_result, status_result, request_refused>;

/// Returns the name used in answers and logs.
std::string_view toString(confirm_status Status);

} // namespace bulrush::control
