#include "relay/route_table.h"

#include <algorithm>
#include <cctype>

namespace bulrush::relay {

namespace {

/// The host in lower case, without the port.
std::string hostKey(std::string_view Host) {
  std::string Key(Host.substr(0, Host.find(':')));
  std::transform(Key.begin(), Key.end(), Key.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Key;
}

} // namespace

route_table::route_table(std::shared_ptr<const catalog> Source)
    : Catalog(std::move(Source)) {
  for (const route &Route : Catalog->Routes)
    ByHost[hostKey(Route.Host)].push_back(&Route);
  for (auto &[Host, Routes] : ByHost)
    std::stable_sort(Routes.begin(), Routes.end(),
                     [](const route *A, const route *B) {
                       return A->PathPrefix.size() > B->PathPrefix.size();
                     });
}

const route *route_table::find(std::string_view Host,
                               std::string_view Target) const {
  const auto Found = ByHost.find(hostKey(Host));
  if (Found == ByHost.end())
    return nullptr;
  const std::string_view Path = Target.substr(0, Target.find('?'));
  for (const route *Route : Found->second)
    if (Path.substr(0, Route->PathPrefix.size()) == Route->PathPrefix)
      return Route;
  return nullptr;
}

} // namespace bulrush::relay
