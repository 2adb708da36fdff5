#include "daemon/data_path.h"

#include "query/placement.h"

namespace bulrush::daemon {

namespace {

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

data_path::data_path(data_path_options Given)
    : Options(std::move(Given)),
      Router(Options.Deployment, Options.Self,
             std::make_unique<placement_directory>(Options.Deployment),
             Options.Router),
      Owner(Options.Deployment, Options.Owner) {}

void data_path::step(std::vector<data_event> Events, instant At,
                     data_actions &Given) {
  Now = At;
  Out = &Given;
  for (data_event &Event : Events) {
    if (auto *ForRouter = std::get_if<query::router_event>(&Event))
      stepRouter(*ForRouter);
    else
      stepOwner(std::get<query::owner_event>(std::move(Event)));
  }
  Out = nullptr;
}

void data_path::stepRouter(const query::router_event &Event) {
  std::vector<query::router_action> Actions;
  Router.step(Event, Now, Actions);
  for (query::router_action &Action : Actions)
    if (!takeLocally(Action))
      Out->Router.push_back(std::move(Action));
}

void data_path::stepOwner(query::owner_event Event) {
  std::vector<query::owner_action> Actions;
  Owner.step(std::move(Event), Now, Actions);
  for (query::owner_action &Action : Actions)
    if (!takeLocally(Action))
      Out->Owner.push_back(std::move(Action));
}

/// Hands the router's messages to this process's own owner to it.
bool data_path::takeLocally(query::router_action &Action) {
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

/// The same for the owner's replies; its reports go to every router.
bool data_path::takeLocally(query::owner_action &Action) {
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
