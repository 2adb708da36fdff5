// Log replication and the commit index.
#include "control/invariant.h"
#include "control/replica_core.h"

#include <algorithm>
#include <functional>

namespace bulrush::control {

void replica_core::onMessage(const message &From, const append_request &Body) {
  if (From.Term < Term) {
    replyTo(From, append_reply{false, Body.PrevIndex, Log.last(), Body.SentAt});
    return;
  }
  if (!validEntries(Body))
    return;
  followLeader(From);
  mergeHeldPositions(Body.Held);
  if (Retired)
    return;
  const bool Compacted = Body.PrevIndex < Log.base();
  const bool Matches =
      Compacted || (Log.hasTermAt(Body.PrevIndex) &&
                    Log.termAt(Body.PrevIndex) == Body.PrevTerm);
  if (!Matches) {
    replyTo(From, append_reply{false, Body.PrevIndex,
                               conflictHint(Body.PrevIndex), Body.SentAt});
    return;
  }
  storeEntries(Body);
  const log_index Match{Body.PrevIndex.Value + Body.Entries.size()};
  Commit = std::max(Commit, std::min(Body.Commit, Match));
  CheckedIn = CheckedIn || Match >= Body.Commit;
  replyTo(From, append_reply{true, Match, Match, Body.SentAt});
}

void replica_core::followLeader(const message &From) {
  invariant(Role != replica_role::leader, "two leaders in one term");
  becomeFollower(From.Term, From.From);
  LeaderHeardAt = Now;
  HasHeardLeader = true;
  resetElectionTimer();
}

bool replica_core::validEntries(const append_request &Body) const {
  log_index Expected{Body.PrevIndex.Value + 1};
  for (const log_entry &Entry : Body.Entries) {
    const bool IsGroup = Entry.Kind == entry_kind::group;
    if (Entry.Index != Expected || (IsGroup && !decodeGroup(*Entry.Payload)))
      return false;
    ++Expected.Value;
  }
  return true;
}

void replica_core::storeEntries(const append_request &Body) {
  for (const log_entry &Entry : Body.Entries) {
    if (Entry.Index <= Log.base())
      continue;
    if (Log.hasTermAt(Entry.Index)) {
      if (Log.termAt(Entry.Index) == Entry.Term)
        continue;
      dropEntriesFrom(Entry.Index);
    }
    if (Entry.Kind == entry_kind::group)
      adoptGroup(Entry.Index, *decodeGroup(*Entry.Payload));
    Log.append(Entry);
    markUnpersisted(Entry.Index);
  }
}

void replica_core::dropEntriesFrom(log_index Index) {
  invariant(Index > Commit, "a committed entry would be dropped");
  Log.truncateFrom(Index);
  dropGroupsFrom(Index);
  const log_index Last = Log.last();
  DurableIndex = std::min(DurableIndex, Last);
  for (write_in_flight &Write : Writes)
    Write.Last = std::min(Write.Last, Last);
}

log_index replica_core::conflictHint(log_index Index) const {
  if (Index > Log.last())
    return Log.last();
  const term_id Conflicting = Log.termAt(Index);
  log_index Hint = Index;
  while (Hint > Commit && Log.hasTermAt(Hint) &&
         Log.termAt(Hint) == Conflicting)
    --Hint.Value;
  return Hint;
}

void replica_core::onMessage(const message &From, const append_reply &Body) {
  const auto Known = Progress.find(From.From);
  if (From.Term != Term || Known == Progress.end())
    return;
  member_progress &Member = Known->second;
  Member.AckedSentAt = std::max(Member.AckedSentAt, Body.SentAt);
  if (Member.InFlight > 0)
    --Member.InFlight;
  if (Body.Accepted)
    updateMatch(From, Member, Body.Match);
  else
    handleRejection(Member, Body);
}

void replica_core::updateMatch(const message &From, member_progress &Member,
                               log_index Match) {
  if (Match > Log.last())
    return;
  Member.Match = std::max(Member.Match, Match);
  Member.Next = std::max(Member.Next, log_index{Member.Match.Value + 1});
  Member.Mode = member_progress::mode::replicate;
  Member.Waiting = false;
  advanceCommit();
  if (Role != replica_role::leader)
    return;
  recordMemberPosition(From.From, From.Boot, Match);
  tryCompleteTransfer();
}

void replica_core::handleRejection(member_progress &Member,
                                   const append_reply &Body) {
  const bool Probing = Member.Mode == member_progress::mode::probe;
  const bool Stale = Probing ? Body.Match.Value + 1 != Member.Next.Value
                             : Body.Match <= Member.Match;
  if (Stale || Member.Mode == member_progress::mode::snapshot)
    return;
  // The reply may name entries that this log never had.
  const log_index NextGuess =
      std::min({Body.Match, log_index{Body.Hint.Value + 1},
                log_index{Log.last().Value + 1}});
  Member.Next = std::max(log_index{Member.Match.Value + 1}, NextGuess);
  Member.Mode = member_progress::mode::probe;
  Member.Waiting = false;
}

void replica_core::replicateToAll(bool Heartbeat) {
  if (Heartbeat)
    NextHeartbeatAt = Now + Options.Heartbeat;
  for (const group_member &Member : group().Members)
    if (Member.Id != Self)
      replicateTo(Member, Heartbeat);
}

void replica_core::replicateTo(const group_member &Member, bool Heartbeat) {
  using mode = member_progress::mode;
  member_progress &Target = Progress[Member.Id];
  if (Heartbeat) {
    Target.Waiting = false;
    Target.InFlight = 0;
  }
  const log_index Prev{Target.Next.Value - 1};
  if (Target.Mode != mode::snapshot && !Log.hasTermAt(Prev)) {
    Target.Mode = mode::snapshot;
    Target.ChunkOffset = 0;
    Target.Waiting = false;
  }
  if (Target.Mode == mode::snapshot) {
    if (!Target.Waiting)
      sendSnapshotChunk(Member, Target);
    return;
  }
  const bool Probing = Target.Mode == mode::probe;
  const bool MaySend =
      Probing ? !Target.Waiting : Target.InFlight < Options.MaxInFlight;
  append_request Request{Prev, Log.termAt(Prev), {}, Commit, Now, {}};
  if (MaySend && Target.Next <= Log.last())
    Request.Entries = Log.slice(Target.Next, Options.BatchBytes);
  if (Request.Entries.empty() && !Heartbeat)
    return;
  if (Heartbeat)
    for (const auto &[Voter, Position] : HeldPositions)
      Request.Held.push_back(Position);
  Target.Waiting = Probing;
  ++Target.InFlight;
  if (!Probing)
    Target.Next.Value += Request.Entries.size();
  queueMessage(Member.Vm, Member.Id, std::move(Request));
}

namespace {

/// Returns the largest index that `Copies` of the members have on disk.
log_index replicatedTo(std::vector<log_index> Matches, std::size_t Copies) {
  if (Matches.size() < Copies)
    return {};
  std::sort(Matches.begin(), Matches.end(), std::greater<>());
  return Matches[Copies - 1];
}

} // namespace

/// Copies on learners count towards `MinCommitCopies`: otherwise a group of
/// three voters that must have three copies could not replace a lost one.
void replica_core::advanceCommit() {
  std::vector<log_index> Voters;
  std::map<vm_id, log_index> Disks; ///< a learner may replace a lost voter
  for (const group_member &Member : group().Members) {
    const log_index Match =
        Member.Id == Self ? DurableIndex : Progress[Member.Id].Match;
    Disks[Member.Vm] = std::max(Disks[Member.Vm], Match);
    if (Member.Role == member_role::voter)
      Voters.push_back(Match);
  }
  std::vector<log_index> Copied;
  Copied.reserve(Disks.size());
  for (const auto &[On, Match] : Disks)
    Copied.push_back(Match);
  const std::size_t Copies = std::min(Options.MinCommitCopies, Voters.size());
  const log_index Replicated =
      std::min(replicatedTo(std::move(Copied), Copies),
               replicatedTo(std::move(Voters), group().majority()));
  if (Replicated <= Commit || Log.termAt(Replicated) != Term)
    return;
  Commit = Replicated;
  recordMemberPosition(Self, Boot, DurableIndex);
  const bool Removed = !group().hasVoter(Self) && !groupChangePending();
  if (!Removed)
    return;
  replicateToAll(true);
  becomeFollower(Term, NoVoter);
}

} // namespace bulrush::control
