/// How a daemon ended.
#pragma once

namespace bulrush::daemon {

/// The process's exit code.
enum class exit_status : int {
  stopped = 0,       ///< asked to stop, and no request was cut off
  failed = 1,        ///< could not start, or its disk failed
  bound_reached = 3, ///< asked to stop; the bound or a second signal ended it
};

} // namespace bulrush::daemon
