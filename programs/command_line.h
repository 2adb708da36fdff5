/// What the daemons' command lines have in common.
#pragma once

#include "bulrushtray/ids.h"
#include "daemon/process.h"

#include <iostream>
#include <string>
#include <tclap/CmdLine.h>

namespace bulrush::programs {

inline constexpr const char *Version = "0.1.0";

/// The command line of a daemon.
struct daemon_options {
  std::string Settings;
  vm_id Vm;
  bool CheckOnly = false;
};

/// Parses; prints help or an error and ends the process where TCLAP does.
inline daemon_options parseDaemonOptions(const std::string &Purpose, int Count,
                                         char **Arguments) {
  TCLAP::CmdLine Line(Purpose, ' ', Version);
  TCLAP::ValueArg<std::string> Settings(
      "s", "settings", "settings file, JSON with comments (docs/SETTINGS.md)",
      true, "", "file", Line);
  TCLAP::ValueArg<std::uint32_t> Vm(
      "", "vm", "number of this machine in the deployment file", true, 0,
      "number", Line);
  TCLAP::SwitchArg Check("", "check",
                         "only read and check the settings, then exit", Line);
  Line.parse(Count, Arguments);
  return {Settings.getValue(), {Vm.getValue()}, Check.getValue()};
}

/// The exit code for settings that cannot be used.
inline constexpr int BadSettings = 2;

/// The whole of a daemon's `main`: reads the settings with `Load`, starts the
/// log as `Name` and the machine's number, and runs `Daemon`.
template <class Daemon, class Load>
int runDaemon(const std::string &Name, const std::string &Purpose, Load Loader,
              int Count, char **Arguments) {
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
