#include "relay/endpoint_set.h"

#include <algorithm>

namespace bulrush::relay {

namespace {

/// Connections of all daemons together stay below an endpoint's bound by this.
constexpr double ConnectionShare = 0.9;
/// What a certain failure adds, in typical latencies.
constexpr double FailureCost = 6;
/// A request in flight for longer than this, in typical latencies, shows that
/// its endpoint stands still.
constexpr double StallFactor = 2.5;
/// More failures than this make an endpoint no good choice, wherever it is.
constexpr double FewFailures = 0.1;
/// What another zone adds; bytes between zones cost.
constexpr millis OtherZoneCost{1.5};
constexpr double OtherZoneFactor = 1.25;
/// Choices differ by so much, so that daemons do not move together.
constexpr double Jitter = 0.15;

bool contains(const std::vector<endpoint_no> &Set, endpoint_no No) {
  return std::find(Set.begin(), Set.end(), No) != Set.end();
}

endpoint_log_event note(const endpoint_state &Endpoint,
                        endpoint_state_change Change, millis ColdFor = {}) {
  return {Endpoint.listed().Identity.Instance, Endpoint.listed().Service,
          Change, ColdFor};
}

} // namespace

endpoint_set::endpoint_set(const relay_settings &Settings, std::uint64_t Seed)
    : Settings(Settings), Random(static_cast<std::uint32_t>(Seed | 1)) {}

service_state &endpoint_set::service(const service_name &Name) {
  std::unique_ptr<service_state> &Known = Services[Name.Value];
  if (!Known) {
    Known = std::make_unique<service_state>();
    Known->Name = Name;
    resizeBudget(*Known);
  }
  return *Known;
}

endpoint_state *endpoint_set::find(endpoint_no No) {
  const auto Found = Endpoints.find(No);
  return Found == Endpoints.end() ? nullptr : Found->second.get();
}

void endpoint_set::preconnect(const service_state &Service,
                              relay_actions &Out) {
  if (Service.MaxConnections == 0)
    return;
  for (const endpoint_no No : Service.Endpoints) {
    endpoint_state &Each = *Endpoints.at(No);
    const listed_endpoint &Listed = Each.listed();
    if (Listed.Zone == Settings.Zone && !Listed.IsLeaving && Each.warmOnce())
      Out.push_back(preconnect_endpoint{No});
  }
}

std::vector<std::string>
endpoint_set::zonesOf(const service_name &Service) const {
  std::vector<std::string> Out;
  const auto Known = Services.find(Service.Value);
  if (Known == Services.end())
    return Out;
  for (const endpoint_no No : Known->second->Endpoints) {
    const listed_endpoint &Listed = Endpoints.at(No)->listed();
    const bool MayWork = !Listed.IsLeaving && !ZonesOut.count(Listed.Zone);
    if (MayWork && std::find(Out.begin(), Out.end(), Listed.Zone) == Out.end())
      Out.push_back(Listed.Zone);
  }
  return Out;
}

void endpoint_set::count(std::size_t &Listed, std::size_t &Cold,
                         std::size_t &Suspected, instant Now) const {
  Suspected = Suspects.size();
  for (const auto &[No, Each] : Endpoints) {
    Listed += Each->isGone() ? 0 : 1;
    Cold += !Each->isGone() && Each->isCold(Now) ? 1 : 0;
  }
}

void endpoint_set::resizeBudget(service_state &Service) const {
  const auto Few = static_cast<std::uint32_t>(Sharers);
  Service.Budget.resize(Settings.Budget,
                        Service.IsSliced ? std::min(Few, Peers) : Peers);
}

std::size_t endpoint_set::limitOf(const service_state &Service) const {
  const double Users = Service.IsSliced ? static_cast<double>(Sharers) : Peers;
  const double Share = Service.MaxConnections * ConnectionShare / Users;
  return std::max<std::size_t>(1, static_cast<std::size_t>(Share));
}

void endpoint_set::open(endpoint_state &Endpoint, relay_actions &Out) const {
  const service_state &Service = *Services.at(Endpoint.listed().Service.Value);
  if (Service.MaxConnections == 0)
    return;
  const bool HasRoom = Service.MaxConnections * ConnectionShare >= Peers;
  Out.push_back(open_endpoint{Endpoint.number(), Endpoint.listed(),
                              Service.HealthPath, limitOf(Service),
                              !Service.IsSliced && HasRoom});
}

void endpoint_set::setSliced(const std::set<service_name> &Names,
                             std::size_t Count, relay_actions &Out) {
  const bool IsOtherCount = Count != Sharers;
  Sharers = Count;
  for (const service_name &Name : Names)
    service(Name);
  for (auto &[Name, Service] : Services) {
    const bool IsSliced = Names.count(Service->Name) > 0;
    if (IsSliced == Service->IsSliced && !(IsSliced && IsOtherCount))
      continue;
    Service->IsSliced = IsSliced;
    resizeBudget(*Service);
    for (const endpoint_no No : Service->Endpoints)
      open(*Endpoints.at(No), Out);
  }
}

void endpoint_set::install(const catalog &Catalog, relay_actions &Out) {
  for (const relay::service &Each : Catalog.Services) {
    service_state &State = service(Each.Name);
    const bool IsChanged = State.MaxConnections != Each.MaxConnections ||
                           State.HealthPath != Each.HealthPath;
    State.HealthPath = Each.HealthPath;
    State.MaxConnections = Each.MaxConnections;
    State.ColdRate = Each.ColdRate;
    if (!IsChanged)
      continue;
    for (const endpoint_no No : State.Endpoints)
      open(*Endpoints.at(No), Out);
  }
}

void endpoint_set::install(const directory_change &Change, instant AsOf,
                           instant Now, relay_actions &Out) {
  const bool IsNext =
      Change.isWhole() ? !(Change.Order < Order) : Change.Base == Order;
  if (!IsNext)
    return;
  Order = Change.Order;
  for (const listed_endpoint &Entry : Change.Endpoints) {
    const auto Known = ByIdentity.find(Entry.Identity);
    if (Known == ByIdentity.end())
      add(Entry, AsOf, Out);
    else
      refresh(*Endpoints.at(Known->second), Entry, AsOf, Now, Out);
  }
  for (const endpoint_identity &Identity :
       Change.isWhole() ? identitiesBeside(Change.Endpoints) : Change.Gone) {
    const auto Known = ByIdentity.find(Identity);
    if (Known != ByIdentity.end())
      remove(*Endpoints.at(Known->second), Out);
  }
  dropRetired();
}

/// Endpoints that are known and not among these.
std::vector<endpoint_identity> endpoint_set::identitiesBeside(
    const std::vector<listed_endpoint> &Named) const {
  std::set<endpoint_identity> Kept;
  for (const listed_endpoint &Each : Named)
    Kept.insert(Each.Identity);
  std::vector<endpoint_identity> Out;
  for (const auto &[Identity, No] : ByIdentity)
    if (!Kept.count(Identity))
      Out.push_back(Identity);
  return Out;
}

void endpoint_set::add(const listed_endpoint &Entry, instant AsOf,
                       relay_actions &Out) {
  const endpoint_no No{++LastNumber};
  auto State = std::make_unique<endpoint_state>(No, Entry);
  State->update(Entry, AsOf);
  State->setZoneOut(ZonesOut.count(Entry.Zone) > 0);
  service(Entry.Service).Endpoints.push_back(No);
  ByIdentity[Entry.Identity] = No;
  Out.push_back(note(*State, endpoint_state_change::listed, Entry.ColdFor));
  open(*State, Out);
  Endpoints.emplace(No, std::move(State));
}

void endpoint_set::refresh(endpoint_state &Endpoint,
                           const listed_endpoint &Entry, instant AsOf,
                           instant Now, relay_actions &Out) {
  const bool WasLeaving = Endpoint.listed().IsLeaving;
  const bool WasCold = Endpoint.isCold(Now);
  Endpoint.update(Entry, AsOf);
  if (Entry.IsLeaving && !WasLeaving)
    Out.push_back(note(Endpoint, endpoint_state_change::leaving));
  if (Endpoint.isCold(Now) && !WasCold)
    Out.push_back(note(Endpoint, endpoint_state_change::cold, Entry.ColdFor));
}

void endpoint_set::remove(endpoint_state &Endpoint, relay_actions &Out) {
  Endpoint.retire();
  ByIdentity.erase(Endpoint.listed().Identity);
  Suspects.erase(Endpoint.number());
  std::erase(service(Endpoint.listed().Service).Endpoints, Endpoint.number());
  Out.push_back(note(Endpoint, endpoint_state_change::gone));
  Out.push_back(close_endpoint{Endpoint.number()});
}

void endpoint_set::dropRetired() {
  std::erase_if(Endpoints, [](const auto &Item) {
    return Item.second->isGone() && Item.second->inFlight() == 0;
  });
}

void endpoint_set::setZonesOut(const std::set<std::string> &Zones,
                               instant Now) {
  for (auto &[No, Endpoint] : Endpoints) {
    const std::string &Zone = Endpoint->listed().Zone;
    const bool Returns = ZonesOut.count(Zone) && !Zones.count(Zone);
    Endpoint->setZoneOut(Zones.count(Zone) > 0);
    // It may have turned cold while it got no work.
    if (Returns && !Endpoint->isGone()) {
      Endpoint->suspect(Now);
      Suspects.insert(No);
    }
  }
  ZonesOut = Zones;
}

void endpoint_set::setPeers(std::uint32_t Count, relay_actions &Out) {
  if (Count == Peers || Count == 0)
    return;
  Peers = Count;
  for (auto &[Name, Service] : Services) {
    resizeBudget(*Service);
    for (const endpoint_no No : Service->Endpoints)
      open(*Endpoints.at(No), Out);
  }
}

double endpoint_set::cost(const endpoint_state &Endpoint, millis Typical,
                          instant Now) {
  double Cost = Endpoint.expectedLatency(Typical, Now).Count;
  Cost += Typical.Count * FailureCost * Endpoint.expectedFailures(Now);
  const millis Waits = Endpoint.oldestWait(Now);
  if (Waits > Typical * StallFactor)
    Cost += Waits.Count;
  if (Endpoint.listed().Zone != Settings.Zone)
    Cost = Cost * OtherZoneFactor + OtherZoneCost.Count;
  const double Share = static_cast<double>(Random() % 1024) / 1024;
  return Cost * (1 + Jitter * Share);
}

/// Whether nothing is gained by another zone, whose bytes cost.
bool endpoint_set::isGoodEnough(const endpoint_state &Endpoint,
                                const wanted_reply &Wanted, instant Now) const {
  return Endpoint.listed().Zone == Settings.Zone &&
         Endpoint.expectedLatency(Wanted.Typical, Now) <= Wanted.InGoodTime &&
         Endpoint.oldestWait(Now) <= Wanted.Typical * StallFactor &&
         Endpoint.expectedFailures(Now) <= FewFailures;
}

endpoint_state *endpoint_set::choose(const service_state &Service,
                                     const std::vector<endpoint_no> &Tried,
                                     const wanted_reply &Wanted, instant Now) {
  endpoint_state *Best = nullptr;
  double BestCost = 0;
  bool IsBestGood = false;
  const std::size_t Limit = limitOf(Service);
  for (const endpoint_no No : Service.Endpoints) {
    endpoint_state &Each = *Endpoints.at(No);
    if (contains(Tried, No) || !Each.isOpen(Limit, Now) ||
        Now + Each.expectedLatency(Wanted.Typical, Now) > Wanted.By)
      continue;
    const bool IsGood = isGoodEnough(Each, Wanted, Now);
    const double Cost = cost(Each, Wanted.Typical, Now);
    const bool IsBetter =
        IsGood != IsBestGood ? IsGood : !Best || Cost < BestCost;
    if (!IsBetter)
      continue;
    Best = &Each;
    BestCost = Cost;
    IsBestGood = IsGood;
  }
  return Best;
}

bool endpoint_set::canServe(const service_state &Service, millis Typical,
                            instant By, instant Now) const {
  const std::size_t Limit = limitOf(Service);
  return std::any_of(Service.Endpoints.begin(), Service.Endpoints.end(),
                     [&](endpoint_no No) {
                       const endpoint_state &Each = *Endpoints.at(No);
                       if (Each.isBarred(Now) || Each.isDown())
                         return false;
                       return Each.isOpen(Limit, Now) ||
                              Now + Each.expectedLatency(Typical, Now) <= By;
                     });
}

availability
endpoint_set::available(const service_state &Service, instant Now,
                        const std::vector<endpoint_no> &Tried) const {
  availability Found = availability::none;
  const std::size_t Limit = limitOf(Service);
  for (const endpoint_no No : Service.Endpoints) {
    if (contains(Tried, No))
      continue;
    const endpoint_state &Each = *Endpoints.at(No);
    if (Each.isOpen(Limit, Now))
      return availability::open;
    if (!Each.isBarred(Now) && !Each.isDown())
      Found = availability::busy;
  }
  return Found;
}

void endpoint_set::suspect(endpoint_state &Endpoint, instant Now,
                           relay_actions &Out) {
  Endpoint.suspect(Now);
  if (Endpoint.isGone() || !Suspects.insert(Endpoint.number()).second)
    return;
  Out.push_back(note(Endpoint, endpoint_state_change::suspected));
}

void endpoint_set::probe(instant Now, relay_actions &Out) {
  for (const endpoint_no No : Suspects) {
    endpoint_state &Each = *Endpoints.at(No);
    if (Each.isBarred(Now) || !Each.wantsProbe(Now))
      continue;
    Each.probeSent(Now);
    Out.push_back(probe_endpoint{No});
  }
}

instant endpoint_set::nextProbe() const {
  instant Next = Never;
  for (const endpoint_no No : Suspects)
    Next = std::min(Next, Endpoints.at(No)->nextProbe());
  return Next;
}

void endpoint_set::on(const probe_ended &Event, instant Now,
                      relay_actions &Out) {
  endpoint_state *Endpoint = find(Event.Endpoint);
  if (!Endpoint)
    return;
  const std::string &Expected = Endpoint->listed().Identity.Instance;
  const bool IsSame = Event.Instance.empty() || Event.Instance == Expected;
  const bool IsHealthy = Event.IsHealthy && IsSame;
  Endpoint->probeEnded(IsHealthy, Now);
  if (IsHealthy && Event.ColdFor > millis{0}) {
    Endpoint->learnCold(Event.ColdFor, Now);
    Out.push_back(note(*Endpoint, endpoint_state_change::cold, Event.ColdFor));
  }
  if (IsHealthy)
    Suspects.erase(Event.Endpoint);
  if (IsHealthy)
    Out.push_back(note(*Endpoint, endpoint_state_change::probe_succeeded));
  else if (Endpoint->failedProbes() == 1) // the others change nothing
    Out.push_back(note(*Endpoint, endpoint_state_change::probe_failed));
}

} // namespace bulrush::relay
