#include "control/lease_table.h"

#include <algorithm>

namespace bulrush::control {

lease_table::lease_table(term_id Term, instant ElectedAt, millis InFlight,
                         const std::map<endpoint_id, daemon_id> &Assignments)
    : Term(Term), UnknownEnd(ElectedAt + withMaxDrift(OwnerLease)) {
  for (const auto &[Endpoint, Holder] : Assignments) {
    holding &Holding = Holdings[Endpoint];
    Holding.Holder = Holder;
    Holding.Target = Holder;
    Holding.MayBeHeld = true;
    Holding.InheritedUntil = ElectedAt + InFlight;
  }
}

void lease_table::setTargets(const std::vector<assignment> &Targets) {
  for (const assignment &Target : Targets) {
    holding &Holding = Holdings[Target.Endpoint];
    Holding.Target = Target.Holder;
    if (!Holding.Holder || Holding.Proposed)
      continue;
    if (Holding.Holder != Holding.Target)
      revoke(Holding);
    else
      grantAgain(Holding);
  }
}

bool lease_table::onHeartbeat(const daemon_id &Daemon,
                              const heartbeat &Heartbeat) {
  daemon_lease &Lease = leaseOf(Daemon);
  if (Heartbeat.Grants.Term != Term ||
      Heartbeat.Grants.Number <= Lease.Acknowledged)
    return false;
  Lease.Acknowledged = Heartbeat.Grants.Number;
  return true;
}

void lease_table::renewLease(const daemon_id &Daemon, instant ReceivedAt,
                             instant Now, heartbeat_reply &Reply) {
  daemon_lease &Lease = leaseOf(Daemon);
  Lease.End = std::max(Lease.End, ReceivedAt + withMaxDrift(OwnerLease));
  Reply.Ownership = OwnerLease;
  Reply.Grants = {Term, Lease.Version};
  if (Lease.Acknowledged >= Lease.Version)
    return;
  std::vector<grant> Owned;
  for (auto &[Endpoint, Holding] : Holdings) {
    if (Holding.Holder != Daemon || Holding.RevokedBy != 0)
      continue;
    Holding.MayBeHeld = true;
    const millis Left = withMaxDrift(Holding.InheritedUntil - Now);
    Owned.push_back({Endpoint, std::max(millis{}, Left)});
  }
  Reply.Owned = std::move(Owned);
}

std::vector<assignment> lease_table::readyMoves(instant Now) {
  std::vector<assignment> Out;
  for (auto &[Endpoint, Holding] : Holdings) {
    if (Holding.Proposed || !Holding.Target ||
        Holding.Target == Holding.Holder || !isReleased(Holding, Now))
      continue;
    Holding.Proposed = true;
    Out.push_back({Endpoint, *Holding.Target});
  }
  return Out;
}

void lease_table::onMovesRejected(const std::vector<assignment> &Moves) {
  for (const assignment &Move : Moves) {
    holding &Holding = Holdings[Move.Endpoint];
    Holding.Proposed = false;
    if (Holding.Holder && Holding.Holder == Holding.Target)
      grantAgain(Holding);
  }
}

void lease_table::onMoveCommitted(const assignment &Move, instant Now,
                                  millis InFlight) {
  holding &Holding = Holdings[Move.Endpoint];
  const bool IsFirst = !Holding.Holder;
  Holding.Holder = Move.Holder;
  Holding.MayBeHeld = false;
  Holding.RevokedBy = 0;
  Holding.Proposed = false;
  Holding.InheritedUntil = IsFirst ? Now : Now + InFlight;
  ++leaseOf(Move.Holder).Version;
  if (Holding.Target != Holding.Holder)
    revoke(Holding);
}

bool lease_table::isBehind(const daemon_id &Daemon) const {
  const auto Found = Leases.find(Daemon);
  return Found != Leases.end() &&
         Found->second.Acknowledged < Found->second.Version;
}

std::size_t lease_table::pendingMoves() const {
  return static_cast<std::size_t>(
      std::count_if(Holdings.begin(), Holdings.end(), [](const auto &Entry) {
        return Entry.second.Holder != Entry.second.Target;
      }));
}

lease_table::daemon_lease &lease_table::leaseOf(const daemon_id &Daemon) {
  const auto [Place, IsNew] = Leases.try_emplace(Daemon);
  if (IsNew)
    Place->second.End = UnknownEnd;
  return Place->second;
}

bool lease_table::isReleased(const holding &Holding, instant Now) const {
  if (!Holding.Holder || !Holding.MayBeHeld)
    return true;
  if (Holding.RevokedBy == 0)
    return false;
  const daemon_lease &Lease = Leases.at(*Holding.Holder);
  return Lease.Acknowledged >= Holding.RevokedBy || Now >= Holding.RevokedEnd;
}

void lease_table::revoke(holding &Holding) {
  if (Holding.RevokedBy != 0)
    return;
  daemon_lease &Lease = leaseOf(*Holding.Holder);
  Holding.RevokedBy = ++Lease.Version;
  Holding.RevokedEnd = Lease.End;
}

void lease_table::grantAgain(holding &Holding) {
  if (Holding.RevokedBy == 0)
    return;
  Holding.RevokedBy = 0;
  ++leaseOf(*Holding.Holder).Version;
}

} // namespace bulrush::control
