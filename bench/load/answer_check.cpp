#include "answer_check.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace bulrush::bench {
namespace {

using nlohmann::json;

constexpr unsigned StatusOk = 200;

std::optional<outcome> parseOutcome(const std::string &Name) {
  for (const outcome O :
       {outcome::answered, outcome::not_run, outcome::unknown})
    if (bulrush::toString(O) == Name)
      return O;
  return std::nullopt;
}

struct result_summary {
  answer_fault Fault = answer_fault::none;
  std::set<std::uint32_t> Shards;
};

/// Checks token, snapshot and shard of every result and collects the shards.
result_summary summarize(const json &Results, const expected_answer &Expected,
                         const checked_answer &Answer) {
  result_summary Out;
  for (const json &Result : Results) {
    if (!Result.is_object())
      return {answer_fault::malformed, {}};
    if (Result.value("token", json()) != json(Expected.Token))
      return {answer_fault::other_token, {}};
    if (Result.value("snapshot", std::uint64_t{0}) != Answer.Snapshot.Value)
      return {answer_fault::mixed_snapshots, {}};
    const auto Shard = Result.value("shard", std::uint32_t{0});
    if (Shard >= Answer.Total || !Out.Shards.insert(Shard).second)
      return {answer_fault::untrue_coverage, {}};
  }
  return Out;
}

/// True if `Missing` and `Shards` are disjoint and together are exactly the
/// shards from 0 to `Total` - 1.
bool isComplement(const json &Missing, std::set<std::uint32_t> Shards,
                  std::uint32_t Total) {
  for (const json &Shard : Missing)
    if (!Shard.is_number_unsigned() ||
        !Shards.insert(Shard.get<std::uint32_t>()).second)
      return false;
  return Shards.size() == Total && (Shards.empty() || *Shards.rbegin() < Total);
}

answer_fault checkSearch(const json &Body, const expected_answer &Expected,
                         const checked_answer &Answer) {
  const json Results = Body.value("results", json::array());
  const json Missing = Body.value("missing", json::array());
  if (!Results.is_array() || !Missing.is_array())
    return answer_fault::malformed;
  const result_summary Summary = summarize(Results, Expected, Answer);
  if (Summary.Fault != answer_fault::none)
    return Summary.Fault;
  if (Summary.Shards.size() != Answer.Covered)
    return answer_fault::untrue_coverage;
  if (!isComplement(Missing, Summary.Shards, Answer.Total))
    return answer_fault::untrue_missing;
  if (Answer.Covered < Expected.MinCoverage.share() * Answer.Total)
    return answer_fault::too_little;
  return answer_fault::none;
}

answer_fault checkCommand(const json &Body, const expected_answer &Expected) {
  for (const json &Result : Body.value("results", json::array()))
    if (Result.is_object() &&
        Result.value("token", json()) != json(Expected.Token))
      return answer_fault::other_token;
  return answer_fault::none;
}

answer_fault checkBody(const json &Body, const expected_answer &Expected,
                       unsigned Status, const checked_answer &Answer) {
  if (Body.value("request", "") != Expected.Request)
    return answer_fault::other_request;
  if ((Answer.Outcome == outcome::answered) != (Status == StatusOk))
    return answer_fault::status_mismatch;
  if (Answer.Outcome == outcome::not_run &&
      !Body.value("results", json::array()).empty())
    return answer_fault::results_of_no_run;
  if (Answer.Reason == bulrush::toString(refusal::incomplete) &&
      Body.value("missing", json::array()).empty())
    return answer_fault::missing_not_named;
  if (Answer.Outcome != outcome::answered)
    return answer_fault::none;
  return Expected.IsCommand ? checkCommand(Body, Expected)
                            : checkSearch(Body, Expected, Answer);
}

checked_answer checkParsed(const json &Body, const expected_answer &Expected,
                           unsigned Status) {
  checked_answer Answer;
  const auto Outcome = parseOutcome(Body.value("outcome", ""));
  if (!Outcome) {
    Answer.Fault = answer_fault::malformed;
    return Answer;
  }
  Answer.Outcome = *Outcome;
  Answer.Reason = Body.value("reason", "");
  Answer.Snapshot.Value = Body.value("snapshot", std::uint64_t{0});
  Answer.Covered = Body.value("covered", std::uint32_t{0});
  Answer.Total = Body.value("total", std::uint32_t{0});
  Answer.RetryAfter.Count = Body.value("retryAfterMs", 0.0);
  Answer.Fault = checkBody(Body, Expected, Status, Answer);
  return Answer;
}

} // namespace

std::string_view toString(answer_fault Fault) {
  switch (Fault) {
  case answer_fault::none:
    return "none";
  case answer_fault::malformed:
    return "malformed";
  case answer_fault::other_request:
    return "other_request";
  case answer_fault::other_token:
    return "other_token";
  case answer_fault::mixed_snapshots:
    return "mixed_snapshots";
  case answer_fault::untrue_coverage:
    return "untrue_coverage";
  case answer_fault::untrue_missing:
    return "untrue_missing";
  case answer_fault::untrue_total:
    return "untrue_total";
  case answer_fault::too_little:
    return "too_little";
  case answer_fault::status_mismatch:
    return "status_mismatch";
  case answer_fault::results_of_no_run:
    return "results_of_no_run";
  case answer_fault::missing_not_named:
    return "missing_not_named";
  }
  return "none";
}

checked_answer checkAnswer(const expected_answer &Expected, unsigned Status,
                           const std::string &Body) {
  const json Parsed = json::parse(Body, nullptr, false);
  checked_answer Malformed;
  Malformed.Fault = answer_fault::malformed;
  if (!Parsed.is_object())
    return Malformed;
  try {
    return checkParsed(Parsed, Expected, Status);
  } catch (const json::exception &) {
    return Malformed;
  }
}

void reported_totals::add(const std::string &Pool,
                          const checked_answer &Answer) {
  ++Counts[{Pool, Answer.Snapshot, Answer.Total}];
}

std::uint64_t
reported_totals::countMismatches(const std::string &PublishedJson) const {
  const json Published = json::parse(PublishedJson, nullptr, false);
  std::set<reported_total> PublishedTotals;
  if (Published.is_object())
    for (const json &S : Published.value("snapshots", json::array()))
      PublishedTotals.insert({S.value("pool", ""),
                              snapshot_id{S.value("id", std::uint64_t{0})},
                              S.value("totalShards", std::uint32_t{0})});
  std::uint64_t Mismatches = 0;
  for (const auto &[Reported, Count] : Counts)
    if (PublishedTotals.count(Reported) == 0)
      Mismatches += Count;
  return Mismatches;
}

} // namespace bulrush::bench
