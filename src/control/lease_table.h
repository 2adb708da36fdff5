/// Leader-side ownership leases of the endpoints.
#pragma once

#include "control/lease_terms.h"

#include <map>
#include <optional>
#include <vector>

namespace bulrush::control {

/// Exists for one term of one leader. The holder of each endpoint is
/// replicated, lease expiry times are not: a new leader assumes that each
/// holder it has not heard from holds its lease until one full lease duration
/// after the election.
/// An endpoint moves in four steps: it is removed from the old holder's grant
/// set; the old holder acknowledges that set or its lease expires; the move is
/// committed to the log; it is added to the new holder's grant set.
class lease_table {
public:
  /// Work sent by holders before the election may be in flight for up to
  /// `MaxInFlight`.
  lease_table(term_id Term, instant ElectedAt, millis MaxInFlight,
              const std::map<endpoint_id, daemon_id> &Assignments);

  /// Sets the daemon that each endpoint should move to.
  void setTargets(const std::vector<assignment> &Targets);

  /// Records the grant set acknowledged by a heartbeat. Returns whether the
  /// acknowledgement is new, in which case moves may have become ready.
  bool onHeartbeat(const daemon_id &Daemon, const heartbeat &Heartbeat);

  /// Renews the daemon's lease and fills in the ownership part of the reply to
  /// a heartbeat that arrived at `ReceivedAt`. The lease counts as renewed from
  /// this call on, even if the reply is lost.
  void renewLease(const daemon_id &Daemon, instant ReceivedAt, instant Now,
                  heartbeat_reply &Reply);

  /// Returns the moves that are safe to commit now, each one once.
  std::vector<assignment> readyMoves(instant Now);

  /// The log rejected these moves: `readyMoves` will return them again.
  void onMovesRejected(const std::vector<assignment> &Moves);

  /// A move has been committed. Work sent by the previous holder may be in
  /// flight for up to `MaxInFlight` from `Now`.
  void onMoveCommitted(const assignment &Move, instant Now, millis MaxInFlight);

  /// Whether the daemon has not yet acknowledged its current grant set and
  /// should get a reply immediately.
  bool hasUnacknowledgedGrants(const daemon_id &Daemon) const;

  /// Number of endpoints whose holder is not their target.
  std::size_t pendingMoves() const;

private:
  struct ownership_record {
    std::optional<daemon_id> Holder;
    std::optional<daemon_id> Target;
    bool MayBeGranted = false;          ///< the holder may know of its grant
    std::uint64_t RevokedInVersion = 0; ///< grant set without it; 0: granted
    instant RevokedLeaseEnd; ///< upper bound on the end of the holder's lease
    bool IsProposed = false; ///< the move to `Target` awaits its commit
    /// Until when work of earlier holders may be in flight.
    instant InheritedUntil;
  };
  struct daemon_lease {
    std::uint64_t Version = 1;      ///< of its current grant set in this term
    std::uint64_t Acknowledged = 0; ///< highest version acknowledged
    instant End;
  };

  daemon_lease &leaseFor(const daemon_id &Daemon);
  bool isReleased(const ownership_record &Record, instant Now) const;
  void revoke(ownership_record &Record);
  void cancelRevocation(ownership_record &Record);

  term_id Term;
  instant PriorLeasesEnd;
  std::map<endpoint_id, ownership_record> Records;
  std::map<daemon_id, daemon_lease> Leases;
};

} // namespace bulrush::control
