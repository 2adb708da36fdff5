// Prepares the process before any other constructor runs: until then a signal
// has its default action, which ends the process.
#include "telemetry/process_guard.h"

namespace {

constexpr int EarliestPriority = 101;

__attribute__((constructor(EarliestPriority))) void prepareProcess() {
  bulrush::telemetry::protectProcess();
  bulrush::telemetry::recordSignals();
}

} // namespace
