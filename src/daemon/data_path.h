/// The cores of the data path, router and owner, joined for one daemon.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/world.h"
#include "query/owner.h"
#include "query/router.h"

#include <variant>
#include <vector>

namespace bulrush::daemon {

using data_event = std::variant<query::router_event, query::owner_event>;

/// What the cores ask of the I/O, in order; messages between the two cores of
/// one process do not appear here.
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

/// Both cores. Has no I/O, thread or clock of its own.
class data_path {
public:
  explicit data_path(data_path_options Options);

  /// Handles the events in their order.
  void step(std::vector<data_event> Events, instant Now, data_actions &Out);

  /// Queries without an answer yet.
  std::size_t activeQueries() const { return Router.active(); }
  /// Sub-requests that wait or are in flight.
  std::size_t pendingWork() const { return Owner.pending(); }
  /// The memory of recent decisions.
  const query::explain_log &explain() const { return Router.explain(); }

private:
  void stepRouter(const query::router_event &Event);
  void stepOwner(query::owner_event Event);
  bool takeLocally(query::router_action &Action);
  bool takeLocally(query::owner_action &Action);

  data_path_options Options;
  query::router Router;
  query::owner Owner;
  instant Now{};
  data_actions *Out = nullptr;
};

} // namespace bulrush::daemon
