#include "query/owner_impl.h"

#include <algorithm>

namespace bulrush::query {

owner::owner(const deployment &World, const owner_settings &Settings)
    : Impl(std::make_unique<impl>(World, Settings)) {}
owner::~owner() = default;
owner::owner(owner &&) noexcept = default;
owner &owner::operator=(owner &&) noexcept = default;

void owner::step(owner_event Event, instant Now,
                 std::vector<owner_action> &Out) {
  Impl->step(std::move(Event), Now, Out);
}

std::size_t owner::pending() const { return Impl->pending(); }

owner::impl::impl(const deployment &World, const owner_settings &Settings)
    : World(World), Settings(Settings), Work(Memory),
      Endpoints(World.Endpoints.size()),
      WarmGenerations(World.Endpoints.size()), Wakes(World.Endpoints.size()) {}

void owner::impl::step(owner_event &&Event, instant Now,
                       std::vector<owner_action> &Out) {
  context In{Now, Out};
  std::visit(
      [&](auto &&Alternative) {
        on(std::forward<decltype(Alternative)>(Alternative), In);
      },
      std::move(Event));
  if (Stopping && !StopTold && Work.size() == 0) {
    StopTold = true;
    Out.emplace_back(owner_drained{});
  }
  if (Wakes.earliest() < TimerAt) {
    TimerAt = Wakes.earliest();
    Out.emplace_back(set_timer{TimerAt});
  }
}

owned_endpoint *owner::impl::find(endpoint_id Id) {
  return Id.Value < Endpoints.size() ? Endpoints[Id.Value].get() : nullptr;
}

owned_endpoint &owner::impl::make(endpoint_id Id) {
  auto &Place = Endpoints[Id.Value];
  if (!Place)
    Place = std::make_unique<owned_endpoint>(World.Endpoints[Id.Value],
                                             Settings, Memory);
  return *Place;
}

void owner::impl::on(batch_arrived &&Event, context &In) {
  sub_batch &Batch = Event.Batch;
  Touched.clear();
  for (sub_request &Request : Batch.Items) {
    Touched.push_back(Request.Endpoint);
    admit(std::move(Request), Batch, In);
  }
  for (endpoint_id Id : Touched)
    if (owned_endpoint *Endpoint = find(Id))
      settle(*Endpoint, In);
}

void owner::impl::on(cancel_arrived &&Event, context &In) {
  for (sub_id Sub : Event.Subs) {
    const auto Attempt = Work.find(Event.From, Event.Incarnation, Sub);
    if (!Attempt)
      continue;
    work_item &Item = Work.get(*Attempt);
    owned_endpoint &Endpoint = *find(Item.Request.Endpoint);
    if (Item.State == work_state::queued) {
      Endpoint.Queue->remove(toQueued(*Attempt, Item));
      refuseQueued(Endpoint, *Attempt, refusal::cancelled, In);
      settle(Endpoint, In);
    } else if (!Item.CancelSent) {
      Item.CancelSent = true;
      In.Out.emplace_back(cancel_at_endpoint{Item.Request.Endpoint, *Attempt,
                                             Item.From, Item.Incarnation, Sub});
    }
  }
}

void owner::impl::on(endpoint_replied &&Event, context &In) {
  work_item *Item = Work.find(Event.Attempt);
  owned_endpoint *Endpoint = find(Event.Endpoint);
  if (!Endpoint || (Item && Item->State == work_state::queued))
    return;
  if (!Item) {
    learnLate(*Endpoint, Event, In);
    settle(*Endpoint, In);
    return;
  }
  learn(*Endpoint, *Item, Event, In);
  const bool MayStillRun = Event.Kind == reply_kind::timed_out;
  if (Item->State == work_state::sent)
    replyFromEndpoint(*Item, Event, In);
  if (!MayStillRun)
    release(*Endpoint, Event.Attempt);
  settle(*Endpoint, In);
}

void owner::impl::on(health_arrived &&Event, context &In) {
  owned_endpoint *Endpoint = find(Event.Endpoint);
  if (!Endpoint)
    return;
  const bool Unreachable = Event.State == health_state::unreachable;
  Endpoint->ReportDue |= Endpoint->Unreachable != Unreachable;
  Endpoint->Unreachable = Unreachable;
  if (!Unreachable) {
    const std::uint32_t Before = Endpoint->openLimit();
    const bool WasWarm = Endpoint->Warmth->isWarm();
    Endpoint->Warmth->onHealth(Event.State, Event.Generation);
    tellChange(*Endpoint, Before, WasWarm, endpoint_cause::health, In);
    learnDraining(*Endpoint, Event.State == health_state::draining, In.Now);
    Endpoint->ReportDue |= Endpoint->Held != Event.Held;
    Endpoint->Held = std::move(Event.Held);
  }
  settle(*Endpoint, In);
}

/// A new owner knows from them in which life an endpoint was warm.
void owner::impl::on(peer_reports_arrived &&Event, context &) {
  for (const endpoint_report &Report : Event.Reports)
    if (Report.Endpoint.Value < WarmGenerations.size())
      WarmGenerations[Report.Endpoint.Value] = Report.WarmGeneration;
}

void owner::impl::on(config_changed &&Event, context &In) {
  if (Event.Config.Revision < Config.Revision)
    return;
  Config = std::move(Event.Config);
  for (auto &Endpoint : Endpoints) {
    if (!Endpoint)
      continue;
    Endpoint->ZoneOut = isZoneOut(Endpoint->World.Zone);
    Endpoint->Leaving = isLeaving(Endpoint->World.Id);
    settle(*Endpoint, In);
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

void owner::impl::on(ownership_changed &&Event, context &In) {
  std::vector<bool> Kept(Endpoints.size());
  for (const owner_grant &Grant : Event.Grants) {
    if (Grant.Endpoint.Value >= Endpoints.size())
      continue;
    Kept[Grant.Endpoint.Value] = true;
    grant(Grant, In);
  }
  for (std::size_t I = 0; I < Endpoints.size(); ++I) {
    if (!Endpoints[I])
      continue;
    if (!Kept[I])
      lose(*Endpoints[I], In);
    settle(*Endpoints[I], In);
    if (!Kept[I] && Endpoints[I]->InFlight.empty())
      drop(Endpoints[I]->World.Id);
  }
}

void owner::impl::grant(const owner_grant &Grant, context &In) {
  owned_endpoint &Endpoint = make(Grant.Endpoint);
  const bool WasHeld = Endpoint.Granted && In.Now < Endpoint.Expiry;
  const bool WasGranted = Endpoint.Granted;
  Endpoint.Granted = true;
  Endpoint.Expiry = Grant.Expiry;
  Endpoint.ZoneOut = isZoneOut(Endpoint.World.Zone);
  Endpoint.Leaving = isLeaving(Grant.Endpoint);
  if (WasHeld)
    return;
  Endpoint.InheritedUntil = Grant.InheritedUntil;
  Endpoint.Warmth->forget();
  if (!WasGranted)
    Endpoint.Warmth->onWarmSeen(WarmGenerations[Grant.Endpoint.Value]);
  Endpoint.Limit.reset();
  Endpoint.NextHealth = In.Now;
  Endpoint.ReportDue = true;
  In.Out.emplace_back(
      endpoint_event{Grant.Endpoint, endpoint_change::turned_cold,
                     WasGranted ? endpoint_cause::lease_renewed_late
                                : endpoint_cause::new_owner,
                     Endpoint.limit(In.Now),
                     static_cast<std::uint32_t>(Endpoint.InFlight.size())});
}

void owner::impl::lose(owned_endpoint &Endpoint, context &In) {
  if (!Endpoint.Granted)
    return;
  Endpoint.Granted = false;
  In.Out.emplace_back(endpoint_event{
      Endpoint.World.Id, endpoint_change::lost, endpoint_cause::lease_lost, 0,
      static_cast<std::uint32_t>(Endpoint.InFlight.size())});
}

/// The endpoint must have neither queued work nor work in flight.
void owner::impl::drop(endpoint_id Id) {
  Wakes.set(Id.Value, Never);
  Endpoints[Id.Value].reset();
}

void owner::impl::on(stop_requested &&, context &In) {
  Stopping = true;
  for (auto &Endpoint : Endpoints) {
    if (!Endpoint || !Endpoint->Granted)
      continue;
    settle(*Endpoint, In);
  }
}

void owner::impl::on(timer_fired &&, context &In) {
  TimerAt = Never;
  while (Wakes.earliest() <= In.Now) {
    const endpoint_id Id{Wakes.earliestIndex()};
    owned_endpoint &Endpoint = *Endpoints[Id.Value];
    settle(Endpoint, In);
    if (!Endpoint.Granted && Endpoint.InFlight.empty())
      drop(Id);
  }
}

} // namespace bulrush::query
