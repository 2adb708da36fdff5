#include "control/lease_holder.h"

#include <algorithm>

namespace bulrush::control {

heartbeat lease_holder::nextHeartbeat(instant Now, revision Applied,
                                      std::uint64_t MembershipEpoch) {
  ++LastSequence;
  SentHeartbeats[LastSequence % MaxTrackedHeartbeats] = {LastSequence, Now,
                                                         IsLeaving};
  return {LastSequence, Applied, MembershipEpoch, Version, IsLeaving};
}

bool lease_holder::accepts(const heartbeat_reply &Reply) const {
  const sent_heartbeat &Heartbeat =
      SentHeartbeats[Reply.Sequence % MaxTrackedHeartbeats];
  return Reply.Sequence != 0 && Heartbeat.Sequence == Reply.Sequence &&
         Reply.Term >= Term;
}

bool lease_holder::applyReply(const heartbeat_reply &Reply, revision Applied,
                              instant Now) {
  if (!accepts(Reply))
    return false;
  const sent_heartbeat &Heartbeat =
      SentHeartbeats[Reply.Sequence % MaxTrackedHeartbeats];
  Term = Reply.Term;
  const bool Changed = Reply.Owned && Reply.Grants > Version;
  if (Changed)
    replaceGrants(Reply, Now);
  if (Reply.Grants == Version) {
    OwnedUntil = std::max(OwnedUntil, Heartbeat.SentAt + Reply.Ownership);
    IsLeaveAcknowledged = Heartbeat.Leaving && Granted.empty();
  }
  if (Applied >= Reply.Revision)
    FreshUntil = std::max(FreshUntil, Heartbeat.SentAt + Reply.Freshness);
  return Changed;
}

bool lease_holder::owns(endpoint_id Endpoint, instant Now) const {
  return Now < OwnedUntil && Granted.contains(Endpoint);
}

void lease_holder::replaceGrants(const heartbeat_reply &Reply, instant Now) {
  // After the lease expired, other daemons may have owned these endpoints, so
  // their in-flight times must be taken from the reply.
  if (Now >= OwnedUntil)
    Granted.clear();
  std::map<endpoint_id, instant> Next;
  for (const grant &Grant : *Reply.Owned) {
    const auto Previous = Granted.find(Grant.Endpoint);
    Next[Grant.Endpoint] =
        Previous == Granted.end() ? Now + Grant.InheritedFor : Previous->second;
  }
  Granted = std::move(Next);
  Version = Reply.Grants;
}

} // namespace bulrush::control
