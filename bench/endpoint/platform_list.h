/// Simulated VM list of the platform, which shows changes after a lag.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/ids.h"

#include <map>
#include <string>
#include <vector>

namespace bulrush::bench {

enum class vm_state { live, leaving, gone };

/// Shows each change after the lag that was set at the time of the change.
class platform_list {
public:
  explicit platform_list(const std::vector<vm_id> &Live);

  void setLag(millis Lag) { this->Lag = Lag; }
  void change(vm_id Vm, vm_state State, instant Now);
  /// Formats the list as `{"vms": [{"id": 1, "state": "live"}]}`, without VMs
  /// that are gone.
  std::string toJson(instant Now) const;

private:
  struct scheduled_change {
    instant VisibleFrom;
    vm_id Vm;
    vm_state State;
  };
  std::map<vm_id, vm_state> InitialStates;
  std::vector<scheduled_change> Changes;
  millis Lag{0};
};

} // namespace bulrush::bench
