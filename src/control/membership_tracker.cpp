#include "control/membership_tracker.h"

namespace bulrush::control {

namespace {

/// Number of low epoch bits that count changes within one term.
constexpr int ChangeBits = 32;

} // namespace

membership_tracker::membership_tracker(term_id Term, instant ElectedAt)
    : Term(Term), StartupEndsAt(ElectedAt + MembershipStartupDelay) {}

void membership_tracker::onHeartbeat(const daemon_id &Daemon,
                                     const heartbeat &Heartbeat, instant Now) {
  member &Member = Daemons[Daemon.Vm];
  if (Daemon.Incarnation < Member.Incarnation)
    return;
  const bool IsSame = Daemon.Incarnation == Member.Incarnation;
  const bool Leaving = Heartbeat.Leaving || (IsSame && Member.Leaving);
  Member = {Daemon.Incarnation, Now, Leaving};
}

void membership_tracker::setListedVms(const std::vector<vm_id> &NewListed) {
  Listed = {NewListed.begin(), NewListed.end()};
  HasListedVms = true;
}

bool membership_tracker::update(instant Now) {
  if (Now < StartupEndsAt)
    return false;
  std::vector<daemon_id> Next;
  for (const auto &[Vm, Member] : Daemons) {
    if (isLive(Vm, Member, Now))
      Next.push_back({Vm, Member.Incarnation});
  }
  if (Members.Epoch != 0 && Next == Live)
    return false;
  Live = std::move(Next);
  ++ChangeCount;
  Members.Epoch = (Term.Value << ChangeBits) + ChangeCount;
  Members.Live.clear();
  for (const daemon_id &Daemon : Live)
    Members.Live.push_back(Daemon.Vm);
  return true;
}

std::vector<daemon_id> membership_tracker::live() const { return Live; }

bool membership_tracker::isLive(vm_id Vm, const member &Member,
                                instant Now) const {
  if (Member.Leaving)
    return false;
  const bool IsUnlisted = HasListedVms && !Listed.contains(Vm);
  const millis Limit = IsUnlisted ? UnlistedHeartbeatTimeout : HeartbeatTimeout;
  return Now - Member.ReceivedAt < Limit;
}

} // namespace bulrush::control
