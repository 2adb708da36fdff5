/// Decides, at the registry's leader, on the rollouts in progress and on the
/// versions that services use.
#pragma once

#include "control/registry_machine.h"
#include "relay/rollout_controller.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bulrush::fleet {

/// Decides on one rollout; implemented by `relay::rollout_controller`.
class rollout_decider {
public:
  virtual ~rollout_decider() = default;
  virtual void onReport(vm_id Relay, const relay::rollout_report &Report,
                        instant Now) = 0;
  virtual relay::rollout_decision
  step(const relay::rollout_surroundings &Around, instant Now) = 0;
};

/// Makes the decider of an order; `Elapsed` is the time since the order.
using decider_factory = std::function<std::unique_ptr<rollout_decider>(
    const relay::rollout_order &Order, millis Elapsed, instant Now)>;

/// What the manager reads of the leader.
class rollout_view {
public:
  virtual ~rollout_view() = default;
  virtual const control::registry_state &state() const = 0;
  /// Time since the order of the service's latest rollout.
  virtual millis elapsed(const relay::service_name &Service) const = 0;
  virtual bool isListed(const relay::service_name &Service) const = 0;
  /// Whether commands of control/rollout.h may be proposed.
  virtual bool canStore() const = 0;
  /// The relays in touch with the leader.
  virtual std::vector<vm_id> relays() const = 0;
  /// Whether all of them can split requests by version.
  virtual bool canSplit() const = 0;
};

/// A decision that changed something.
struct rollout_step {
  relay::service_name Service;
  relay::software_version Target;
  relay::rollout_decision Decision;
};

/// Result of one evaluation of all rollouts.
struct rollout_outcome {
  std::vector<control::registry_command> Commands; ///< to be proposed
  std::vector<relay::version_policy> Changed;      ///< to be sent to relays
  std::vector<rollout_step> Steps;                 ///< to be logged
};

/// Listed endpoints of one service that are not leaving, by version.
using version_counts_of = std::map<relay::software_version, std::size_t>;

/// Holds one decider for each rollout in progress. Without I/O and clock.
class rollout_manager {
public:
  explicit rollout_manager(decider_factory MakeDecider)
      : MakeDecider(std::move(MakeDecider)) {}

  /// Starts a decider for each rollout in progress that has none, and drops
  /// those of rollouts that have ended. Called after each change of the state.
  void update(const rollout_view &View, instant Now);
  void onDirectory(const std::vector<relay::listed_endpoint> &Listed,
                   const rollout_view &View);
  /// Returns whether relays must not learn of the endpoint yet: it has a
  /// version without an order, and the policy that keeps requests from it is
  /// not committed.
  bool isWithheld(const relay::listed_endpoint &Endpoint) const;
  void onReports(vm_id Relay, const std::vector<relay::rollout_report> &Reports,
                 instant Now);
  /// Evaluates all rollouts; called at least every 100 ms.
  rollout_outcome step(const rollout_view &View, instant Now);
  /// Returns the policies of all services that have one.
  const std::vector<relay::version_policy> &policies() const {
    return Policies;
  }
  /// Returns the latest decision of each rollout in progress.
  std::map<relay::service_name, rollout_step> latestSteps() const;
  /// Returns null if no endpoint of the service is listed.
  const version_counts_of *versionsOf(const relay::service_name &Service) const;
  std::size_t count() const { return Running.size(); }
  /// Forgets everything, when the leadership ends.
  void clear();

private:
  struct running_rollout {
    relay::rollout_order Order;
    std::unique_ptr<rollout_decider> Decider;
    relay::rollout_decision Last;
    std::string RecordedStep;
    instant RecordedAt; ///< when the elapsed time was last proposed
    instant EndProposedAt{-1e300};
  };
  /// Endpoints of one version in the directory.
  struct listed_version {
    std::size_t Endpoints = 0; ///< that are not leaving
    std::uint64_t FirstStartMs = 0;
  };
  struct pending_version {
    relay::software_version InUse;
    std::set<relay::software_version> Others; ///< without an order
    instant ProposedAt{-1e300};
  };
  using versions = std::map<relay::software_version, listed_version>;

  void stepOne(running_rollout &Rollout, const rollout_view &View, instant Now,
               rollout_outcome &Out);
  void setShare(const relay::rollout_order &Order, double Share,
                rollout_outcome &Out);
  void recordAges(const rollout_view &View, instant Now, rollout_outcome &Out);
  void findPending(const rollout_view &View);
  void establishVersions(const rollout_view &View, instant Now,
                         rollout_outcome &Out);
  relay::software_version versionInUse(const relay::service_name &Service,
                                       const versions &Others);
  relay::rollout_surroundings surroundings(const relay::rollout_order &Order,
                                           const rollout_view &View) const;

  decider_factory MakeDecider;
  std::map<relay::service_name, running_rollout> Running;
  std::vector<relay::version_policy> Policies;
  bool HasDirectory = false; ///< one was read since the leadership began
  std::map<relay::service_name, versions> Directory;
  std::map<relay::service_name, version_counts_of> Counts;
  /// The only version that a service had when the directory was last read and
  /// one was in use.
  std::map<relay::service_name, relay::software_version> OnlyVersions;
  /// Versions to be established, of services with a version without an order.
  std::map<relay::service_name, pending_version> Pending;
  bool CanStore = false; ///< at the last call
  /// When the age of the latest, rolled back order was last proposed.
  std::map<relay::service_name, instant> AgeProposedAt;
};

} // namespace bulrush::fleet
