/// bulrush-control: the control voter of bulrushtray.
#include "command_line.h"
#include "daemon/control_daemon.h"
#include "settings/control_settings.h"

using namespace bulrush;

namespace {

constexpr const char *Purpose =
    "Control voter of bulrushtray: keeps the replicated, durable control state "
    "and serves the operators' API. Stops gracefully on SIGTERM. Exit codes: 0 "
    "stopped, 1 failed, 2 bad settings, 3 stopped by a second signal.";

} // namespace

int main(int Count, char **Arguments) {
  return programs::runDaemon<daemon::control_daemon>(
      "control", Purpose, settings::loadControlSettings, Count, Arguments);
}
