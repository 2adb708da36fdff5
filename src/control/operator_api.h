/// Typed requests of operators and what they get back. The HTTP shell converts
/// them from and to JSON.
#pragma once

#include "control/commands.h"

#include <string>
#include <variant>
#include <vector>

namespace bulrush::control {

/// What a plan is made of. The plan's id is this, encoded, so that any control
/// VM can read it at any time and none has to remember it.
struct plan {
  operator_id Operator;
  command_id Command;
  revision BaseRevision;
  change Change;

  bool operator==(const plan &) const = default;
};

/// Asks what a change would do.
struct plan_request {
  operator_id Operator;
  command_id Command;
  change Change;
};

/// Asks to apply a plan.
struct confirm_request {
  plan Plan;
  /// The operator has sent this command nowhere before. Only then may the
  /// answer be `not_run` when the command could not be handed to the log.
  bool IsFirstSend = false;
};

/// Asks the leader how things stand.
struct status_request {};

using operator_request =
    std::variant<plan_request, confirm_request, status_request>;

/// Shards of a pool that would have no replica left.
struct lost_shards {
  std::string Pool;
  std::vector<shard_id> Shards;

  bool operator==(const lost_shards &) const = default;
};

/// Slots of a pool that take new work.
struct pool_capacity {
  std::string Pool;
  std::uint32_t SlotsBefore = 0;
  std::uint32_t SlotsAfter = 0;
  bool IsShardMapKnown = false; ///< endpoints have reported what they hold

  bool operator==(const pool_capacity &) const = default;
  /// Work for each slot that is left, in multiples of today's.
  double loadFactor() const {
    return SlotsAfter == 0 ? 0 : double(SlotsBefore) / SlotsAfter;
  }
};

/// What a change would do if it were confirmed now.
struct plan_effects {
  std::vector<std::string> Callers;           ///< classes that it matches
  std::vector<std::string> Zones;             ///< that it touches
  std::vector<endpoint_id> Endpoints;         ///< that it touches
  std::vector<pool_capacity> Pools;           ///< of the touched endpoints
  std::vector<lost_shards> Lost;              ///< no replica left
  std::vector<std::string> IncompleteIntents; ///< could not be met any more
  std::vector<std::string> Displaced; ///< intents replaced or outweighed
  percent ExtraLoad;                  ///< hedges and retries that it allows
  percent ExtraLoadBefore;
  millis Deadline; ///< predicted bound on the answer's time; 0: no change
  bool IsNoChange = false; ///< the configuration already says so

  bool operator==(const plan_effects &) const = default;
};

/// A plan with its effects.
struct plan_result {
  plan Plan;
  plan_effects Effects;
};

/// How a confirm ended, as far as the control VM can prove it.
enum class confirm_status : std::uint8_t {
  accepted,
  conflict,
  invalid,
  reused_id,
  not_run, ///< proved: this send, the first, has not reached the log
  unknown  ///< it may take effect; send it again to learn
};

/// The answer to a confirm.
struct confirm_result {
  confirm_status Status = confirm_status::unknown;
  revision Revision;
};

/// Nothing was done, for the reason given.
struct request_refused {
  refusal Reason = refusal::bad_request;
  std::string Message;
};

/// How far a revision has spread.
struct rollout_status {
  revision Revision;
  bool IsInForce = false;       ///< no daemon acts on an older revision
  std::vector<vm_id> Behind;    ///< may still act on an older one
  std::vector<vm_id> Suspended; ///< behind, and without a lease to act

  bool operator==(const rollout_status &) const = default;
};

/// How things stand, as the leader sees it.
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

/// Names for answers and logs.
std::string_view toString(confirm_status Status);

} // namespace bulrush::control
