// Member identity checks, group changes and bootstrap of the initial group.
#include "control/invariant.h"
#include "control/replica_core.h"

#include <algorithm>
#include <utility>

namespace bulrush::control {

bool replica_core::acceptMessage(const message &Message) {
  noteGroup(Message);
  const bool IsUnaddressed =
      std::holds_alternative<join_request>(Message.Body) ||
      std::holds_alternative<check_in>(Message.Body);
  if (Message.From == Self || (Message.To != Self && !IsUnaddressed))
    return false;
  if (std::holds_alternative<identity_refused>(Message.Body))
    return true;
  const group_member *Member = group().find(Message.From);
  if (isRolledBack(Message) || isRemoved(Message)) {
    replyTo(Message, identity_refused{Message.Boot});
    return false;
  }
  if (Member)
    Incarnations[Message.From] = Message.Boot;
  if (const auto Known = Progress.find(Message.From); Known != Progress.end())
    Known->second.Level = Message.Level;
  return true;
}

bool replica_core::isRolledBack(const message &Message) const {
  const auto Latest = Incarnations.find(Message.From);
  if (Latest != Incarnations.end() && Message.Boot < Latest->second)
    return true;
  const auto Position = HeldPositions.find(Message.From);
  if (Position == HeldPositions.end() || Message.Boot == Position->second.Boot)
    return false;
  return Message.Boot < Position->second.Boot ||
         Message.LastTerm < Position->second.Term ||
         Message.LastIndex < Position->second.Index;
}

// A member of a newer group has learned the larger term of that group's leader,
// so a sender with no larger term that is not in the group was removed.
bool replica_core::isRemoved(const message &Message) const {
  const bool IsRequest = std::holds_alternative<check_in>(Message.Body) ||
                         std::holds_alternative<vote_request>(Message.Body);
  return IsRequest && Ready && Message.Term <= Term && !groupChangePending() &&
         !group().find(Message.From);
}

// Any set of this many other voters contains one that has every entry that this
// voter helped to commit.
std::size_t replica_core::checkInQuorum() const {
  const std::size_t Peers =
      group().voterCount() - (group().hasVoter(Self) ? 1 : 0);
  return std::min(Peers, group().voterCount() - (group().majority() - 1));
}

void replica_core::checkIn() {
  if (Now >= CheckInDeadline)
    endCheckIn();
  if (Now < NextCheckInAt || (CheckedIn && hasLiveLeader()))
    return;
  NextCheckInAt =
      Now + (CheckedIn ? Options.CheckInTimeout : Options.Heartbeat);
  for (const group_member &Member : group().Members)
    if (Member.Id != Self)
      queueMessage(Member.Vm, NoVoter, check_in{});
}

void replica_core::onMessage(const message &From, const check_in &) {
  replyTo(From, check_in_reply{From.Boot});
}

void replica_core::onMessage(const message &From, const check_in_reply &Body) {
  if (CheckedIn || Body.Boot != Boot || !group().hasVoter(From.From))
    return;
  CheckInConfirmedBy.insert(From.From);
  if (CheckInConfirmedBy.size() >= checkInQuorum())
    endCheckIn();
}

/// Completes the check-in. The first election timeout starts only now.
void replica_core::endCheckIn() {
  if (!std::exchange(CheckedIn, true) && awaitsFirstLeader())
    resetElectionTimer();
}

void replica_core::mergeHeldPositions(
    const std::vector<held_position> &Positions) {
  for (const held_position &Position : Positions) {
    const bool IsAhead = Position.Boot > Boot ||
                         Position.Term > Log.lastTerm() ||
                         Position.Index > Log.last();
    if (Position.Voter == Self && IsAhead) {
      retire();
      return;
    }
    updateHeldPosition(Position);
  }
}

void replica_core::recordMemberPosition(voter_id Voter,
                                        incarnation_id Incarnation,
                                        log_index Match) {
  const log_index Index = std::min(Match, Commit);
  if (Index >= TermStartIndex)
    updateHeldPosition({Voter, Incarnation, Term, Index});
}

void replica_core::updateHeldPosition(held_position Position) {
  if (!group().find(Position.Voter))
    return;
  held_position &Known = HeldPositions[Position.Voter];
  if (Position.Boot < Known.Boot || Position.Term < Known.Term ||
      Position.Index < Known.Index)
    return;
  Known = Position;
}

void replica_core::onMessage(const message &, const identity_refused &Body) {
  if (Body.Boot == Boot)
    retire();
}

void replica_core::retire() {
  if (Role == replica_role::leader)
    loseLeadership();
  Role = replica_role::follower;
  Retired = true;
  QueuedMessages.clear();
  DeferredMessages.clear();
  emit(identity_lost{});
}

void replica_core::adoptGroup(log_index Index, voter_group Group,
                              bool IsFirst) {
  if (!Groups.empty() && Groups.back().second.Members.empty())
    Groups.clear();
  Groups.emplace_back(Index, std::move(Group));
  if (Role == replica_role::leader) {
    for (const group_member &Member : group().Members)
      if (Member.Id != Self && !Progress.count(Member.Id))
        Progress[Member.Id].Next = {Log.last().Value + 1};
  }
  dropNonMembers();
  emit(group_changed{group(), IsFirst});
}

void replica_core::dropNonMembers() {
  const auto IsNonMember = [&](const auto &Item) {
    return !group().find(Item.first);
  };
  std::erase_if(Progress, IsNonMember);
  std::erase_if(HeldPositions, IsNonMember);
  std::erase_if(Incarnations, IsNonMember);
}

void replica_core::dropGroupsFrom(log_index Index) {
  bool Changed = false;
  while (Groups.size() > 1 && Groups.back().first >= Index) {
    Groups.pop_back();
    Changed = true;
  }
  if (Changed)
    emit(group_changed{group()});
}

const voter_group &replica_core::groupAt(log_index Index) const {
  const voter_group *Latest = &Groups.front().second;
  for (const auto &[Since, Group] : Groups)
    if (Since <= Index)
      Latest = &Group;
  return *Latest;
}

bool replica_core::groupChangePending() const {
  return Groups.back().first > Commit || TermStartIndex > Commit;
}

void replica_core::changeGroup(const voter_group &Group) {
  appendEntry(entry_kind::group, shareBytes(encodeGroup(Group)));
}

void replica_core::on(const vms_discovered &Event) {
  Bootstrap.addVms(Event.Vms);
  if (Event.GroupOn && group().Members.empty())
    Bootstrap.onGroupSeen(*Event.GroupOn, Now);
}

/// A new learner leaves the voters as they are, so it need not wait until
/// earlier changes are committed; they may depend on its copy.
void replica_core::on(const add_member &Event) {
  const auto Request = JoinRequests.find(Event.Vm);
  if (!acceptsProposals() || Request == JoinRequests.end() ||
      group().findByVm(Event.Vm)) {
    rejectProposal(Event.Proposal);
    return;
  }
  Proposals[{Log.last().Value + 1}] = Event.Proposal;
  changeGroup(group().with({Request->second, Event.Vm, member_role::learner}));
}

void replica_core::on(const remove_member &Event) {
  const group_member *Member = group().findByVm(Event.Vm);
  const bool LastVoter =
      Member && group().hasVoter(Member->Id) && group().voterCount() == 1;
  if (!acceptsProposals() || groupChangePending() || LastVoter || !Member) {
    rejectProposal(Event.Proposal);
    return;
  }
  Proposals[{Log.last().Value + 1}] = Event.Proposal;
  changeGroup(group().without(Member->Id));
}

void replica_core::on(const promote_member &Event) {
  const group_member *Learner = group().find(Event.Learner);
  if (!acceptsProposals() || groupChangePending() || !Learner ||
      !isPromotable(*Learner)) {
    rejectProposal(Event.Proposal);
    return;
  }
  Proposals[{Log.last().Value + 1}] = Event.Proposal;
  promote(*Learner);
}

void replica_core::on(const remove_learner &Event) {
  const group_member *Learner = group().find(Event.Learner);
  if (!acceptsProposals() || groupChangePending() || !Learner ||
      Learner->Role != member_role::learner) {
    rejectProposal(Event.Proposal);
    return;
  }
  Proposals[{Log.last().Value + 1}] = Event.Proposal;
  changeGroup(group().without(Event.Learner));
}

/// Whether this is a learner on another VM that has all committed entries and
/// replies at present.
bool replica_core::isPromotable(const group_member &Member) const {
  const auto Known = Progress.find(Member.Id);
  return Member.Role == member_role::learner && Member.Vm != Vm &&
         Known != Progress.end() &&
         Known->second.Mode == member_progress::mode::replicate &&
         Known->second.Match >= Commit &&
         Now - Known->second.AckedSentAt < Options.ElectionMin;
}

/// Another member on the VM of the learner, whose data folder is lost; null if
/// there is none.
const group_member *
replica_core::formerMemberOf(const group_member &Learner) const {
  for (const group_member &Each : group().Members)
    if (Each.Vm == Learner.Vm && Each.Id != Learner.Id)
      return &Each;
  return nullptr;
}

/// Makes the learner a voter. A former member on its VM is removed first, so
/// that each change affects one voter.
void replica_core::promote(const group_member &Learner) {
  if (const group_member *Former = formerMemberOf(Learner))
    changeGroup(group().without(Former->Id));
  else
    changeGroup(group().with({Learner.Id, Learner.Vm, member_role::voter}));
}

/// Promotes at most one learner that is promoted without `promote_member`; see
/// `replica_options::PromotesAllLearners`.
void replica_core::promoteLearners() {
  if (!acceptsProposals() || groupChangePending())
    return;
  for (const group_member &Each : group().Members) {
    const bool IsDue = Options.PromotesAllLearners || formerMemberOf(Each);
    if (!IsDue || !isPromotable(Each))
      continue;
    promote(Each);
    return;
  }
}

void replica_core::onMessage(const message &From, const join_request &Body) {
  if (group().Members.empty()) {
    onBootstrapMessage(From, Body);
    return;
  }
  if (Role != replica_role::leader || group().find(From.From))
    return;
  JoinRequests[From.Vm] = From.From;
  if (!acceptsProposals() || !group().findByVm(From.Vm))
    return;
  voter_group Group = group().with({From.From, From.Vm, member_role::learner});
  for (const group_member &Member : group().Members)
    if (Member.Vm == From.Vm && Member.Role == member_role::learner)
      Group = Group.without(Member.Id);
  changeGroup(Group);
}

/// Only members of a group send messages of the replicated log.
void replica_core::noteGroup(const message &Message) {
  if (!group().Members.empty())
    return;
  const auto &Body = Message.Body;
  if (std::holds_alternative<vote_request>(Body) ||
      std::holds_alternative<append_request>(Body) ||
      std::holds_alternative<snapshot_chunk>(Body) ||
      std::holds_alternative<check_in>(Body))
    Bootstrap.onGroupSeen(Message.Vm, Now);
}

template <class body>
void replica_core::onBootstrapMessage(const message &From, const body &Body) {
  if (group().Members.empty())
    Bootstrap.on(From.Vm, From.From, Body, Now);
}

void replica_core::onMessage(const message &From,
                             const bootstrap_prepare &Body) {
  onBootstrapMessage(From, Body);
}

void replica_core::onMessage(const message &From,
                             const bootstrap_promise &Body) {
  onBootstrapMessage(From, Body);
}

void replica_core::onMessage(const message &From,
                             const bootstrap_accept &Body) {
  onBootstrapMessage(From, Body);
}

void replica_core::onMessage(const message &From,
                             const bootstrap_accepted &Body) {
  onBootstrapMessage(From, Body);
}

void replica_core::onMessage(const message &From,
                             const bootstrap_chosen &Body) {
  onBootstrapMessage(From, Body);
}

/// Looks for a group to join, or takes part in forming the first one.
void replica_core::discoverGroup() {
  if (group().Members.empty())
    Bootstrap.tick(Now, Writes.empty());
}

/// Carries out what the agreement on the first group asks for.
void replica_core::finishBootstrap() {
  if (!group().Members.empty())
    return;
  BootstrapChanged = Bootstrap.takeChange() || BootstrapChanged;
  for (bootstrap_message &Each : Bootstrap.takeMessages())
    std::visit(
        [&](auto &Body) { queueMessage(Each.Vm, Each.To, std::move(Body)); },
        Each.Body);
  if (Bootstrap.chosen())
    on(bootstrap_group{*Bootstrap.chosen(), shareBytes({}),
                       Bootstrap.isProposer()});
}

} // namespace bulrush::control
