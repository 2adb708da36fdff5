#include "control/lease_table.h"

#include <algorithm>

namespace bulrush::control {

lease_table::lease_table(term_id Term, instant ElectedAt, millis MaxInFlight,
                         const std::map<endpoint_id, daemon_id> &Assignments)
    : Term(Term), PriorLeasesEnd(ElectedAt + withMaxDrift(OwnerLease)) {
  for (const auto &[Endpoint, Holder] : Assignments) {
    ownership_record &Record = Records[Endpoint];
    Record.Holder = Holder;
    Record.Target = Holder;
    Record.MayBeGranted = true;
    Record.InheritedUntil = ElectedAt + MaxInFlight;
  }
}

void lease_table::setTargets(const std::vector<assignment> &Targets) {
  for (const assignment &Target : Targets) {
    ownership_record &Record = Records[Target.Endpoint];
    Record.Target = Target.Holder;
    if (!Record.Holder || Record.IsProposed)
      continue;
    if (Record.Holder != Record.Target)
      revoke(Record);
    else
      cancelRevocation(Record);
  }
}

bool lease_table::onHeartbeat(const daemon_id &Daemon,
                              const heartbeat &Heartbeat) {
  daemon_lease &Lease = leaseFor(Daemon);
  if (Heartbeat.Grants.Term != Term ||
      Heartbeat.Grants.Number <= Lease.Acknowledged)
    return false;
  Lease.Acknowledged = Heartbeat.Grants.Number;
  return true;
}

void lease_table::renewLease(const daemon_id &Daemon, instant ReceivedAt,
                             instant Now, heartbeat_reply &Reply) {
  daemon_lease &Lease = leaseFor(Daemon);
  Lease.End = std::max(Lease.End, ReceivedAt + withMaxDrift(OwnerLease));
  Reply.Ownership = OwnerLease;
  Reply.Grants = {Term, Lease.Version};
  if (Lease.Acknowledged >= Lease.Version)
    return;
  std::vector<grant> Owned;
  for (auto &[Endpoint, Record] : Records) {
    if (Record.Holder != Daemon || Record.RevokedInVersion != 0)
      continue;
    Record.MayBeGranted = true;
    const millis Remaining = withMaxDrift(Record.InheritedUntil - Now);
    Owned.push_back({Endpoint, std::max(millis{}, Remaining)});
  }
  Reply.Owned = std::move(Owned);
}

std::vector<assignment> lease_table::readyMoves(instant Now) {
  std::vector<assignment> Out;
  for (auto &[Endpoint, Record] : Records) {
    if (Record.IsProposed || !Record.Target || Record.Target == Record.Holder ||
        !isReleased(Record, Now))
      continue;
    Record.IsProposed = true;
    Out.push_back({Endpoint, *Record.Target});
  }
  return Out;
}

void lease_table::onMovesRejected(const std::vector<assignment> &Moves) {
  for (const assignment &Move : Moves) {
    ownership_record &Record = Records[Move.Endpoint];
    Record.IsProposed = false;
    if (Record.Holder && Record.Holder == Record.Target)
      cancelRevocation(Record);
  }
}

void lease_table::onMoveCommitted(const assignment &Move, instant Now,
                                  millis MaxInFlight) {
  ownership_record &Record = Records[Move.Endpoint];
  const bool IsFirst = !Record.Holder;
  Record.Holder = Move.Holder;
  Record.MayBeGranted = false;
  Record.RevokedInVersion = 0;
  Record.IsProposed = false;
  Record.InheritedUntil = IsFirst ? Now : Now + MaxInFlight;
  ++leaseFor(Move.Holder).Version;
  if (Record.Target != Record.Holder)
    revoke(Record);
}

bool lease_table::hasUnacknowledgedGrants(const daemon_id &Daemon) const {
  const auto Found = Leases.find(Daemon);
  return Found != Leases.end() &&
         Found->second.Acknowledged < Found->second.Version;
}

std::size_t lease_table::pendingMoves() const {
  return static_cast<std::size_t>(
      std::count_if(Records.begin(), Records.end(), [](const auto &Entry) {
        return Entry.second.Holder != Entry.second.Target;
      }));
}

lease_table::daemon_lease &lease_table::leaseFor(const daemon_id &Daemon) {
  const auto [It, IsNew] = Leases.try_emplace(Daemon);
  if (IsNew)
    It->second.End = PriorLeasesEnd;
  return It->second;
}

bool lease_table::isReleased(const ownership_record &Record,
                             instant Now) const {
  if (!Record.Holder || !Record.MayBeGranted)
    return true;
  if (Record.RevokedInVersion == 0)
    return false;
  const daemon_lease &Lease = Leases.at(*Record.Holder);
  return Lease.Acknowledged >= Record.RevokedInVersion ||
         Now >= Record.RevokedLeaseEnd;
}

void lease_table::revoke(ownership_record &Record) {
  if (Record.RevokedInVersion != 0)
    return;
  daemon_lease &Lease = leaseFor(*Record.Holder);
  Record.RevokedInVersion = ++Lease.Version;
  Record.RevokedLeaseEnd = Lease.End;
}

void lease_table::cancelRevocation(ownership_record &Record) {
  if (Record.RevokedInVersion == 0)
    return;
  Record.RevokedInVersion = 0;
  ++leaseFor(*Record.Holder).Version;
}

} // namespace bulrush::control
