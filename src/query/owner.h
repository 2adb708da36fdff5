/// The owner of a set of endpoints: admits and queues sub-requests, and decides
/// which of them to send to an endpoint and when.
#pragma once

#include "query/owner_events.h"
#include "query/owner_settings.h"

#include <memory>

namespace bulrush::query {

/// Deterministic core of an owner. It limits the requests in flight at each
/// endpoint, replies to each sub-request exactly once, and sends nothing to an
/// endpoint without a valid lease on it.
///
/// Example:
///
///     owner Owner(Deployment, owner_settings{});
///     std::vector<owner_action> Actions;
///     Owner.step(batch_arrived{Batch}, Clock.now(), Actions);
class owner {
public:
  /// `Deployment` must outlive the owner.
  owner(const deployment &Deployment, const owner_settings &Settings);
  ~owner();
  owner(owner &&) noexcept;
  owner &operator=(owner &&) noexcept;

  /// Handles `Event` and appends the resulting actions to `Out`. `Now` must not
  /// decrease between calls.
  void step(owner_event Event, instant Now, std::vector<owner_action> &Out);

  /// Number of sub-requests that are queued or occupy a slot.
  std::size_t pending() const;

private:
  class impl;
  std::unique_ptr<impl> Impl;
};

} // namespace bulrush::query
