/// The platform's list of live and leaving VMs, which lags behind reality.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/ids.h"

#include <map>
#include <string>
#include <vector>

namespace bulrush::bench {

enum class vm_state { live, leaving, gone };

/// Shows each change only after the lag that was set when it happened.
class platform_list {
public:
  explicit platform_list(const std::vector<vm_id> &Live);

  void setLag(millis Lag) { this->Lag = Lag; }
  void change(vm_id Vm, vm_state State, instant Now);
  /// `{"vms": [{"id": 1, "state": "live"}]}`; machines that are gone are left
  /// out.
  std::string toJson(instant Now) const;

private:
  struct change_record {
    instant VisibleFrom;
    vm_id Vm;
    vm_state State;
  };
  std::map<vm_id, vm_state> AtStart;
  std::vector<change_record> Changes;
  millis Lag{0};
};

} // namespace bulrush::bench
