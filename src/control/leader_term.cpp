#include "control/leader_term.h"

#include "query/placement.h"

#include <algorithm>

namespace bulrush::control {

namespace {

constexpr millis ShortestInFlight{1000};
/// A daemon that has been silent for so long is dropped from memory.
constexpr millis BeatMemory{60'000};

/// For how long work that was sent before a move may still be in flight.
millis longestInFlight(const fleet_config &Config) {
  millis Longest = ShortestInFlight;
  for (const intent &I : Config.Intents)
    Longest = std::max(Longest, I.Deadline);
  return worstCase(Longest);
}

} // namespace

leader_term::leader_term(const deployment &Deployment, term_id Term,
                         instant ElectedAt, const state_machine &Machine)
    : Deployment(Deployment), Term(Term), Machine(Machine),
      Members(Term, ElectedAt),
      Leases(Term, ElectedAt, longestInFlight(Machine.config()),
             Machine.assignments()),
      Distributor(Deployment, ElectedAt) {}

bool leader_term::onHeartbeat(const daemon_id &From, const heartbeat &Beat,
                              instant Now, std::vector<addressed_reply> &Out) {
  last_beat &Last = Beats[From];
  if (Beat.Sequence <= Last.Beat.Sequence)
    return false;
  Last = {Beat, Now, false};
  Members.heard(From, Beat, Now);
  Distributor.heard(From, Beat);
  const bool IsNew = Leases.heard(From, Beat);
  answer(From, Now, Out);
  return IsNew || Beat.Leaving;
}

void leader_term::onQuorumConfirmed(instant AsOf, instant Now,
                                    std::vector<addressed_reply> &Out) {
  ConfirmedAsOf = std::max(ConfirmedAsOf, AsOf);
  for (const auto &[Daemon, Last] : Beats) {
    if (!Last.IsAnswered)
      answer(Daemon, Now, Out);
  }
}

std::vector<assignment>
leader_term::maintain(instant Now, std::vector<addressed_reply> &Out) {
  if (Members.update(Now)) {
    aim();
    pushToAll(Now, Out);
  }
  std::erase_if(Beats, [&](const auto &Entry) {
    return Now - Entry.second.HeardAt > BeatMemory;
  });
  return Leases.readyMoves(Now);
}

void leader_term::onMoveCommitted(const assign_endpoints &Command, instant Now,
                                  std::vector<addressed_reply> &Out) {
  const millis InFlight = longestInFlight(Machine.config());
  std::vector<daemon_id> Holders;
  for (const assignment &Move : Command.Moves) {
    Leases.moved(Move, Now, InFlight);
    if (std::find(Holders.begin(), Holders.end(), Move.Holder) == Holders.end())
      Holders.push_back(Move.Holder);
  }
  for (const daemon_id &Holder : Holders)
    answer(Holder, Now, Out);
}

void leader_term::onConfigChanged(instant Now,
                                  std::vector<addressed_reply> &Out) {
  pushToAll(Now, Out);
}

rollout_status leader_term::rollout(instant Now) const {
  return Distributor.status(Machine.config().Revision, Now);
}

void leader_term::answer(const daemon_id &To, instant Now,
                         std::vector<addressed_reply> &Out) {
  const auto Found = Beats.find(To);
  if (Found == Beats.end() || Found->second.HeardAt > ConfirmedAsOf)
    return;
  last_beat &Last = Found->second;
  Last.IsAnswered = true;
  heartbeat_reply Reply;
  Reply.Sequence = Last.Beat.Sequence;
  Reply.Term = Term;
  Distributor.grantTo(To, Last.HeardAt, Last.Beat, Machine, Reply);
  Leases.grantTo(To, Last.HeardAt, Now, Reply);
  const membership &Current = Members.members();
  if (Current.Epoch != Last.Beat.MembershipEpoch && Current.Epoch != 0)
    Reply.Members = Current;
  Out.push_back({To, std::move(Reply)});
}

void leader_term::pushToAll(instant Now, std::vector<addressed_reply> &Out) {
  for (const auto &[Daemon, Last] : Beats)
    answer(Daemon, Now, Out);
}

void leader_term::aim() {
  const std::vector<daemon_id> Live = Members.live();
  const std::vector<vm_id> Owners =
      query::ownersOf(Deployment, Members.members().Live);
  std::map<vm_id, daemon_id> ByVm;
  for (const daemon_id &Daemon : Live)
    ByVm[Daemon.Vm] = Daemon;
  std::vector<assignment> Targets;
  for (std::uint32_t E = 0; E < Owners.size(); ++E) {
    const auto Found = ByVm.find(Owners[E]);
    if (Found != ByVm.end())
      Targets.push_back({endpoint_id{E}, Found->second});
  }
  Leases.aim(Targets);
}

} // namespace bulrush::control
