#include "control/pending_operator_requests.h"

namespace bulrush::control {

namespace {

/// The result of a request that was not decided by the log.
operator_result undecidedResult(const operator_request &Request,
                                std::uint32_t UnresolvedAttempts) {
  const auto *Confirm = std::get_if<confirm_request>(&Request);
  if (!Confirm)
    return request_refused{refusal::no_quorum, "no control leader is known"};
  const bool IsProvenNotRun = UnresolvedAttempts == 0 && Confirm->IsFirstSend;
  return confirm_result{
      IsProvenNotRun ? confirm_status::not_run : confirm_status::unknown, {}};
}

bool matches(const operator_request &Request, const operator_command &Command) {
  const auto *Confirm = std::get_if<confirm_request>(&Request);
  return Confirm && Confirm->Plan.Operator == Command.Operator &&
         Confirm->Plan.Command == Command.Command &&
         Confirm->Plan.Change == Command.Change;
}

} // namespace

confirm_result toConfirmResult(const command_answer &Answer) {
  switch (Answer.Result) {
  case command_result::accepted:
    return {confirm_status::accepted, Answer.Revision};
  case command_result::conflict:
    return {confirm_status::conflict, Answer.Revision};
  case command_result::invalid:
    return {confirm_status::invalid, Answer.Revision};
  case command_result::reused_id:
    break;
  }
  return {confirm_status::reused_id, Answer.Revision};
}

void pending_operator_requests::add(const request_origin &From,
                                    const operator_request &Request,
                                    instant Now,
                                    std::vector<operator_answer> &Out) {
  if (Requests.size() >= MaxPending) {
    Out.push_back({From, undecidedResult(Request, 0)});
    return;
  }
  Requests[++LastTicket] = {From, Request, Now + RequestTimeout, Now, 0};
}

void pending_operator_requests::complete(std::uint64_t Ticket,
                                         const operator_result &Result,
                                         std::vector<operator_answer> &Out) {
  const auto Found = Requests.find(Ticket);
  if (Found == Requests.end())
    return;
  Out.push_back({Found->second.From, Result});
  Requests.erase(Found);
}

void pending_operator_requests::onCommandApplied(
    const operator_command &Command, const command_answer &Answer,
    std::vector<operator_answer> &Out) {
  std::erase_if(Requests, [&](const auto &Entry) {
    if (!matches(Entry.second.Request, Command))
      return false;
    Out.push_back({Entry.second.From, toConfirmResult(Answer)});
    return true;
  });
}

void pending_operator_requests::onProposalRejected(std::uint64_t Ticket) {
  const auto Found = Requests.find(Ticket);
  if (Found != Requests.end() && Found->second.UnresolvedAttempts > 0)
    --Found->second.UnresolvedAttempts;
}

void pending_operator_requests::expire(instant Now,
                                       std::vector<operator_answer> &Out) {
  std::erase_if(Requests, [&](const auto &Entry) {
    if (Now < Entry.second.Deadline)
      return false;
    Out.push_back(
        {Entry.second.From, undecidedResult(Entry.second.Request,
                                            Entry.second.UnresolvedAttempts)});
    return true;
  });
}

} // namespace bulrush::control
