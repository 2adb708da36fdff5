/// Lease durations and heartbeat messages. Entry daemons send heartbeats to the
/// control voters; the leader's replies renew two leases. Both are measured on
/// the daemon's monotonic clock from the time the heartbeat was sent:
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

/// Maximum relative deviation of any clock's rate from true time.
inline constexpr double MaxClockDrift = 0.01;

/// Upper bound, on this process's clock, of an interval that lasts `Lease` on
/// another process's clock: the other clock may run slow while this one runs
/// fast.
constexpr millis withMaxDrift(millis Lease) {
  return Lease * ((1 + MaxClockDrift) / (1 - MaxClockDrift));
}

/// Version of a grant set, ordered across terms.
struct grant_version {
  term_id Term;
  std::uint64_t Number = 0;

  auto operator<=>(const grant_version &) const = default;
};

/// Permission to send work to one endpoint.
struct grant {
  endpoint_id Endpoint;
  /// Time from the arrival of the reply during which work sent by an earlier
  /// owner may still be in flight at the endpoint.
  millis InheritedFor;

  bool operator==(const grant &) const = default;
};

/// An update from one revision to a later one, or a full configuration.
struct config_update {
  revision Base; ///< revision that `Changes` apply to; 0 with `FullConfig`
  std::vector<change> Changes; ///< one per revision, starting at `Base` + 1
  std::optional<fleet_config> FullConfig;
  std::uint64_t Digest = 0; ///< of the resulting configuration

  bool operator==(const config_update &) const = default;
};

/// Heartbeat from an entry daemon to the control voters.
struct heartbeat {
  std::uint64_t Sequence = 0;
  revision Applied;                  ///< 0 requests the full configuration
  std::uint64_t MembershipEpoch = 0; ///< 0 requests the membership
  grant_version Grants;              ///< version of the grant set in use
  bool Leaving = false;              ///< the daemon is shutting down as planned

  bool operator==(const heartbeat &) const = default;
};

/// Reply of the leader to a heartbeat. A grant set replaces the previous one.
struct heartbeat_reply {
  std::uint64_t Sequence = 0;
  term_id Term;
  millis Freshness;                    ///< duration of the freshness lease
  millis Ownership;                    ///< duration of the ownership lease
  revision Revision;                   ///< of the accepted configuration
  std::optional<config_update> Config; ///< set if `Applied` is older or 0
  std::optional<membership> Members;   ///< set if the daemon's differs
  grant_version Grants;                ///< version of the current grant set
  /// The grant set; set until the daemon has acknowledged its version.
  std::optional<std::vector<grant>> Owned;

  bool operator==(const heartbeat_reply &) const = default;
};

} // namespace bulrush::control
