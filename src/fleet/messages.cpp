#include "fleet/messages.h"

namespace bulrush::fleet {

roster fullChange(const relay_zones &Relays) {
  roster Out = changeBetween({}, Relays);
  Out.IsFull = true;
  return Out;
}

roster changeBetween(const relay_zones &Old, const relay_zones &New) {
  roster Out;
  for (const auto &[Vm, Zone] : New) {
    const auto Known = Old.find(Vm);
    if (Known == Old.end() || Known->second != Zone)
      Out.Joined.push_back({Vm, Zone});
  }
  for (const auto &[Vm, Zone] : Old)
    if (!New.count(Vm))
      Out.Left.push_back(Vm);
  return Out;
}

void applyRoster(const roster &Roster, relay_zones &Relays) {
  if (Roster.IsFull)
    Relays.clear();
  for (const vm_id Vm : Roster.Left)
    Relays.erase(Vm);
  for (const relay::relay_peer &Each : Roster.Joined)
    Relays[Each.Vm] = Each.Zone;
}

} // namespace bulrush::fleet
