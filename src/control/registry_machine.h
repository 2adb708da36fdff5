/// The registry's replicated state machine. Its state holds the latest catalog
/// from the operators, the zones that are taken out, the number of daemons that
/// share the endpoints, the requests that are kept from them, and the rollouts
/// of software versions.
#pragma once

#include "bulrushtray/ids.h"
#include "control/log_entry.h"
#include "control/rollout.h"

#include <map>
#include <set>
#include <string>
#include <variant>

namespace bulrush::control {

/// Replaces the catalog, in its encoded form. Ignored unless `Version` is
/// larger than the stored version.
struct put_catalog {
  std::uint64_t Version = 0;
  shared_bytes Bytes;
};

/// Takes a zone out of service, or returns it to service.
struct set_zone {
  std::string Zone;
  bool IsOut = false;
};

/// Sets the number of daemons that share the endpoints. It is replicated so
/// that it survives a restart of the whole fleet, in which daemons come back
/// one by one.
struct set_fleet_size {
  std::uint32_t Daemons = 0;
};

/// Keeps a request from all endpoints until a time of day, or no longer. It is
/// replicated so that it survives a restart of the whole fleet.
struct set_quarantine {
  std::uint64_t Request = 0; ///< fingerprint
  std::uint64_t UntilMs = 0; ///< Unix time in ms; 0: no longer
};

/// Raises the replicated level: all members of the group understand the log
/// entries of builds up to `Level`.
struct raise_level {
  std::uint32_t Level = 0;
};

using registry_command =
    std::variant<put_catalog, set_zone, set_fleet_size, set_quarantine,
                 start_rollout, advance_rollout, end_rollout, raise_level,
                 establish_version>;

/// Quarantined requests that the state holds. If there are more, those that end
/// first are dropped.
inline constexpr std::size_t MaxQuarantines = 1024;

struct registry_state {
  revision Revision; ///< log index of the last change that relays confirm
  std::uint64_t CatalogVersion = 0;
  shared_bytes Catalog = shareBytes({});
  std::set<std::string> ZonesOut;
  std::uint32_t FleetSize = 0;
  /// Until when a request is quarantined (Unix time in ms), by fingerprint.
  std::map<std::uint64_t, std::uint64_t> Quarantines;
  /// Level that all members of the group had announced; never lowered.
  std::uint32_t Level = 0;
  std::map<relay::service_name, rollout> Rollouts; ///< latest of each service
  /// Version in use, of services for which it is known.
  std::map<relay::service_name, relay::software_version> Established;
};

/// Returns what relays apply to the versions of the services that have a
/// rollout or an established version. The share of each rollout in progress is
/// 0.
std::vector<relay::version_policy> versionPolicies(const registry_state &State);

/// Applies committed commands in log order.
class registry_machine {
public:
  const registry_state &state() const { return State; }
  log_index applied() const { return Applied; }
  /// Result of the last applied command.
  const command_result &lastResult() const { return Result; }

  /// Applies one command and returns whether the revision changed.
  bool apply(log_index Index, const registry_command &Command);
  /// Replaces the whole state by one that includes all entries up to `Index`.
  /// Keeps a higher level: a snapshot that a build of level 0 wrote has none.
  void load(log_index Index, registry_state NewState);
  /// Skips an entry that is not a command for this state machine.
  void skip(log_index Index) { Applied = Index; }

private:
  bool on(const put_catalog &Command);
  bool on(const set_zone &Command);
  bool on(const set_fleet_size &Command);
  bool on(const set_quarantine &Command);
  bool on(const raise_level &Command);
  bool on(const start_rollout &Command);
  bool on(const advance_rollout &Command);
  bool on(const end_rollout &Command);
  bool on(const establish_version &Command);
  rollout *find(const relay::service_name &Service, relay::rollout_id Id);

  registry_state State;
  command_result Result;
  log_index Applied;
};

} // namespace bulrush::control
