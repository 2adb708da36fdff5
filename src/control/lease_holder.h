/// Daemon-side leases.
#pragma once

#include "control/lease_terms.h"

#include <array>
#include <map>

namespace bulrush::control {

/// Measures each lease from the time its heartbeat was sent, so that network
/// delay or a paused process can only shorten it. Call `owns` immediately
/// before each send with the current time. Example:
///   auto Next = Holder.nextHeartbeat(Now, Applied, Epoch); // send to voters
///   if (Holder.applyReply(Reply, Applied, Now))
///     ... // send the next heartbeat immediately
class lease_holder {
public:
  /// Builds the next heartbeat; `Now` is recorded as its send time.
  heartbeat nextHeartbeat(instant Now, revision Applied,
                          std::uint64_t MembershipEpoch);

  /// Whether the reply answers one of the last `MaxTrackedHeartbeats`
  /// heartbeats and its term is not older than that of any reply accepted
  /// before.
  bool accepts(const heartbeat_reply &Reply) const;

  /// Renews the leases from a reply. `Applied` is the daemon's revision after
  /// it applied the configuration in the reply. Returns whether the grant set
  /// changed. If so, send the next heartbeat immediately, since the leader
  /// waits for its acknowledgement.
  bool applyReply(const heartbeat_reply &Reply, revision Applied, instant Now);

  /// Whether the daemon's configuration is known to be the accepted one.
  bool isFresh(instant Now) const { return Now < FreshUntil; }

  /// Whether the daemon may send work to the endpoint at `Now`.
  bool owns(endpoint_id Endpoint, instant Now) const;

  /// Endpoints granted while the lease is valid, in ascending order, each with
  /// the time until which work of an earlier owner may be in flight there.
  const std::map<endpoint_id, instant> &granted() const { return Granted; }

  instant ownedUntil() const { return OwnedUntil; }
  instant freshUntil() const { return FreshUntil; }

  /// Starts a planned stop: the following heartbeats give up all leases.
  void beginLeaving() { IsLeaving = true; }

  /// Whether the leader has confirmed that all leases are given up.
  bool hasLeft() const { return IsLeaving && IsLeaveAcknowledged; }

private:
  static constexpr std::size_t MaxTrackedHeartbeats = 32;
  struct sent_heartbeat {
    std::uint64_t Sequence = 0;
    instant SentAt;
    bool Leaving = false;
  };

  void replaceGrants(const heartbeat_reply &Reply, instant Now);

  std::array<sent_heartbeat, MaxTrackedHeartbeats> SentHeartbeats{};
  std::uint64_t LastSequence = 0;
  term_id Term;
  grant_version Version;
  std::map<endpoint_id, instant> Granted;
  instant FreshUntil;
  instant OwnedUntil;
  bool IsLeaving = false;
  bool IsLeaveAcknowledged = false;
};

} // namespace bulrush::control
