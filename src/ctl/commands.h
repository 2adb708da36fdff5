/// What bulrushctl can be asked to do.
#pragma once

#include "bulrushtray/error.h"
#include "bulrushtray/world.h"

#include <string>
#include <vector>

namespace bulrush::ctl {

struct ctl_options {
  deployment Deployment;
  std::string Operator;
  std::string Token;
  std::string CommandId; ///< of a change; a resend uses the same
  bool Json = false;     ///< print the daemons' JSON
  bool Yes = false;      ///< confirm the plan and wait until it is in force
  std::vector<std::string> Words;
};

/// Exit codes of bulrushctl.
enum class ctl_status : int {
  done = 0,
  failed = 1,  ///< no answer, or the outcome is unknown
  refused = 2, ///< conflict, invalid or not found: nothing was changed
};

/// One line for each command, for `--help`.
std::string commandHelp();

/// Runs the command in `Options.Words`; prints to standard output.
expected<ctl_status> runCommand(const ctl_options &Options);

} // namespace bulrush::ctl
