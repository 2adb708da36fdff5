/// bulrush-entry: one entry process of bulrushtray.
#include "command_line.h"
#include "daemon/entry_daemon.h"
#include "daemon/process.h"
#include "settings/entry_settings.h"

#include <iostream>

using namespace bulrush;

namespace {

constexpr int BadSettings = 2;
constexpr const char *Purpose =
    "Entry daemon of bulrushtray: takes callers' searches and commands, sends "
    "them to the endpoints and gathers the answers. Stops gracefully on "
    "SIGTERM. Exit codes: 0 stopped, 1 failed, 2 bad settings, 3 stopped with "
    "work cut off.";

} // namespace

int main(int Count, char **Arguments) {
  const auto Options = programs::parseDaemonOptions(Purpose, Count, Arguments);
  auto Settings = settings::loadEntrySettings(Options.Settings, Options.Vm);
  if (!Settings) {
    std::cerr << Settings.error().Message << '\n';
    return BadSettings;
  }
  if (Options.CheckOnly) {
    std::cout << Options.Settings << ": valid\n";
    return 0;
  }
  daemon::startProcessLog("entry-" + std::to_string(Options.Vm.Value),
                          Settings->LogLevel);
  daemon::entry_daemon Daemon(std::move(*Settings));
  return static_cast<int>(Daemon.run());
}
