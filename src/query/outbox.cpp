#include "query/outbox.h"

#include <utility>

namespace bulrush::query {

outbox::pending_messages &outbox::pendingFor(vm_id Owner) {
  if (PendingByOwner.size() <= Owner.Value)
    PendingByOwner.resize(Owner.Value + 1);
  return PendingByOwner[Owner.Value];
}

void outbox::add(vm_id Owner, sub_request Item) {
  pending_messages &Pending = pendingFor(Owner);
  if (Pending.Items.empty())
    OwnersWithItems.push_back(Owner);
  Pending.Items.push_back(std::move(Item));
}

void outbox::flushBatches(const shared_body &Body, millis Remaining,
                          std::vector<router_action> &Out) {
  for (const vm_id Owner : OwnersWithItems) {
    std::vector<sub_request> Items = std::exchange(pendingFor(Owner).Items, {});
    Out.emplace_back(
        send_batch{Owner, sub_batch{Self, Remaining, Body, std::move(Items)}});
  }
  OwnersWithItems.clear();
}

void outbox::cancel(vm_id Owner, sub_id Sub) {
  pending_messages &Pending = pendingFor(Owner);
  if (Pending.Cancels.empty())
    OwnersWithCancels.push_back(Owner);
  Pending.Cancels.push_back(Sub);
}

void outbox::flushCancels(std::vector<router_action> &Out) {
  for (const vm_id Owner : OwnersWithCancels)
    Out.emplace_back(
        send_cancel{Owner, std::exchange(pendingFor(Owner).Cancels, {})});
  OwnersWithCancels.clear();
}

} // namespace bulrush::query
