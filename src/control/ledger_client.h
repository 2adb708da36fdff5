/// Daemon-side client of the ledger; resends each request until it is answered
/// or `RequestTimeout` has passed. The router sends a non-idempotent request
/// only after a grant and then reports the outcome to record.
#pragma once

#include "control/commands.h"

#include <map>
#include <variant>
#include <vector>

namespace bulrush::control {

/// Requests a grant for a non-idempotent request. `Run` is unique within one
/// incarnation of the daemon and never reused, even if the caller gave up.
struct start_requested {
  std::uint64_t Run = 0;
  ledger_key Key;
  std::uint64_t Fingerprint = 0; ///< of the request's kind and body
};
/// Records the outcome of the run that was granted for `Key`; `not_run` if the
/// grant will not be used.
struct record_requested {
  ledger_key Key;
  outcome Outcome = outcome::unknown;
  refusal Reason = refusal::none;
  std::string Body;
};
/// The ledger answered a start or a finish of this daemon.
struct ledger_answer_received {
  ledger_answer Answer;
};
/// Must be raised at least every 50 ms.
struct client_tick {};
using client_event = std::variant<start_requested, record_requested,
                                  ledger_answer_received, client_tick>;

/// Sends a request to the control voter that last answered a heartbeat, or to
/// all voters if `IsRetry` is set.
struct send_ledger_request {
  std::variant<ledger_start, ledger_finish> Request;
  bool IsRetry = false;
};

/// Result of a start.
enum class start_verdict : std::uint8_t {
  granted,  ///< send the request once, then record its outcome
  finished, ///< the key has the outcome given here; do not send
  refused   ///< the key is proven never to have run; do not send
};

struct start_decided {
  std::uint64_t Run = 0;
  ledger_key Key;
  start_verdict Verdict = start_verdict::refused;
  outcome Outcome = outcome::unknown; ///< if `Verdict` is `finished`
  refusal Reason = refusal::none;
  std::string Body;
  millis RetryAfter; ///< 0: a resend gets the same result
};
/// The outcome of `Key` is stored durably.
struct outcome_recorded {
  ledger_key Key;
};
using client_action =
    std::variant<send_ledger_request, start_decided, outcome_recorded>;

/// Performs no I/O; one instance per entry daemon. While a start is unanswered,
/// an earlier send of the key may have run, so a caller whose deadline passes
/// meanwhile gets `unknown`.
class ledger_client {
public:
  static constexpr millis ResendInterval{200};
  static constexpr millis RequestTimeout{60'000};
  static constexpr std::size_t MaxPending = 20'000;

  explicit ledger_client(daemon_id Self) : Self(Self) {}

  void step(const client_event &Event, instant Now,
            std::vector<client_action> &Out);

  /// Number of starts and finishes that the ledger has not answered yet.
  std::size_t waiting() const { return Starts.size() + Finishes.size(); }

private:
  struct pending {
    std::variant<ledger_start, ledger_finish> Request;
    instant ResendAt;
    instant ExpiresAt;
  };
  using pending_map = std::map<std::uint64_t, pending>;

  void on(const start_requested &Event, instant Now,
          std::vector<client_action> &Out);
  void on(const record_requested &Event, instant Now,
          std::vector<client_action> &Out);
  void on(const ledger_answer_received &Event, instant Now,
          std::vector<client_action> &Out);
  void on(const client_tick &Event, instant Now,
          std::vector<client_action> &Out);
  static void resendDue(pending_map &Requests, instant Now,
                        std::vector<client_action> &Out);

  daemon_id Self;
  pending_map Starts;   ///< by run
  pending_map Finishes; ///< by run
  std::map<ledger_key, std::uint64_t> Granted;
};

} // namespace bulrush::control
