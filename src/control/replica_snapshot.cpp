// Snapshot transfer in chunks.
#include "control/replica_core.h"

#include <algorithm>
#include <xxhash.h>

namespace bulrush::control {

namespace {

std::uint64_t digestOf(const std::string &Bytes) {
  return XXH3_64bits(Bytes.data(), Bytes.size());
}

} // namespace

void replica_core::sendSnapshotChunk(const group_member &Member,
                                     member_progress &Progress) {
  const std::string &Bytes = *Snapshot->Bytes;
  Progress.ChunkOffset =
      std::min<std::uint64_t>(Progress.ChunkOffset, Bytes.size());
  snapshot_chunk Chunk;
  Chunk.Index = Snapshot->Index;
  Chunk.LastTerm = Snapshot->Term;
  Chunk.Group = Snapshot->Group;
  Chunk.Offset = Progress.ChunkOffset;
  Chunk.Total = Bytes.size();
  Chunk.Digest = digestOf(Bytes);
  Chunk.Bytes = Bytes.substr(Progress.ChunkOffset, Options.ChunkBytes);
  Chunk.SentAt = Now;
  Progress.Waiting = true;
  queueMessage(Member.Vm, Member.Id, std::move(Chunk));
}

void replica_core::onMessage(const message &From, const snapshot_chunk &Body) {
  if (From.Term < Term) {
    replyTo(From, snapshot_reply{Body.Index, 0, false, Body.SentAt});
    return;
  }
  followLeader(From);
  const bool AlreadyHeld =
      Body.Index <= Commit ||
      (Log.hasTermAt(Body.Index) && Log.termAt(Body.Index) == Body.LastTerm);
  if (AlreadyHeld) {
    Commit = std::max(Commit, Body.Index);
    Incoming.reset();
    replyTo(From, snapshot_reply{Body.Index, Body.Total, true, Body.SentAt});
    return;
  }
  const bool Continues = Incoming && Incoming->From == From.From &&
                         Incoming->Term == From.Term &&
                         Incoming->Index == Body.Index;
  if (!Continues)
    Incoming = incoming_snapshot{From.From, From.Term, Body.Index, {}};
  if (Body.Offset == Incoming->Bytes.size())
    Incoming->Bytes += Body.Bytes;
  if (Incoming->Bytes.size() == Body.Total) {
    std::string Bytes = std::move(Incoming->Bytes);
    Incoming.reset();
    if (digestOf(Bytes) == Body.Digest) {
      install(Body, std::move(Bytes));
      replyTo(From, snapshot_reply{Body.Index, Body.Total, true, Body.SentAt});
      return;
    }
  }
  const std::uint64_t Next = Incoming ? Incoming->Bytes.size() : 0;
  replyTo(From, snapshot_reply{Body.Index, Next, false, Body.SentAt});
}

void replica_core::install(const snapshot_chunk &Body, std::string Bytes) {
  Snapshot = log_snapshot{Body.Index, Body.LastTerm, Body.Group,
                          shareBytes(std::move(Bytes))};
  Log.reset(Body.Index, Body.LastTerm);
  Groups.clear();
  adoptGroup(Body.Index, Body.Group);
  Commit = Body.Index;
  DurableIndex = {0};
  for (write_in_flight &Write : Writes)
    Write.Last = {0};
  UnpersistedFrom.reset();
  InstallPending = SnapshotChanged = LogDropped = true;
  SnapshotRequested = false;
}

void replica_core::onMessage(const message &From, const snapshot_reply &Body) {
  const auto Known = Progress.find(From.From);
  if (From.Term != Term || Known == Progress.end())
    return;
  member_progress &Member = Known->second;
  Member.AckedSentAt = std::max(Member.AckedSentAt, Body.SentAt);
  if (Body.Installed) {
    updateMatch(From, Member, Body.Index);
    return;
  }
  if (Member.Mode != member_progress::mode::snapshot)
    return;
  Member.ChunkOffset = Body.Index == Snapshot->Index ? Body.NextOffset : 0;
  Member.Waiting = false;
}

} // namespace bulrush::control
