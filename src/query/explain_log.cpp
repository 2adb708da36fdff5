#include "query/explain_log.h"

#include <algorithm>
#include <array>

namespace bulrush::query {

namespace {

constexpr std::array<std::string_view, 4> StateNames = {"pending", "covered",
                                                        "failed", "cancelled"};
constexpr std::array<std::string_view, 5> DenialNames = {
    "none", "no_budget", "no_replica", "too_many_open", "latency_shifted"};
constexpr std::array<std::string_view, 4> ChangeReasonNames = {
    "first", "newer", "coverage", "gone"};

} // namespace

query_record *explain_log::nextRecord() {
  if (Ring.empty())
    return nullptr;
  query_record &Record = Ring[WrittenCount % Ring.size()];
  ++WrittenCount;
  Record.RequestId.clear();
  Record.Attempts.clear();
  return &Record;
}

std::size_t explain_log::size() const {
  return std::min<std::uint64_t>(WrittenCount, Ring.size());
}

const query_record &explain_log::recordByAge(std::size_t Age) const {
  return Ring[(WrittenCount - 1 - Age) % Ring.size()];
}

const query_record *
explain_log::findByRequestId(const std::string &RequestId) const {
  for (std::size_t Age = 0; Age < size(); ++Age)
    if (recordByAge(Age).RequestId == RequestId)
      return &recordByAge(Age);
  return nullptr;
}

std::vector<const query_record *>
explain_log::findByEndpoint(endpoint_id Endpoint, std::size_t Limit) const {
  return findByAnyEndpoint({Endpoint}, Limit);
}

std::vector<const query_record *>
explain_log::findByAnyEndpoint(const std::vector<endpoint_id> &Endpoints,
                               std::size_t Limit) const {
  const auto IsAtEndpoint = [&](const attempt_record &Attempt) {
    return std::find(Endpoints.begin(), Endpoints.end(), Attempt.Endpoint) !=
           Endpoints.end();
  };
  std::vector<const query_record *> Found;
  for (std::size_t Age = 0; Age < size() && Found.size() < Limit; ++Age) {
    const std::vector<attempt_record> &Attempts = recordByAge(Age).Attempts;
    if (std::any_of(Attempts.begin(), Attempts.end(), IsAtEndpoint))
      Found.push_back(&recordByAge(Age));
  }
  return Found;
}

std::string_view toString(attempt_state State) {
  return StateNames[static_cast<std::size_t>(State)];
}

std::string_view toString(hedge_denial Denial) {
  return DenialNames[static_cast<std::size_t>(Denial)];
}

std::string_view toString(snapshot_change_reason Reason) {
  return ChangeReasonNames[static_cast<std::size_t>(Reason)];
}

} // namespace bulrush::query
