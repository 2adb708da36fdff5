/// Runs the rollouts in progress at the registry's leader: messages to relays,
/// proposals, log lines and metrics.
#pragma once

#include "fleet/rollout_manager.h"
#include "fleet/subscribers.h"
#include "telemetry/metrics.h"

namespace bulrush::fleet {

/// The registry process that a `rollout_runner` belongs to.
class rollout_runner_host {
public:
  virtual ~rollout_runner_host() = default;
  /// Called only while this process leads.
  virtual const registry_node &node() const = 0;
  virtual void propose(control::registry_command Command) = 0;
};

class rollout_runner final : private rollout_view {
public:
  /// All arguments but `Limits` must outlive this object.
  rollout_runner(const relay::rollout_limits &Limits, rollout_runner_host &Host,
                 const catalog_updates &CatalogUpdates,
                 subscribers &Subscribers, telemetry::metrics &Metrics);

  /// Limits of the rollouts that start from now on.
  void setLimits(const relay::rollout_limits &New) { Limits = New; }
  /// Applies the replicated state of the leader. Called at the start of the
  /// leadership and after each change, before the state is sent to relays.
  void onState(instant Now);
  /// Returns whether relays must not learn of some of the endpoints yet.
  bool onDirectory(const std::vector<relay::listed_endpoint> &Listed);
  /// Removes these endpoints.
  void removeWithheld(std::vector<relay::listed_endpoint> &Listed) const;
  void onReports(const frame_link *Link, const rollout_reports &Message,
                 instant Now);
  /// Evaluates all rollouts; called at least every 100 ms by a leader.
  void step(instant Now);
  /// Called when the leadership ends.
  void clear();
  void setGauges();

private:
  const control::registry_state &state() const override;
  millis elapsed(const relay::service_name &Service) const override;
  bool isListed(const relay::service_name &Service) const override;
  bool canStore() const override;
  std::vector<vm_id> relays() const override;
  bool canSplit() const override;

  void logChanges(const control::registry_state &State);
  void setGaugesOf(const rollout_step &Step);

  relay::rollout_limits Limits;
  rollout_runner_host &Host;
  const catalog_updates &CatalogUpdates;
  subscribers &Subscribers;
  telemetry::metrics &Metrics;
  rollout_manager Manager;
  instant Now;
  bool HasState = false; ///< one was applied since the leadership began
  /// As last logged.
  std::map<relay::service_name, control::rollout> Rollouts;
  std::map<relay::service_name, relay::software_version> Established;
};

} // namespace bulrush::fleet
