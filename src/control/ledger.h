/// The ledger of non-idempotent requests: a start is recorded before the one
/// send, so that no key runs twice.
#pragma once

#include "control/commands.h"

#include <map>

namespace bulrush::control {

/// Bounds of the ledger.
struct ledger_limits {
  millis KeyLifetime{
      3'600'000}; ///< after this a key is refused, then forgotten
  millis MaxIssuedAhead{60'000}; ///< how far a key's issue time may lie ahead
  std::size_t MaxRecords = 200'000;
  std::size_t MaxBodyBytes = 2'048; ///< longer results are not kept
};

/// What the ledger remembers of one key.
struct ledger_record {
  ledger_key Key;
  std::uint64_t Fingerprint = 0;
  wall_time Issued;
  run_id Run; ///< the last run that was granted
  bool Finished = false;
  outcome Outcome = outcome::unknown;
  refusal Reason = refusal::none;
  std::string Body;

  bool operator==(const ledger_record &) const = default;
};

/// The issue time that a key carries: it is a version 7 UUID, or begins with
/// milliseconds since 1970 and a dash. Example: `1764800000000-4f2a`.
expected<wall_time> issueTime(const idempotency_key &Key);

/// Deterministic; part of the replicated state. `Now` is the largest time any
/// command has carried. A record stays until its key is refused as expired, so
/// a forgotten key can't run again; a full ledger refuses new keys.
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
