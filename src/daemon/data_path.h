/// The actor that runs the cores of the data path: router and owner.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/world.h"
#include "query/owner.h"
#include "query/router.h"

#include <functional>
#include <memory>
#include <variant>
#include <vector>

namespace caf {
class actor_system;
} // namespace caf

namespace bulrush::daemon {

using data_event = std::variant<query::router_event, query::owner_event>;

/// What the cores ask of the I/O thread, in order; messages between the two
/// cores of one process do not appear here.
struct data_actions {
  std::vector<query::router_action> Router;
  std::vector<query::owner_action> Owner;
  std::size_t ActiveQueries = 0; ///< without an answer yet
  std::size_t PendingWork = 0;   ///< sub-requests that wait or are in flight
};

/// Called on the actor's thread.
using data_actions_handler = std::function<void(data_actions)>;

struct data_path_options {
  deployment Deployment;
  vm_id Self;
  incarnation_id Incarnation;
  query::router_settings Router;
  query::owner_settings Owner;
};

/// Both cores on a thread of their own. Events are handled in the order they
/// were sent.
class data_path {
public:
  data_path(caf::actor_system &System, data_path_options Options,
            const clock_source &Clock, data_actions_handler OnActions);
  ~data_path();
  data_path(const data_path &) = delete;
  data_path &operator=(const data_path &) = delete;

  void send(std::vector<data_event> Events);

  /// Calls `Look` with the memory of recent decisions, on the actor's thread.
  void explain(std::function<void(const query::explain_memory &)> Look);

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace bulrush::daemon
