#include "fleet/messages.h"

namespace bulrush::fleet {

roster fullChange(const relay_list &Relays) {
  roster Out = changeBetween({}, Relays);
  Out.IsFull = true;
  return Out;
}

roster changeBetween(const relay_list &Old, const relay_list &New) {
  roster Out;
  for (const auto &[Vm, Relay] : New) {
    const auto Known = Old.find(Vm);
    if (Known == Old.end() || Known->second != Relay)
      Out.Joined.push_back(Relay);
  }
  for (const auto &[Vm, Relay] : Old)
    if (!New.count(Vm))
      Out.Left.push_back(Vm);
  return Out;
}

void applyRoster(const roster &Roster, relay_list &Relays) {
  if (Roster.IsFull)
    Relays.clear();
  for (const vm_id Vm : Roster.Left)
    Relays.erase(Vm);
  for (const relay::relay_peer &Each : Roster.Joined)
    Relays[Each.Vm] = Each;
}

} // namespace bulrush::fleet
