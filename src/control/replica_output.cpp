// Actions in their order: a write comes before every message that needs it.
#include "control/invariant.h"
#include "control/replica_core.h"

namespace bulrush::control {

namespace {

// A leader's entries and requests that promise nothing need no write of their
// own.
bool needsNoWrite(const message_body &Body) {
  if (const auto *Request = std::get_if<vote_request>(&Body))
    return Request->PreVote;
  return std::holds_alternative<append_request>(Body) ||
         std::holds_alternative<snapshot_chunk>(Body) ||
         std::holds_alternative<timeout_now>(Body) ||
         std::holds_alternative<join_request>(Body) ||
         std::holds_alternative<check_in>(Body) ||
         std::holds_alternative<check_in_reply>(Body) ||
         std::holds_alternative<identity_refused>(Body);
}

} // namespace

void replica_core::emit(action Action) { Sink->push_back(std::move(Action)); }

void replica_core::post(vm_id ToVm, voter_id To, message_body Body) {
  Posted.push_back({ToVm, message{Self, Vm, To, Boot, Term, Log.last(),
                                  Log.lastTerm(), std::move(Body)}});
}

void replica_core::noteChange(log_index From) {
  if (!ChangedFrom || From < *ChangedFrom)
    ChangedFrom = From;
}

void replica_core::flush() {
  if (Role == replica_role::leader) {
    promoteLearners();
    sendToAll(false);
  }
  emitWrite();
  releaseMessages();
  applyCommitted();
}

void replica_core::emitWrite() {
  if (!HardChanged && !SnapshotChanged && !LogDropped && !ChangedFrom)
    return;
  persist Write;
  Write.Write = {++LastWrite.Value};
  Write.Hard = {Term, Vote, {}};
  for (const auto &[Voter, Position] : Held)
    Write.Hard.Held.push_back(Position);
  if (ChangedFrom)
    Write.Entries = Log.slice(*ChangedFrom, SIZE_MAX);
  if (SnapshotChanged)
    Write.Snapshot = Snapshot;
  Write.DropLog = LogDropped;
  Writes.push_back({Write.Write, Term, Log.last()});
  Sink->insert(Sink->begin() + static_cast<std::ptrdiff_t>(StepBegin),
               std::move(Write));
  HardChanged = SnapshotChanged = LogDropped = false;
  ChangedFrom.reset();
}

void replica_core::releaseMessages() {
  while (!HeldBack.empty() &&
         (Writes.empty() || HeldBack.front().Write < Writes.front().Write)) {
    emit(std::move(HeldBack.front().Send));
    HeldBack.pop_front();
  }
  for (send &Send : Posted) {
    if (Writes.empty() || needsNoWrite(Send.Message.Body))
      emit(std::move(Send));
    else
      HeldBack.push_back({LastWrite, std::move(Send)});
  }
  Posted.clear();
}

} // namespace bulrush::control
