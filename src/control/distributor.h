/// The leader's side of bringing the accepted configuration to every daemon.
#pragma once

#include "control/lease_terms.h"
#include "control/operator_api.h"
#include "control/state_machine.h"

#include <map>

namespace bulrush::control {

/// Lives for one term of one leader. Knows which daemons may still act on an
/// older revision: those that have not reported the new one and whose freshness
/// lease may hold. Daemons not heard from since the election count as fresh for
/// one full lease.
class config_distributor {
public:
  config_distributor(const deployment &Deployment, instant ElectedAt);

  void onHeartbeat(const daemon_id &Daemon, const heartbeat &Heartbeat);

  /// Fills the part of a reply to a heartbeat that arrived at `ReceivedAt` that
  /// carries the configuration and the freshness lease.
  void renewLease(const daemon_id &Daemon, instant ReceivedAt,
                  const heartbeat &Heartbeat, const state_machine &Machine,
                  heartbeat_reply &Reply);

  rollout_status status(revision Revision, instant Now) const;

private:
  struct daemon_state {
    incarnation_id Incarnation;
    revision Applied;
    instant FreshUntil; ///< of any life of this daemon
  };

  std::map<vm_id, daemon_state> Daemons;
};

/// The step from `Base` to the machine's configuration: the changes since, or
/// the whole when the history does not reach back.
config_update updateSince(revision Base, const state_machine &Machine);

/// The daemon's copy of the accepted configuration.
class config_replica {
public:
  /// Takes an update; returns whether the configuration changed. The revision
  /// only goes up. A copy whose digest is wrong asks for the whole.
  bool apply(const config_update &Update);

  const fleet_config &config() const { return Config; }

  /// What heartbeats report: 0 while the whole is needed.
  revision applied() const {
    return NeedsFullConfig ? revision{} : Config.Revision;
  }

private:
  fleet_config Config;
  bool NeedsFullConfig = true;
};

} // namespace bulrush::control
