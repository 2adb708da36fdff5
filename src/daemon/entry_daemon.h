/// The process of one entry daemon: callers' HTTP API, data path, links and
/// leases, all on one I/O thread.
#pragma once

#include "daemon/exit_status.h"
#include "settings/entry_settings.h"

#include <memory>

namespace bulrush::daemon {

class entry_daemon {
public:
  explicit entry_daemon(settings::entry_settings Settings);
  ~entry_daemon();
  entry_daemon(const entry_daemon &) = delete;
  entry_daemon &operator=(const entry_daemon &) = delete;

  /// Serves until SIGTERM or SIGINT, then finishes the running queries within
  /// the stop bound.
  exit_status run();

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace bulrush::daemon
