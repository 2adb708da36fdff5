/// Distributes the accepted configuration from the leader to the daemons.
#pragma once

#include "control/lease_terms.h"
#include "control/operator_api.h"
#include "control/state_machine.h"

#include <map>

namespace bulrush::control {

/// Exists for one term of one leader. Tracks which daemons may still act on an
/// older revision: those that have not reported the new one and whose freshness
/// lease may be valid. A daemon not heard from since the election is assumed
/// fresh for one full lease duration.
class config_distributor {
public:
  config_distributor(const deployment &Deployment, instant ElectedAt);

  void onHeartbeat(const daemon_id &Daemon, const heartbeat &Heartbeat);

  /// Renews the daemon's freshness lease and fills in the configuration part of
  /// the reply to a heartbeat that arrived at `ReceivedAt`.
  void renewLease(const daemon_id &Daemon, instant ReceivedAt,
                  const heartbeat &Heartbeat, const state_machine &Machine,
                  heartbeat_reply &Reply);

  rollout_status status(revision Revision, instant Now) const;

private:
  struct daemon_state {
    incarnation_id Incarnation;
    revision Applied;
    instant FreshUntil; ///< upper bound over all incarnations
  };

  std::map<vm_id, daemon_state> Daemons;
};

/// The update from `Base` to the machine's configuration: the changes since
/// `Base`, or the full configuration if `Base` is 0 or the history does not
/// cover the changes.
config_update updateSince(revision Base, const state_machine &Machine);

/// A daemon's copy of the accepted configuration.
class config_replica {
public:
  /// Applies an update; returns whether the configuration changed. Ignores an
  /// update to a lower revision, and changes whose base is not the current
  /// revision. A digest mismatch discards the update and requests the full
  /// configuration.
  bool apply(const config_update &Update);

  const fleet_config &config() const { return Config; }

  /// The revision to report in heartbeats; 0 requests the full configuration.
  revision applied() const {
    return NeedsFullConfig ? revision{} : Config.Revision;
  }

private:
  fleet_config Config;
  bool NeedsFullConfig = true;
};

} // namespace bulrush::control
