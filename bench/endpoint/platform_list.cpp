#include "platform_list.h"

#include <nlohmann/json.hpp>

namespace bulrush::bench {

platform_list::platform_list(const std::vector<vm_id> &Live) {
  for (const vm_id Vm : Live)
    InitialStates[Vm] = vm_state::live;
}

void platform_list::change(vm_id Vm, vm_state State, instant Now) {
  Changes.push_back({Now + Lag, Vm, State});
}

std::string platform_list::toJson(instant Now) const {
  auto States = InitialStates;
  for (const scheduled_change &Change : Changes)
    if (Change.VisibleFrom <= Now)
      States[Change.Vm] = Change.State;
  nlohmann::json Vms = nlohmann::json::array();
  for (const auto &[Vm, State] : States)
    if (State != vm_state::gone)
      Vms.push_back({{"id", Vm.Value},
                     {"state", State == vm_state::live ? "live" : "leaving"}});
  return nlohmann::json{{"vms", std::move(Vms)}}.dump();
}

} // namespace bulrush::bench
