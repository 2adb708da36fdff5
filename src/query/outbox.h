/// Collects what one step sends, so that each owner gets one message.
#pragma once

#include "query/router_events.h"

namespace bulrush::query {

/// The sub-requests of one query and the cancels of one step, by owner.
class outbox {
public:
  explicit outbox(vm_id Self) : Self(Self) {}

  /// Adds a sub-request of the query under way.
  void add(vm_id Owner, sub_request Item);

  /// Appends one batch for each owner of the query under way.
  void flushBatches(const shared_body &Body, millis Remaining,
                    std::vector<router_action> &Out);

  /// Adds a cancel.
  void cancel(vm_id Owner, sub_id Sub);

  /// Appends one cancel for each owner.
  void flushCancels(std::vector<router_action> &Out);

private:
  struct pending_messages {
    std::vector<sub_request> Items;
    std::vector<sub_id> Cancels;
  };

  pending_messages &pendingFor(vm_id Owner);

  vm_id Self;
  std::vector<pending_messages>
      PendingByOwner; ///< at the place of the owner's number
  std::vector<vm_id> OwnersWithItems;
  std::vector<vm_id> OwnersWithCancels;
};

} // namespace bulrush::query
