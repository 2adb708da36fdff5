/// Decides on the steps and the end of one rollout, at the registry's leader.
#pragma once

#include "relay/rollout_report.h"

#include <memory>

namespace bulrush::relay {

/// Limits on what a version that turns out to be bad may get.
struct rollout_limits {
  /// Share of all requests that reach the service between the order and its
  /// deadline.
  double CanaryShare = 0.1;
  double CanarySlack = 50; ///< requests beyond `CanaryShare`
  /// Time after its 50th bad reply from which a bad version gets nothing.
  millis RollbackTime{5000};

  bool operator==(const rollout_limits &) const = default;
};

/// An accepted order.
struct rollout_order {
  rollout_id Id;
  service_name Service;
  software_version Target;
  millis Duration; ///< from the order until its deadline
};

/// What the leader knows apart from the reports.
struct rollout_surroundings {
  std::vector<vm_id> Relays; ///< in touch with the leader
  /// All of these relays run a build that can split requests by version.
  bool CanSplit = true;
  std::size_t TargetEndpoints = 0; ///< listed and not leaving
  std::size_t OldEndpoints = 0;    ///< the same, of other versions
  bool IsServiceListed = true;     ///< by the catalog in force
};

/// Outcome of one evaluation, with the figures that led to it.
struct rollout_decision {
  rollout_state State = rollout_state::in_progress;
  double Share = 0;          ///< of the target version
  std::string Step;          ///< "waiting", "canary", "ramp", "full" or "ended"
  std::string Reason;        ///< of this step
  bool IsChanged = false;    ///< step, share or state differ from the last ones
  millis Elapsed;            ///< since the order
  std::uint64_t Exposed = 0; ///< requests sent to the target version
  std::uint64_t Reached = 0; ///< requests sent to the service
  std::uint64_t OldFailures = 0;
  std::uint64_t NewFailures = 0;
  std::uint64_t OldSlow = 0;
  std::uint64_t NewSlow = 0;
};

/// Runs without I/O and clock. One object for each rollout in progress.
///
/// Expects of the relays: counts of first attempts and retries, without
/// refusals that prove that nothing ran; reports in the order in which they
/// were made; a report, without waiting for the next regular one, when the
/// share that a relay acts on changes and when its last attempt at the old
/// version ends; and a full report to a new leader, also without any count.
class rollout_controller {
public:
  /// `Elapsed` is the time since the order at `Now`.
  rollout_controller(rollout_order Order, rollout_limits Limits, millis Elapsed,
                     instant Now);
  ~rollout_controller();
  rollout_controller(rollout_controller &&) noexcept;
  rollout_controller &operator=(rollout_controller &&) noexcept;

  /// Applies the latest cumulative counts of one relay.
  void onReport(vm_id Relay, const rollout_report &Report, instant Now);
  /// Evaluates the rollout; to be called at least every 100 ms.
  rollout_decision step(const rollout_surroundings &Around, instant Now);
  const rollout_order &order() const;

private:
  class impl;
  std::unique_ptr<impl> Impl;
};

} // namespace bulrush::relay
