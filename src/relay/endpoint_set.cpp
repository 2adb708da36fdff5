#include "relay/endpoint_set.h"

#include "bulrushtray/endpoint_pause.h"

#include <algorithm>

namespace bulrush::relay {

namespace {

/// Share of an endpoint's `MaxConnections` that all relays together use.
constexpr double UsableConnectionShare = 0.9;
/// Cost added at a failure rate of 1, as a multiple of the typical latency.
constexpr double FailurePenalty = 6;
/// An endpoint counts as stalled once its oldest request in flight is older
/// than this multiple of the typical latency.
constexpr double StallFactor = 2.5;
/// An endpoint with a higher failure rate is not preferred, even in the local
/// zone.
constexpr double MaxPreferredFailureRate = 0.1;
/// Extra cost of an endpoint in another zone, because traffic between zones is
/// costly: a fixed amount and a factor.
constexpr millis CrossZonePenalty{1.5};
constexpr double CrossZoneFactor = 1.25;
/// Random increase of the cost, at most this share, so that relays do not all
/// switch to the same endpoint.
constexpr double CostJitter = 0.15;
/// A relay that sends a limited endpoint more asks for a turn in advance while
/// other endpoints serve its requests; with less, the turn would lapse.
constexpr request_rate MinDemandToAsk{2};
/// How far in advance such a turn may be.
constexpr millis TurnAdvance{50};
/// How long a probe waits for a turn before it asks again.
constexpr millis MaxProbeWait{1000};
/// How long an announcement of an unlisted endpoint is remembered.
constexpr millis AnnouncementMemory{600'000};

bool contains(const std::vector<endpoint_no> &Set, endpoint_no No) {
  return std::find(Set.begin(), Set.end(), No) != Set.end();
}

} // namespace

endpoint_set::endpoint_set(const relay_settings &Settings, std::uint64_t Seed)
    : Settings(Settings), Seed(Seed),
      Random(static_cast<std::uint32_t>(Seed | 1)) {}

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
  const role_set Roles = Service.Split ? Service.Split->used() : AllRoles;
  for (const endpoint_no No : Service.Endpoints) {
    endpoint_state &Each = *Endpoints.at(No);
    const listed_endpoint &Listed = Each.listed();
    if (Listed.Zone == Settings.Zone && !Each.isLeaving() &&
        Roles.contains(Each.versionRole()) && Each.markPreconnected())
      Out.push_back(preconnect_endpoint{No});
  }
}

std::vector<std::string>
endpoint_set::zonesOf(const service_name &Service) const {
  const auto Known = Services.find(Service.Value);
  if (Known == Services.end())
    return {};
  if (!Known->second->Split)
    return zonesOf(AllRoles, *Known->second);
  // Assumes touch with the leader: relays plan alike whether they are or not.
  const version_choice Choice = Known->second->Split->choose(false, true);
  const auto Preferred = zonesOf(Choice.Preferred, *Known->second);
  return Preferred.empty() ? zonesOf(Choice.Otherwise, *Known->second)
                           : Preferred;
}

std::vector<std::string>
endpoint_set::zonesOf(role_set Roles, const service_state &Service) const {
  std::vector<std::string> Out;
  for (const endpoint_no No : Service.Endpoints) {
    const endpoint_state &Each = *Endpoints.at(No);
    const listed_endpoint &Listed = Each.listed();
    const bool IsUsable = Roles.contains(Each.versionRole()) &&
                          !Each.isLeaving() && !ZonesOut.count(Listed.Zone);
    if (IsUsable && std::find(Out.begin(), Out.end(), Listed.Zone) == Out.end())
      Out.push_back(Listed.Zone);
  }
  return Out;
}

void endpoint_set::count(std::size_t &Listed, std::size_t &Cold,
                         std::size_t &Suspected, instant Now) const {
  Suspected = Suspects.size();
  for (const auto &[No, Each] : Endpoints) {
    Listed += Each->isRemoved() ? 0 : 1;
    Cold += !Each->isRemoved() && Each->isCold(Now) ? 1 : 0;
  }
}

/// Relays that send requests to the service, this one included.
std::uint32_t endpoint_set::sharingRelays(const service_state &Service) const {
  const auto PerShard = static_cast<std::uint32_t>(RelaysPerShard);
  return Service.IsSliced ? std::min(PerShard, RelayCount) : RelayCount;
}

/// Relays that share the slack of the service's retry budget; 0: this relay has
/// no part of it.
std::uint32_t endpoint_set::budgetShares(const service_state &Service) const {
  if (!IsRelayCountKnown)
    return 0;
  const std::set<vm_id> &Planned = Service.PlannedRelays;
  if (Planned.empty())
    return RelayCount;
  return Planned.count(Settings.Self)
             ? static_cast<std::uint32_t>(Planned.size())
             : 0;
}

void endpoint_set::resizeBudget(service_state &Service) const {
  Service.Budget.resize(Settings.Budget, budgetShares(Service));
  if (Service.Split)
    Service.Split->setRelayCount(std::max(sharingRelays(Service), 1U));
}

void endpoint_set::setPlannedRelays(
    const std::map<service_name, std::set<vm_id>> &Planned) {
  for (const auto &[Name, Relays] : Planned)
    service(Name);
  for (auto &[Name, Service] : Services) {
    const auto Found = Planned.find(Service->Name);
    const std::set<vm_id> New =
        Found == Planned.end() ? std::set<vm_id>{} : Found->second;
    if (New == Service->PlannedRelays)
      continue;
    Service->PlannedRelays = New;
    resizeBudget(*Service);
  }
}

std::size_t endpoint_set::connectionLimit(const service_state &Service) const {
  const double Relays =
      Service.IsSliced ? static_cast<double>(RelaysPerShard) : RelayCount;
  const double Share = Service.MaxConnections * UsableConnectionShare / Relays;
  return std::max<std::size_t>(1, static_cast<std::size_t>(Share));
}

void endpoint_set::emitOpen(endpoint_state &Endpoint,
                            relay_actions &Out) const {
  const service_state &Service = *Services.at(Endpoint.listed().Service.Value);
  if (Service.MaxConnections == 0)
    return;
  const bool AllRelaysFit =
      Service.MaxConnections * UsableConnectionShare >= RelayCount;
  Out.push_back(open_endpoint{Endpoint.number(), Endpoint.listed(),
                              Service.HealthPath, connectionLimit(Service),
                              !Service.IsSliced && AllRelaysFit});
}

void endpoint_set::setSlicedServices(const std::set<service_name> &Names,
                                     std::size_t Count, relay_actions &Out) {
  const bool IsCountChanged = Count != RelaysPerShard;
  RelaysPerShard = Count;
  for (const service_name &Name : Names)
    service(Name);
  for (auto &[Name, Service] : Services) {
    const bool IsSliced = Names.count(Service->Name) > 0;
    if (IsSliced == Service->IsSliced && !(IsSliced && IsCountChanged))
      continue;
    Service->IsSliced = IsSliced;
    resizeBudget(*Service);
    for (const endpoint_no No : Service->Endpoints)
      emitOpen(*Endpoints.at(No), Out);
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
      emitOpen(*Endpoints.at(No), Out);
  }
}

void endpoint_set::install(const directory_change &Change, instant AsOf,
                           instant Now, relay_actions &Out) {
  const bool IsNext =
      Change.isFull() ? !(Change.Version < Version) : Change.Base == Version;
  if (!IsNext)
    return;
  Version = Change.Version;
  for (const listed_endpoint &Entry : Change.Endpoints) {
    const auto Known = ByIdentity.find(Entry.Identity);
    if (Known == ByIdentity.end())
      add(Entry, AsOf, Out);
    else
      refresh(*Endpoints.at(Known->second), Entry, AsOf, Now, Out);
  }
  for (const endpoint_identity &Identity :
       Change.isFull() ? identitiesNotIn(Change.Endpoints) : Change.Removed) {
    const auto Known = ByIdentity.find(Identity);
    if (Known != ByIdentity.end())
      remove(*Endpoints.at(Known->second), Out);
  }
  for (auto &[Name, Service] : Services)
    if (Service->Split)
      updateRoles(*Service, Out);
  eraseRemoved();
}

std::vector<endpoint_identity> endpoint_set::identitiesNotIn(
    const std::vector<listed_endpoint> &Listed) const {
  std::set<endpoint_identity> Kept;
  for (const listed_endpoint &Each : Listed)
    Kept.insert(Each.Identity);
  std::vector<endpoint_identity> Out;
  for (const auto &[Identity, No] : ByIdentity)
    if (!Kept.count(Identity))
      Out.push_back(Identity);
  return Out;
}

void endpoint_set::add(const listed_endpoint &Entry, instant AsOf,
                       relay_actions &Out) {
  const endpoint_no No{++LastEndpointNo};
  auto State = std::make_unique<endpoint_state>(No, Entry);
  State->update(Entry, AsOf, Settings.ListLag);
  noteVerification(*State);
  State->setZoneOut(ZonesOut.count(Entry.Zone) > 0);
  if (LeavingSince.count(Entry.Identity))
    State->announceLeaving();
  service(Entry.Service).Endpoints.push_back(No);
  ByIdentity[Entry.Identity] = No;
  Out.push_back(
      makeLogEvent(*State, endpoint_state_change::listed, Entry.ColdFor));
  emitOpen(*State, Out);
  Endpoints.emplace(No, std::move(State));
}

void endpoint_set::refresh(endpoint_state &Endpoint,
                           const listed_endpoint &Entry, instant AsOf,
                           instant Now, relay_actions &Out) {
  const bool WasLeaving = Endpoint.listed().IsLeaving;
  const bool WasCold = Endpoint.isCold(Now);
  Endpoint.update(Entry, AsOf, Settings.ListLag);
  noteVerification(Endpoint);
  if (Entry.IsLeaving && !WasLeaving) {
    Out.push_back(makeLogEvent(Endpoint, endpoint_state_change::leaving));
    Out.push_back(withdraw_attempts{Endpoint.number()});
  }
  if (Endpoint.isCold(Now) && !WasCold) {
    Out.push_back(
        makeLogEvent(Endpoint, endpoint_state_change::cold, Entry.ColdFor));
    Out.push_back(withdraw_attempts{Endpoint.number()});
  }
}

void endpoint_set::noteVerification(const endpoint_state &Endpoint) {
  if (!Endpoint.isVerified() && !Endpoint.isRemoved())
    Unverified.insert(Endpoint.number());
}

void endpoint_set::remove(endpoint_state &Endpoint, relay_actions &Out) {
  Endpoint.markRemoved();
  ByIdentity.erase(Endpoint.listed().Identity);
  Suspects.erase(Endpoint.number());
  Unverified.erase(Endpoint.number());
  Limited.erase(Endpoint.number());
  Asking.erase(Endpoint.number());
  std::erase(service(Endpoint.listed().Service).Endpoints, Endpoint.number());
  Out.push_back(makeLogEvent(Endpoint, endpoint_state_change::gone));
  Out.push_back(close_endpoint{Endpoint.number()});
}

void endpoint_set::eraseRemoved() {
  std::erase_if(Endpoints, [](const auto &Item) {
    return Item.second->isRemoved() && Item.second->inFlight() == 0;
  });
}

void endpoint_set::setZonesOut(const std::set<std::string> &Zones,
                               instant Now) {
  for (auto &[No, Endpoint] : Endpoints) {
    const std::string &Zone = Endpoint->listed().Zone;
    const bool IsBackInService = ZonesOut.count(Zone) && !Zones.count(Zone);
    Endpoint->setZoneOut(Zones.count(Zone) > 0);
    // The endpoint may have turned cold while its zone was out of service, so
    // it is probed first.
    if (IsBackInService && !Endpoint->isRemoved()) {
      Endpoint->markSuspect(Now);
      Suspects.insert(No);
    }
  }
  ZonesOut = Zones;
}

void endpoint_set::setRelayCount(std::uint32_t Count, instant Now,
                                 relay_actions &Out) {
  if (Count == 0 || (Count == RelayCount && IsRelayCountKnown))
    return;
  RelayCount = Count;
  IsRelayCountKnown = true;
  for (const endpoint_no No : Limited) {
    endpoint_state &Endpoint = *Endpoints.at(No);
    Endpoint.turns().setEvenShare(evenShare(Endpoint.rateLimit()->Rate), Now);
  }
  for (auto &[Name, Service] : Services) {
    resizeBudget(*Service);
    for (const endpoint_no No : Service->Endpoints)
      emitOpen(*Endpoints.at(No), Out);
  }
}

/// Estimated latency plus penalties, in milliseconds: for expected failures,
/// for a stalled endpoint and for another zone.
double endpoint_set::cost(const endpoint_state &Endpoint, millis TypicalLatency,
                          instant Now) {
  double Cost = Endpoint.expectedLatency(TypicalLatency, Now).Count;
  Cost +=
      TypicalLatency.Count * FailurePenalty * Endpoint.expectedFailureRate(Now);
  const millis OldestAge = Endpoint.oldestInFlightAge(Now);
  if (OldestAge > TypicalLatency * StallFactor)
    Cost += OldestAge.Count;
  if (Endpoint.listed().Zone != Settings.Zone)
    Cost = Cost * CrossZoneFactor + CrossZonePenalty.Count;
  const double Share = static_cast<double>(Random() % 1024) / 1024;
  return Cost * (1 + CostJitter * Share);
}

/// Whether the endpoint is local, fast enough, not stalled and rarely fails. A
/// request to another zone would then gain nothing and cause costly traffic.
bool endpoint_set::isPreferred(const endpoint_state &Endpoint,
                               const reply_timing &Timing, instant Now) const {
  return Endpoint.listed().Zone == Settings.Zone &&
         Endpoint.expectedLatency(Timing.TypicalLatency, Now) <=
             Timing.PreferredLatency &&
         Endpoint.oldestInFlightAge(Now) <=
             Timing.TypicalLatency * StallFactor &&
         Endpoint.expectedFailureRate(Now) <= MaxPreferredFailureRate;
}

/// Whether a reply is expected by `LatestAt`.
bool endpoint_set::isInTime(const endpoint_state &Endpoint,
                            const reply_timing &Timing, instant Now) {
  const bool IsIdle = Endpoint.inFlight() == 0;
  const millis Expected =
      Timing.IgnoresPastSlowness && IsIdle
          ? Timing.TypicalLatency
          : Endpoint.expectedLatency(Timing.TypicalLatency, Now);
  return Now + Expected <= Timing.LatestAt;
}

endpoint_state *endpoint_set::choose(const service_state &Service,
                                     const std::vector<endpoint_no> &Tried,
                                     const reply_timing &Timing, instant Now) {
  if (!Service.Split)
    return chooseOf(AllRoles, Service, Tried, Timing, Now);
  const version_choice Choice = choiceFor(Service, Timing.IsFirstAttempt, Now);
  endpoint_state *Best =
      chooseOf(Choice.Preferred, Service, Tried, Timing, Now);
  if (Best || !canReplace(Choice, Service, Tried, Timing, Now))
    return Best;
  return chooseOf(Choice.Otherwise, Service, Tried, Timing, Now);
}

endpoint_state *endpoint_set::chooseOf(role_set Roles,
                                       const service_state &Service,
                                       const std::vector<endpoint_no> &Tried,
                                       const reply_timing &Timing,
                                       instant Now) {
  candidate Best;
  candidate BestAtAnyRate;
  candidate BestToAsk;
  const std::size_t Limit = connectionLimit(Service);
  for (const endpoint_no No : Service.Endpoints) {
    endpoint_state &Each = *Endpoints.at(No);
    if (!Roles.contains(Each.versionRole()) || contains(Tried, No) ||
        !Each.canAcceptAtAnyRate(Limit, Now) || !isInTime(Each, Timing, Now))
      continue;
    const candidate New{&Each, cost(Each, Timing.TypicalLatency, Now),
                        isPreferred(Each, Timing, Now)};
    if (New.isBetterThan(BestAtAnyRate))
      BestAtAnyRate = New;
    if (Each.hasTurn(Now) && New.isBetterThan(Best))
      Best = New;
    const bool MayAsk =
        !Each.hasTurn(Now) && Each.rateLimit()->Turns.shouldAsk(Now);
    if (MayAsk && New.isBetterThan(BestToAsk))
      BestToAsk = New;
  }
  endpoint_state *Wanted = BestAtAnyRate.Endpoint;
  if (Wanted && Wanted->rateLimit() && Timing.IsFirstTry)
    Wanted->addDemand(Now);
  if (BestToAsk.Endpoint &&
      (!Best.Endpoint || isBusy(*BestToAsk.Endpoint, Now)))
    askForTurn(*BestToAsk.Endpoint,
               std::max(Timing.LatestSendAt, Now + TurnAdvance), Now);
  return Best.Endpoint;
}

/// Whether this relay sends the endpoint, which has a rate limit, so much that
/// a turn in advance would not lapse.
bool endpoint_set::isBusy(const endpoint_state &Endpoint, instant Now) {
  return Endpoint.rateLimit()->Demand.rate(Now) >= MinDemandToAsk;
}

bool endpoint_set::canServe(const service_state &Service, millis TypicalLatency,
                            instant LatestAt, instant Now) const {
  const std::size_t Limit = connectionLimit(Service);
  const role_set Roles =
      Service.Split ? choiceFor(Service, true, Now).all() : AllRoles;
  return std::any_of(
      Service.Endpoints.begin(), Service.Endpoints.end(), [&](endpoint_no No) {
        const endpoint_state &Each = *Endpoints.at(No);
        if (!Roles.contains(Each.versionRole()))
          return false;
        const instant PauseEnd = Each.pauseEnd(Now);
        if (PauseEnd < Never)
          return PauseEnd + Each.expectedLatency(TypicalLatency, Now) <=
                 LatestAt;
        if (Each.isExcluded(Now) || Each.isDown())
          return false;
        return Each.canAccept(Limit, Now) ||
               Now + Each.expectedLatency(TypicalLatency, Now) <= LatestAt;
      });
}

availability endpoint_set::available(const service_state &Service, instant Now,
                                     const std::vector<endpoint_no> &Tried,
                                     const reply_timing &Timing) const {
  if (!Service.Split)
    return availableOf(AllRoles, Service, Now, Tried);
  const version_choice Choice = choiceFor(Service, Timing.IsFirstAttempt, Now);
  const availability Preferred =
      availableOf(Choice.Preferred, Service, Now, Tried);
  if (Preferred == availability::open ||
      !canReplace(Choice, Service, Tried, Timing, Now))
    return Preferred;
  const availability Others =
      availableOf(Choice.Otherwise, Service, Now, Tried);
  return Others == availability::none ? Preferred : Others;
}

availability
endpoint_set::availableOf(role_set Roles, const service_state &Service,
                          instant Now,
                          const std::vector<endpoint_no> &Tried) const {
  availability Found = availability::none;
  const std::size_t Limit = connectionLimit(Service);
  for (const endpoint_no No : Service.Endpoints) {
    const endpoint_state &Each = *Endpoints.at(No);
    if (!Roles.contains(Each.versionRole()) || contains(Tried, No))
      continue;
    if (Each.canAccept(Limit, Now))
      return availability::open;
    if (!Each.isExcluded(Now) && !Each.isDown())
      Found = availability::busy;
  }
  return Found;
}

bool endpoint_set::isUnreachable(const service_state &Service, bool IsReachLost,
                                 bool IsFirstAttempt, instant Now) const {
  bool HasEligible = false;
  const role_set Roles =
      Service.Split ? choiceFor(Service, IsFirstAttempt, Now).all() : AllRoles;
  for (const endpoint_no No : Service.Endpoints) {
    const endpoint_state &Each = *Endpoints.at(No);
    if (!Roles.contains(Each.versionRole()) || Each.isExcluded(Now))
      continue;
    if (!IsReachLost && !Each.isDown())
      return false;
    HasEligible = true;
  }
  return HasEligible;
}

void endpoint_set::markSuspect(endpoint_state &Endpoint, instant Now,
                               relay_actions &Out) {
  Endpoint.markSuspect(Now);
  if (Endpoint.isRemoved() || !Suspects.insert(Endpoint.number()).second)
    return;
  Out.push_back(makeLogEvent(Endpoint, endpoint_state_change::suspected));
}

void endpoint_set::probeOthers(const std::set<endpoint_no> &Except,
                               std::size_t Count, instant Now,
                               relay_actions &Out) {
  if (ByIdentity.empty())
    return;
  auto Next = ByIdentity.begin();
  std::advance(Next, Random() % ByIdentity.size());
  for (std::size_t I = 0; I < ByIdentity.size() && Count > 0; ++I) {
    if (Next == ByIdentity.end())
      Next = ByIdentity.begin();
    endpoint_state &Each = *Endpoints.at((Next++)->second);
    if (Except.count(Each.number()) || Each.isExcluded(Now) ||
        Each.rateLimit() || Each.health() == health_status::suspect)
      continue;
    Out.push_back(probe_endpoint{Each.number()});
    --Count;
  }
}

bool endpoint_set::announceLeaving(const endpoint_identity &Identity,
                                   instant Now, relay_actions &Out) {
  if (!LeavingSince.emplace(Identity, Now).second)
    return false;
  forgetOldAnnouncements(Now);
  const auto Known = ByIdentity.find(Identity);
  if (Known == ByIdentity.end())
    return true;
  endpoint_state &Endpoint = *Endpoints.at(Known->second);
  Endpoint.announceLeaving();
  auto LogEvent =
      makeLogEvent(Endpoint, endpoint_state_change::announced_leaving);
  LogEvent.IsLastOfService = isLastOfService(Endpoint, Now);
  Out.push_back(std::move(LogEvent));
  Out.push_back(withdraw_attempts{Endpoint.number()});
  return true;
}

void endpoint_set::forgetOldAnnouncements(instant Now) {
  std::erase_if(LeavingSince, [&](const auto &Each) {
    return !ByIdentity.count(Each.first) &&
           Now - Each.second > AnnouncementMemory;
  });
}

bool endpoint_set::isLastOfService(const endpoint_state &Endpoint,
                                   instant Now) const {
  const service_state &Service = *Services.at(Endpoint.listed().Service.Value);
  const auto &Known = Service.Endpoints;
  return std::none_of(Known.begin(), Known.end(), [&](endpoint_no No) {
    const endpoint_state &Each = *Endpoints.at(No);
    return No != Endpoint.number() && !Each.isExcluded(Now) &&
           Service.UsedRoles.contains(Each.versionRole());
  });
}

std::vector<endpoint_identity>
endpoint_set::announcedLeaving(const std::vector<service_name> &Names) const {
  std::vector<endpoint_identity> Out;
  if (LeavingSince.empty())
    return Out;
  for (const service_name &Name : Names)
    for (const endpoint_no No : Services.at(Name.Value)->Endpoints)
      if (Endpoints.at(No)->hasAnnouncedLeaving())
        Out.push_back(Endpoints.at(No)->listed().Identity);
  return Out;
}

void endpoint_set::pause(endpoint_state &Endpoint, millis Time, instant Now,
                         relay_actions &Out) {
  const millis Bounded = endpointPause(Time);
  Endpoint.pauseUntil(Now + Bounded);
  auto LogEvent = makeLogEvent(Endpoint, endpoint_state_change::paused);
  LogEvent.PauseFor = Bounded;
  LogEvent.IsLastOfService = isLastOfService(Endpoint, Now);
  Out.push_back(std::move(LogEvent));
  Out.push_back(withdraw_attempts{Endpoint.number()});
}

instant
endpoint_set::nextPauseEnd(const service_state &Service, instant Now,
                           const std::vector<endpoint_no> &Tried) const {
  const role_set Roles =
      Service.Split ? choiceFor(Service, false, Now).all() : AllRoles;
  return nextPauseEndOf(Roles, Service, Now, Tried);
}

instant
endpoint_set::nextPauseEndOf(role_set Roles, const service_state &Service,
                             instant Now,
                             const std::vector<endpoint_no> &Tried) const {
  instant Next = Never;
  for (const endpoint_no No : Service.Endpoints)
    if (Roles.contains(Endpoints.at(No)->versionRole()) && !contains(Tried, No))
      Next = std::min(Next, Endpoints.at(No)->pauseEnd(Now));
  return Next;
}

void endpoint_set::reportInvalidRetryAfter(const endpoint_state &Endpoint,
                                           relay_actions &Out) {
  Out.push_back(
      makeLogEvent(Endpoint, endpoint_state_change::invalid_retry_after));
}

millis endpoint_set::drawTime(millis Max) {
  return Max * (static_cast<double>(Random() % 1024) / 1024);
}

void endpoint_set::startDueChecks(const service_state &Service, instant Now) {
  const role_set Roles = Service.Split ? Service.Split->used() : AllRoles;
  for (auto Next = Unverified.begin(); Next != Unverified.end();) {
    const endpoint_no No = *Next;
    endpoint_state &Each = *Endpoints.at(No);
    if (Each.isVerified()) {
      Next = Unverified.erase(Next);
      continue;
    }
    ++Next;
    if (Each.listed().Service != Service.Name || !Each.isCheckDue(Now) ||
        !Roles.contains(Each.versionRole()))
      continue;
    Each.startCheck(Now);
    Suspects.insert(No);
  }
}

std::vector<endpoint_no> endpoint_set::sendDueProbes(instant Now,
                                                     relay_actions &Out) {
  std::vector<endpoint_no> Probed;
  for (const endpoint_no No : Suspects) {
    endpoint_state &Each = *Endpoints.at(No);
    if (Each.rateLimit() && Each.isProbeDueAtAnyRate(Now) && !Each.hasTurn(Now))
      askForTurn(Each, Now + MaxProbeWait, Now);
    if (!Each.isProbeDue(Now))
      continue;
    Each.onProbeSent(Now);
    Out.push_back(probe_endpoint{No});
    Probed.push_back(No);
  }
  return Probed;
}

instant endpoint_set::nextProbe(instant Now) const {
  instant Next = Never;
  for (const endpoint_no No : Suspects)
    Next = std::min(Next, Endpoints.at(No)->nextProbe(Now));
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
  if (IsSame && Event.ColdFor) {
    const bool WasCold = Endpoint->isCold(Now);
    Endpoint->setColdFor(*Event.ColdFor, Now);
    noteVerification(*Endpoint);
    if (Endpoint->isCold(Now))
      Out.push_back(
          makeLogEvent(*Endpoint, endpoint_state_change::cold, *Event.ColdFor));
    if (Endpoint->isCold(Now) && !WasCold)
      Out.push_back(withdraw_attempts{Endpoint->number()});
  }
  if (IsHealthy)
    Endpoint->onHealthy(Now);
  // A probe that only tests this relay's reach leaves the health as it is.
  const bool WasSuspect = Endpoint->isProbing();
  if (WasSuspect)
    Endpoint->onProbeEnded(IsHealthy, Now);
  if (IsSame && Event.IsLeaving)
    announceLeaving(Endpoint->listed().Identity, Now, Out);
  if (IsSame && Event.RetryAfter > millis{0})
    pause(*Endpoint, Event.RetryAfter, Now, Out);
  if (IsSame && Event.RateLimit)
    onRateLimit(*Endpoint, Event.RateLimit, Now, Now, Out);
  if (!WasSuspect)
    return;
  if (IsHealthy)
    Suspects.erase(Event.Endpoint);
  if (IsHealthy)
    Out.push_back(
        makeLogEvent(*Endpoint, endpoint_state_change::probe_succeeded));
  else if (Endpoint->failedProbes() == 1) // later failures change nothing
    Out.push_back(makeLogEvent(*Endpoint, endpoint_state_change::probe_failed));
}

} // namespace bulrush::relay
