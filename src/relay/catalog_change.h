/// Difference between two versions of the catalog, so that small updates are
/// sent and applied incrementally.
#pragma once

#include "relay/catalog.h"

#include <optional>

namespace bulrush::relay {

/// Identifies a route within a catalog.
struct route_key {
  std::string Host;
  std::string PathPrefix;

  auto operator<=>(const route_key &) const = default;
};

/// A full catalog or the difference to an earlier version.
struct catalog_change {
  catalog_version Base; ///< version that the change applies to; 0: full
  catalog_version Version;
  std::vector<service> Services; ///< new or changed
  std::vector<service_name> RemovedServices;
  std::vector<route> Routes; ///< new or changed
  std::vector<route_key> RemovedRoutes;
  client_limits Limits;
  std::vector<account> Accounts = {}; ///< new or changed
  std::vector<account_name> RemovedAccounts = {};
  bool HasAccounts = false; ///< whether the new catalog has accounts

  bool isFull() const { return Base.Value == 0; }
  bool operator==(const catalog_change &) const = default;
};

/// Returns a change that holds the full catalog.
catalog_change fullChange(const catalog &Catalog);
/// Returns the difference from `Old` to `New`.
catalog_change changeBetween(const catalog &Old, const catalog &New);
/// Applies a change to `Old`. Returns nullopt if `Old` is not the base of the
/// change. A change that is not full does not keep the order of services and
/// routes.
std::optional<catalog> applyChange(const catalog &Old,
                                   const catalog_change &Change);

} // namespace bulrush::relay
