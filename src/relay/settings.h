/// Figures that the relay decides by.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/ids.h"

#include <cstdint>
#include <string>

namespace bulrush::relay {

struct budget_settings {
  /// Further arrivals at a service, as a share of its requests; the bound of
  /// all daemons together.
  double Ratio = 0.2;
  /// Further arrivals in one window beside that share; all daemons together.
  double Slack = 54;
  millis Window{10'000};

  bool operator==(const budget_settings &) const = default;
};

struct relay_settings {
  budget_settings Budget;
  /// From the client's start of the clock until its request is here, and from
  /// the moment when the answer leaves until the client has it; of a client
  /// whose distance is not known.
  millis DefaultClientDelay{12};
  double Cores = 1; ///< that this daemon has; below 1 a share of one
  vm_id Self;       ///< the machine of this daemon
  std::string Zone; ///< of this daemon

  bool operator==(const relay_settings &) const = default;
};

} // namespace bulrush::relay
