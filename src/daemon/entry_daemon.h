/// One entry daemon: callers' API, data path, links and leases on one I/O
/// thread.
#pragma once

#include "settings/entry_settings.h"

#include <memory>

namespace bulrush::daemon {

/// How a daemon ended; the process's exit code.
enum class exit_status : int {
  stopped = 0,       ///< asked to stop, and no request was cut off
  failed = 1,        ///< could not start
  bound_reached = 3, ///< asked to stop; the bound or a second signal ended it
};

class entry_daemon {
public:
  explicit entry_daemon(settings::entry_settings Settings);
  ~entry_daemon();
  entry_daemon(const entry_daemon &) = delete;
  entry_daemon &operator=(const entry_daemon &) = delete;

  /// Serves until SIGTERM or SIGINT, then finishes what is in work.
  exit_status run();

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace bulrush::daemon
