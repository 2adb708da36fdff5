/// Daemon-side control client: heartbeats, leases, configuration, membership.
#pragma once

#include "control/config_distributor.h"
#include "control/lease_holder.h"

#include <variant>
#include <vector>

namespace bulrush::control {

/// Must be raised at least every 50 ms.
struct agent_tick {};
/// A reply from a control voter arrived.
struct agent_reply {
  heartbeat_reply Reply;
};
/// A planned stop begins: gives up all leases.
struct agent_leave {};
using agent_event = std::variant<agent_tick, agent_reply, agent_leave>;

/// Sends the heartbeat to every control voter immediately.
struct send_heartbeat {
  heartbeat Heartbeat;
};
/// `config()` has changed.
struct config_changed {};
/// `members()` has changed.
struct members_changed {};
/// `leases().granted()` has changed.
struct grants_changed {};
using agent_action = std::variant<send_heartbeat, config_changed,
                                  members_changed, grants_changed>;

/// Performs no I/O; one instance per entry daemon. Immediately before each send
/// to an endpoint, check `leases().owns(Endpoint, Now)` and
/// `leases().isFresh(Now)` with the current time. A daemon that is not fresh
/// accepts no new work.
class control_agent {
public:
  void step(const agent_event &Event, instant Now,
            std::vector<agent_action> &Out);

  const lease_holder &leases() const { return Leases; }
  const fleet_config &config() const { return ConfigReplica.config(); }
  const membership &members() const { return Members; }

private:
  void sendHeartbeat(instant Now, std::vector<agent_action> &Out);
  void onReply(const heartbeat_reply &Reply, instant Now,
               std::vector<agent_action> &Out);

  lease_holder Leases;
  config_replica ConfigReplica;
  membership Members;
  instant NextHeartbeat;
};

} // namespace bulrush::control
