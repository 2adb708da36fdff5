#include "relay/directory_change.h"

#include <algorithm>
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

millis elapsed(millis ColdFor, millis Time) {
  return std::max(ColdFor - Time, millis{0});
}

/// `Left` is what remains of the known cold time.
bool isCountDown(millis Left, millis ColdFor) {
  return ColdFor <= Left && Left - ColdFor <= MaxEarlierEnd;
}

bool isUnchanged(const listed_endpoint &Old, const listed_endpoint &New,
                 millis Between) {
  listed_endpoint Expected = Old;
  Expected.ColdFor = elapsed(Old.ColdFor, Between);
  if (isCountDown(Expected.ColdFor, New.ColdFor))
    Expected.ColdFor = New.ColdFor;
  return New == Expected;
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
    if (Known == Before.end() ||
        !isUnchanged(*Known->second, *Entry, New.ReadAt - Old.ReadAt))
      Out.Endpoints.push_back(*Entry);
  }
  for (const auto &[Identity, Entry] : Before)
    if (!After.count(Identity))
      Out.Removed.push_back(Identity);
  return Out;
}

void keepCountDowns(const directory &Old, directory &New) {
  const endpoint_map Before = byIdentity(Old.Endpoints);
  const millis Between = New.ReadAt - Old.ReadAt;
  for (listed_endpoint &Entry : New.Endpoints) {
    const auto Known = Before.find(Entry.Identity);
    if (Known == Before.end())
      continue;
    const millis Left = elapsed(Known->second->ColdFor, Between);
    if (isCountDown(Left, Entry.ColdFor))
      Entry.ColdFor = Left;
  }
}

} // namespace bulrush::relay
