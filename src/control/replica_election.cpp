// Terms, votes, pre-vote and check-quorum.
#include "control/invariant.h"
#include "control/replica_core.h"

#include <algorithm>
#include <functional>

namespace bulrush::control {

double replica_core::randomShare() {
  constexpr std::uint64_t Steps = 1'000'000;
  return static_cast<double>(Random() % Steps) / Steps;
}

void replica_core::resetElectionTimer() {
  const millis Spread = Options.ElectionMax - Options.ElectionMin;
  ElectionAt = Now + Options.ElectionMin + Spread * randomShare();
  if (awaitsFirstLeader())
    ElectionAt = Now + *Options.FirstElectionMax * firstElectionShare();
}

bool replica_core::awaitsFirstLeader() const {
  return Options.FirstElectionMax && !HasHeardLeader;
}

/// Voters that start together would ask for votes together, and none would get
/// enough: each has its own part of the time, by its place in the group.
double replica_core::firstElectionShare() {
  std::size_t Place = 0;
  for (const group_member &Member : group().Members)
    if (Member.Role == member_role::voter && Member.Id < Self)
      ++Place;
  const auto Count =
      static_cast<double>(std::max<std::size_t>(1, group().voterCount()));
  return (static_cast<double>(Place) + randomShare() / 2) / Count;
}

bool replica_core::hearsLeader() const {
  return Role == replica_role::leader || Now - LeaderSeen < Options.ElectionMin;
}

instant replica_core::confirmedAt() const {
  std::vector<instant> Times;
  for (const group_member &Member : group().Members) {
    if (Member.Role != member_role::voter)
      continue;
    const auto Known = Progress.find(Member.Id);
    if (Member.Id == Self)
      Times.push_back(Now);
    else
      Times.push_back(Known == Progress.end() ? instant{}
                                              : Known->second.FollowedAt);
  }
  const std::size_t Majority = group().majority();
  if (Times.size() < Majority)
    return {};
  std::sort(Times.begin(), Times.end(), std::greater<>());
  return Times[Majority - 1];
}

void replica_core::checkQuorum() {
  if (Role != replica_role::leader)
    return;
  if (Now - std::max(confirmedAt(), LeadsSince) > Options.ElectionMin)
    becomeFollower(Term, NoVoter);
}

void replica_core::campaign(bool PreVote, bool Transfer) {
  Leader = NoVoter;
  Votes.clear();
  Role = PreVote ? replica_role::pre_candidate : replica_role::candidate;
  if (PreVote) {
    Votes.insert(Self);
  } else {
    ++Term.Value;
    Vote = Self;
    HardChanged = true;
  }
  const vote_request Request{PreVote, Transfer, Log.last(), Log.lastTerm()};
  for (const group_member &Member : group().Members)
    if (Member.Id != Self && Member.Role == member_role::voter)
      post(Member.Vm, Member.Id, Request);
  countVotes();
}

void replica_core::countVotes() {
  if (Role == replica_role::candidate && DurableTerm == Term)
    Votes.insert(Self);
  const auto Given = static_cast<std::size_t>(
      std::count_if(Votes.begin(), Votes.end(),
                    [&](voter_id Id) { return group().hasVoter(Id); }));
  if (Given < group().majority())
    return;
  if (Role == replica_role::pre_candidate)
    campaign(false, false);
  else
    becomeLeader();
}

void replica_core::becomeFollower(term_id NewTerm, voter_id NewLeader) {
  invariant(NewTerm >= Term, "a term went down");
  if (Role == replica_role::leader)
    loseLeadership();
  if (NewTerm > Term) {
    Term = NewTerm;
    Vote = NoVoter;
    HardChanged = true;
  }
  if (Role != replica_role::follower)
    resetElectionTimer();
  Role = replica_role::follower;
  Leader = NewLeader;
  Votes.clear();
}

void replica_core::becomeLeader() {
  HasHeardLeader = true;
  Role = replica_role::leader;
  Leader = Self;
  LeadsSince = Now;
  HeartbeatAt = Now;
  Ready = false;
  Votes.clear();
  Progress.clear();
  FirstOwn = {Log.last().Value + 1};
  for (const group_member &Member : group().Members)
    if (Member.Id != Self)
      Progress[Member.Id].Next = FirstOwn;
  emit(became_leader{Term});
  appendOwn(entry_kind::noop, shareBytes({}));
}

void replica_core::loseLeadership() {
  emit(lost_leadership{Term});
  for (const auto &[Index, Proposal] : Proposals)
    emit(proposal_result{Proposal, outcome::unknown, refusal::no_quorum, {}});
  Proposals.clear();
  Progress.clear();
  Joiners.clear();
  TransferTo.reset();
  Ready = false;
}

void replica_core::onMessage(const message &From, const vote_request &Body) {
  const bool UpToDate = std::pair(Body.LastTerm, Body.LastIndex) >=
                        std::pair(Log.lastTerm(), Log.last());
  vote_reply Reply{Body.PreVote, false};
  if (Body.PreVote) {
    Reply.Granted =
        From.Term >= Term && UpToDate && CheckedIn && !hearsLeader();
  } else if (From.Term == Term && UpToDate && CheckedIn &&
             (Vote == NoVoter || Vote == From.From)) {
    Reply.Granted = true;
    HardChanged = HardChanged || Vote == NoVoter;
    Vote = From.From;
    resetElectionTimer();
  }
  replyTo(From, Reply);
}

void replica_core::onMessage(const message &From, const vote_reply &Body) {
  const replica_role Wanted =
      Body.PreVote ? replica_role::pre_candidate : replica_role::candidate;
  if (Role != Wanted || From.Term != Term || !Body.Granted)
    return;
  Votes.insert(From.From);
  countVotes();
}

void replica_core::onMessage(const message &From, const timeout_now &) {
  if (From.Term == Term && From.From == Leader && CheckedIn &&
      group().hasVoter(Self))
    campaign(false, true);
}

void replica_core::on(const transfer_leadership &) {
  if (Role != replica_role::leader || TransferTo)
    return;
  log_index Best;
  for (const auto &[Id, Member] : Progress) {
    if (!group().hasVoter(Id) || Now - Member.FollowedAt > Options.ElectionMin)
      continue;
    if (TransferTo && Member.Match <= Best)
      continue;
    TransferTo = Id;
    Best = Member.Match;
  }
  TransferEnds = Now + Options.ElectionMax;
  finishTransfer();
}

void replica_core::finishTransfer() {
  if (!TransferTo)
    return;
  const group_member *Member = group().find(*TransferTo);
  if (!Member || Progress[Member->Id].Match != Log.last())
    return;
  post(Member->Vm, Member->Id, timeout_now{});
}

} // namespace bulrush::control
