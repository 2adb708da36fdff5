/// The actors of a control voter: one runs the decisions, one the disk.
#pragma once

#include "daemon/control_node.h"
#include "store/durable_log.h"

#include <functional>
#include <memory>
#include <vector>

namespace caf {
class actor_system;
} // namespace caf

namespace bulrush::daemon {

/// Called on the decisions' thread.
using node_actions_handler = std::function<void(std::vector<node_action>)>;
/// Called on the disk's thread; the process must stop.
using disk_failed_handler = std::function<void(store::disk_error)>;

/// Two detached actors. Writes are batched: while one sync runs, those that
/// arrive wait for the next.
class control_actors {
public:
  control_actors(caf::actor_system &System, control_node Node,
                 store::durable_log Log, const clock_source &Clock,
                 node_actions_handler OnActions,
                 disk_failed_handler OnDiskFailed);
  ~control_actors();
  control_actors(const control_actors &) = delete;
  control_actors &operator=(const control_actors &) = delete;

  void send(std::vector<node_event> Events);
  /// Calls `Look` on the decisions' thread.
  void look(std::function<void(const control_node &)> Look);

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace bulrush::daemon
