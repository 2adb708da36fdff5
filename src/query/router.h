/// Routes the queries of callers: matches each request to an intent, pins it to
/// a snapshot, selects a replica for each shard, hedges and retries within a
/// budget, and merges the replies into one answer.
#pragma once

#include "bulrushtray/world.h"
#include "query/explain_log.h"
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

  /// Handles one event and appends the resulting actions to `Out` in the order
  /// in which they must be performed.
  void step(const router_event &Event, instant Now,
            std::vector<router_action> &Out);

  /// Returns the number of unanswered queries. A graceful shutdown waits until
  /// it is 0.
  std::size_t active() const;

  /// Returns the log of recent queries and of the decisions made for them.
  const explain_log &explain() const;

private:
  class impl;
  std::unique_ptr<impl> Impl;
};

} // namespace bulrush::query
