#include "control/replica.h"

#include "control/invariant.h"
#include "control/replica_core.h"

#include <algorithm>

namespace bulrush::control {

replica::replica(replica_options Options, recovered_state State,
                 std::uint64_t Seed)
    : Core(std::make_unique<replica_core>(std::move(Options), std::move(State),
                                          Seed)) {}
replica::~replica() = default;
replica::replica(replica &&) noexcept = default;
replica &replica::operator=(replica &&) noexcept = default;

void replica::step(std::span<const event> Events, instant Now,
                   std::vector<action> &Out) {
  Core->step(Events, Now, Out);
}

replica_status replica::status() const { return Core->status(); }

namespace {

bootstrap_settings bootstrapSettings(const replica_options &Options) {
  bootstrap_settings Out;
  Out.Electorate = {Options.Vms, Options.FleetSize};
  Out.IsFirstStart = Options.IsFirstStart;
  Out.MinAcceptors = Options.MinCommitCopies;
  Out.InitialSize =
      Options.InitialSize > 0 ? Options.InitialSize : Options.Vms.size();
  Out.AllowsUnrecorded = Options.AllowsUnrecorded;
  Out.UnrecordedDelay = Options.UnrecordedDelay;
  Out.AnnounceInterval = Options.Heartbeat;
  return Out;
}

/// Whether no member of a group was ever in the folder.
bool isUnused(const recovered_state &State) {
  return State.Hard.Term.Value == 0 && !State.Snapshot &&
         State.Entries.empty() && !State.HasFormerMember;
}

} // namespace

replica_core::replica_core(replica_options Given, recovered_state State,
                           std::uint64_t Seed)
    : Options(std::move(Given)), Self(State.Self), Vm(State.Vm),
      Boot(State.Boot), Random(Seed), Term(State.Hard.Term),
      Vote(State.Hard.Vote), Snapshot(State.Snapshot),
      Bootstrap(bootstrapSettings(Options), State.Bootstrap, Self, Vm,
                isUnused(State)) {
  Groups.emplace_back(log_index{0}, voter_group{});
  if (Snapshot) {
    Log.reset(Snapshot->Index, Snapshot->Term);
    Groups.front() = {Snapshot->Index, Snapshot->Group};
    InstallPending = true;
  }
  for (log_entry &Entry : State.Entries) {
    if (Entry.Kind == entry_kind::group)
      Groups.emplace_back(Entry.Index, *decodeGroup(*Entry.Payload));
    Log.append(std::move(Entry));
  }
  for (const held_position &Position : State.Hard.HeldPositions)
    HeldPositions[Position.Voter] = Position;
  Commit = Applied = Log.base();
  DurableIndex = Log.last();
  DurableTerm = Term;
  // Recorded, as the files that show it may be removed.
  BootstrapChanged =
      State.HasFormerMember && !State.Bootstrap && group().Members.empty();
  // The snapshot is written before the hard state, so a crash in between leaves
  // a snapshot with a larger term.
  if (Log.lastTerm() > Term) {
    Term = Log.lastTerm();
    Vote = NoVoter;
    HardChanged = true;
  }
}

void replica_core::step(std::span<const event> Events, instant Time,
                        std::vector<action> &Out) {
  Now = Time;
  Actions = &Out;
  FirstAction = Out.size();
  if (!Started) {
    Started = true;
    resetElectionTimer();
    if (Term.Value > 0 && Options.HasLeases)
      // A leader's lease may rely on a reply from before the restart.
      LeaderHeardAt = Now;
    if (!group().Members.empty()) {
      CheckedIn = checkInQuorum() == 0;
      CheckInDeadline = Now + Options.CheckInTimeout;
      emit(group_changed{group()});
    }
  }
  checkQuorum();
  for (const event &Event : Events)
    if (!Retired)
      std::visit([this](const auto &E) { on(E); }, Event);
  if (!Retired)
    finishStep();
  Actions = nullptr;
}

replica_status replica_core::status() const {
  replica_status Status;
  Status.Role = Role;
  Status.Self = Self;
  Status.Leader = Leader;
  if (const group_member *Member = group().find(Leader))
    Status.LeaderVm = Member->Vm;
  Status.Term = Term;
  Status.LastIndex = Log.last();
  Status.Commit = Commit;
  Status.Applied = Applied;
  Status.Ready = Ready;
  Status.Group = group();
  if (group().Members.empty())
    Status.Bootstrap = Bootstrap.status(Now);
  Status.DroppedSize = Bootstrap.droppedSize();
  if (Role != replica_role::leader)
    return Status;
  Status.ConfirmedAt = confirmedAt();
  for (const group_member &Member : group().Members) {
    const auto Known = Progress.find(Member.Id);
    if (Member.Id == Self || Known == Progress.end())
      continue;
    follower_status &Follower = Status.Followers.emplace_back();
    Follower.Id = Member.Id;
    Follower.Vm = Member.Vm;
    Follower.AckedSentAt = std::max(Known->second.AckedSentAt, ElectedAt);
    Follower.Level = Known->second.Level;
    Follower.IsPromotable = isPromotable(Member);
  }
  return Status;
}

void replica_core::on(const message_received &Event) {
  if (acceptMessage(Event.Message))
    dispatch(Event.Message);
}

void replica_core::dispatch(const message &Message) {
  const auto *VoteRequest = std::get_if<vote_request>(&Message.Body);
  const bool DisruptsLeader =
      VoteRequest && !VoteRequest->Transfer && hasLiveLeader();
  if (DisruptsLeader && !VoteRequest->PreVote)
    return;
  if (Message.Term > Term && !DisruptsLeader)
    becomeFollower(Message.Term, NoVoter);
  std::visit([&](const auto &Body) { onMessage(Message, Body); }, Message.Body);
}

void replica_core::on(const tick &) {
  discoverGroup();
  checkIn();
  if (Role == replica_role::leader) {
    if (TransferTarget && Now >= TransferDeadline)
      TransferTarget.reset();
    if (Now >= NextHeartbeatAt)
      replicateToAll(true);
    return;
  }
  if (Now < ElectionAt)
    return;
  if (!CheckedIn && awaitsFirstLeader())
    return;
  resetElectionTimer();
  if (CheckedIn && group().hasVoter(Self))
    campaign(true, false);
}

void replica_core::on(const propose &Event) {
  if (!acceptsProposals()) {
    rejectProposal(Event.Proposal);
    return;
  }
  Proposals[{Log.last().Value + 1}] = Event.Proposal;
  appendEntry(entry_kind::command, Event.Payload);
}

void replica_core::replyTo(const message &From, message_body Body) {
  queueMessage(From.Vm, From.From, std::move(Body));
}

bool replica_core::acceptsProposals() const {
  return Role == replica_role::leader && !TransferTarget;
}

void replica_core::rejectProposal(proposal_id Proposal) {
  emit(proposal_result{Proposal, outcome::not_run, refusal::no_quorum, {}});
}

void replica_core::appendEntry(entry_kind Kind, shared_bytes Payload) {
  const log_index Index{Log.last().Value + 1};
  if (Kind == entry_kind::group)
    adoptGroup(Index, *decodeGroup(*Payload));
  Log.append({Index, Term, Kind, std::move(Payload)});
  markUnpersisted(Index);
}

void replica_core::on(const persisted &Event) {
  while (!Writes.empty() && Writes.front().Write <= Event.Write) {
    DurableTerm = Writes.front().Term;
    DurableIndex = Writes.front().Last;
    Writes.pop_front();
  }
  if (Role == replica_role::candidate)
    countVotes();
  if (Role == replica_role::leader)
    advanceCommit();
}

void replica_core::on(const snapshot_taken &Event) {
  SnapshotRequested = false;
  const bool IsNewer = !Snapshot || Event.Index > Snapshot->Index;
  if (!IsNewer || Event.Index > Applied || !Log.hasTermAt(Event.Index))
    return;
  Snapshot = log_snapshot{Event.Index, Log.termAt(Event.Index),
                          groupAt(Event.Index), Event.Bytes};
  SnapshotChanged = true;
  while (Groups.size() > 1 && Groups[1].first <= Event.Index)
    Groups.erase(Groups.begin());
  AppliedBytes = Log.payloadBytes(Event.Index, Applied);
  compactBefore(Event.Index);
}

/// Keeps as many entries up to the snapshot's as the options allow.
void replica_core::compactBefore(log_index Index) {
  log_index From = Index;
  std::size_t KeptBytes = 0;
  while (From > Log.base() &&
         Index.Value - From.Value < Options.CatchUpEntries) {
    KeptBytes += Log.at(From).Payload->size();
    if (KeptBytes > Options.CatchUpBytes)
      break;
    --From.Value;
  }
  Log.compactTo(From);
}

bool replica_core::isSnapshotDue() const {
  const log_index SnapshotIndex = Snapshot ? Snapshot->Index : log_index{0};
  return Applied.Value - SnapshotIndex.Value >= Options.SnapshotEvery ||
         AppliedBytes >= Options.SnapshotBytes;
}

void replica_core::on(const bootstrap_group &Event) {
  if (!group().Members.empty() || Log.last().Value != 0 || Snapshot)
    return;
  const term_id FirstTerm{1};
  const log_index FirstIndex{1};
  Snapshot = log_snapshot{FirstIndex, FirstTerm, Event.Group, Event.Bytes};
  Log.reset(FirstIndex, FirstTerm);
  adoptGroup(FirstIndex, Event.Group, true);
  Term = std::max(Term, FirstTerm);
  Commit = FirstIndex;
  DurableIndex = {0};
  InstallPending = HardChanged = SnapshotChanged = LogDropped = true;
  resetElectionTimer();
  if (Event.ElectsNow)
    ElectionAt = Now;
}

void replica_core::applyCommitted() {
  if (InstallPending) {
    if (DurableIndex < Snapshot->Index)
      return;
    InstallPending = false;
    Applied = Snapshot->Index;
    AppliedBytes = 0;
    emit(install_snapshot{Snapshot->Index, Snapshot->Bytes});
  }
  const log_index End = std::min(Commit, DurableIndex);
  while (Applied < End) {
    ++Applied.Value;
    applyEntry(Log.at(Applied));
  }
  if (Role == replica_role::leader && !Ready && Applied >= TermStartIndex) {
    Ready = true;
    emit(leader_ready{Term});
  }
  if (!SnapshotRequested && isSnapshotDue()) {
    SnapshotRequested = true;
    emit(snapshot_requested{});
  }
}

void replica_core::applyEntry(const log_entry &Entry) {
  AppliedBytes += Entry.Payload->size();
  if (Entry.Kind == entry_kind::command)
    emit(apply{Entry.Index, Entry.Term, Entry.Payload});
  const auto Proposal = Proposals.find(Entry.Index);
  if (Proposal == Proposals.end())
    return;
  emit(proposal_result{Proposal->second, outcome::answered, refusal::none,
                       Entry.Index});
  Proposals.erase(Proposal);
}

} // namespace bulrush::control
