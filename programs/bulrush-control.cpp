/// bulrush-control: one control process of bulrushtray.
#include "command_line.h"
#include "daemon/control_daemon.h"
#include "daemon/process.h"
#include "settings/control_settings.h"

#include <iostream>

using namespace bulrush;

namespace {

constexpr int BadSettings = 2;
constexpr const char *Purpose =
    "Control voter of bulrushtray: keeps the replicated, durable control state "
    "and serves the operators' API. Stops gracefully on SIGTERM. Exit codes: 0 "
    "stopped, 1 failed, 2 bad settings, 3 stopped by a second signal.";

} // namespace

int main(int Count, char **Arguments) {
  const auto Options = programs::parseDaemonOptions(Purpose, Count, Arguments);
  auto Settings = settings::loadControlSettings(Options.Settings, Options.Vm);
  if (!Settings) {
    std::cerr << Settings.error().Message << '\n';
    return BadSettings;
  }
  if (Options.CheckOnly) {
    std::cout << Options.Settings << ": valid\n";
    return 0;
  }
  daemon::startProcessLog("control-" + std::to_string(Options.Vm.Value),
                          Settings->LogLevel);
  daemon::control_daemon Daemon(std::move(*Settings));
  return static_cast<int>(Daemon.run());
}
