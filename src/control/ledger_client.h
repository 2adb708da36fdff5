/// The daemon's way to the ledger: asks until it is answered. The router sends
/// a request only after a grant, and hands over the outcome to record.
#pragma once

#include "control/commands.h"

#include <map>
#include <variant>
#include <vector>

namespace bulrush::control {

/// A non-idempotent request wants to run. `Run` is unique in this life of the
/// daemon and is never used again, also after the caller gave up.
struct start_wanted {
  std::uint64_t Run = 0;
  ledger_key Key;
  std::uint64_t Fingerprint = 0; ///< of the request's kind and body
};
/// The outcome of the run that was granted for `Key`; `not_run` when the grant
/// will not be used.
struct record_wanted {
  ledger_key Key;
  outcome Outcome = outcome::unknown;
  refusal Reason = refusal::none;
  std::string Body;
};
/// The ledger's answer to a start or a finish of this daemon.
struct ledger_answered {
  ledger_answer Answer;
};
/// Raise it at least every 50 ms.
struct client_tick {};
using client_event =
    std::variant<start_wanted, record_wanted, ledger_answered, client_tick>;

/// Send to the control voter that answered a heartbeat last; to all voters when
/// `IsRetry`.
struct ask_ledger {
  std::variant<ledger_start, ledger_finish> Request;
  bool IsRetry = false;
};

/// What a start came to.
enum class start_verdict : std::uint8_t {
  granted,  ///< send once, then hand over the outcome
  finished, ///< the key has the outcome given here; do not send
  refused   ///< proved: the key never ran; do not send
};

struct start_decided {
  std::uint64_t Run = 0;
  ledger_key Key;
  start_verdict Verdict = start_verdict::refused;
  outcome Outcome = outcome::unknown; ///< when finished
  refusal Reason = refusal::none;
  std::string Body;
  millis RetryAfter; ///< 0: a resend gets the same
};
/// The outcome of `Key` is durable.
struct outcome_recorded {
  ledger_key Key;
};
using client_action = std::variant<ask_ledger, start_decided, outcome_recorded>;

/// Pure core; one for each entry daemon. While a start is not answered nothing
/// is proved: an earlier send of the key may have run, so a caller whose
/// deadline passes gets `unknown`.
class ledger_client {
public:
  static constexpr millis AskInterval{200};
  static constexpr millis AskPatience{60'000};
  static constexpr std::size_t MaxAsks = 20'000;

  explicit ledger_client(daemon_id Self) : Self(Self) {}

  void step(const client_event &Event, instant Now,
            std::vector<client_action> &Out);

  /// Starts and outcomes that the ledger has not answered.
  std::size_t waiting() const { return Starts.size() + Finishes.size(); }

private:
  struct pending {
    std::variant<ledger_start, ledger_finish> Request;
    instant AskAgain;
    instant GiveUp;
  };
  using pending_map = std::map<std::uint64_t, pending>;

  void on(const start_wanted &Event, instant Now,
          std::vector<client_action> &Out);
  void on(const record_wanted &Event, instant Now,
          std::vector<client_action> &Out);
  void on(const ledger_answered &Event, instant Now,
          std::vector<client_action> &Out);
  void on(const client_tick &Event, instant Now,
          std::vector<client_action> &Out);
  static void askAgain(pending_map &Asks, instant Now,
                       std::vector<client_action> &Out);

  daemon_id Self;
  pending_map Starts;   ///< by run
  pending_map Finishes; ///< by run
  std::map<ledger_key, std::uint64_t> Granted;
};

} // namespace bulrush::control
