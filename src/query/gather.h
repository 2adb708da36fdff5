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

/// The progress of one shard.
struct shard_progress {
  std::array<std::uint32_t, MaxAttempts> Attempts{}; ///< places in the log
  std::uint8_t Count = 0;                            ///< attempts made
  std::uint8_t Pending = 0;                          ///< attempts that run
  bool Covered = false;
  bool Lost = false;        ///< it can no longer be covered
  bool HedgeClosed = false; ///< no further hedge is to be considered
  retry_reason RetryCause = retry_reason::lost;
  instant HedgeAt = Never;
  instant RetryAt = Never;
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
  /// Starts a query that arrived at `Arrived`. Its attempts get `subsNeeded`
  /// numbers from `FirstSub` on; a reply to any other is ignored.
  void begin(snapshot_id Snapshot, std::uint32_t Total, sub_id FirstSub,
             instant Arrived);
  /// Starts the same query again on another snapshot.
  void beginAgain(snapshot_id Snapshot, std::uint32_t Total, sub_id FirstSub);
  static std::uint64_t subsNeeded(std::uint32_t Total) {
    return std::uint64_t{Total} * MaxAttempts;
  }

  /// Records a new attempt. The shard must be open, with attempts left.
  sub_id add(const attempt_record &Attempt);

  /// Takes a reply.
  reply_meaning accept(const sub_reply &Reply, instant Now);

  /// Ends a running attempt without a reply; it may run nevertheless.
  void abandon(sub_id Sub, attempt_state State, refusal Reason, instant Now);

  /// Gives a shard up.
  void markLost(shard_id Shard);

  /// The attempt of a number on the present snapshot, or null.
  const attempt_record *find(sub_id Sub) const;

  /// The number of a shard's attempt, and the attempt.
  sub_id subOf(shard_id Shard, std::uint32_t Attempt) const;
  const attempt_record &attempt(shard_id Shard, std::uint32_t Attempt) const {
    return Log[(*this)[Shard].Attempts[Attempt]];
  }

  /// How long an attempt has run.
  millis elapsed(const attempt_record &Attempt, instant Now) const {
    return Now - (Arrived + millis{Attempt.SentAfterMs});
  }

  shard_progress &operator[](shard_id Shard) { return Shards[Shard.Value]; }
  const shard_progress &operator[](shard_id Shard) const {
    return Shards[Shard.Value];
  }

  snapshot_id snapshot() const { return Snapshot; }
  std::uint32_t total() const { return Total; }
  std::uint32_t covered() const { return Covered; }
  std::uint32_t open() const { return Total - Covered - Lost; }
  std::uint32_t pending() const { return Pending; }
  /// Attempts so far, those of earlier snapshots included.
  std::size_t attempts() const { return Log.size(); }

  /// Whether every attempt so far is proved not to have run.
  bool nothingRan() const { return !MayHaveRun && Pending == 0; }

  std::vector<shard_id> missing() const;
  std::vector<shared_body> takeBodies();

  /// Exchanges the log of all attempts, those of earlier snapshots included,
  /// for an emptied one. Nothing else may be asked afterwards.
  void swapLog(std::vector<attempt_record> &Other) { Log.swap(Other); }

private:
  void endAttempt(sub_id Sub, attempt_state State, refusal Reason, instant Now);

  snapshot_id Snapshot;
  std::uint32_t Total = 0;
  std::uint32_t Covered = 0;
  std::uint32_t Lost = 0;
  std::uint32_t Pending = 0;
  bool MayHaveRun = false;
  sub_id FirstSub;
  std::uint32_t FirstPlace = 0; ///< in the log, of the present snapshot
  instant Arrived;
  std::vector<attempt_record> Log;
  std::vector<shard_progress> Shards; ///< the first `Total` are in use
};

} // namespace bulrush::query
