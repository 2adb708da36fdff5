/// Verifies one answer of the callers' API against what was asked.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/ids.h"
#include "bulrushtray/outcome.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace bulrush::bench {

/// What is wrong with an answer.
enum class answer_fault : std::uint8_t {
  none,
  malformed,
  other_request,     ///< the id of another request
  other_token,       ///< a result of another request
  mixed_snapshots,   ///< results of more than one snapshot
  untrue_coverage,   ///< `covered` is not the number of shards in the results
  untrue_missing,    ///< `missing` is not the rest of the shards
  untrue_total,      ///< not the number of shards of that snapshot
  too_little,        ///< less than the intent demands
  status_mismatch,   ///< the HTTP status does not fit the outcome
  results_of_no_run, ///< `not_run`, yet there are results
  missing_not_named, ///< refused as incomplete without the missing shards
};
std::string_view toString(answer_fault Fault);

/// What was asked.
struct asked {
  std::string Request; ///< the id that must come back
  std::string Token;   ///< that every result must repeat
  percent MinCoverage;
  bool IsCommand = false;
};

struct checked_answer {
  answer_fault Fault = answer_fault::none;
  outcome Outcome = outcome::unknown;
  std::string Reason; ///< of a refusal
  snapshot_id Snapshot;
  std::uint32_t Covered = 0;
  std::uint32_t Total = 0;
  millis RetryAfter;
};

checked_answer checkAnswer(const asked &Asked, unsigned Status,
                           const std::string &Body);

/// The shards that answers claimed for the snapshots of each pool, to compare
/// with what was published once the run has ended.
class total_claims {
public:
  void add(const std::string &Pool, const checked_answer &Answer);
  /// Answers whose total differs from the one in `GET /admin/snapshots`.
  std::uint64_t countUntrue(const std::string &PublishedJson) const;

private:
  struct claim {
    std::string Pool;
    snapshot_id Snapshot;
    std::uint32_t Total = 0;
    auto operator<=>(const claim &) const = default;
  };
  std::map<claim, std::uint64_t> Claims;
};

} // namespace bulrush::bench
