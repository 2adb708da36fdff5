/// What turns one catalog into a later one, so that a small change travels and
/// is applied as such.
#pragma once

#include "relay/catalog.h"

#include <optional>

namespace bulrush::relay {

/// Names a route within a catalog.
struct route_key {
  std::string Host;
  std::string PathPrefix;

  auto operator<=>(const route_key &) const = default;
};

struct catalog_change {
  catalog_version Base; ///< of the catalog that it applies to; 0: it is whole
  catalog_version Version;
  std::vector<service> Services; ///< new or changed
  std::vector<service_name> RemovedServices;
  std::vector<route> Routes; ///< new or changed
  std::vector<route_key> RemovedRoutes;
  client_limits Limits;

  bool isFull() const { return Base.Value == 0; }
  bool operator==(const catalog_change &) const = default;
};

/// The whole catalog as a change.
catalog_change fullChange(const catalog &Catalog);
catalog_change changeBetween(const catalog &Old, const catalog &New);
/// Nothing when the change applies to another version than `Old`. The order of
/// services and routes is not kept.
std::optional<catalog> applyChange(const catalog &Old,
                                   const catalog_change &Change);

} // namespace bulrush::relay
