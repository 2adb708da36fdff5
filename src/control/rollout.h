/// The replicated records of rollouts, and the commands that change them.
#pragma once

#include "relay/version_policy.h"

#include <vector>

namespace bulrush::control {

/// Versions that a service's rollouts rolled back before and that the state
/// holds. If there are more, the oldest is dropped.
inline constexpr std::size_t MaxBarredVersions = 8;
/// Time from the acceptance of an order for which it is acknowledged again,
/// whatever became of it. Callers resend an order for at most 6 s.
inline constexpr millis ResendTime{10'000};
/// Replaced orders that the state holds for each service. A rollout ends before
/// the next order is accepted, so few end within `ResendTime`.
inline constexpr std::size_t MaxReplacedOrders = 16;

/// An order that a later one of the same service has replaced.
struct replaced_order {
  relay::software_version Target;
  millis Duration;
  millis Age; ///< since its acceptance, when it was replaced

  bool operator==(const replaced_order &) const = default;
};

/// The latest rollout of one service.
struct rollout {
  relay::rollout_id Id; ///< log index of the order
  relay::software_version Target;
  millis Duration; ///< from the order until the deadline
  relay::rollout_state State = relay::rollout_state::in_progress;
  millis Elapsed; ///< since the order, at the last record
  /// Versions that were rolled back; the latest is the last one.
  std::vector<relay::software_version> Barred;
  /// Orders that were accepted less than `ResendTime` before this one.
  std::vector<replaced_order> Replaced;

  bool operator==(const rollout &) const = default;
};

/// Orders a rollout. Without effect if it is the resend of an accepted order;
/// refused while a different rollout of the service is in progress.
struct start_rollout {
  relay::service_name Service;
  relay::software_version Target;
  millis Duration;
  /// The service's rollout as known to the proposer, and its age there: the
  /// state machine has no clock to recognize late resends.
  relay::rollout_id Known;
  millis KnownElapsed;
};

/// Records the time since the order. Ignored for another rollout than `Id`.
struct advance_rollout {
  relay::service_name Service;
  relay::rollout_id Id;
  millis Elapsed;
};

/// Ends the rollout `Id` as `complete` or `rolled_back`. Ignored if it has
/// ended.
struct end_rollout {
  relay::service_name Service;
  relay::rollout_id Id;
  relay::rollout_state State = relay::rollout_state::rolled_back;
  millis Elapsed; ///< since the order
};

/// Records which version a service uses. Ignored if one is recorded.
struct establish_version {
  relay::service_name Service;
  relay::software_version Version;
};

/// What applying a command has resulted in.
struct command_result {
  /// Target of the rollout in progress that excludes the order; empty if the
  /// command was not refused.
  relay::software_version Conflict;
  bool IsRefused = false;
  bool HasNewRevision = false; ///< the command has changed what daemons act on
};

} // namespace bulrush::control
