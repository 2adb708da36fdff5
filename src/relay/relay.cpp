#include "relay/relay.h"

#include "relay/relay_impl.h"

#include <algorithm>
#include <random>
#include <utility>

namespace bulrush::relay {

namespace {

/// Part of the client's timeout that is left when an answer is sent at the
/// deadline.
constexpr millis DeadlineMargin{4};
/// CPU time per request on one full core, outside the routing decisions:
/// reading the request and the last replies, and writing the answer.
constexpr millis ProcessingTime{0.85};
/// Share of the objective after which a request that no endpoint could accept
/// is refused. Waiting longer would leave the client no time to retry.
constexpr double GiveUpShare = 0.2;
/// Share of the objective for which a request waits for a token of its account
/// at most.
constexpr double QuotaWaitShare = 0.25;
constexpr millis MinHedgeDelay{4};
/// Bounds of the hedge delay, as multiples of the median latency.
constexpr double MinHedgeMedianFactor = 1.6;
constexpr double MaxHedgeMedianFactor = 2.5;
/// Time that a hedge leaves for its reply, as a multiple of the median latency.
constexpr double HedgeReplyFactor = 2;
/// Delay before a hedge that no endpoint or no budget permitted is tried again:
/// a multiple of the median latency, at least `MinHedgeRetryInterval`.
constexpr double HedgeRetryFactor = 0.25;
constexpr millis MinHedgeRetryInterval{3};
/// Endpoints that are probed at a time while reach is in doubt or lost.
constexpr std::size_t ReachProbes = 3;
/// Wake-up id that belongs to no request: due probes, lingering attempts,
/// timeouts of the start queue and a loss of reach.
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
std::map<account_name, quota_counters> relay::quotas(instant Now) const {
  return Impl->quotas(Now);
}

relay::impl::impl(relay_settings Given, std::uint64_t Seed)
    : Settings(std::move(Given)), Endpoints(Settings, Seed),
      Slices({.ForeignZones = Settings.ForeignZones}, Settings.Self,
             Settings.Zone),
      LastShardRequest(std::mt19937_64(Seed)()), NextDetour(Seed),
      AccountSeed(Seed), Quotas(Seed) {}

void relay::impl::step(const relay_event &Event, instant At,
                       relay_actions &Actions) {
  Now = At;
  Out = &Actions;
  StartQueue.markStarted(Now);
  std::visit([this](const auto &Each) { on(Each); }, Event);
  apply(Quotas.takeTimedOut(Now));
  updateReach();
  dispatchFreed();
  reportCrashes();
  for (const endpoint_no Each : Endpoints.sendDueProbes(Now, Actions))
    Crashes.onProbeSent(Each, Now);
  Endpoints.reportLimits(Now, Actions);
  if (!Rollouts.empty())
    reportRollouts();
  reportQuotas();
  armTimer();
  Out = nullptr;
}

/// Probes other endpoints while reach is in doubt or lost. Reports its loss and
/// its return. On a loss, no request waits for its endpoints any longer.
void relay::impl::updateReach() {
  if (Reach.takeProbesDue(Now))
    Endpoints.probeOthers(Reach.unheard(), ReachProbes, Now, *Out);
  if (!Reach.update(Now))
    return;
  Out->push_back(reach_log_event{Reach.isLost(), Reach.unheard().size(),
                                 Reach.doubtTime(Now)});
  Out->push_back(report_reach{!Reach.isLost()});
  Slices.setReach(!Reach.isLost());
  preconnectSlices();
  if (!Reach.isLost())
    return;
  std::vector<query_id> Active;
  for (const auto &[Id, Each] : ActiveRequests)
    Active.push_back(Id);
  std::sort(Active.begin(), Active.end());
  for (const query_id Id : Active)
    if (request_state *Request = find(Id)) {
      interruptRunning(*Request);
      settle(*Request);
    }
}

void relay::impl::on(const request_arrived &Event) {
  if (isReady())
    admit(Event, Now);
  else if (!StartQueue.add(Event, Now))
    refuseUnadmitted(Event, Now, 503, relay_refusal::no_catalog);
}

/// Admits the requests that were queued until the catalog and the directory
/// arrived, in the order of their arrival.
void relay::impl::admitQueued() {
  if (!isReady())
    return;
  for (const start_queue::shard_request_entry &Each :
       StartQueue.takeShardRequests())
    admit(Each.Event, Each.ArrivedAt);
  for (const start_queue::entry &Each : StartQueue.takeRequests())
    admit(Each.Event, Each.ArrivedAt);
}

void relay::impl::admit(const request_arrived &Event, instant ArrivedAt) {
  admit(Event, ArrivedAt, nullptr);
}

/// `Decision` is that on the quota, or null if there is none yet. While the
/// request waited for it, the catalog may have changed.
void relay::impl::admit(const request_arrived &Event, instant ArrivedAt,
                        const quota_decision *Decision) {
  const route *Route = Table->find(Event.Content->Host, Event.Content->Target);
  if (!Route) {
    refuseUnadmitted(Event, ArrivedAt, 404, relay_refusal::no_route);
    return;
  }
  const identified_request Identified = identify(Event.Content, *Route);
  if (!Identified.IsAuthorized) {
    refuseUnadmitted(Event, ArrivedAt, 401, relay_refusal::unauthorized);
    return;
  }
  const account_name &Account = Identified.Content->Account;
  const millis Quarantined = Quarantine.timeLeft(*Identified.Content, Now);
  if (Quarantined > millis{0}) {
    refuseUnadmitted(Event, ArrivedAt, 503, relay_refusal::quarantined,
                     Quarantined, Account);
    return;
  }
  // A query over no shards: no answer can be a success.
  if (Route->Gather.Shards.empty() && Route->Targets.empty()) {
    refuseUnadmitted(Event, ArrivedAt, 503, relay_refusal::few_shards,
                     return_time::whenDown(), Account);
    return;
  }
  std::optional<quota_decision> Quota;
  if (Decision)
    Quota = *Decision;
  else
    Quota = Quotas.admit(Account, Event.Request,
                         Route->Objective * QuotaWaitShare, Now);
  if (!Quota)
    QuotaWaiters[Event.Request] = {Event, ArrivedAt};
  else if (Quota->IsAdmitted)
    begin(Event, ArrivedAt, *Route, Identified, *Quota);
  else
    refuseUnadmitted(Event, ArrivedAt, 429, relay_refusal::over_quota,
                     Quota->RetryAfter, Account, *Quota);
}

void relay::impl::begin(const request_arrived &Event, instant ArrivedAt,
                        const route &Route,
                        const identified_request &Identified,
                        const quota_decision &Decision) {
  auto Owned = std::make_unique<request_state>();
  request_state &Request = *Owned;
  ActiveRequests[Event.Request] = std::move(Owned);
  Request.Id = Event.Request;
  Request.Content = Identified.Content;
  countActive(Request, 1);
  Request.Table = Table;
  Request.Route = &Route;
  Request.Urgency = Identified.Account && Identified.Account->Priority
                        ? *Identified.Account->Priority
                        : Route.Priority;
  Request.RouteState =
      &Routes.try_emplace(Route.Host + Route.PathPrefix, Route.Objective)
           .first->second;
  setDeadlines(Request, ArrivedAt, Event.ClientTimeout, Event.Client);
  Request.LogEvent.Quota = Decision.State;
  Request.LogEvent.QuotaWait = Decision.Waited;
  if (Request.isGathered()) {
    for (const service_name &Shard : Route.Gather.Shards)
      Request.Parts.emplace_back().Service = &Endpoints.service(Shard);
    // Endpoints look slow while another account fills their queues. That must
    // not refuse the few requests of an account that does not.
    const bool IsServable =
        hasEnoughServableShards(Request, Request.SoftDeadline) ||
        (isBesideLarger(Request.Content->Account) &&
         hasEnoughServableShards(Request, Never));
    if (!IsServable) {
      refuse(Request, relay_refusal::few_shards);
      return;
    }
  } else {
    Request.Parts.emplace_back().Service =
        &Endpoints.service(pickTarget(Request));
  }
  scatter(Request);
  settle(Request);
}

/// When the attempts that are sent now count as slow and are hedged: at the
/// tail quantile of the latency, but early enough for the reply to a hedge.
/// Multiples of the median bound the delay: if latencies hardly differ, the
/// quantile is no sign of slowness, and while many endpoints are slow, it rises
/// with them.
instant relay::impl::hedgeTime(const request_state &Request) const {
  const route_state &RouteState = *Request.RouteState;
  const millis Median = RouteState.Median.value();
  const millis Latest = Request.SoftDeadline - Now - Median * HedgeReplyFactor;
  const millis Tail =
      std::clamp(RouteState.Tail.value(), Median * MinHedgeMedianFactor,
                 Median * MaxHedgeMedianFactor);
  return Now + std::max(MinHedgeDelay, std::min(Tail, Latest));
}

/// Hedges the running parts. If a hedge was not possible, it is tried again
/// soon, while a reply could still be in time.
void relay::impl::sendHedges(request_state &Request) {
  bool IsPending = false;
  for (request_part &Part : Request.Parts) {
    sendHedge(Request, Part);
    IsPending |= mayHedge(Request, Part);
  }
  // Without a grant of the requester nothing can be sent; it calls again.
  if (!IsPending || (Request.Requester && !Request.Requester->MayRetry))
    return;
  const millis Median = Request.RouteState->Median.value();
  const instant Next =
      Now + std::max(MinHedgeRetryInterval, Median * HedgeRetryFactor);
  if (Next + Median < Request.SoftDeadline)
    Request.HedgeAt = Next;
}

/// Time that the client measures beyond the time spent in the routing of this
/// relay: network round trips and processing. Opening a connection adds a
/// round trip.
millis relay::impl::networkDelay(client_path Client) const {
  if (Client.RoundTrip <= millis{0})
    return Settings.DefaultClientDelay;
  const double Trips = Client.IsOnNewConnection ? 2 : 1;
  return Client.RoundTrip * Trips + ProcessingTime * (1 / Settings.Cores);
}

/// Sets the deadlines of a request and the times of its hedges and retries. A
/// request that has already waited past its objective gets the full objective
/// from now on.
void relay::impl::setDeadlines(request_state &Request, instant ArrivedAt,
                               millis ClientTimeout, client_path Client) const {
  const route &Route = *Request.Route;
  millis Left = Route.Timeout;
  if (ClientTimeout > millis{0})
    Left = std::min(Left, ClientTimeout);
  Request.ArrivedAt = ArrivedAt;
  Request.Deadline =
      std::max(Now + millis{1}, ArrivedAt + (Left - DeadlineMargin));
  const millis TimeToAnswer = Route.Objective - networkDelay(Client);
  const instant ObjectiveAt = ArrivedAt + TimeToAnswer;
  Request.SoftDeadline = std::min(
      ObjectiveAt > Now ? ObjectiveAt : Now + TimeToAnswer, Request.Deadline);
  Request.GiveUpAt = Now + Route.Objective * GiveUpShare;
  Request.HedgeAt = hedgeTime(Request);
  if (Request.isGathered())
    Request.OverdueAt = Request.SoftDeadline + LingerTime;
  Request.LogEvent.RequestId = Request.Content->RequestId;
  Request.LogEvent.Route = Route.Name;
  Request.LogEvent.Account = Request.Content->Account;
  Request.LogEvent.Objective = Route.Objective;
  Request.LogEvent.Version = version();
  Request.LogEvent.Shards =
      static_cast<std::uint32_t>(Route.Gather.Shards.size());
}

/// Selects a target by smooth weighted round robin: each target's credit grows
/// by its weight; the target with the highest credit is selected and pays the
/// sum of all weights. The shares are exact and evenly spread over time.
service_name relay::impl::pickTarget(request_state &Request) const {
  const auto &Targets = Request.Route->Targets;
  if (Targets.size() == 1)
    return Targets.front().Service;
  double Sum = 0;
  const weighted_service *Picked = nullptr;
  auto &Credits = Request.RouteState->Credits;
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

/// Whether enough shards can be served for an answer by `LatestAt`. Records
/// some of those that cannot for the log.
bool relay::impl::hasEnoughServableShards(request_state &Request,
                                          instant LatestAt) const {
  std::uint32_t Servable = 0;
  for (const request_part &Part : Request.Parts) {
    const bool IsUnreachable = isUnreachable(Part);
    const bool IsServable =
        IsUnreachable ? mayDetour(Request, Part)
                      : Endpoints.canServe(*Part.Service,
                                           Request.RouteState->Median.value(),
                                           LatestAt, Now) &&
                            !isHopeless(Request, Part);
    if (IsServable) {
      ++Servable;
      continue;
    }
    Request.LogEvent.Unreachable += IsUnreachable ? 1 : 0;
    if (Request.LogEvent.MissingShards.size() < MaxMissingShards)
      Request.LogEvent.MissingShards.push_back(Part.Service->Name);
  }
  return Servable >= Request.requiredParts();
}

void relay::impl::on(const attempt_ended &Event) {
  const auto Found = Attempts.find(Event.Attempt);
  if (Found == Attempts.end())
    return;
  const attempt_context Context = Found->second;
  Attempts.erase(Found);
  markFreed(*Context.Service);
  request_state *Request = find(Context.Request);
  const attempt_verdict Verdict = verdictOf(Request, Event);
  const millis Elapsed = Now - Context.SentAt;
  noteReach(Context.Endpoint, Event.End);
  endpoint_state *Endpoint = Endpoints.find(Context.Endpoint);
  if (Endpoint && Endpoint->onEnded(Event.Attempt, Verdict,
                                    Context.RouteState->Median.value(), Now))
    Endpoints.markSuspect(*Endpoint, Now, *Out);
  if (Endpoint && Context.Rollout.Value != 0)
    noteVersionEnded(Context, *Endpoint, Verdict, Event.End);
  if (Endpoint && Event.Reply)
    applyStatements(*Endpoint, *Event.Reply, Context.SentAt);
  if (Verdict == attempt_verdict::success)
    recordLatency(*Context.RouteState, Elapsed);
  if (!Request) {
    std::erase_if(Lingering, [&](const lingering_attempt &Each) {
      return Each.Attempt == Event.Attempt;
    });
    return;
  }
  request_part &Part = Request->Parts[Context.Part];
  std::erase_if(Part.Running, [&](const running_attempt &Each) {
    return Each.Attempt == Event.Attempt;
  });
  if (Verdict != attempt_verdict::success)
    logAttempt(*Request, Part, Endpoint, Verdict, Event, Elapsed);
  noteLost(*Request, Context, Event.End);
  handleReply(*Request, Part, Context.Endpoint, Event);
  settle(*Request);
}

void relay::impl::on(const client_disconnected &Event) {
  request_state *Request = find(Event.Request);
  if (!Request) {
    StartQueue.remove(Event.Request);
    if (Quotas.remove(Event.Request))
      QuotaWaiters.erase(Event.Request);
    return;
  }
  Request->LogEvent.HasClientDisconnected = true;
  Request->LogEvent.Elapsed = Now - Request->ArrivedAt;
  Request->LogEvent.Covered = Request->completedParts();
  Out->push_back(Request->LogEvent);
  removeRequest(*Request, false);
}

void relay::impl::on(const probe_ended &Event) {
  noteCrashes(Event);
  noteVersionProbe(Event);
  if (Event.IsHealthy || Event.HasReplied)
    Reach.onHeard();
  else
    Reach.onUnheard(Event.Endpoint, Now);
  Endpoints.on(Event, Now, *Out);
  if (Event.IsLeaving)
    Slices.clearCache();
  const endpoint_state *Endpoint = Endpoints.find(Event.Endpoint);
  if (Endpoint && Endpoint->isCold(Now))
    endWaitForCold(Endpoints.service(Endpoint->listed().Service));
  markAllFreed();
}

bool relay::impl::isNewer(const catalog_arrived &Event) const {
  const catalog &Known = Table->content();
  if (Event.Catalog->Version != Known.Version)
    return Event.Catalog->Version > Known.Version;
  return Event.MayRepeatVersion && *Event.Catalog != Known;
}

void relay::impl::on(const catalog_arrived &Event) {
  if (Table && !isNewer(Event))
    return;
  Table = std::make_shared<const route_table>(Event.Catalog);
  Accounts.reset();
  if (Event.Catalog->Accounts)
    Accounts.emplace(*Event.Catalog->Accounts, AccountSeed);
  Quotas.setAccounts(Event.Catalog->Accounts);
  updateSlicedServices();
  Endpoints.install(*Event.Catalog, *Out);
  preconnectSlices();
  admitQueued();
}

void relay::impl::on(const directory_arrived &Event) {
  HasDirectory = true;
  Endpoints.install(*Event.Change, Now - Event.Age, Now, *Out);
  Slices.clearCache();
  updatePlannedRelays();
  preconnectSlices();
  admitQueued();
  markAllFreed();
}

void relay::impl::on(const zones_out_changed &Event) {
  Endpoints.setZonesOut(Event.Zones, Now);
  Slices.clearCache();
  updatePlannedRelays();
}

void relay::impl::on(const peer_count_changed &Event) {
  // The leader's heartbeat brings the number.
  Endpoints.noteLeader(Now);
  Quotas.onHeard(Now);
  Quotas.setRelayCount(Event.Count);
  Endpoints.setRelayCount(Event.Count, Now, *Out);
}

void relay::impl::on(const limit_grants_arrived &Event) {
  Endpoints.on(Event, Now, *Out);
  markAllFreed();
}

void relay::impl::on(const quota_grants_arrived &Event) {
  apply(Quotas.on(Event.Grants, Now));
}

void relay::impl::on(const verdicts_arrived &Event) {
  Quarantine.on(Event, Now);
}

void relay::impl::on(const leader_found &Event) {
  Quotas.onLeaderFound(Now);
  Quarantine.on(Event, Now, *Out);
  for (auto &[Name, Each] : Rollouts)
    Each.Tally.reportAgain();
}

void relay::impl::on(const timer_fired &) {
  Wakes.disarm();
  if (Now >= HousekeepingAt)
    HousekeepingAt = Never;
  cancelLingering();
  for (const start_queue::entry &Each : StartQueue.takeTimedOut(Now))
    refuseUnadmitted(Each.Event, Each.ArrivedAt, 503,
                     relay_refusal::no_catalog);
  while (const auto Next = Wakes.front()) {
    if (Next->At > Now)
      break;
    Wakes.pop();
    if (request_state *Request = find(Next->Query))
      handleWake(*Request);
  }
}

/// Performs the actions that are due for a request: deadline, sends of waiting
/// parts, hedges and retries of slices.
void relay::impl::handleWake(request_state &Request) {
  if (Now < Request.WakeAt)
    return;
  Request.WakeAt = Never;
  if (Now >= Request.Deadline) {
    handleDeadline(Request);
    return;
  }
  for (request_part &Part : Request.Parts)
    if (Part.Phase == part_phase::waiting)
      startPart(Request, Part);
  if (Now >= Request.HedgeAt)
    sendHedges(Request);
  if (Now >= Request.SliceRetryAt)
    retryUnansweredSlices(Request);
  if (Now >= Request.OverdueAt)
    suspectOverdue(Request);
  settle(Request);
}

request_state *relay::impl::find(query_id Id) {
  const auto Found = ActiveRequests.find(Id);
  return Found == ActiveRequests.end() ? nullptr : Found->second.get();
}

void relay::impl::scheduleWake(request_state &Request, instant At) {
  if (At >= Request.WakeAt)
    return;
  Request.WakeAt = At;
  Wakes.push({At, Request.Id});
}

relay_gauges relay::impl::gauges(instant At) const {
  relay_gauges Out;
  Out.Requests = active();
  for (const auto &[Id, Request] : ActiveRequests)
    Out.Waiting += std::any_of(Request->Parts.begin(), Request->Parts.end(),
                               [](const request_part &Part) {
                                 return Part.Phase == part_phase::waiting;
                               })
                       ? 1
                       : 0;
  Out.InFlight = Attempts.size();
  Endpoints.count(Out.Endpoints, Out.Cold, Out.Suspects, At);
  Out.Quarantined = Quarantine.count(At);
  Out.IsReachLost = Reach.isLost();
  for (const auto &[Peer, Backoff] : UnresponsivePeers)
    Out.UnresponsivePeers += At < Backoff.Until ? 1 : 0;
  return Out;
}

void relay::impl::armTimer() {
  instant Next = std::min({Endpoints.nextProbe(Now),
                           Endpoints.nextLimitReport(), Quotas.nextDue(Now),
                           StartQueue.nextTimeout(), Reach.nextDue()});
  if (!Rollouts.empty())
    Next = std::min(Next, nextRolloutReport());
  for (const lingering_attempt &Each : Lingering)
    Next = std::min(Next, Each.Until);
  if (Next < HousekeepingAt) {
    HousekeepingAt = Next;
    Wakes.push({Next, Housekeeping});
  }
  if (const auto At = Wakes.arm())
    Out->push_back(set_timer{*At});
}

} // namespace bulrush::relay
