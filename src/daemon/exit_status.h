/// Exit codes of the daemons.
#pragma once

namespace bulrush::daemon {

/// The exit code of the process.
enum class exit_status : int {
  stopped = 0,       ///< stopped on a signal; no request was cut off
  failed = 1,        ///< failed to start, or failed later, such as on a
                     ///< disk error
  bound_reached = 3, ///< stopped on a signal, but forced by the stop bound
                     ///< or a second signal
};

} // namespace bulrush::daemon
