/// Terms of the leases and the messages that carry them. A daemon sends
/// heartbeats; the leader's replies renew two leases, both counted on the
/// daemon's monotonic clock from when the heartbeat was sent:
///  - freshness: the daemon's configuration is the accepted one;
///  - ownership: the daemon may send work to the endpoints granted to it.
#pragma once

#include "bulrushtray/fleet_config.h"
#include "control/changes.h"
#include "control/commands.h"

#include <optional>
#include <vector>

namespace bulrush::control {

inline constexpr millis HeartbeatInterval{500};
inline constexpr millis FreshnessLease{2000};
inline constexpr millis OwnerLease{3000};

/// Bound on how much faster or slower than true time any clock runs.
inline constexpr double MaxClockDrift = 0.01;

/// For how long the leader, on its own clock, takes a lease of `Lease` to hold
/// at a holder whose clock may run slow while its own runs fast.
constexpr millis withMaxDrift(millis Lease) {
  return Lease * ((1 + MaxClockDrift) / (1 - MaxClockDrift));
}

/// Orders the sets of grants of all leaders.
struct grant_version {
  term_id Term;
  std::uint64_t Number = 0;

  auto operator<=>(const grant_version &) const = default;
};

/// One endpoint that the daemon may send work to.
struct grant {
  endpoint_id Endpoint;
  /// For so long, counted from when the reply arrives, work of an earlier
  /// owner may still be in flight.
  millis InheritedFor;

  bool operator==(const grant &) const = default;
};

/// A step from one revision to a later one, or a whole configuration.
struct config_update {
  revision Base;               ///< the daemon's; 0 with `Whole`
  std::vector<change> Changes; ///< from `Base` on, one a revision
  std::optional<fleet_config> FullConfig;
  std::uint64_t Digest = 0; ///< of the configuration that results

  bool operator==(const config_update &) const = default;
};

/// An entry daemon to the voters.
struct heartbeat {
  std::uint64_t Sequence = 0;
  revision Applied;                  ///< 0 asks for the whole configuration
  std::uint64_t MembershipEpoch = 0; ///< 0 asks for the membership
  grant_version Grants;              ///< the set of grants that it acts on
  bool Leaving = false;              ///< a planned stop has begun

  bool operator==(const heartbeat &) const = default;
};

/// The leader to an entry daemon. A set of grants replaces the one before.
struct heartbeat_reply {
  std::uint64_t Sequence = 0;
  term_id Term;
  millis Freshness;
  millis Ownership;
  revision Revision;                   ///< the accepted one
  std::optional<config_update> Config; ///< when the daemon is behind
  std::optional<membership> Members;   ///< when the daemon is behind
  grant_version Grants;
  std::optional<std::vector<grant>> Owned; ///< when the daemon is behind

  bool operator==(const heartbeat_reply &) const = default;
};

} // namespace bulrush::control
