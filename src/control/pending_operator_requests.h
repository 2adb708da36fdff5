/// Operators' requests that are not yet answered on one control VM.
#pragma once

#include "control/operator_api.h"

#include <map>

namespace bulrush::control {

/// Origin of a request: a control VM and the ticket it assigned.
struct request_origin {
  vm_id Vm;
  std::uint64_t Ticket = 0;

  auto operator<=>(const request_origin &) const = default;
};

/// A result to be returned to the origin of its request.
struct operator_answer {
  request_origin To;
  operator_result Result;
};

/// Keeps each request until it is answered or `RequestTimeout` has passed. A
/// request is proposed or forwarded again every `RetryInterval`; the state
/// machine recognizes resends.
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
    /// Number of proposals and forwards that may have taken effect. If it is 0,
    /// the request is proven to have had no effect.
    std::uint32_t UnresolvedAttempts = 0;

    void recordAttempt(instant Now) {
      ++UnresolvedAttempts;
      NextAttempt = Now + RetryInterval;
    }
  };

  explicit pending_operator_requests(std::uint64_t FirstTicket)
      : LastTicket(FirstTicket) {}

  /// Adds a request, or answers it immediately if `MaxPending` requests are
  /// pending.
  void add(const request_origin &From, const operator_request &Request,
           instant Now, std::vector<operator_answer> &Out);

  /// Pending requests by the ticket that this VM assigned.
  std::map<std::uint64_t, pending_request> &entries() { return Requests; }

  /// Answers one request; does nothing if it is no longer pending.
  void complete(std::uint64_t Ticket, const operator_result &Result,
                std::vector<operator_answer> &Out);

  /// A command was applied: answers all pending confirms of it.
  void onCommandApplied(const operator_command &Command,
                        const command_answer &Answer,
                        std::vector<operator_answer> &Out);

  /// The log rejected the proposal made for a request.
  void onProposalRejected(std::uint64_t Ticket);

  /// Answers the requests that have timed out.
  void expire(instant Now, std::vector<operator_answer> &Out);

private:
  std::map<std::uint64_t, pending_request> Requests;
  std::uint64_t LastTicket;
};

/// The result of a confirm that was decided by the state machine.
confirm_result toConfirmResult(const command_answer &Answer);

} // namespace bulrush::control
