// Elections: terms, votes, pre-vote, check-quorum and leadership transfer.
#include "control/invariant.h"
#include "control/replica_core.h"

#include <algorithm>
#include <functional>

namespace bulrush::control {

namespace {

/// Pre-votes with the short first timeout. They come to nothing while the other
/// voters have not started, but also if replies take longer than the timeout.
constexpr std::size_t MaxFirstPreVotes = 10;

} // namespace

double replica_core::randomFraction() {
  constexpr std::uint64_t Steps = 1'000'000;
  return static_cast<double>(Random() % Steps) / Steps;
}

void replica_core::resetElectionTimer() {
  const millis Spread = Options.ElectionMax - Options.ElectionMin;
  ElectionAt = Now + Options.ElectionMin + Spread * randomFraction();
  if (awaitsFirstLeader())
    ElectionAt = Now + *Options.FirstElectionMax * firstElectionFraction();
}

/// Votes wait for disks and may take longer than the first timeouts, so a voter
/// that has asked for them waits as in any other election.
bool replica_core::awaitsFirstLeader() const {
  return Options.FirstElectionMax && !HasHeardLeader && !HasCampaigned &&
         FirstPreVotes < MaxFirstPreVotes;
}

/// Spreads the first election timeouts by each voter's rank in the group, so
/// that voters that start together don't split the vote.
double replica_core::firstElectionFraction() {
  std::size_t Rank = 0;
  for (const group_member &Member : group().Members)
    if (Member.Role == member_role::voter && Member.Id < Self)
      ++Rank;
  const auto Count =
      static_cast<double>(std::max<std::size_t>(1, group().voterCount()));
  return (static_cast<double>(Rank) + randomFraction() / 2) / Count;
}

bool replica_core::hasLiveLeader() const {
  return Role == replica_role::leader ||
         Now - LeaderHeardAt < Options.ElectionMin;
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
                                              : Known->second.AckedSentAt);
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
  if (Now - std::max(confirmedAt(), ElectedAt) > Options.ElectionMin)
    becomeFollower(Term, NoVoter);
}

void replica_core::campaign(bool PreVote, bool Transfer) {
  Leader = NoVoter;
  Votes.clear();
  Role = PreVote ? replica_role::pre_candidate : replica_role::candidate;
  if (PreVote) {
    ++FirstPreVotes;
    Votes.insert(Self);
  } else {
    HasCampaigned = true;
    resetElectionTimer();
    ++Term.Value;
    Vote = Self;
    HardChanged = true;
  }
  const vote_request Request{PreVote, Transfer, Log.last(), Log.lastTerm()};
  for (const group_member &Member : group().Members)
    if (Member.Id != Self && Member.Role == member_role::voter)
      queueMessage(Member.Vm, Member.Id, Request);
  countVotes();
}

void replica_core::countVotes() {
  if (Role == replica_role::candidate && DurableTerm == Term)
    Votes.insert(Self);
  const auto Granted = static_cast<std::size_t>(
      std::count_if(Votes.begin(), Votes.end(),
                    [&](voter_id Id) { return group().hasVoter(Id); }));
  if (Granted < group().majority())
    return;
  if (Role == replica_role::pre_candidate)
    campaign(false, false);
  else
    becomeLeader();
}

void replica_core::becomeFollower(term_id NewTerm, voter_id NewLeader) {
  invariant(NewTerm >= Term, "term decreased");
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
  ElectedAt = Now;
  NextHeartbeatAt = Now;
  Ready = false;
  Votes.clear();
  Progress.clear();
  TermStartIndex = {Log.last().Value + 1};
  for (const group_member &Member : group().Members)
    if (Member.Id != Self)
      Progress[Member.Id].Next = TermStartIndex;
  emit(became_leader{Term});
  appendEntry(entry_kind::noop, shareBytes({}));
}

void replica_core::loseLeadership() {
  emit(lost_leadership{Term});
  for (const auto &[Index, Proposal] : Proposals)
    emit(proposal_result{Proposal, outcome::unknown, refusal::no_quorum, {}});
  Proposals.clear();
  Progress.clear();
  JoinRequests.clear();
  TransferTarget.reset();
  Ready = false;
}

void replica_core::onMessage(const message &From, const vote_request &Body) {
  const bool UpToDate = std::pair(Body.LastTerm, Body.LastIndex) >=
                        std::pair(Log.lastTerm(), Log.last());
  vote_reply Reply{Body.PreVote, false};
  if (Body.PreVote) {
    Reply.Granted =
        From.Term >= Term && UpToDate && CheckedIn && !hasLiveLeader();
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
  const replica_role Expected =
      Body.PreVote ? replica_role::pre_candidate : replica_role::candidate;
  if (Role != Expected || From.Term != Term || !Body.Granted)
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
  if (Role != replica_role::leader || TransferTarget)
    return;
  log_index BestMatch;
  for (const auto &[Id, Member] : Progress) {
    if (!group().hasVoter(Id) || Now - Member.AckedSentAt > Options.ElectionMin)
      continue;
    if (TransferTarget && Member.Match <= BestMatch)
      continue;
    TransferTarget = Id;
    BestMatch = Member.Match;
  }
  TransferDeadline = Now + Options.ElectionMax;
  tryCompleteTransfer();
}

void replica_core::tryCompleteTransfer() {
  if (!TransferTarget)
    return;
  const group_member *Member = group().find(*TransferTarget);
  if (!Member || Progress[Member->Id].Match != Log.last())
    return;
  queueMessage(Member->Vm, Member->Id, timeout_now{});
}

} // namespace bulrush::control
