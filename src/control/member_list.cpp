#include "control/member_list.h"

namespace bulrush::control {

namespace {

/// Bits of the epoch that count changes within one term.
constexpr int ChangeBits = 32;

} // namespace

member_list::member_list(term_id Term, instant ElectedAt)
    : Term(Term), SettledAt(ElectedAt + SettlingTime) {}

void member_list::heard(const daemon_id &Daemon, const heartbeat &Beat,
                        instant Now) {
  member &Member = Known[Daemon.Vm];
  if (Daemon.Incarnation < Member.Incarnation)
    return;
  const bool IsSame = Daemon.Incarnation == Member.Incarnation;
  const bool Leaving = Beat.Leaving || (IsSame && Member.Leaving);
  Member = {Daemon.Incarnation, Now, Leaving};
}

void member_list::hint(const std::vector<vm_id> &NewListed) {
  Listed = {NewListed.begin(), NewListed.end()};
  HasHint = true;
}

bool member_list::update(instant Now) {
  if (Now < SettledAt)
    return false;
  std::vector<daemon_id> Next;
  for (const auto &[Vm, Member] : Known) {
    if (isLive(Vm, Member, Now))
      Next.push_back({Vm, Member.Incarnation});
  }
  if (Members.Epoch != 0 && Next == Live)
    return false;
  Live = std::move(Next);
  ++Changes;
  Members.Epoch = (Term.Value << ChangeBits) + Changes;
  Members.Live.clear();
  for (const daemon_id &Daemon : Live)
    Members.Live.push_back(Daemon.Vm);
  return true;
}

std::vector<daemon_id> member_list::live() const { return Live; }

bool member_list::isLive(vm_id Vm, const member &Member, instant Now) const {
  if (Member.Leaving)
    return false;
  const bool Doubted = HasHint && !Listed.contains(Vm);
  const millis Limit = Doubted ? HintedSilenceLimit : SilenceLimit;
  return Now - Member.HeardAt < Limit;
}

} // namespace bulrush::control
