/// The process of one control voter: replicated log, data folder and the
/// operators' HTTP API.
#pragma once

#include "daemon/exit_status.h"
#include "settings/control_settings.h"

#include <memory>

namespace bulrush::daemon {

class control_daemon {
public:
  explicit control_daemon(settings::control_settings Settings);
  ~control_daemon();
  control_daemon(const control_daemon &) = delete;
  control_daemon &operator=(const control_daemon &) = delete;

  /// Serves until SIGTERM or SIGINT, then transfers the leadership of the
  /// replicated log and finishes the running HTTP requests.
  exit_status run();

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace bulrush::daemon
