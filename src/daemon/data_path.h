/// Connects the two cores of the data path, router and owner, in one daemon.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/world.h"
#include "query/owner.h"
#include "query/router.h"

#include <variant>
#include <vector>

namespace bulrush::daemon {

using data_event = std::variant<query::router_event, query::owner_event>;

/// Actions of the cores for the I/O layer, in execution order. Messages between
/// the two cores of one process are delivered directly and do not appear here.
struct data_actions {
  std::vector<query::router_action> Router;
  std::vector<query::owner_action> Owner;
};

struct data_path_options {
  deployment Deployment;
  vm_id Self;
  incarnation_id Incarnation;
  query::router_settings Router;
  query::owner_settings Owner;
};

/// Steps both cores. Does no I/O and has no thread and no clock.
class data_path {
public:
  explicit data_path(data_path_options Options);

  /// Handles the events in order and appends the resulting actions to `Out`.
  void step(std::vector<data_event> Events, instant Now, data_actions &Out);

  /// Number of queries that have not been answered yet.
  std::size_t activeQueries() const { return Router.active(); }
  /// Number of sub-requests that are queued or in flight.
  std::size_t pendingSubRequests() const { return Owner.pending(); }
  /// The log of recent queries and routing decisions.
  const query::explain_log &explain() const { return Router.explain(); }

private:
  void stepRouter(const query::router_event &Event);
  void stepOwner(query::owner_event Event);
  bool deliverLocally(query::router_action &Action);
  bool deliverLocally(query::owner_action &Action);

  data_path_options Options;
  query::router Router;
  query::owner Owner;
  instant Now{};
  data_actions *Out = nullptr;
};

} // namespace bulrush::daemon
