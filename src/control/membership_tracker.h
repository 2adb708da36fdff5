/// Tracks live entry daemons by their heartbeats.
#pragma once

#include "control/lease_terms.h"

#include <map>
#include <set>

namespace bulrush::control {

/// A daemon counts as dead after this time without a heartbeat.
inline constexpr millis HeartbeatTimeout{1500};
/// Timeout for a daemon that is missing from the platform's VM list. The list
/// lags and may be wrong, so it only shortens the timeout.
inline constexpr millis UnlistedHeartbeatTimeout{1000};
/// Time after an election before the first membership is computed, so that the
/// daemons of a starting cluster can report to the new leader.
inline constexpr millis MembershipStartupDelay{1000};

/// Exists for one term of one leader. The epoch increases with each membership
/// change, also across leaders.
class membership_tracker {
public:
  membership_tracker(term_id Term, instant ElectedAt);

  void onHeartbeat(const daemon_id &Daemon, const heartbeat &Heartbeat,
                   instant Now);

  /// Sets the platform's list of live VMs, which is only a hint.
  void setListedVms(const std::vector<vm_id> &Listed);

  /// Recomputes the membership; returns whether it changed.
  bool update(instant Now);

  /// Empty, with epoch 0, until `MembershipStartupDelay` has passed.
  const membership &members() const { return Members; }

  /// Live daemons with their incarnations, in ascending order.
  std::vector<daemon_id> live() const;

private:
  struct member {
    incarnation_id Incarnation;
    instant ReceivedAt;
    bool Leaving = false;
  };

  bool isLive(vm_id Vm, const member &Member, instant Now) const;

  term_id Term;
  instant StartupEndsAt;
  std::map<vm_id, member> Daemons;
  std::set<vm_id> Listed;
  bool HasListedVms = false;
  membership Members;
  std::vector<daemon_id> Live;
  std::uint64_t ChangeCount = 0;
};

} // namespace bulrush::control
