/// Which entry daemons are live, from their own heartbeats.
#pragma once

#include "control/lease_terms.h"

#include <map>
#include <set>

namespace bulrush::control {

/// Silence after which a daemon is taken to be dead.
inline constexpr millis HeartbeatTimeout{1500};
/// The same for a daemon that the platform's list no longer names; the list
/// lags and may be wrong, so it only shortens the wait.
inline constexpr millis UnlistedHeartbeatTimeout{1000};
/// A new leader and a starting fleet wait so long before they judge.
inline constexpr millis MembershipStartupDelay{1000};

/// Lives for one term of one leader. The epoch goes up with each change, also
/// over leaders.
class membership_tracker {
public:
  membership_tracker(term_id Term, instant ElectedAt);

  void onHeartbeat(const daemon_id &Daemon, const heartbeat &Heartbeat,
                   instant Now);

  /// The platform's list of live machines: a hint.
  void setListedVms(const std::vector<vm_id> &Listed);

  /// Judges again; returns whether the membership changed.
  bool update(instant Now);

  /// Empty with epoch 0 until the settling time is over.
  const membership &members() const { return Members; }

  /// Live daemons with their incarnations, ascending.
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
