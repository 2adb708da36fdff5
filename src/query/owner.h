/// The data path of the daemon that owns a set of endpoints: what each
/// endpoint is sent, and when.
#pragma once

#include "query/owner_events.h"
#include "query/owner_settings.h"

#include <memory>

namespace bulrush::query {

/// Deterministic core of an owner. It never has more in flight at an endpoint
/// than the endpoint can bear, gives each sub-request exactly one reply, and
/// sends nothing to an endpoint without a lease.
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

  /// Appends what follows from `Event` to `Out`. `Now` must not go back.
  void step(owner_event Event, instant Now, std::vector<owner_action> &Out);

  /// Sub-requests that wait or are in flight.
  std::size_t pending() const;

private:
  class impl;
  std::unique_ptr<impl> Impl;
};

} // namespace bulrush::query
