/// Messages between relay daemons and the registry, between the registry's
/// voters, and between relay daemons.
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

/// Subscribes a daemon to registry updates.
struct subscribe {
  std::string Node;
  std::string Zone;
  incarnation_id Incarnation;
  revision Revision;                ///< of the state that the daemon holds
  std::uint64_t CatalogVersion = 0; ///< 0: none
  vm_id Vm;
  std::uint32_t Level = 0; ///< of the sender's build; 0: announces none
};

/// Reply to `subscribe` from a node that is not the leader.
struct redirect {
  vm_id Leader; ///< 0: unknown
  std::vector<vm_id> Voters;
};

/// State of the registry, sent by the leader.
struct fleet_state {
  revision Revision;
  std::uint64_t CatalogVersion = 0;
  std::optional<relay::catalog_change> Catalog; ///< none: unchanged
  std::vector<std::string> ZonesOut;
  std::vector<vm_id> Voters;
  std::uint32_t Level = 0; ///< of the leader's build; 0: announces none
  std::vector<relay::version_policy> Policies; ///< of all services with one
};

/// The platform's list of endpoints, or the changes in it, as read `Age` ago.
struct endpoint_directory {
  relay::directory_change Change;
  millis Age;
};

/// Heartbeat of the leader.
struct leader_heartbeat {
  revision Revision;
  std::uint32_t Peers = 0; ///< relay daemons that share the endpoints
};

/// Heartbeat of a subscriber, also sent after each state that it applies.
struct applied {
  revision Revision;      ///< that the subscriber has applied
  bool IsLeaving = false; ///< about to stop; receives no new shard requests
  bool HasReach = true;   ///< it reaches endpoints
};

/// The active relays, or the changes among them.
struct roster {
  bool IsFull = false;
  std::vector<relay::relay_peer> Joined; ///< or changed
  std::vector<vm_id> Left;

  bool operator==(const roster &) const = default;
};

/// The active relays.
using relay_list = std::map<vm_id, relay::relay_peer>;

roster fullChange(const relay_list &Relays);
roster changeBetween(const relay_list &Old, const relay_list &New);
void applyRoster(const roster &Roster, relay_list &Relays);

/// Allows the receiver to retry the shards of a shard request. The requester
/// sends them to no other relay.
struct retry_grant {
  relay::shard_request_id ShardRequest;
};

/// Cancels a shard request: the requester needs no further reply.
struct shard_request_cancel {
  relay::shard_request_id ShardRequest;
  bool HasClientDisconnected = false;
};

/// Members of the group, sent in reply to a `join_request`.
struct known_voters {
  std::vector<vm_id> Voters;
};

/// From a relay to the leader: rate limits of endpoints and the relay's demand.
struct limit_reports {
  std::vector<relay::limit_report> Reports;
};

/// From the leader to a relay: its parts of these limits.
struct limit_grants {
  std::vector<relay::limit_grant> Grants;
};

/// From a relay to the leader: requests under which endpoints went down.
struct crash_reports {
  std::vector<relay::crash_report> Reports;
};

/// From the leader to the relays: what it decided on such requests.
struct request_verdicts {
  std::vector<relay::verdict_notice> Notices;
};

/// From a relay to the leader: how the rollouts in progress fare there.
struct rollout_reports {
  std::vector<relay::rollout_report> Reports;
};

/// From the leader to the relays: version policies that changed.
struct version_policies {
  std::vector<relay::version_policy> Policies;
};

/// From a relay to the leader: its use of the quotas of accounts.
struct quota_reports {
  bool IsFirst = false; ///< to this leader, or since a loss of contact
  std::vector<relay::quota_report> Reports;
};

/// From the leader to a relay: tokens of accounts.
struct quota_grants {
  std::vector<relay::quota_grant> Grants;
};

using fleet_message =
    std::variant<subscribe, redirect, fleet_state, endpoint_directory,
                 leader_heartbeat, applied, known_voters, control::message,
                 roster, relay::shard_request, relay::shard_reply,
                 shard_request_cancel, retry_grant, limit_reports, limit_grants,
                 crash_reports, request_verdicts, rollout_reports,
                 version_policies, quota_reports, quota_grants>;

} // namespace bulrush::fleet
