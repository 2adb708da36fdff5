/// The entry side of the data path: finds the intent of a request, pins a
/// snapshot, chooses a replica for each shard, hedges and retries within a
/// budget, gathers the replies and answers.
#pragma once

#include "bulrushtray/world.h"
#include "query/explain_memory.h"
#include "query/owner_directory.h"
#include "query/router_events.h"
#include "query/router_settings.h"

#include <memory>

namespace bulrush::query {

/// The router of one entry daemon; a deterministic state machine. Example:
///
///     router Router(Deployment, Self, std::move(Owners), router_settings{});
///     std::vector<router_action> Out;
///     Router.step(search_arrived{...}, Now, Out);
class router {
public:
  router(const deployment &Deployment, vm_id Self,
         std::unique_ptr<const owner_directory> Owners,
         router_settings Settings);
  ~router();
  router(router &&) noexcept;
  router &operator=(router &&) noexcept;

  /// Takes one event and appends what is to be done, in order.
  void step(const router_event &Event, instant Now,
            std::vector<router_action> &Out);

  /// Queries that have no answer yet. A planned stop waits until it is 0.
  std::size_t active() const;

  /// The memory of recent decisions.
  const explain_log &explain() const;

private:
  class impl;
  std::unique_ptr<impl> Impl;
};

} // namespace bulrush::query
