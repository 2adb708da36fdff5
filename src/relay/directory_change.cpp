#include "relay/directory_change.h"

#include <map>

namespace bulrush::relay {

namespace {

using endpoint_map = std::map<endpoint_identity, const listed_endpoint *>;

endpoint_map byIdentity(const std::vector<listed_endpoint> &Endpoints) {
  endpoint_map Out;
  for (const listed_endpoint &Each : Endpoints)
    Out[Each.Identity] = &Each;
  return Out;
}

bool isUnchanged(const listed_endpoint &Old, const listed_endpoint &New) {
  listed_endpoint Copy = New;
  const bool IsCountingDown =
      Old.ColdFor > millis{0} && New.ColdFor <= Old.ColdFor;
  if (IsCountingDown)
    Copy.ColdFor = Old.ColdFor;
  return Copy == Old;
}

} // namespace

directory_change fullChange(const directory &Directory) {
  return {{}, Directory.Version, Directory.Endpoints, {}};
}

directory_change changeBetween(const directory &Old, const directory &New) {
  directory_change Out;
  Out.Base = Old.Version;
  Out.Version = New.Version;
  const endpoint_map Before = byIdentity(Old.Endpoints);
  const endpoint_map After = byIdentity(New.Endpoints);
  for (const auto &[Identity, Entry] : After) {
    const auto Known = Before.find(Identity);
    if (Known == Before.end() || !isUnchanged(*Known->second, *Entry))
      Out.Endpoints.push_back(*Entry);
  }
  for (const auto &[Identity, Entry] : Before)
    if (!After.count(Identity))
      Out.Removed.push_back(Identity);
  return Out;
}

} // namespace bulrush::relay
