#include "query/owner_impl.h"

#include <algorithm>

namespace bulrush::query {

owner::owner(const deployment &Deployment, const owner_settings &Settings)
    : Impl(std::make_unique<impl>(Deployment, Settings)) {}
owner::~owner() = default;
owner::owner(owner &&) noexcept = default;
owner &owner::operator=(owner &&) noexcept = default;

void owner::step(owner_event Event, instant Now,
                 std::vector<owner_action> &Out) {
  Impl->step(std::move(Event), Now, Out);
}

std::size_t owner::pending() const { return Impl->pending(); }

owner::impl::impl(const deployment &Deployment, const owner_settings &Settings)
    : Deployment(Deployment), Settings(Settings), Work(Memory),
      Endpoints(Deployment.Endpoints.size()),
      WarmGenerations(Deployment.Endpoints.size()),
      EndpointWakes(Deployment.Endpoints.size()) {}

void owner::impl::step(owner_event &&Event, instant Now,
                       std::vector<owner_action> &Out) {
  context Context{Now, Out};
  std::visit(
      [&](auto &&Alternative) {
        on(std::forward<decltype(Alternative)>(Alternative), Context);
      },
      std::move(Event));
  if (Stopping && !IsDrainReported && Work.size() == 0) {
    IsDrainReported = true;
    Out.emplace_back(owner_drained{});
  }
  if (EndpointWakes.earliest() < TimerDueAt) {
    TimerDueAt = EndpointWakes.earliest();
    Out.emplace_back(set_timer{TimerDueAt});
  }
}

owned_endpoint *owner::impl::find(endpoint_id Id) {
  return Id.Value < Endpoints.size() ? Endpoints[Id.Value].get() : nullptr;
}

owned_endpoint &owner::impl::findOrCreate(endpoint_id Id) {
  auto &Entry = Endpoints[Id.Value];
  if (!Entry)
    Entry = std::make_unique<owned_endpoint>(Deployment.Endpoints[Id.Value],
                                             Settings, Memory);
  return *Entry;
}

void owner::impl::on(batch_arrived &&Event, context &Context) {
  sub_batch &Batch = Event.Batch;
  BatchEndpoints.clear();
  for (sub_request &Request : Batch.Items) {
    BatchEndpoints.push_back(Request.Endpoint);
    admit(std::move(Request), Batch, Context);
  }
  for (endpoint_id Id : BatchEndpoints)
    if (owned_endpoint *Endpoint = find(Id))
      processEndpoint(*Endpoint, Context);
}

void owner::impl::on(cancel_arrived &&Event, context &Context) {
  for (sub_id Sub : Event.Subs) {
    const auto Attempt = Work.find(Event.From, Event.Incarnation, Sub);
    if (!Attempt)
      continue;
    work_item &Item = Work.get(*Attempt);
    owned_endpoint &Endpoint = *find(Item.Request.Endpoint);
    if (Item.State == work_state::queued) {
      Endpoint.Queue->remove(toQueuedWork(*Attempt, Item));
      refuseQueued(Endpoint, *Attempt, refusal::cancelled, Context);
      processEndpoint(Endpoint, Context);
    } else if (!Item.CancelSent) {
      Item.CancelSent = true;
      Context.Out.emplace_back(cancel_at_endpoint{
          Item.Request.Endpoint, *Attempt, Item.From, Item.Incarnation, Sub});
    }
  }
}

void owner::impl::on(endpoint_replied &&Event, context &Context) {
  work_item *Item = Work.find(Event.Attempt);
  owned_endpoint *Endpoint = find(Event.Endpoint);
  if (!Endpoint || (Item && Item->State == work_state::queued))
    return;
  if (!Item) {
    updateFromLateReply(*Endpoint, Event, Context);
    processEndpoint(*Endpoint, Context);
    return;
  }
  updateEstimates(*Endpoint, *Item, Event, Context);
  const bool MayStillRun = Event.Kind == reply_kind::timed_out;
  if (Item->State == work_state::sent)
    replyFromEndpoint(*Item, Event, Context);
  if (!MayStillRun)
    releaseSlot(*Endpoint, Event.Attempt);
  processEndpoint(*Endpoint, Context);
}

void owner::impl::on(health_arrived &&Event, context &Context) {
  owned_endpoint *Endpoint = find(Event.Endpoint);
  if (!Endpoint)
    return;
  const bool Unreachable = Event.State == health_state::unreachable;
  Endpoint->HasUnreportedChange |= Endpoint->Unreachable != Unreachable;
  Endpoint->Unreachable = Unreachable;
  if (!Unreachable) {
    const std::uint32_t OldLimit = Endpoint->concurrencyLimit();
    const bool WasWarm = Endpoint->ColdStart->isWarm();
    Endpoint->ColdStart->onHealth(Event.State, Event.Generation);
    emitStateChange(*Endpoint, OldLimit, WasWarm, endpoint_cause::health,
                    Context);
    updateDraining(*Endpoint, Event.State == health_state::draining,
                   Context.Now);
    Endpoint->HasUnreportedChange |= Endpoint->Held != Event.Held;
    Endpoint->Held = std::move(Event.Held);
  }
  processEndpoint(*Endpoint, Context);
}

/// Stores the generation in which each endpoint was warm, for the case that
/// this daemon becomes its owner.
void owner::impl::on(peer_reports_arrived &&Event, context &) {
  for (const endpoint_report &Report : Event.Reports)
    if (Report.Endpoint.Value < WarmGenerations.size())
      WarmGenerations[Report.Endpoint.Value] = Report.WarmGeneration;
}

void owner::impl::on(config_changed &&Event, context &Context) {
  if (Event.Config.Revision < Config.Revision)
    return;
  Config = std::move(Event.Config);
  for (auto &Endpoint : Endpoints) {
    if (!Endpoint)
      continue;
    Endpoint->ZoneOut = isZoneOut(Endpoint->Definition.Zone);
    Endpoint->Leaving = isLeaving(Endpoint->Definition.Id);
    processEndpoint(*Endpoint, Context);
  }
}

bool owner::impl::isZoneOut(zone_id Zone) const {
  return std::find(Config.ZonesOut.begin(), Config.ZonesOut.end(), Zone) !=
         Config.ZonesOut.end();
}

bool owner::impl::isLeaving(endpoint_id Id) const {
  return std::find(Config.Leaving.begin(), Config.Leaving.end(), Id) !=
         Config.Leaving.end();
}

void owner::impl::on(ownership_changed &&Event, context &Context) {
  std::vector<bool> IsGranted(Endpoints.size());
  for (const owner_grant &Grant : Event.Grants) {
    if (Grant.Endpoint.Value >= Endpoints.size())
      continue;
    IsGranted[Grant.Endpoint.Value] = true;
    applyGrant(Grant, Context);
  }
  for (std::size_t I = 0; I < Endpoints.size(); ++I) {
    if (!Endpoints[I])
      continue;
    if (!IsGranted[I])
      revoke(*Endpoints[I], Context);
    processEndpoint(*Endpoints[I], Context);
    if (!IsGranted[I] && Endpoints[I]->InFlight.empty())
      eraseEndpoint(Endpoints[I]->Definition.Id);
  }
}

void owner::impl::applyGrant(const owner_grant &Grant, context &Context) {
  owned_endpoint &Endpoint = findOrCreate(Grant.Endpoint);
  const bool WasHeld = Endpoint.Granted && Context.Now < Endpoint.Expiry;
  const bool WasGranted = Endpoint.Granted;
  Endpoint.Granted = true;
  Endpoint.Expiry = Grant.Expiry;
  Endpoint.ZoneOut = isZoneOut(Endpoint.Definition.Zone);
  Endpoint.Leaving = isLeaving(Grant.Endpoint);
  if (WasHeld)
    return;
  Endpoint.InheritedUntil = Grant.InheritedUntil;
  Endpoint.ColdStart->reset();
  if (!WasGranted)
    Endpoint.ColdStart->setWarmGeneration(
        WarmGenerations[Grant.Endpoint.Value]);
  Endpoint.Limit.reset();
  Endpoint.NextHealthCheck = Context.Now;
  Endpoint.HasUnreportedChange = true;
  Context.Out.emplace_back(
      endpoint_event{Grant.Endpoint, endpoint_change::turned_cold,
                     WasGranted ? endpoint_cause::lease_renewed_late
                                : endpoint_cause::new_owner,
                     Endpoint.currentLimit(Context.Now),
                     static_cast<std::uint32_t>(Endpoint.InFlight.size())});
}

void owner::impl::revoke(owned_endpoint &Endpoint, context &Context) {
  if (!Endpoint.Granted)
    return;
  Endpoint.Granted = false;
  Context.Out.emplace_back(endpoint_event{
      Endpoint.Definition.Id, endpoint_change::lost, endpoint_cause::lease_lost,
      0, static_cast<std::uint32_t>(Endpoint.InFlight.size())});
}

/// The endpoint must have no requests queued or in flight.
void owner::impl::eraseEndpoint(endpoint_id Id) {
  EndpointWakes.set(Id.Value, Never);
  Endpoints[Id.Value].reset();
}

void owner::impl::on(stop_requested &&, context &Context) {
  Stopping = true;
  for (auto &Endpoint : Endpoints) {
    if (!Endpoint || !Endpoint->Granted)
      continue;
    processEndpoint(*Endpoint, Context);
  }
}

void owner::impl::on(timer_fired &&, context &Context) {
  TimerDueAt = Never;
  while (EndpointWakes.earliest() <= Context.Now) {
    const endpoint_id Id{EndpointWakes.earliestIndex()};
    owned_endpoint &Endpoint = *Endpoints[Id.Value];
    processEndpoint(Endpoint, Context);
    if (!Endpoint.Granted && Endpoint.InFlight.empty())
      eraseEndpoint(Id);
  }
}

} // namespace bulrush::query
