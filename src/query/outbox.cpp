#include "query/outbox.h"

#include <utility>

namespace bulrush::query {

outbox::owner_box &outbox::box(vm_id Owner) {
  if (Boxes.size() <= Owner.Value)
    Boxes.resize(Owner.Value + 1);
  return Boxes[Owner.Value];
}

void outbox::add(vm_id Owner, sub_request Item) {
  owner_box &Box = box(Owner);
  if (Box.Items.empty())
    WithItems.push_back(Owner);
  Box.Items.push_back(std::move(Item));
}

void outbox::flushBatches(const shared_body &Body, millis Remaining,
                          std::vector<router_action> &Out) {
  for (const vm_id Owner : WithItems) {
    std::vector<sub_request> Items = std::exchange(box(Owner).Items, {});
    Out.emplace_back(
        send_batch{Owner, sub_batch{Self, Remaining, Body, std::move(Items)}});
  }
  WithItems.clear();
}

void outbox::cancel(vm_id Owner, sub_id Sub) {
  owner_box &Box = box(Owner);
  if (Box.Cancels.empty())
    WithCancels.push_back(Owner);
  Box.Cancels.push_back(Sub);
}

void outbox::flushCancels(std::vector<router_action> &Out) {
  for (const vm_id Owner : WithCancels)
    Out.emplace_back(send_cancel{Owner, std::exchange(box(Owner).Cancels, {})});
  WithCancels.clear();
}

} // namespace bulrush::query
