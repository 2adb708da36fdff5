/// Messages between relay daemons and the registry, and between its voters.
#pragma once

#include "control/replica_messages.h"
#include "relay/catalog_change.h"
#include "relay/events.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bulrush::fleet {

/// A daemon wants to be kept up to date.
struct subscribe {
  std::string Node;
  std::string Zone;
  incarnation_id Incarnation;
  revision Revision;                ///< of the state that it holds
  std::uint64_t CatalogVersion = 0; ///< 0: none
  vm_id Machine;
};

/// The receiver of `subscribe` does not lead.
struct redirect {
  vm_id Leader; ///< 0: not known
  std::vector<vm_id> Voters;
};

/// The registry's state.
struct fleet_state {
  revision Revision;
  std::uint64_t CatalogVersion = 0;
  std::optional<relay::catalog_change>
      Catalog; ///< none: as the receiver holds it
  std::vector<std::string> ZonesOut;
  std::vector<vm_id> Voters;
};

/// The platform's list, read `Age` ago, or what has changed in it.
struct endpoint_directory {
  relay::directory_change Change;
  millis Age;
};

/// The leader's sign of life.
struct leader_heartbeat {
  revision Revision;
  std::uint32_t Peers = 0; ///< relay daemons that share the endpoints
};

/// A subscriber's sign of life.
struct applied {
  revision Revision;      ///< that it acts on
  bool IsLeaving = false; ///< it stops soon and is asked nothing new
};

/// The relays that take part, or what has changed among them.
struct roster {
  bool IsFull = false;
  std::vector<relay::relay_peer> Joined; ///< or of another zone now
  std::vector<vm_id> Left;

  bool operator==(const roster &) const = default;
};

/// The zones of the relays that take part.
using relay_zones = std::map<vm_id, std::string>;

roster fullChange(const relay_zones &Relays);
roster changeBetween(const relay_zones &Old, const relay_zones &New);
void applyRoster(const roster &Roster, relay_zones &Relays);

/// The asker gives the shards of an ask to no other relay.
struct retry_grant {
  relay::shard_request_id ShardRequest;
};

/// The asker needs no further reply.
struct shard_request_cancel {
  relay::shard_request_id ShardRequest;
  bool HasClientDisconnected = false;
};

/// Members of the group, for a folder that wants to join it.
struct known_voters {
  std::vector<vm_id> Voters;
};

using fleet_message =
    std::variant<subscribe, redirect, fleet_state, endpoint_directory,
                 leader_heartbeat, applied, known_voters, control::message,
                 roster, relay::shard_request, relay::shard_reply,
                 shard_request_cancel, retry_grant>;

} // namespace bulrush::fleet
