#include "relay/relay.h"

#include "relay/relay_impl.h"

#include <algorithm>
#include <utility>

namespace bulrush::relay {

namespace {

/// The client still has so much time when the last answer leaves.
constexpr millis DeadlineMargin{4};
/// What a whole core takes before the decisions about a request and after them:
/// reading it, the last replies, writing the answer.
constexpr millis OwnWork{0.85};
/// A request that no endpoint could take is refused after this share of its
/// objective; held longer, its client could not come back in time.
constexpr double GiveUpShare = 0.2;
/// A hedge leaves in time to be answered within the objective.
constexpr double LatestHedgeShare = 0.45;
constexpr millis LeastHedgeDelay{4};
constexpr double MedianFactor = 2.5;
/// A relay that was asked says something by 0.3 of the objective; one that was
/// not heard by then does not answer in time.
constexpr double RepeatShare = 0.5;
/// Waiting requests that are looked at when an endpoint may have room.
constexpr std::size_t MaxRetried = 8;
/// No request wakes the relay by this name: suspects and late attempts do.
constexpr query_id Housekeeping{0};

} // namespace

relay::relay(relay_settings Settings, std::uint64_t Seed)
    : Impl(std::make_unique<impl>(std::move(Settings), Seed)) {}
relay::~relay() = default;
relay::relay(relay &&) noexcept = default;
relay &relay::operator=(relay &&) noexcept = default;

void relay::step(const relay_event &Event, instant Now, relay_actions &Out) {
  Impl->step(Event, Now, Out);
}
std::size_t relay::active() const { return Impl->active(); }
bool relay::isReady() const { return Impl->isReady(); }
catalog_version relay::version() const { return Impl->version(); }
relay_gauges relay::gauges(instant Now) const { return Impl->gauges(Now); }

relay::impl::impl(relay_settings Given, std::uint64_t Seed)
    : Settings(std::move(Given)), Endpoints(Settings, Seed),
      Slices({}, Settings.Self, Settings.Zone) {}

void relay::impl::step(const relay_event &Event, instant At,
                       relay_actions &Actions) {
  Now = At;
  Out = &Actions;
  Starting.noteTime(Now);
  std::visit([this](const auto &Each) { on(Each); }, Event);
  Endpoints.probe(Now, Actions);
  armTimer();
  Out = nullptr;
}

void relay::impl::on(const request_arrived &Event) {
  if (isReady())
    admit(Event, Now);
  else if (!Starting.add(Event, Now))
    refuseUnrouted(Event, Now, 503, relay_refusal::no_catalog);
}

/// What waited for the catalog and the directory, in the order of its arrival.
void relay::impl::admitStarting() {
  if (!isReady())
    return;
  for (const start_queue::ask_entry &Each : Starting.takeAsks())
    admit(Each.Event, Each.ArrivedAt);
  for (const start_queue::entry &Each : Starting.takeAll())
    admit(Each.Event, Each.ArrivedAt);
}

void relay::impl::admit(const request_arrived &Event, instant ArrivedAt) {
  const route *Route = Table->find(Event.Content->Host, Event.Content->Target);
  if (!Route) {
    refuseUnrouted(Event, ArrivedAt, 404, relay_refusal::no_route);
    return;
  }
  auto Owned = std::make_unique<request_work>();
  request_work &Work = *Owned;
  Works[Event.Request] = std::move(Owned);
  Work.Request = Event.Request;
  Work.Content = Event.Content;
  Work.Table = Table;
  Work.Route = Route;
  Work.Learnt =
      &Routes.try_emplace(Route->Host + Route->PathPrefix, Route->Objective)
           .first->second;
  setTimes(Work, ArrivedAt, Event.Patience, Event.Client);
  if (Work.isGathered()) {
    for (const service_name &Shard : Route->Gather.Shards)
      Work.Parts.emplace_back().Service = &Endpoints.service(Shard);
    if (!canCover(Work)) {
      refuse(Work, relay_refusal::few_shards);
      return;
    }
  } else {
    Work.Parts.emplace_back().Service = &Endpoints.service(pickTarget(Work));
  }
  scatter(Work);
  settle(Work);
}

/// When a reply is later than most. While many endpoints are slow most replies
/// are late, and a multiple of the median tells.
millis relay::impl::hedgeDelay(const route_state &Learnt, millis Objective) {
  const millis Usual =
      std::min(Learnt.Slow.value(), Learnt.Median.value() * MedianFactor);
  return std::min(std::max(LeastHedgeDelay, Usual),
                  Objective * LatestHedgeShare);
}

/// What a client's clock counts beside the time here. A new connection takes a
/// round trip to open.
millis relay::impl::travelOf(client_distance Client) const {
  if (Client.RoundTrip <= millis{0})
    return Settings.ClientTravel;
  const double Trips = Client.IsOnNewConnection ? 2 : 1;
  return Client.RoundTrip * Trips + OwnWork * (1 / Settings.Cores);
}

/// A request that has waited past its objective has as long as a new one.
void relay::impl::setTimes(request_work &Work, instant ArrivedAt,
                           millis Patience, client_distance Client) const {
  const route &Route = *Work.Route;
  millis Left = Route.Timeout;
  if (Patience > millis{0})
    Left = std::min(Left, Patience);
  Work.ArrivedAt = ArrivedAt;
  Work.Deadline =
      std::max(Now + millis{1}, ArrivedAt + (Left - DeadlineMargin));
  const millis Answered = Route.Objective - travelOf(Client);
  const instant Wanted = ArrivedAt + Answered;
  Work.AnswerBy =
      std::min(Wanted > Now ? Wanted : Now + Answered, Work.Deadline);
  Work.GiveUpAt = Now + Route.Objective * GiveUpShare;
  Work.HedgeAt = Now + hedgeDelay(*Work.Learnt, Route.Objective);
  Work.RepeatAt = Now + Route.Objective * RepeatShare;
  Work.Note.RequestId = Work.Content->RequestId;
  Work.Note.Route = Route.Name;
  Work.Note.Objective = Route.Objective;
  Work.Note.Version = version();
  Work.Note.Shards = static_cast<std::uint32_t>(Route.Gather.Shards.size());
}

/// Each target's credit grows by its weight; the one with the most is picked
/// and pays for all. Shares come out exactly, and evenly in time.
service_name relay::impl::pickTarget(request_work &Work) const {
  const auto &Targets = Work.Route->Targets;
  if (Targets.size() == 1)
    return Targets.front().Service;
  double Sum = 0;
  const weighted_service *Picked = nullptr;
  auto &Credits = Work.Learnt->Credits;
  for (const weighted_service &Each : Targets) {
    Sum += Each.Weight;
    Credits[Each.Service.Value] += Each.Weight;
    if (Each.Weight <= 0)
      continue;
    if (!Picked || Credits[Each.Service.Value] > Credits[Picked->Service.Value])
      Picked = &Each;
  }
  Credits[Picked->Service.Value] -= Sum;
  return Picked->Service;
}

/// Whether enough shards can be served; notes those that cannot.
bool relay::impl::canCover(request_work &Work) const {
  std::uint32_t Servable = 0;
  for (const request_part &Part : Work.Parts) {
    if (Endpoints.canServe(*Part.Service, Work.Learnt->Median.value(),
                           Work.AnswerBy, Now))
      ++Servable;
    else if (Work.Note.Lacking.size() < MaxLacking)
      Work.Note.Lacking.push_back(Part.Service->Name);
  }
  return Servable >= Work.leastCovered();
}

void relay::impl::on(const attempt_ended &Event) {
  const auto Found = Attempts.find(Event.Attempt);
  if (Found == Attempts.end())
    return;
  const attempt_place Place = Found->second;
  Attempts.erase(Found);
  request_work *Work = find(Place.Request);
  const attempt_verdict Verdict = verdictOf(Work, Event);
  const millis Took = Now - Place.SentAt;
  endpoint_state *Endpoint = Endpoints.find(Place.Endpoint);
  if (Endpoint && Endpoint->ended(Event.Attempt, Verdict,
                                  Place.Learnt->Median.value(), Now))
    Endpoints.suspect(*Endpoint, Now, *Out);
  if (Verdict == attempt_verdict::success)
    observe(*Place.Learnt, Took);
  if (!Work) {
    std::erase_if(Lingering, [&](const lingering_attempt &Each) {
      return Each.Attempt == Event.Attempt;
    });
    return;
  }
  request_part &Part = Work->Parts[Place.Part];
  std::erase_if(Part.Running, [&](const running_attempt &Each) {
    return Each.Attempt == Event.Attempt;
  });
  if (Verdict != attempt_verdict::success)
    noteAttempt(*Work, Part, Endpoint, Verdict, Event, Took);
  takeReply(*Work, Part, Place.Endpoint, Event);
  settle(*Work);
  retryWaiting();
}

void relay::impl::on(const client_left &Event) {
  request_work *Work = find(Event.Request);
  if (!Work) {
    Starting.remove(Event.Request);
    return;
  }
  Work->Note.ClientLeft = true;
  Work->Note.Took = Now - Work->ArrivedAt;
  Work->Note.Covered = Work->covered();
  Out->push_back(Work->Note);
  forget(*Work, false);
}

void relay::impl::on(const probe_ended &Event) {
  Endpoints.on(Event, Now, *Out);
  retryWaiting();
}

void relay::impl::on(const catalog_arrived &Event) {
  if (Table && Event.Catalog->Version <= Table->content().Version)
    return;
  Table = std::make_shared<const route_table>(Event.Catalog);
  noteSliced();
  Endpoints.install(*Event.Catalog, *Out);
  warmSlices();
  admitStarting();
}

void relay::impl::on(const directory_arrived &Event) {
  HasDirectory = true;
  Endpoints.install(*Event.Change, Now - Event.Age, Now, *Out);
  Slices.forgetPlaces();
  warmSlices();
  admitStarting();
  retryWaiting();
}

void relay::impl::on(const zones_out_arrived &Event) {
  Endpoints.setZonesOut(Event.Zones, Now);
  Slices.forgetPlaces();
}

void relay::impl::on(const peers_counted &Event) {
  Endpoints.setPeers(Event.Count, *Out);
}

void relay::impl::on(const timer_fired &) {
  Wakes.disarm();
  if (Now >= HousekeepingAt)
    HousekeepingAt = Never;
  cancelLingering();
  for (const start_queue::entry &Each : Starting.takeOverdue(Now))
    refuseUnrouted(Each.Event, Each.ArrivedAt, 503, relay_refusal::no_catalog);
  while (const auto Next = Wakes.front()) {
    if (Next->At > Now)
      break;
    Wakes.pop();
    if (request_work *Work = find(Next->Query))
      lookAt(*Work);
  }
}

/// Does what is due for a request.
void relay::impl::lookAt(request_work &Work) {
  if (Now < Work.WakeAt)
    return;
  Work.WakeAt = Never;
  if (Now >= Work.Deadline) {
    atDeadline(Work);
    return;
  }
  for (request_part &Part : Work.Parts)
    if (Part.Phase == part_phase::waiting)
      begin(Work, Part);
  if (Now >= Work.HedgeAt)
    for (request_part &Part : Work.Parts)
      hedge(Work, Part);
  if (Now >= Work.RepeatAt)
    repeatSilent(Work);
  settle(Work);
}

/// The requests that have waited for longest come first; the others stay.
void relay::impl::retryWaiting() {
  std::vector<query_id> Looked;
  for (const query_id Request : Waiting)
    if (Looked.size() < MaxRetried)
      Looked.push_back(Request);
  for (const query_id Request : Looked) {
    Waiting.erase(Request);
    request_work *Work = find(Request);
    if (!Work)
      continue;
    for (request_part &Part : Work->Parts)
      if (Part.Phase == part_phase::waiting)
        begin(*Work, Part);
    settle(*Work);
  }
}

request_work *relay::impl::find(query_id Request) {
  const auto Found = Works.find(Request);
  return Found == Works.end() ? nullptr : Found->second.get();
}

void relay::impl::wakeAt(request_work &Work, instant At) {
  if (At >= Work.WakeAt)
    return;
  Work.WakeAt = At;
  Wakes.push({At, Work.Request});
}

relay_gauges relay::impl::gauges(instant At) const {
  relay_gauges Out;
  Out.Requests = active();
  Out.Waiting = Waiting.size();
  Out.InFlight = Attempts.size();
  Endpoints.count(Out.Endpoints, Out.Cold, Out.Suspects, At);
  for (const auto &[Peer, Silence] : UnresponsivePeers)
    Out.UnresponsivePeers += At < Silence.Until ? 1 : 0;
  return Out;
}

void relay::impl::armTimer() {
  instant Next = std::min(Endpoints.nextProbe(), Starting.nextOverdue());
  for (const lingering_attempt &Each : Lingering)
    Next = std::min(Next, Each.Until);
  if (Next < HousekeepingAt) {
    HousekeepingAt = Next;
    Wakes.push({Next, Housekeeping});
  }
  if (const auto At = Wakes.arm())
    Out->push_back(wake_at{*At});
}

} // namespace bulrush::relay
