/// The daemon's side of its leases.
#pragma once

#include "control/lease_terms.h"

#include <array>
#include <map>

namespace bulrush::control {

/// Times leases from when each heartbeat was sent, so that delay of the network
/// or a pause of the process only shortens them. Ask `owns` right before each
/// send, with the time read then. Example:
///   auto Beat = Holder.nextHeartbeat(Now, Applied, Epoch); // send it to all
///   voters if (Holder.applyReply(Reply, Applied, Now)) ... // send another
///   heartbeat at once
class lease_holder {
public:
  /// The next heartbeat, taken to be sent at `Now`.
  heartbeat nextHeartbeat(instant Now, revision Applied,
                          std::uint64_t MembershipEpoch);

  /// Whether the reply answers a recent heartbeat and comes from no older
  /// leader than any seen before.
  bool accepts(const heartbeat_reply &Reply) const;

  /// Takes a reply; `Applied` is the daemon's revision after it has taken what
  /// the reply carries. Returns whether the set of grants changed: then the
  /// leader waits for the next heartbeat, so send one at once.
  bool applyReply(const heartbeat_reply &Reply, revision Applied, instant Now);

  /// Whether the daemon's configuration is known to be the accepted one.
  bool isFresh(instant Now) const { return Now < FreshUntil; }

  /// Whether work may be sent to the endpoint now.
  bool owns(endpoint_id Endpoint, instant Now) const;

  /// Endpoints that are granted while the lease holds, ascending, and until
  /// when an earlier owner's work may be in flight there.
  const std::map<endpoint_id, instant> &granted() const { return Granted; }

  instant ownedUntil() const { return OwnedUntil; }
  instant freshUntil() const { return FreshUntil; }

  /// Begins a planned stop: the next heartbeats hand the leases back.
  void beginLeaving() { IsLeaving = true; }

  /// Whether a planned stop has handed back all leases.
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
