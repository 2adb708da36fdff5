/// Collects the replies of one query and tracks which shards are covered and
/// which attempts are pending.
#pragma once

#include "query/explain_log.h"
#include "query/messages.h"

#include <array>
#include <optional>

namespace bulrush::query {

/// Maximum number of attempts for one shard of one query, the primary included.
inline constexpr std::uint32_t MaxAttempts = 4;

/// Progress of one shard.
struct shard_progress {
  std::array<std::uint32_t, MaxAttempts>
      Attempts{};           ///< indices into the attempt log
  std::uint8_t Count = 0;   ///< number of attempts sent
  std::uint8_t Pending = 0; ///< number of attempts without a reply
  bool Covered = false;
  bool Failed = false;      ///< no further attempt will be made
  bool HedgingDone = false; ///< no further hedge will be considered
  retry_reason RetryCause = retry_reason::lost;
  instant HedgeAt = Never;
  instant RetryAt = Never;
  shared_body Body;

  bool isOpen() const { return !Covered && !Failed; }
};

/// Effect of a reply on its query.
enum class reply_effect : std::uint8_t {
  ignored, ///< late, duplicate or not of this query
  covered, ///< its shard became covered
  failed   ///< its attempt ended without a usable result
};

/// The replies of one query on one snapshot. Coverage is counted in shards: a
/// shard counts once regardless of how many attempts are answered, and only a
/// result for the pinned snapshot and the attempt's own shard counts.
class gather_state {
public:
  /// Starts a query that arrived at `Arrived`. Its attempts get
  /// `subIdsNeeded(Total)` ids beginning with `FirstSub`; replies with other
  /// ids are ignored.
  void begin(snapshot_id Snapshot, std::uint32_t Total, sub_id FirstSub,
             instant Arrived);
  /// Restarts the same query on another snapshot and keeps the attempt log.
  void restart(snapshot_id Snapshot, std::uint32_t Total, sub_id FirstSub);
  static std::uint64_t subIdsNeeded(std::uint32_t Total) {
    return std::uint64_t{Total} * MaxAttempts;
  }

  /// Records a new attempt and returns its id. The shard must be open and have
  /// fewer than `MaxAttempts` attempts.
  sub_id add(const attempt_record &Attempt);

  /// Handles a reply and returns its effect.
  reply_effect accept(const sub_reply &Reply, instant Now);

  /// Ends a pending attempt that has no reply. It may still be executed.
  void abandon(sub_id Sub, attempt_state State, refusal Reason, instant Now);

  /// Marks an open shard as failed; no further attempt will be made for it.
  void markFailed(shard_id Shard);

  /// Returns the attempt with this id on the current snapshot, or null.
  const attempt_record *find(sub_id Sub) const;

  /// Returns the id of attempt number `Attempt` for a shard, and the attempt.
  sub_id subIdOf(shard_id Shard, std::uint32_t Attempt) const;
  const attempt_record &attempt(shard_id Shard, std::uint32_t Attempt) const {
    return Log[(*this)[Shard].Attempts[Attempt]];
  }

  /// Returns the time since an attempt was sent.
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
  std::uint32_t open() const { return Total - Covered - Failed; }
  std::uint32_t pending() const { return Pending; }
  /// Returns the number of attempts so far, including those on earlier
  /// snapshots.
  std::size_t attempts() const { return Log.size(); }

  /// Returns whether every attempt so far is known not to have been executed.
  bool nothingRan() const { return !MayHaveRun && Pending == 0; }

  std::vector<shard_id> missing() const;
  std::vector<shared_body> takeResults();

  /// Swaps the log of all attempts, including those on earlier snapshots, with
  /// the empty `Other`. No other member except `begin` may be called
  /// afterwards.
  void swapAttemptLog(std::vector<attempt_record> &Other) { Log.swap(Other); }

private:
  void endAttempt(sub_id Sub, attempt_state State, refusal Reason, instant Now);

  snapshot_id Snapshot;
  std::uint32_t Total = 0;
  std::uint32_t Covered = 0;
  std::uint32_t Failed = 0;
  std::uint32_t Pending = 0;
  bool MayHaveRun = false;
  sub_id FirstSub;
  /// Log index of the first attempt on the current snapshot.
  std::uint32_t FirstLogIndex = 0;
  instant Arrived;
  std::vector<attempt_record> Log;
  std::vector<shard_progress> Shards; ///< only the first `Total` are in use
};

} // namespace bulrush::query
