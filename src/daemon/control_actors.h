/// The actors of a control voter: one steps the control node, one writes the
/// log to disk.
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

/// Called on the node actor's thread.
using node_actions_handler = std::function<void(std::vector<node_action>)>;
/// Called on the disk actor's thread after a failed sync; the process must
/// stop.
using disk_failed_handler = std::function<void(store::disk_error)>;

/// Runs the node and the disk as two detached actors, each on its own thread.
/// Writes that arrive during a sync share the next sync.
class control_actors {
public:
  control_actors(caf::actor_system &System, control_node Node,
                 store::durable_log Log, const clock_source &Clock,
                 node_actions_handler OnActions,
                 disk_failed_handler OnDiskFailed);
  ~control_actors();
  control_actors(const control_actors &) = delete;
  control_actors &operator=(const control_actors &) = delete;

  /// Queues events for one step of the node.
  void send(std::vector<node_event> Events);
  /// Calls `Visitor` with the node on the node actor's thread.
  void visitNode(std::function<void(const control_node &)> Visitor);

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace bulrush::daemon
