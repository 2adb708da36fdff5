#include "query/explain_memory.h"

#include <algorithm>
#include <array>

namespace bulrush::query {

namespace {

constexpr std::array<std::string_view, 4> StateNames = {"pending", "covered",
                                                        "failed", "cancelled"};
constexpr std::array<std::string_view, 5> DenialNames = {
    "none", "no_budget", "no_replica", "too_many_open", "latency_shifted"};
constexpr std::array<std::string_view, 4> MoveNames = {"first", "newer",
                                                       "coverage", "gone"};

} // namespace

query_record *explain_memory::next() {
  if (Ring.empty())
    return nullptr;
  query_record &Record = Ring[Written % Ring.size()];
  ++Written;
  Record.RequestId.clear();
  Record.Attempts.clear();
  return &Record;
}

std::size_t explain_memory::size() const {
  return std::min<std::uint64_t>(Written, Ring.size());
}

const query_record &explain_memory::latest(std::size_t Back) const {
  return Ring[(Written - 1 - Back) % Ring.size()];
}

const query_record *
explain_memory::findRequest(const std::string &RequestId) const {
  for (std::size_t Back = 0; Back < size(); ++Back)
    if (latest(Back).RequestId == RequestId)
      return &latest(Back);
  return nullptr;
}

std::vector<const query_record *>
explain_memory::findEndpoint(endpoint_id Endpoint, std::size_t Limit) const {
  return findAny({Endpoint}, Limit);
}

std::vector<const query_record *>
explain_memory::findAny(const std::vector<endpoint_id> &Endpoints,
                        std::size_t Limit) const {
  const auto IsWanted = [&](const attempt_record &Attempt) {
    return std::find(Endpoints.begin(), Endpoints.end(), Attempt.Endpoint) !=
           Endpoints.end();
  };
  std::vector<const query_record *> Found;
  for (std::size_t Back = 0; Back < size() && Found.size() < Limit; ++Back) {
    const std::vector<attempt_record> &Attempts = latest(Back).Attempts;
    if (std::any_of(Attempts.begin(), Attempts.end(), IsWanted))
      Found.push_back(&latest(Back));
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
  return MoveNames[static_cast<std::size_t>(Reason)];
}

} // namespace bulrush::query
