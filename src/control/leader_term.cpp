#include "control/leader_term.h"

#include "query/placement.h"

#include <algorithm>

namespace bulrush::control {

namespace {

/// Lower bound of `maxInFlightTime`, also used without intents.
constexpr millis MinInFlight{1000};
/// How long the last heartbeat of a silent daemon is kept.
constexpr millis HeartbeatRetention{60'000};

/// The maximum time for which work that was sent before an endpoint move may
/// still be in flight.
millis maxInFlightTime(const fleet_config &Config) {
  millis Longest = MinInFlight;
  for (const intent &I : Config.Intents)
    Longest = std::max(Longest, I.Deadline);
  return withMaxDrift(Longest);
}

} // namespace

leader_term::leader_term(const deployment &Deployment, term_id Term,
                         instant ElectedAt, const state_machine &Machine)
    : Deployment(Deployment), Term(Term), Machine(Machine),
      Members(Term, ElectedAt),
      Leases(Term, ElectedAt, maxInFlightTime(Machine.config()),
             Machine.assignments()),
      Distributor(Deployment, ElectedAt) {}

bool leader_term::onHeartbeat(const daemon_id &From, const heartbeat &Heartbeat,
                              instant Now, std::vector<addressed_reply> &Out) {
  last_heartbeat &Last = LastHeartbeats[From];
  if (Heartbeat.Sequence <= Last.Heartbeat.Sequence)
    return false;
  Last = {Heartbeat, Now, false};
  Members.onHeartbeat(From, Heartbeat, Now);
  Distributor.onHeartbeat(From, Heartbeat);
  const bool IsNew = Leases.onHeartbeat(From, Heartbeat);
  sendReply(From, Now, Out);
  return IsNew || Heartbeat.Leaving;
}

void leader_term::onQuorumConfirmed(instant AsOf, instant Now,
                                    std::vector<addressed_reply> &Out) {
  ConfirmedAsOf = std::max(ConfirmedAsOf, AsOf);
  for (const auto &[Daemon, Last] : LastHeartbeats) {
    if (!Last.IsAnswered)
      sendReply(Daemon, Now, Out);
  }
}

std::vector<assignment>
leader_term::maintain(instant Now, std::vector<addressed_reply> &Out) {
  if (Members.update(Now)) {
    setTargets();
    replyToAll(Now, Out);
  }
  std::erase_if(LastHeartbeats, [&](const auto &Entry) {
    return Now - Entry.second.ReceivedAt > HeartbeatRetention;
  });
  return Leases.readyMoves(Now);
}

void leader_term::onMoveCommitted(const assign_endpoints &Command, instant Now,
                                  std::vector<addressed_reply> &Out) {
  const millis InFlight = maxInFlightTime(Machine.config());
  std::vector<daemon_id> Holders;
  for (const assignment &Move : Command.Moves) {
    Leases.onMoveCommitted(Move, Now, InFlight);
    if (std::find(Holders.begin(), Holders.end(), Move.Holder) == Holders.end())
      Holders.push_back(Move.Holder);
  }
  for (const daemon_id &Holder : Holders)
    sendReply(Holder, Now, Out);
}

void leader_term::onConfigChanged(instant Now,
                                  std::vector<addressed_reply> &Out) {
  replyToAll(Now, Out);
}

rollout_status leader_term::rollout(instant Now) const {
  return Distributor.status(Machine.config().Revision, Now);
}

void leader_term::sendReply(const daemon_id &To, instant Now,
                            std::vector<addressed_reply> &Out) {
  const auto Found = LastHeartbeats.find(To);
  if (Found == LastHeartbeats.end() || Found->second.ReceivedAt > ConfirmedAsOf)
    return;
  last_heartbeat &Last = Found->second;
  Last.IsAnswered = true;
  heartbeat_reply Reply;
  Reply.Sequence = Last.Heartbeat.Sequence;
  Reply.Term = Term;
  Distributor.renewLease(To, Last.ReceivedAt, Last.Heartbeat, Machine, Reply);
  Leases.renewLease(To, Last.ReceivedAt, Now, Reply);
  const membership &Current = Members.members();
  if (Current.Epoch != Last.Heartbeat.MembershipEpoch && Current.Epoch != 0)
    Reply.Members = Current;
  Out.push_back({To, std::move(Reply)});
}

void leader_term::replyToAll(instant Now, std::vector<addressed_reply> &Out) {
  for (const auto &[Daemon, Last] : LastHeartbeats)
    sendReply(Daemon, Now, Out);
}

void leader_term::setTargets() {
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
  Leases.setTargets(Targets);
}

} // namespace bulrush::control
