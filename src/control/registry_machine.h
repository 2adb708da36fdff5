/// The registry's replicated state: the catalog that operators sent last, the
/// zones that take no work, and how many daemons share the endpoints.
#pragma once

#include "bulrushtray/ids.h"
#include "control/log_entry.h"

#include <set>
#include <string>
#include <variant>

namespace bulrush::control {

/// A catalog as its bytes; an equal or older version changes nothing.
struct put_catalog {
  std::uint64_t Version = 0;
  shared_bytes Bytes;
};

/// Takes a zone out, or back in.
struct set_zone {
  std::string Zone;
  bool IsOut = false;
};

/// How many daemons share the endpoints. It outlives a restart of the whole
/// fleet, when the daemons come back one by one.
struct set_fleet_size {
  std::uint32_t Daemons = 0;
};

using registry_command = std::variant<put_catalog, set_zone, set_fleet_size>;

struct registry_state {
  revision Revision; ///< the log index of the last change
  std::uint64_t CatalogVersion = 0;
  shared_bytes Catalog = shareBytes({});
  std::set<std::string> ZonesOut;
  std::uint32_t FleetSize = 0;
};

/// Applies committed commands in the order of the log.
class registry_machine {
public:
  const registry_state &state() const { return State; }
  log_index applied() const { return Applied; }

  /// Returns whether the state changed.
  bool apply(log_index Index, const registry_command &Command);
  /// Replaces the whole state; `Index` is the last entry that it holds.
  void load(log_index Index, registry_state NewState);
  /// An entry that is no command for this machine.
  void skip(log_index Index) { Applied = Index; }

private:
  bool on(const put_catalog &Command);
  bool on(const set_zone &Command);
  bool on(const set_fleet_size &Command);

  registry_state State;
  log_index Applied;
};

} // namespace bulrush::control
