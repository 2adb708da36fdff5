// Identity of members, changes of the group and the first group.
#include "control/invariant.h"
#include "control/replica_core.h"

#include <algorithm>
#include <utility>

namespace bulrush::control {

bool replica_core::admit(const message &Message) {
  const bool ForAny = std::holds_alternative<join_request>(Message.Body) ||
                      std::holds_alternative<check_in>(Message.Body);
  if (Message.From == Self || (Message.To != Self && !ForAny))
    return false;
  if (std::holds_alternative<identity_refused>(Message.Body))
    return true;
  const group_member *Member = group().find(Message.From);
  if (isOldCopy(Message) || isRemoved(Message)) {
    replyTo(Message, identity_refused{Message.Boot});
    return false;
  }
  if (Member)
    Boots[Message.From] = Message.Boot;
  return true;
}

bool replica_core::isOldCopy(const message &Message) const {
  const auto Life = Boots.find(Message.From);
  if (Life != Boots.end() && Message.Boot < Life->second)
    return true;
  const auto Seen = Held.find(Message.From);
  if (Seen == Held.end() || Message.Boot == Seen->second.Boot)
    return false;
  return Message.Boot < Seen->second.Boot ||
         Message.LastTerm < Seen->second.Term ||
         Message.LastIndex < Seen->second.Index;
}

// Whoever is in a newer group has heard of its leader and has a larger term.
bool replica_core::isRemoved(const message &Message) const {
  const bool Asks = std::holds_alternative<check_in>(Message.Body) ||
                    std::holds_alternative<vote_request>(Message.Body);
  return Asks && Ready && Message.Term <= Term && !groupChangePending() &&
         !group().find(Message.From);
}

// Any entry that this voter helped to commit is also held by some member of
// every set of this size.
std::size_t replica_core::peersToCheck() const {
  const std::size_t Peers =
      group().voterCount() - (group().hasVoter(Self) ? 1 : 0);
  return std::min(Peers, group().voterCount() - (group().majority() - 1));
}

void replica_core::checkIn() {
  if (Now >= CheckInEnds)
    endCheckIn();
  if (Now < CheckInAt || (CheckedIn && hearsLeader()))
    return;
  CheckInAt = Now + (CheckedIn ? Options.CheckInTimeout : Options.Heartbeat);
  for (const group_member &Member : group().Members)
    if (Member.Id != Self)
      post(Member.Vm, NoVoter, check_in{});
}

void replica_core::onMessage(const message &From, const check_in &) {
  replyTo(From, check_in_reply{From.Boot});
}

void replica_core::onMessage(const message &From, const check_in_reply &Body) {
  if (CheckedIn || Body.Boot != Boot || !group().hasVoter(From.From))
    return;
  CheckedBy.insert(From.From);
  if (CheckedBy.size() >= peersToCheck())
    endCheckIn();
}

/// The time until the first election counts from here.
void replica_core::endCheckIn() {
  if (!std::exchange(CheckedIn, true) && awaitsFirstLeader())
    resetElectionTimer();
}

void replica_core::learnHeld(const std::vector<held_position> &Positions) {
  for (const held_position &Position : Positions) {
    const bool Lost = Position.Boot > Boot || Position.Term > Log.lastTerm() ||
                      Position.Index > Log.last();
    if (Position.Voter == Self && Lost) {
      retire();
      return;
    }
    recordHeld(Position);
  }
}

void replica_core::noteHeld(voter_id Voter, incarnation_id Life,
                            log_index Match) {
  const log_index Index = std::min(Match, Commit);
  if (Index >= FirstOwn)
    recordHeld({Voter, Life, Term, Index});
}

void replica_core::recordHeld(held_position Position) {
  if (!group().find(Position.Voter))
    return;
  held_position &Known = Held[Position.Voter];
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
  Posted.clear();
  HeldBack.clear();
  emit(identity_lost{});
}

void replica_core::adoptGroup(log_index Index, voter_group Group) {
  if (!Groups.empty() && Groups.back().second.Members.empty())
    Groups.clear();
  Groups.emplace_back(Index, std::move(Group));
  if (Role == replica_role::leader) {
    for (const group_member &Member : group().Members)
      if (Member.Id != Self && !Progress.count(Member.Id))
        Progress[Member.Id].Next = {Log.last().Value + 1};
  }
  forgetOthers();
  emit(group_changed{group()});
}

void replica_core::forgetOthers() {
  const auto Unknown = [&](const auto &Item) {
    return !group().find(Item.first);
  };
  std::erase_if(Progress, Unknown);
  std::erase_if(Held, Unknown);
  std::erase_if(Boots, Unknown);
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
  return Groups.back().first > Commit || FirstOwn > Commit;
}

void replica_core::changeGroup(const voter_group &Group) {
  appendOwn(entry_kind::group, shareBytes(encodeGroup(Group)));
}

void replica_core::on(const machines_discovered &Event) {
  Machines.insert(Event.Vms.begin(), Event.Vms.end());
}

void replica_core::on(const add_member &Event) {
  const auto Joiner = Joiners.find(Event.Vm);
  if (!acceptsProposals() || groupChangePending() || Joiner == Joiners.end() ||
      group().findByVm(Event.Vm)) {
    refuse(Event.Proposal);
    return;
  }
  Proposals[{Log.last().Value + 1}] = Event.Proposal;
  changeGroup(group().with({Joiner->second, Event.Vm, member_role::learner}));
}

void replica_core::on(const remove_member &Event) {
  const group_member *Member = group().findByVm(Event.Vm);
  const bool LastVoter =
      Member && group().hasVoter(Member->Id) && group().voterCount() == 1;
  if (!acceptsProposals() || groupChangePending() || LastVoter || !Member) {
    refuse(Event.Proposal);
    return;
  }
  Proposals[{Log.last().Value + 1}] = Event.Proposal;
  changeGroup(group().without(Member->Id));
}

// A learner that has all committed entries becomes a voter. The former member
// on its machine leaves first, so that each change is by one voter.
void replica_core::promoteLearners() {
  if (!acceptsProposals() || groupChangePending())
    return;
  for (const group_member &Learner : group().Members) {
    const auto Known = Progress.find(Learner.Id);
    if (Learner.Role == member_role::voter || Known == Progress.end())
      continue;
    const member_progress &Member = Known->second;
    const bool CaughtUp = Member.Mode == member_progress::mode::replicate &&
                          Member.Match >= Commit &&
                          Now - Member.FollowedAt < Options.ElectionMin;
    if (!CaughtUp || Learner.Vm == Vm)
      continue;
    for (const group_member &Former : group().Members) {
      if (Former.Vm != Learner.Vm || Former.Id == Learner.Id)
        continue;
      changeGroup(group().without(Former.Id));
      return;
    }
    changeGroup(group().with({Learner.Id, Learner.Vm, member_role::voter}));
    return;
  }
}

void replica_core::onMessage(const message &From, const join_request &Body) {
  if (group().Members.empty()) {
    voter_id &Known = EmptyFolders[From.Vm];
    if (Known != From.From)
      SeenBy.erase(From.Vm);
    Known = From.From;
    if (Body.Seen == Self)
      SeenBy.insert(From.Vm);
    return;
  }
  if (Role != replica_role::leader || group().find(From.From))
    return;
  Joiners[From.Vm] = From.From;
  if (!acceptsProposals() || groupChangePending() || !group().findByVm(From.Vm))
    return;
  voter_group Group = group().with({From.From, From.Vm, member_role::learner});
  for (const group_member &Member : group().Members)
    if (Member.Vm == From.Vm && Member.Role == member_role::learner)
      Group = Group.without(Member.Id);
  changeGroup(Group);
}

// The first group: each folder says that it is empty and which empty folder it
// heard of on the receiver. The lowest machine starts the group once all others
// have answered to its own folder, so that no older group can exist.
void replica_core::seekGroup() {
  if (!group().Members.empty() || Now < SeekAt)
    return;
  SeekAt = Now + Options.Heartbeat * 2;
  for (vm_id Other : Machines)
    if (Other != Vm)
      post(Other, NoVoter, join_request{EmptyFolders[Other]});
  if (!Options.AllowBootstrap)
    return;
  const auto Lowest = std::min_element(Options.Vms.begin(), Options.Vms.end());
  if (Lowest == Options.Vms.end() || *Lowest != Vm)
    return;
  voter_group First = voter_group{}.with({Self, Vm, member_role::voter});
  for (vm_id Other : Options.Vms) {
    if (Other == Vm)
      continue;
    if (!SeenBy.count(Other))
      return;
    First = First.with({EmptyFolders[Other], Other, member_role::voter});
  }
  on(bootstrap_group{First, shareBytes({})});
}

} // namespace bulrush::control
