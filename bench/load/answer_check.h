/// Checks an answer of the client API against the request that it belongs to.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/ids.h"
#include "bulrushtray/outcome.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace bulrush::bench {

/// The first fault found in an answer.
enum class answer_fault : std::uint8_t {
  none,
  malformed,
  other_request,     ///< the request id is not that of the request
  other_token,       ///< a result repeats the token of another request
  mixed_snapshots,   ///< a result of another snapshot than the answer
  untrue_coverage,   ///< the shards of the results are not `covered` distinct
                     ///< shards below `total`
  untrue_missing,    ///< `missing` is not the complement of the result shards
  untrue_total,      ///< `total` is not the shard count of that snapshot
  too_little,        ///< coverage below the minimum of the intent
  status_mismatch,   ///< the HTTP status contradicts the outcome
  results_of_no_run, ///< outcome `not_run` with results
  missing_not_named, ///< reason `incomplete` without missing shards
};
std::string_view toString(answer_fault Fault);

/// What a correct answer to one request has to contain.
struct expected_answer {
  std::string Request; ///< request id that the answer must repeat
  std::string Token;   ///< token that every result must repeat
  percent MinCoverage;
  bool IsCommand = false;
};

/// The fields read from an answer and the result of the check.
struct checked_answer {
  answer_fault Fault = answer_fault::none;
  outcome Outcome = outcome::unknown;
  std::string Reason; ///< reason code of a request that was not answered
  snapshot_id Snapshot;
  std::uint32_t Covered = 0;
  std::uint32_t Total = 0;
  millis RetryAfter;
};

/// Parses and checks the answer with HTTP status `Status` and body `Body`.
checked_answer checkAnswer(const expected_answer &Expected, unsigned Status,
                           const std::string &Body);

/// Shard counts that answers reported for each pool and snapshot. They are
/// compared with the published snapshots after the run.
class reported_totals {
public:
  /// Counts the `total` that `Answer` reported.
  void add(const std::string &Pool, const checked_answer &Answer);
  /// Number of answers whose total is not in `PublishedJson`, the body of
  /// `GET /admin/snapshots`.
  std::uint64_t countMismatches(const std::string &PublishedJson) const;

private:
  struct reported_total {
    std::string Pool;
    snapshot_id Snapshot;
    std::uint32_t Total = 0;
    auto operator<=>(const reported_total &) const = default;
  };
  std::map<reported_total, std::uint64_t> Counts;
};

} // namespace bulrush::bench
