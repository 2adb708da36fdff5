#include "daemon/data_path.h"

#include "query/placement.h"

#include <caf/all.hpp>

namespace bulrush::daemon {

namespace {

using event_batch = std::shared_ptr<std::vector<data_event>>;
using explain_request =
    std::shared_ptr<std::function<void(const query::explain_memory &)>>;

/// Rendezvous hashing over the live daemons, kept until the membership changes.
class placement_directory final : public query::owner_directory {
public:
  explicit placement_directory(const deployment &Deployment)
      : Deployment(Deployment) {}

  vm_id ownerOf(const std::vector<vm_id> &Live,
                endpoint_id Endpoint) const override {
    if (Live != KnownLive || Owners.empty()) {
      KnownLive = Live;
      Owners = query::ownersOf(Deployment, Live);
    }
    return Owners[Endpoint.Value];
  }

private:
  const deployment &Deployment;
  mutable std::vector<vm_id> KnownLive;
  mutable std::vector<vm_id> Owners;
};

} // namespace

} // namespace bulrush::daemon

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrush::daemon::event_batch)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrush::daemon::explain_request)

namespace bulrush::daemon {

namespace {

class data_path_actor final : public caf::event_based_actor {
public:
  data_path_actor(caf::actor_config &Config, data_path_options Given,
                  const clock_source &Clock, data_actions_handler OnActions)
      : caf::event_based_actor(Config), Options(std::move(Given)), Clock(Clock),
        OnActions(std::move(OnActions)),
        Router(Options.Deployment, Options.Self,
               std::make_unique<placement_directory>(Options.Deployment),
               Options.Router),
        Owner(Options.Deployment, Options.Owner) {}

  caf::behavior make_behavior() override {
    return {[this](const event_batch &Events) { run(*Events); },
            [this](const explain_request &Look) { (*Look)(Router.explain()); }};
  }

private:
  void run(std::vector<data_event> &Events) {
    const instant Now = Clock.now();
    data_actions Out;
    for (data_event &Event : Events) {
      if (auto *ForRouter = std::get_if<query::router_event>(&Event))
        stepRouter(*ForRouter, Now, Out);
      else
        stepOwner(std::get<query::owner_event>(std::move(Event)), Now, Out);
    }
    Out.ActiveQueries = Router.active();
    Out.PendingWork = Owner.pending();
    OnActions(std::move(Out));
  }

  void stepRouter(const query::router_event &Event, instant Now,
                  data_actions &Out) {
    std::vector<query::router_action> Actions;
    Router.step(Event, Now, Actions);
    for (query::router_action &Action : Actions)
      if (!takeLocally(Action, Now, Out))
        Out.Router.push_back(std::move(Action));
  }

  void stepOwner(query::owner_event Event, instant Now, data_actions &Out) {
    std::vector<query::owner_action> Actions;
    Owner.step(std::move(Event), Now, Actions);
    for (query::owner_action &Action : Actions)
      if (!takeLocally(Action, Now, Out))
        Out.Owner.push_back(std::move(Action));
  }

  /// Hands the router's messages to this process's own owner to it.
  bool takeLocally(query::router_action &Action, instant Now,
                   data_actions &Out) {
    if (auto *Batch = std::get_if<query::send_batch>(&Action)) {
      if (Batch->To != Options.Self)
        return false;
      Batch->Batch.From = Options.Self;
      Batch->Batch.Incarnation = Options.Incarnation;
      stepOwner(query::batch_arrived{std::move(Batch->Batch)}, Now, Out);
      return true;
    }
    auto *Cancel = std::get_if<query::send_cancel>(&Action);
    if (!Cancel || Cancel->To != Options.Self)
      return false;
    stepOwner(query::cancel_arrived{Options.Self, Options.Incarnation,
                                    std::move(Cancel->Subs)},
              Now, Out);
    return true;
  }

  /// The same for the owner's replies; its reports go to every router.
  bool takeLocally(query::owner_action &Action, instant Now,
                   data_actions &Out) {
    if (auto *Report = std::get_if<query::publish_report>(&Action)) {
      stepRouter(query::reports_arrived{Options.Self, {Report->Report}}, Now,
                 Out);
      return false;
    }
    auto *Reply = std::get_if<query::reply_to_entry>(&Action);
    if (!Reply || Reply->To != Options.Self)
      return false;
    if (Reply->Incarnation == Options.Incarnation)
      stepRouter(
          query::replies_arrived{Options.Self, {std::move(Reply->Reply)}}, Now,
          Out);
    return true;
  }

  data_path_options Options;
  const clock_source &Clock;
  data_actions_handler OnActions;
  query::router Router;
  query::owner Owner;
};

} // namespace

struct data_path::state {
  caf::actor Actor;
};

data_path::data_path(caf::actor_system &System, data_path_options Options,
                     const clock_source &Clock, data_actions_handler OnActions)
    : State(std::make_unique<state>()) {
  State->Actor = System.spawn<data_path_actor, caf::detached>(
      std::move(Options), Clock, std::move(OnActions));
}

data_path::~data_path() {
  caf::anon_send_exit(State->Actor, caf::exit_reason::user_shutdown);
}

void data_path::send(std::vector<data_event> Events) {
  caf::anon_send(State->Actor,
                 std::make_shared<std::vector<data_event>>(std::move(Events)));
}

void data_path::explain(
    std::function<void(const query::explain_memory &)> Look) {
  caf::anon_send(
      State->Actor,
      std::make_shared<std::function<void(const query::explain_memory &)>>(
          std::move(Look)));
}

} // namespace bulrush::daemon
