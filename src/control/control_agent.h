/// The daemon's side of control: heartbeats, leases, configuration, membership.
#pragma once

#include "control/distributor.h"
#include "control/lease_holder.h"

#include <variant>
#include <vector>

namespace bulrush::control {

/// The clock advanced; raise it at least every 50 ms.
struct agent_tick {};
/// A reply from a control voter arrived.
struct agent_reply {
  heartbeat_reply Reply;
};
/// A planned stop begins: hand all leases back.
struct agent_leave {};
using agent_event = std::variant<agent_tick, agent_reply, agent_leave>;

/// Send the heartbeat to every control voter now.
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

/// Pure core; one for each entry daemon. Before each send to an endpoint ask
/// `leases().owns(Endpoint, Now)` and `leases().isFresh(Now)` with a time read
/// just then; a daemon that is not fresh takes no new work.
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
