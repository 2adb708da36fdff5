/// Commands of the replicated log and their results.
#pragma once

#include "bulrushtray/outcome.h"
#include "control/changes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bulrush::control {

/// Unix time in milliseconds on the VM that proposed a command. Used only
/// for ages and time limits, never to order commands.
struct wall_time {
  std::int64_t Ms = 0;

  constexpr auto operator<=>(const wall_time &) const = default;
  constexpr wall_time operator+(millis D) const {
    return {Ms + static_cast<std::int64_t>(D.Count)};
  }
  constexpr wall_time operator-(millis D) const {
    return {Ms - static_cast<std::int64_t>(D.Count)};
  }
};

/// One run of an entry daemon.
struct daemon_id {
  vm_id Vm;
  incarnation_id Incarnation;

  auto operator<=>(const daemon_id &) const = default;
};

/// A change that an operator has confirmed.
struct operator_command {
  operator_id Operator;
  command_id Command;
  revision BaseRevision; ///< the revision that the change was planned on
  change Change;
  wall_time Time;

  bool operator==(const operator_command &) const = default;
};

/// The state machine's decision on an operator's command.
enum class command_result : std::uint8_t {
  accepted, ///< the change was applied to the configuration
  conflict, ///< the configuration has changed since the plan
  invalid,  ///< the change is not valid for the configuration
  reused_id ///< the command id was used for another change
};

/// The answer to an operator's command; a resend gets the same answer.
struct command_answer {
  command_result Result = command_result::accepted;
  revision Revision; ///< after the command

  bool operator==(const command_answer &) const = default;
};

/// Assigns an endpoint to a daemon, which may send requests to it once it also
/// has the lease.
struct assignment {
  endpoint_id Endpoint;
  daemon_id Holder;

  bool operator==(const assignment &) const = default;
};

/// Assigns endpoints to new owners.
struct assign_endpoints {
  std::vector<assignment> Moves;

  bool operator==(const assign_endpoints &) const = default;
};

/// One execution of a non-idempotent request by one daemon.
struct run_id {
  daemon_id Daemon;
  std::uint64_t Number = 0; ///< unique until the daemon restarts

  auto operator<=>(const run_id &) const = default;
};

/// Identity of a non-idempotent request.
struct ledger_key {
  caller_id Caller;
  idempotency_key Key;

  auto operator<=>(const ledger_key &) const = default;
};

/// A daemon requests permission to run a non-idempotent request.
struct ledger_start {
  run_id Run;
  ledger_key Key;
  std::uint64_t Fingerprint = 0; ///< of the request, to detect reuse of its key
  wall_time Time;

  bool operator==(const ledger_start &) const = default;
};

/// A daemon reports the outcome of a run.
struct ledger_finish {
  run_id Run;
  ledger_key Key;
  outcome Outcome = outcome::unknown;
  refusal Reason = refusal::none;
  std::string Body; ///< the endpoint's result if answered
  wall_time Time;

  bool operator==(const ledger_finish &) const = default;
};

/// The ledger's decision on a start or a finish.
enum class ledger_verdict : std::uint8_t {
  granted,  ///< this run, and no other, may send the request once
  finished, ///< an earlier run has ended; the answer holds its outcome
  started,  ///< another run may have sent the request and has no outcome yet
  reused,   ///< the key was used for a different request
  expired,  ///< the key is older than the key lifetime
  bad_key,  ///< the key has no issue time, or one in the future
  full,     ///< the ledger is full
  recorded  ///< the finish has been processed
};

/// The ledger's answer to one run.
struct ledger_answer {
  run_id Run;
  ledger_verdict Verdict = ledger_verdict::started;
  outcome Outcome = outcome::unknown; ///< if finished
  refusal Reason = refusal::none;
  std::string Body;

  bool operator==(const ledger_answer &) const = default;
};

/// A command in the replicated log.
using command = std::variant<operator_command, assign_endpoints, ledger_start,
                             ledger_finish>;

/// The result of applying a command. Empty for `assign_endpoints` and for an
/// entry that was already applied.
using apply_result =
    std::variant<std::monostate, command_answer, ledger_answer>;

} // namespace bulrush::control
