#include "daemon/control_actors.h"

#include <caf/all.hpp>

namespace bulrush::daemon {

namespace {

using node_events = std::shared_ptr<std::vector<node_event>>;
using node_visitor = std::shared_ptr<std::function<void(const control_node &)>>;
using disk_write = std::shared_ptr<control::persist>;
struct sync_now {};

} // namespace

} // namespace bulrush::daemon

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrush::daemon::node_events)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrush::daemon::node_visitor)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrush::daemon::disk_write)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrush::daemon::sync_now)

namespace bulrush::daemon {

namespace {

/// Appends writes to the log on arrival and syncs them in batches. The actor
/// sends `sync_now` to itself; the message queues behind all writes already in
/// the mailbox, so that one sync covers them all.
class disk_actor final : public caf::event_based_actor {
public:
  disk_actor(caf::actor_config &Config, store::durable_log Log,
             std::function<void(control::write_id)> OnSynced,
             disk_failed_handler OnFailed)
      : caf::event_based_actor(Config), Log(std::move(Log)),
        OnSynced(std::move(OnSynced)), OnFailed(std::move(OnFailed)) {}

  caf::behavior make_behavior() override {
    return {[this](const disk_write &Write) {
              Log.write(*Write);
              if (IsSyncDue)
                return;
              IsSyncDue = true;
              caf::anon_send(caf::actor_cast<caf::actor>(this), sync_now{});
            },
            [this](sync_now) { sync(); }};
  }

private:
  void sync() {
    IsSyncDue = false;
    if (HasFailed)
      return;
    const auto Synced = Log.sync();
    if (Synced) {
      OnSynced(*Synced);
      return;
    }
    HasFailed = true;
    OnFailed(Synced.error());
  }

  store::durable_log Log;
  std::function<void(control::write_id)> OnSynced;
  disk_failed_handler OnFailed;
  bool IsSyncDue = false;
  bool HasFailed = false;
};

class node_actor final : public caf::event_based_actor {
public:
  node_actor(caf::actor_config &Config, control_node Node, caf::actor Disk,
             const clock_source &Clock, node_actions_handler OnActions)
      : caf::event_based_actor(Config), Node(std::move(Node)),
        Disk(std::move(Disk)), Clock(Clock), OnActions(std::move(OnActions)) {}

  caf::behavior make_behavior() override {
    return {[this](const node_events &Events) { run(*Events); },
            [this](const node_visitor &Visitor) { (*Visitor)(Node); }};
  }

private:
  void run(const std::vector<node_event> &Events) {
    std::vector<node_action> Actions;
    Node.step(Events, Clock.now(), Actions);
    std::vector<node_action> IoActions;
    for (node_action &Action : Actions) {
      if (auto *Write = std::get_if<control::persist>(&Action))
        caf::anon_send(Disk,
                       std::make_shared<control::persist>(std::move(*Write)));
      else
        IoActions.push_back(std::move(Action));
    }
    if (!IoActions.empty())
      OnActions(std::move(IoActions));
  }

  control_node Node;
  caf::actor Disk;
  const clock_source &Clock;
  node_actions_handler OnActions;
};

} // namespace

struct control_actors::state {
  caf::actor Disk;
  caf::actor Node;

  void send(std::vector<node_event> Events) {
    caf::anon_send(
        Node, std::make_shared<std::vector<node_event>>(std::move(Events)));
  }
};

control_actors::control_actors(caf::actor_system &System, control_node Node,
                               store::durable_log Log,
                               const clock_source &Clock,
                               node_actions_handler OnActions,
                               disk_failed_handler OnDiskFailed)
    : State(std::make_shared<state>()) {
  const auto OnSynced = [Weak = std::weak_ptr(State)](control::write_id Write) {
    if (const auto Self = Weak.lock())
      Self->send({control::event(control::persisted{Write})});
  };
  State->Disk = System.spawn<disk_actor, caf::detached>(
      std::move(Log), OnSynced, std::move(OnDiskFailed));
  State->Node = System.spawn<node_actor, caf::detached>(
      std::move(Node), State->Disk, Clock, std::move(OnActions));
}

control_actors::~control_actors() {
  caf::anon_send_exit(State->Node, caf::exit_reason::user_shutdown);
  caf::anon_send_exit(State->Disk, caf::exit_reason::user_shutdown);
}

void control_actors::send(std::vector<node_event> Events) {
  State->send(std::move(Events));
}

void control_actors::visitNode(
    std::function<void(const control_node &)> Visitor) {
  caf::anon_send(State->Node,
                 std::make_shared<std::function<void(const control_node &)>>(
                     std::move(Visitor)));
}

} // namespace bulrush::daemon
