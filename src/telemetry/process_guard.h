/// Protects a daemon from signals that would end it, and logs those that do.
#pragma once

#include <string>

namespace bulrush::telemetry {

/// Call it first in a daemon. Refused writes become errors instead of SIGPIPE
/// and SIGXFSZ; signals that no daemon uses, such as SIGUSR1 and SIGALRM, are
/// ignored; standard descriptors that are closed are opened on /dev/null,
/// so that no socket or data file gets their number; a fatal signal and an
/// exception that nobody catches leave a log line `process_ended`. Calls no
/// function that needs initialization of other modules.
void protectProcess();

/// Name of this process in the line of a fatal signal.
void setProcessName(const std::string &Name);

/// Records SIGHUP, SIGTERM and SIGINT from now until the process is gone. None
/// of them ends the process any more.
void recordSignals();

/// Whether the signal has arrived since the previous call. `Number` is one that
/// `recordSignals` records.
bool takeSignal(int Number);

/// Each recorded signal writes a byte to `Descriptor`, which must not block; -1
/// ends this.
void setSignalWakeup(int Descriptor);

} // namespace bulrush::telemetry
