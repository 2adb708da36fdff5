/// Command line and `main` function shared by the daemons.
#pragma once

#include "bulrushtray/ids.h"
#include "daemon/process.h"
#include "telemetry/process_guard.h"

#include <iostream>
#include <string>
#include <tclap/CmdLine.h>

namespace bulrush::programs {

inline constexpr const char *Version = "0.1.0";

/// Parsed command line of a daemon.
struct daemon_options {
  std::string Settings;
  vm_id Vm;
  bool CheckOnly = false; ///< validate the settings, then exit
};

/// Parses the command line. For `--help`, `--version` and invalid arguments
/// TCLAP prints a message and exits the process.
inline daemon_options parseDaemonOptions(const std::string &Purpose, int Count,
                                         char **Arguments) {
  TCLAP::CmdLine Line(Purpose, ' ', Version);
  TCLAP::ValueArg<std::string> Settings(
      "s", "settings", "settings file, JSON with comments (docs/SETTINGS.md)",
      true, "", "file", Line);
  TCLAP::ValueArg<std::uint32_t> Vm("", "vm",
                                    "id of this vm in the deployment file",
                                    true, 0, "number", Line);
  TCLAP::SwitchArg Check("", "check", "validate the settings, then exit", Line);
  Line.parse(Count, Arguments);
  return {Settings.getValue(), {Vm.getValue()}, Check.getValue()};
}

/// Exit code for invalid settings.
inline constexpr int BadSettings = 2;

/// Implements a daemon's `main`: reads the settings with `Loader`, starts the
/// log as process `<Name>-<vm id>`, runs `Daemon` and returns its exit code.
template <class Daemon, class Load>
int runDaemon(const std::string &Name, const std::string &Purpose, Load Loader,
              int Count, char **Arguments) {
  telemetry::protectProcess();
  const daemon_options Options = parseDaemonOptions(Purpose, Count, Arguments);
  auto Settings = Loader(Options.Settings, Options.Vm);
  if (!Settings) {
    std::cerr << Settings.error().Message << '\n';
    return BadSettings;
  }
  if (Options.CheckOnly) {
    std::cout << Options.Settings << ": valid\n";
    return 0;
  }
  daemon::startProcessLog(Name + '-' + std::to_string(Options.Vm.Value),
                          Settings->LogLevel);
  Daemon Process(std::move(*Settings));
  return static_cast<int>(Process.run());
}

} // namespace bulrush::programs
