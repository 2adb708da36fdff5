/// Batches the messages of one router step, so that each owner gets one message
/// per query, and one cancel message.
#pragma once

#include "query/router_events.h"

namespace bulrush::query {

/// Pending sub-requests of one query and pending cancels of one step, grouped
/// by owner.
class outbox {
public:
  explicit outbox(vm_id Self) : Self(Self) {}

  /// Adds a sub-request of the current query.
  void add(vm_id Owner, sub_request Item);

  /// Appends one batch for each owner with pending sub-requests and removes
  /// them. `Remaining` is the time until the query's deadline.
  void flushBatches(const shared_body &Body, millis Remaining,
                    std::vector<router_action> &Out);

  /// Adds the cancel of a sub-request.
  void cancel(vm_id Owner, sub_id Sub);

  /// Appends one cancel message for each owner with pending cancels and removes
  /// them.
  void flushCancels(std::vector<router_action> &Out);

private:
  struct pending_messages {
    std::vector<sub_request> Items;
    std::vector<sub_id> Cancels;
  };

  pending_messages &pendingFor(vm_id Owner);

  vm_id Self;
  std::vector<pending_messages> PendingByOwner; ///< indexed by VM id
  std::vector<vm_id> OwnersWithItems;
  std::vector<vm_id> OwnersWithCancels;
};

} // namespace bulrush::query
