/// Ledger of non-idempotent requests. A start is recorded before the request is
/// sent, so that each idempotency key runs at most once.
#pragma once

#include "control/commands.h"

#include <map>

namespace bulrush::control {

/// Limits of the ledger.
struct ledger_limits {
  /// Age after which a key is refused as expired and its record is removed.
  millis KeyLifetime{3'600'000};
  /// A key is refused if its issue time is further in the future.
  millis MaxIssuedAhead{60'000};
  std::size_t MaxRecords = 200'000;
  std::size_t MaxBodyBytes = 2'048; ///< longer results are not stored
};

/// State of one idempotency key.
struct ledger_record {
  ledger_key Key;
  std::uint64_t Fingerprint = 0;
  wall_time Issued;
  run_id Run; ///< the run that was granted last
  bool Finished = false;
  outcome Outcome = outcome::unknown;
  refusal Reason = refusal::none;
  std::string Body;

  bool operator==(const ledger_record &) const = default;
};

/// The issue time contained in a key, which is a version 7 UUID or starts with
/// milliseconds since 1970 and a dash, as in `1764800000000-4f2a`.
expected<wall_time> issueTime(const idempotency_key &Key);

/// Deterministic part of the replicated state. `Now` is the largest time
/// carried by any applied command. A record is kept until its key is old enough
/// to be refused as expired, so a removed key can't run again. A full ledger
/// refuses new keys.
class ledger {
public:
  explicit ledger(ledger_limits Limits = {}) : Limits(Limits) {}

  ledger_answer start(const ledger_start &Start, wall_time Now);
  ledger_answer finish(const ledger_finish &Finish);

  std::size_t size() const { return Records.size(); }
  std::vector<ledger_record> records() const;
  void restore(std::vector<ledger_record> NewRecords);

private:
  void removeExpired(wall_time Now);

  ledger_limits Limits;
  std::map<ledger_key, ledger_record> Records;
  std::multimap<wall_time, ledger_key> ByIssueTime;
};

} // namespace bulrush::control
