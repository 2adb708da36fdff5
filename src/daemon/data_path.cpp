#include "daemon/data_path.h"

#include "query/placement.h"

namespace bulrush::daemon {

namespace {

/// Assigns endpoints to live daemons by rendezvous hashing. The result is
/// cached until the membership changes.
class placement_directory final : public query::owner_directory {
public:
  explicit placement_directory(const deployment &Deployment)
      : Deployment(Deployment) {}

  vm_id ownerOf(const std::vector<vm_id> &Live,
                endpoint_id Endpoint) const override {
    if (Live != CachedLive || Owners.empty()) {
      CachedLive = Live;
      Owners = query::ownersOf(Deployment, Live);
    }
    return Owners[Endpoint.Value];
  }

private:
  const deployment &Deployment;
  mutable std::vector<vm_id> CachedLive;
  mutable std::vector<vm_id> Owners;
};

} // namespace

data_path::data_path(data_path_options InitialOptions)
    : Options(std::move(InitialOptions)),
      Router(Options.Deployment, Options.Self,
             std::make_unique<placement_directory>(Options.Deployment),
             Options.Router),
      Owner(Options.Deployment, Options.Owner) {}

void data_path::step(std::vector<data_event> Events, instant Time,
                     data_actions &Actions) {
  Now = Time;
  Out = &Actions;
  for (data_event &Event : Events) {
    if (auto *RouterEvent = std::get_if<query::router_event>(&Event))
      stepRouter(*RouterEvent);
    else
      stepOwner(std::get<query::owner_event>(std::move(Event)));
  }
  Out = nullptr;
}

void data_path::stepRouter(const query::router_event &Event) {
  std::vector<query::router_action> Actions;
  Router.step(Event, Now, Actions);
  for (query::router_action &Action : Actions)
    if (!deliverLocally(Action))
      Out->Router.push_back(std::move(Action));
}

void data_path::stepOwner(query::owner_event Event) {
  std::vector<query::owner_action> Actions;
  Owner.step(std::move(Event), Now, Actions);
  for (query::owner_action &Action : Actions)
    if (!deliverLocally(Action))
      Out->Owner.push_back(std::move(Action));
}

/// Delivers a router message addressed to this process to the local owner.
/// Returns false if the action must be run by the I/O layer.
bool data_path::deliverLocally(query::router_action &Action) {
  if (auto *Batch = std::get_if<query::send_batch>(&Action)) {
    if (Batch->To != Options.Self)
      return false;
    Batch->Batch.From = Options.Self;
    Batch->Batch.Incarnation = Options.Incarnation;
    stepOwner(query::batch_arrived{std::move(Batch->Batch)});
    return true;
  }
  auto *Cancel = std::get_if<query::send_cancel>(&Action);
  if (!Cancel || Cancel->To != Options.Self)
    return false;
  stepOwner(query::cancel_arrived{Options.Self, Options.Incarnation,
                                  std::move(Cancel->Subs)});
  return true;
}

/// Delivers an owner reply addressed to this process to the local router.
/// Reports go to the local router and, through the I/O layer, to all others.
bool data_path::deliverLocally(query::owner_action &Action) {
  if (auto *Report = std::get_if<query::publish_report>(&Action)) {
    stepRouter(query::reports_arrived{Options.Self, {Report->Report}});
    return false;
  }
  auto *Reply = std::get_if<query::reply_to_entry>(&Action);
  if (!Reply || Reply->To != Options.Self)
    return false;
  if (Reply->Incarnation == Options.Incarnation)
    stepRouter(query::replies_arrived{Options.Self, {std::move(Reply->Reply)}});
  return true;
}

} // namespace bulrush::daemon
