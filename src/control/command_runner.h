/// The daemon's side of non-idempotent requests: the ledger is asked first, one
/// send follows at most, the outcome is recorded, then the caller is answered.
#pragma once

#include "control/commands.h"

#include <map>
#include <variant>
#include <vector>

namespace bulrush::control {

/// A caller's request. `Run` is unique in this life of the daemon.
struct run_requested {
  std::uint64_t Run = 0;
  ledger_key Key;
  std::uint64_t Fingerprint = 0; ///< of the request's body
  millis Remaining;              ///< until the caller's deadline
};
/// The ledger's answer to a start or a finish of this daemon.
struct ledger_answered {
  ledger_answer Answer;
};
/// What became of the one send.
struct send_ended {
  std::uint64_t Run = 0;
  outcome Outcome = outcome::unknown;
  refusal Reason = refusal::none;
  std::string Body;
};
/// Raise it at least every 20 ms.
struct runner_tick {};
using runner_event =
    std::variant<run_requested, ledger_answered, send_ended, runner_tick>;

/// Ask the ledger, or report to it: to the control voter that answered last,
/// to all of them when `IsRepeat`.
struct ask_ledger {
  std::variant<ledger_start, ledger_finish> Request;
  bool IsRepeat = false;
};
/// Send the request to an endpoint, once. Where nothing can be sent report
/// `send_ended` with `not_run`.
struct send_once {
  std::uint64_t Run = 0;
  ledger_key Key;
  millis Remaining;
};
/// Answer the caller.
struct run_answered {
  std::uint64_t Run = 0;
  outcome Outcome = outcome::unknown;
  refusal Reason = refusal::none;
  std::string Body;
  millis RetryAfter; ///< 0: a resend gets the same answer
};
using runner_action = std::variant<ask_ledger, send_once, run_answered>;

/// Pure core; one for each entry daemon. `not_run` is answered only when the
/// ledger granted the key to this run and it was not sent, or when the ledger
/// knows that the key never ran.
class command_runner {
public:
  static constexpr millis AskInterval{200};
  /// A caller waits at most so long for its outcome to be recorded.
  static constexpr millis RecordPatience{500};
  /// Unrecorded outcomes are reported for so long.
  static constexpr millis ReportPatience{60'000};
  static constexpr std::size_t MaxRuns = 10'000;

  explicit command_runner(daemon_id Self) : Self(Self) {}

  void step(const runner_event &Event, instant Now,
            std::vector<runner_action> &Out);

  /// Runs that are not finished with.
  std::size_t size() const { return Runs.size(); }

private:
  enum class stage : std::uint8_t {
    asking,
    sending,
    late, ///< sent, and the caller's deadline has passed
    recording,
    reporting ///< the caller has its answer
  };
  struct run {
    ledger_key Key;
    std::uint64_t Fingerprint = 0;
    stage Stage = stage::asking;
    instant Deadline; ///< of the caller
    instant AskAgain;
    instant GiveUp; ///< end of `recording` or `reporting`
    send_ended Ended;
  };
  using run_place = std::map<std::uint64_t, run>::iterator;

  void on(const run_requested &Event, instant Now,
          std::vector<runner_action> &Out);
  void on(const ledger_answered &Event, instant Now,
          std::vector<runner_action> &Out);
  void on(const send_ended &Event, instant Now,
          std::vector<runner_action> &Out);
  void on(const runner_tick &Event, instant Now,
          std::vector<runner_action> &Out);
  void onVerdict(run_place Run, const ledger_answer &Answer, instant Now,
                 std::vector<runner_action> &Out);
  void onTime(run_place Run, instant Now, std::vector<runner_action> &Out);
  void ask(run_place Run, bool IsRepeat, instant Now,
           std::vector<runner_action> &Out);
  void record(run_place Run, send_ended Ended, stage Stage, instant Now,
              std::vector<runner_action> &Out);

  daemon_id Self;
  std::map<std::uint64_t, run> Runs;
};

} // namespace bulrush::control
