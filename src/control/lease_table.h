/// The leader's side of the ownership of endpoints.
#pragma once

#include "control/lease_terms.h"

#include <map>
#include <optional>
#include <vector>

namespace bulrush::control {

/// Lives for one term of one leader. Who holds an endpoint is replicated; who
/// has a lease until when is not: a new leader takes every holder it has not
/// heard from to hold its lease until one full lease after the election.
/// An endpoint moves in this order: it leaves the old holder's set of grants;
/// the old holder acts on that set, or its lease runs out; the move is
/// replicated; it enters the new holder's set.
class lease_table {
public:
  /// Work of holders before the election may be in flight for `MaxInFlight`.
  lease_table(term_id Term, instant ElectedAt, millis MaxInFlight,
              const std::map<endpoint_id, daemon_id> &Assignments);

  /// Says which daemon each endpoint should move to.
  void setTargets(const std::vector<assignment> &Targets);

  /// Takes what a heartbeat acknowledges; returns whether that is new, so that
  /// moves may be ready.
  bool onHeartbeat(const daemon_id &Daemon, const heartbeat &Heartbeat);

  /// The part of a reply to a heartbeat that arrived at `ReceivedAt` that
  /// carries the ownership lease; the lease counts from now on.
  void renewLease(const daemon_id &Daemon, instant ReceivedAt, instant Now,
                  heartbeat_reply &Reply);

  /// Moves that are safe now and not yet handed out by this call.
  std::vector<assignment> readyMoves(instant Now);

  /// Moves that were handed out have no effect: hand them out again.
  void onMovesRejected(const std::vector<assignment> &Moves);

  /// A move has been replicated. Work of the earlier holder may be in flight
  /// for another `MaxInFlight`.
  void onMoveCommitted(const assignment &Move, instant Now, millis MaxInFlight);

  /// Whether the daemon should get a reply at once, as its set has changed.
  bool hasUnacknowledgedGrants(const daemon_id &Daemon) const;

  /// Endpoints whose holder is not the one aimed at.
  std::size_t pendingMoves() const;

private:
  struct ownership_record {
    std::optional<daemon_id> Holder;
    std::optional<daemon_id> Target;
    bool MayBeGranted = false;          ///< the holder may have been told of it
    std::uint64_t RevokedInVersion = 0; ///< version without it; 0 while granted
    instant RevokedLeaseEnd; ///< the holder's lease ends here at the latest
    bool IsProposed = false;
    instant InheritedUntil;
  };
  struct daemon_lease {
    std::uint64_t Version = 1; ///< of its set of grants in this term
    std::uint64_t Acknowledged = 0;
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
