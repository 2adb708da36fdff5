/// Commands of bulrushctl.
#pragma once

#include "bulrushtray/error.h"
#include "bulrushtray/world.h"

#include <string>
#include <vector>

namespace bulrush::ctl {

/// Parsed command line of bulrushctl.
struct ctl_options {
  deployment Deployment;
  std::string Operator;
  std::string Token;
  std::string CommandId; ///< id of the change; a resend must use the same id
  bool Json = false;     ///< print JSON instead of tables
  bool Yes = false;      ///< confirm the plan and wait until it is in force
  std::vector<std::string> Words; ///< command and its arguments
};

/// Exit codes of bulrushctl.
enum class ctl_status : int {
  done = 0,
  failed = 1,  ///< no server responded, or the outcome is unknown
  refused = 2, ///< conflict, invalid or not found; nothing was changed
};

/// Returns the usage of all commands, separated by `|`, for `--help`.
std::string commandHelp();

/// Runs the command in `Options.Words` and prints its result to standard
/// output.
expected<ctl_status> runCommand(const ctl_options &Options);

} // namespace bulrush::ctl
