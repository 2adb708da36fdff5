/// Gathers the replies of one query: which shards are covered, which are still
/// open and which attempts run.
#pragma once

#include "query/explain_memory.h"
#include "query/messages.h"

#include <array>
#include <optional>

namespace bulrush::query {

/// Attempts for one shard of one query, the primary included.
inline constexpr std::uint32_t MaxAttempts = 4;

/// One attempt for one shard.
struct attempt {
  endpoint_id Endpoint;
  vm_id Owner;
  instant SentAt;
  instant EndedAt;
  attempt_state State = attempt_state::pending;
  refusal Reason = refusal::none;
  bool IsPrimary = true;
  retry_reason Cause = retry_reason::hedge;
};

/// The progress of one shard.
struct shard_progress {
  std::array<attempt, MaxAttempts> Attempts;
  std::uint32_t Count = 0;   ///< attempts made
  std::uint32_t Pending = 0; ///< attempts that run
  bool Covered = false;
  bool Lost = false;        ///< it can no longer be covered
  bool HedgeClosed = false; ///< no further hedge is to be considered
  instant HedgeAt = Never;
  instant RetryAt = Never;
  retry_reason RetryCause = retry_reason::lost;
  shared_body Body;

  bool isOpen() const { return !Covered && !Lost; }
};

/// What a reply meant for its query.
enum class reply_meaning : std::uint8_t {
  ignored, ///< late, repeated or not of this query
  covered, ///< its shard is covered now
  failed   ///< its attempt has ended without a result
};

/// The replies of one query on one snapshot. Coverage is counted by shard: a
/// shard counts once however many attempts answer, and only a result of the
/// pinned snapshot and of the attempt's own shard counts.
class gather {
public:
  /// Starts a query. Attempts are numbered from `FirstSub`; a reply to an
  /// attempt outside of the `subsNeeded(Total)` numbers is ignored.
  void begin(snapshot_id Snapshot, std::uint32_t Total, sub_id FirstSub);
  /// Starts the same query again on another snapshot.
  void beginAgain(snapshot_id Snapshot, std::uint32_t Total, sub_id FirstSub);
  static std::uint64_t subsNeeded(std::uint32_t Total) {
    return std::uint64_t{Total} * MaxAttempts;
  }

  /// Records a new attempt. The shard must be open, with attempts left.
  sub_id add(shard_id Shard, const attempt &Attempt);

  /// Takes a reply.
  reply_meaning accept(const sub_reply &Reply, instant Now);

  /// Ends a running attempt without a reply; it may run nevertheless.
  void abandon(sub_id Sub, attempt_state State, refusal Reason, instant Now);

  /// Gives a shard up.
  void markLost(shard_id Shard);

  /// The attempt of a number, or null.
  const attempt *find(sub_id Sub) const;
  shard_id shardOf(sub_id Sub) const;
  sub_id subOf(shard_id Shard, std::uint32_t Attempt) const;

  shard_progress &operator[](shard_id Shard) { return Shards[Shard.Value]; }
  const shard_progress &operator[](shard_id Shard) const {
    return Shards[Shard.Value];
  }

  snapshot_id snapshot() const { return Snapshot; }
  std::uint32_t total() const { return Total; }
  std::uint32_t covered() const { return Covered; }
  std::uint32_t open() const { return Total - Covered - Lost; }
  std::uint32_t pending() const { return Pending; }

  /// Whether every attempt so far is proved not to have run.
  bool nothingRan() const { return !MayHaveRun && Pending == 0; }

  std::vector<shard_id> missing() const;
  std::vector<shared_body> takeBodies();

private:
  bool contains(sub_id Sub) const;
  void endAttempt(sub_id Sub, attempt_state State, refusal Reason, instant Now);
  attempt &attemptOf(sub_id Sub);

  snapshot_id Snapshot;
  std::uint32_t Total = 0;
  std::uint32_t Covered = 0;
  std::uint32_t Lost = 0;
  std::uint32_t Pending = 0;
  bool MayHaveRun = false;
  sub_id FirstSub;
  std::vector<shard_progress> Shards; ///< the first `Total` are in use
};

} // namespace bulrush::query
