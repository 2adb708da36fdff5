/// Commands of the replicated log and what each results in.
#pragma once

#include "bulrushtray/outcome.h"
#include "control/changes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bulrush::control {

/// Milliseconds since 1970 on the clock of the machine that proposed a command.
/// It only bounds windows; no order is taken from it.
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

/// One life of one entry daemon.
struct daemon_id {
  vm_id Vm;
  incarnation_id Incarnation;

  auto operator<=>(const daemon_id &) const = default;
};

/// A confirmed change.
struct operator_command {
  operator_id Operator;
  command_id Command;
  revision BaseRevision;
  change Change;
  wall_time Time;

  bool operator==(const operator_command &) const = default;
};

/// How the state machine decided an operator's command.
enum class command_result : std::uint8_t {
  accepted, ///< the change is part of the configuration
  conflict, ///< the configuration has moved on since the plan
  invalid,  ///< the change does not fit the configuration
  reused_id ///< the command id was used for another change
};

/// The answer to an operator's command; a resend gets the same.
struct command_answer {
  command_result Result = command_result::accepted;
  revision Revision; ///< after the command

  bool operator==(const command_answer &) const = default;
};

/// Who may send work to an endpoint, once it has a lease.
struct assignment {
  endpoint_id Endpoint;
  daemon_id Holder;

  bool operator==(const assignment &) const = default;
};

/// Moves endpoints to new owners.
struct assign_endpoints {
  std::vector<assignment> Moves;

  bool operator==(const assign_endpoints &) const = default;
};

/// One run of one non-idempotent request, in one daemon.
struct run_id {
  daemon_id Daemon;
  std::uint64_t Number = 0; ///< unique in one life of the daemon

  auto operator<=>(const run_id &) const = default;
};

/// Identity of a non-idempotent request.
struct ledger_key {
  caller_id Caller;
  idempotency_key Key;

  auto operator<=>(const ledger_key &) const = default;
};

/// A daemon asks to run a non-idempotent request.
struct ledger_start {
  run_id Run;
  ledger_key Key;
  std::uint64_t Fingerprint = 0; ///< of the request, to recognise key reuse
  wall_time Time;

  bool operator==(const ledger_start &) const = default;
};

/// A daemon reports how a run ended.
struct ledger_finish {
  run_id Run;
  ledger_key Key;
  outcome Outcome = outcome::unknown;
  refusal Reason = refusal::none;
  std::string Body; ///< the endpoint's result when answered
  wall_time Time;

  bool operator==(const ledger_finish &) const = default;
};

/// What the ledger says to a start or a finish.
enum class ledger_verdict : std::uint8_t {
  granted,  ///< this run, and only this run, may send once
  finished, ///< an earlier run ended; its outcome is in the answer
  started,  ///< another run may have been sent and has not reported
  reused,   ///< the key was used for another request
  expired,  ///< the key is older than the window
  bad_key,  ///< the key carries no issue time, or one in the future
  full,     ///< no room for another key
  recorded  ///< the finish is part of the state
};

/// The ledger's answer to one run.
struct ledger_answer {
  run_id Run;
  ledger_verdict Verdict = ledger_verdict::started;
  outcome Outcome = outcome::unknown; ///< when finished
  refusal Reason = refusal::none;
  std::string Body;

  bool operator==(const ledger_answer &) const = default;
};

/// What the replicated log carries.
using command = std::variant<operator_command, assign_endpoints, ledger_start,
                             ledger_finish>;

/// What applying a command results in; nothing for `assign_endpoints` and for
/// an entry that is part of the state already.
using apply_result =
    std::variant<std::monostate, command_answer, ledger_answer>;

} // namespace bulrush::control
