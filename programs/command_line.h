/// What the daemons' command lines have in common.
#pragma once

#include "bulrushtray/ids.h"

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

} // namespace bulrush::programs
