/// Route lookup by host and longest path prefix.
#pragma once

#include "relay/catalog.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace bulrush::relay {

/// Index of the routes of one catalog; shares ownership of the catalog.
class route_table {
public:
  explicit route_table(std::shared_ptr<const catalog> Catalog);

  /// Returns null if no route matches. Ignores the query string of `Target`,
  /// and the port and the letter case of `Host`.
  const route *find(std::string_view Host, std::string_view Target) const;
  const catalog &content() const { return *Catalog; }

private:
  std::shared_ptr<const catalog> Catalog;
  /// Routes by host, longest prefix first.
  std::unordered_map<std::string, std::vector<const route *>> ByHost;
};

} // namespace bulrush::relay
