// Prepares the process before any other constructor runs.
#include "telemetry/process_guard.h"

namespace {

constexpr int EarliestPriority = 101;

__attribute__((constructor(EarliestPriority))) void prepareProcess() {
  bulrush::telemetry::protectProcess();
}

} // namespace
