/// Operators' requests that wait for their answer on one control VM.
#pragma once

#include "control/operator_api.h"

#include <map>

namespace bulrush::control {

/// Who asked: a machine and a number that it chose.
struct request_origin {
  vm_id Vm;
  std::uint64_t Ticket = 0;

  auto operator<=>(const request_origin &) const = default;
};

/// A result on its way to whoever asked.
struct operator_answer {
  request_origin To;
  operator_result Result;
};

/// Keeps requests until they are answered, or until `Patience` has passed. A
/// request is handed on again and again, as the state machine knows a resend.
class pending_operator_requests {
public:
  static constexpr millis RequestTimeout{3000};
  static constexpr millis RetryInterval{500};
  static constexpr std::size_t MaxPending = 1000;

  struct pending_request {
    request_origin From;
    operator_request Request;
    instant Deadline;
    instant NextAttempt;
    /// Proposals and forwards that may have an effect; while there is none, it
    /// is proved that the request has had no effect.
    std::uint32_t UnresolvedAttempts = 0;

    void recordAttempt(instant Now) {
      ++UnresolvedAttempts;
      NextAttempt = Now + RetryInterval;
    }
  };

  explicit pending_operator_requests(std::uint64_t FirstTicket)
      : LastTicket(FirstTicket) {}

  /// Takes a request, or answers it at once when too many wait.
  void add(const request_origin &From, const operator_request &Request,
           instant Now, std::vector<operator_answer> &Out);

  /// Requests by the ticket that this machine gave them.
  std::map<std::uint64_t, pending_request> &entries() { return Requests; }

  /// Answers one request; nothing when it is not waiting any more.
  void complete(std::uint64_t Ticket, const operator_result &Result,
                std::vector<operator_answer> &Out);

  /// A command was applied: answers every wait for it.
  void onCommandApplied(const operator_command &Command,
                        const command_answer &Answer,
                        std::vector<operator_answer> &Out);

  /// The log did not take the proposal made for a request.
  void onProposalRejected(std::uint64_t Ticket);

  /// Answers what has waited too long.
  void expire(instant Now, std::vector<operator_answer> &Out);

private:
  std::map<std::uint64_t, pending_request> Requests;
  std::uint64_t LastTicket;
};

/// The answer to a confirm that the state machine has decided.
confirm_result toConfirmResult(const command_answer &Answer);

} // namespace bulrush::control
