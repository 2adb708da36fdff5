// Emits actions in order: a write precedes every message that depends on it.
#include "control/invariant.h"
#include "control/replica_core.h"

namespace bulrush::control {

namespace {

// Whether a message may be sent while writes are pending: append requests of a
// leader, and messages whose receivers do not rely on the sender's disk.
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

void replica_core::emit(action Action) {
  Actions->push_back(std::move(Action));
}

void replica_core::queueMessage(vm_id ToVm, voter_id To, message_body Body) {
  QueuedMessages.push_back(
      {ToVm, message{Self, Vm, To, Boot, Term, Log.last(), Log.lastTerm(),
                     std::move(Body), Options.Level}});
}

void replica_core::markUnpersisted(log_index From) {
  if (!UnpersistedFrom || From < *UnpersistedFrom)
    UnpersistedFrom = From;
}

void replica_core::finishStep() {
  finishBootstrap();
  if (Role == replica_role::leader) {
    promoteLearners();
    replicateToAll(false);
  }
  emitPersist();
  releaseMessages();
  applyCommitted();
}

void replica_core::emitPersist() {
  if (!HardChanged && !SnapshotChanged && !LogDropped && !UnpersistedFrom &&
      !BootstrapChanged)
    return;
  persist Write;
  Write.Write = {++LastWrite.Value};
  Write.Hard = {Term, Vote, {}};
  for (const auto &[Voter, Position] : HeldPositions)
    Write.Hard.HeldPositions.push_back(Position);
  if (UnpersistedFrom)
    Write.Entries = Log.slice(*UnpersistedFrom, SIZE_MAX);
  if (SnapshotChanged)
    Write.Snapshot = Snapshot;
  if (BootstrapChanged)
    Write.Bootstrap = Bootstrap.record();
  Write.DropLog = LogDropped;
  Writes.push_back({Write.Write, Term, Log.last()});
  Actions->insert(Actions->begin() + static_cast<std::ptrdiff_t>(FirstAction),
                  std::move(Write));
  HardChanged = SnapshotChanged = LogDropped = BootstrapChanged = false;
  UnpersistedFrom.reset();
}

void replica_core::releaseMessages() {
  while (!DeferredMessages.empty() &&
         (Writes.empty() ||
          DeferredMessages.front().Write < Writes.front().Write)) {
    emit(std::move(DeferredMessages.front().Send));
    DeferredMessages.pop_front();
  }
  for (send &Send : QueuedMessages) {
    if (Writes.empty() || needsNoWrite(Send.Message.Body))
      emit(std::move(Send));
    else
      DeferredMessages.push_back({LastWrite, std::move(Send)});
  }
  QueuedMessages.clear();
}

} // namespace bulrush::control
