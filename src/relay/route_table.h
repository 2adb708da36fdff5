/// Finds the route of a request: the longest path prefix of its host.
#pragma once

#include "relay/catalog.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace bulrush::relay {

/// An index over one catalog, which it keeps alive.
class route_table {
public:
  explicit route_table(std::shared_ptr<const catalog> Catalog);

  /// Null when no route matches. `Target` may carry a query, which is ignored.
  const route *find(std::string_view Host, std::string_view Target) const;
  const catalog &content() const { return *Catalog; }

private:
  std::shared_ptr<const catalog> Catalog;
  /// By host, the longest prefix first.
  std::unordered_map<std::string, std::vector<const route *>> ByHost;
};

} // namespace bulrush::relay
