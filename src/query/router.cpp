#include "query/router.h"
#include "query/router_impl.h"

#include <algorithm>
#include <utility>

namespace bulrush::query {

router::router(const deployment &Deployment, vm_id Self,
               std::unique_ptr<const owner_directory> Owners,
               router_settings Settings)
    : Impl(std::make_unique<impl>(Deployment, Self, std::move(Owners),
                                  Settings)) {}
router::~router() = default;
router::router(router &&) noexcept = default;
router &router::operator=(router &&) noexcept = default;

void router::step(const router_event &Event, instant Now,
                  std::vector<router_action> &Out) {
  Impl->step(Event, Now, Out);
}

std::size_t router::active() const { return Impl->active(); }

const explain_log &router::explain() const { return Impl->explain(); }

router::impl::impl(const deployment &Deployment, vm_id Self,
                   std::unique_ptr<const owner_directory> Owners,
                   router_settings Settings)
    : Settings(Settings), Owners(std::move(Owners)),
      Endpoints(Deployment, Settings.Replica.InitialLatency),
      Directory(Deployment, Endpoints, Settings.Snapshot),
      Intents(Deployment.Callers),
      Selector(Endpoints, Settings.Replica, Settings.Seed),
      HedgeDelays(Endpoints, Settings.Hedge), Explain(Settings.ExplainQueries),
      Outbox(Self) {
  for (const caller &Caller : Deployment.Callers) {
    if (Pools.size() <= Caller.Id.Value)
      Pools.resize(Caller.Id.Value + 1);
    Pools[Caller.Id.Value] = Caller.Pool;
  }
}

void router::impl::step(const router_event &Event, instant At,
                        std::vector<router_action> &Actions) {
  Now = At;
  Out = &Actions;
  std::visit([this](const auto &One) { on(One); }, Event);
  Outbox.flushCancels(*Out);
  armTimer();
}

query_state *router::impl::find(query_id Id) {
  const auto It = Queries.find(Id);
  return It == Queries.end() ? nullptr : It->second.get();
}

/// Returns the time from the arrival of a query until it must be answered. It
/// is shorter than the intent's deadline, so that the answer reaches the caller
/// in time.
millis router::impl::timeToAnswer(const intent &Intent) const {
  constexpr double MaxMarginShare = 0.1;
  return Intent.Deadline -
         std::min(Settings.AnswerMargin, Intent.Deadline * MaxMarginShare);
}

/// Creates the state of a new query. Returns null if the query was refused or
/// its id is already in use.
template <class Arrival>
query_state *router::impl::admit(const Arrival &Event) {
  if (find(Event.Query))
    return nullptr;
  if (FreeStates.empty())
    FreeStates.push_back(std::make_unique<query_state>());
  query_state &Query =
      *Queries.emplace(Event.Query, std::move(FreeStates.back())).first->second;
  FreeStates.pop_back();
  Query.Id = Event.Query;
  Query.Caller = Event.Caller;
  Query.RequestId = Event.RequestId;
  Query.Body = Event.Body;
  Query.Revision = Revision;
  Query.Arrived = Now;
  Query.Gather.begin({}, 0, {}, Now);
  Query.IsCommand = std::is_same_v<Arrival, command_arrived>;
  Query.Intent = Intents.find(Event.Caller, Event.Kind);
  refusal Reason = refusal::none;
  if (Stopping)
    Reason = refusal::draining;
  else if (!Ready)
    Reason = refusal::not_ready;
  else if (!Query.Intent)
    Reason = refusal::no_intent;
  if (Reason != refusal::none) {
    refuse(Query, Reason);
    return nullptr;
  }
  Query.Pool = Pools[Event.Caller.Value];
  Query.Deadline = Now + timeToAnswer(Query.Intent->Intent);
  wakeAt(Query, Query.Deadline);
  return &Query;
}

template query_state *router::impl::admit(const search_arrived &);
template query_state *router::impl::admit(const command_arrived &);

void router::impl::on(const search_arrived &Event) {
  query_state *Query = admit(Event);
  if (!Query)
    return;
  if (!throttleOf(*Query).admit(Settings.Throttle, Now, Selector.drawUniform()))
    return refuse(*Query, refusal::deadline_unmeetable);
  Query->IsAdmitted = true;
  Query->CoverageWaitUntil =
      std::min(Now + Settings.Snapshot.CoverageWait, Query->Deadline);
  pinOrWait(*Query);
}

void router::impl::on(const replies_arrived &Event) {
  const auto &Replies = Event.Replies;
  for (std::size_t Index = 0; Index < Replies.size();) {
    const query_id Id = Replies[Index].Query;
    query_state *Query = find(Id);
    for (; Index < Replies.size() && Replies[Index].Query == Id; ++Index) {
      if (!Query) {
        handleLateReply(Replies[Index]);
        continue;
      }
      handleReply(*Query, Replies[Index]);
      if (Query->IsCommand)
        Query = find(Id);
    }
    if (!Query)
      continue;
    flush(*Query);
    finishIfDecided(*Query);
  }
}

void router::impl::on(const reports_arrived &Event) {
  bool Changed = false;
  for (const endpoint_report &Report : Event.Reports) {
    if (!Endpoints.contains(Report.Endpoint))
      continue;
    const report_effect Effect = Endpoints.applyReport(Event.From, Report);
    if (Effect == report_effect::ignored)
      continue;
    // An owner that does not know the endpoint's state reports `unknown` and no
    // snapshots. Such a report does not replace the known snapshots.
    const bool HasHeldSnapshots =
        Report.Condition != endpoint_condition::unknown || !Report.Held.empty();
    if (HasHeldSnapshots)
      Changed |= Directory.setHeld(Report.Endpoint, Report.Held);
    if (Effect == report_effect::unchanged)
      continue;
    Directory.invalidate(Endpoints[Report.Endpoint].Pool);
    Changed = true;
  }
  if (Changed)
    retryWaitingQueries();
}

void router::impl::on(const config_changed &Event) {
  if (Event.Config.Revision < Revision)
    return;
  Revision = Event.Config.Revision;
  Intents.assign(Event.Config.Intents);
  Endpoints.applyConfig(Event.Config);
  Directory.invalidateAll();
  retryWaitingQueries();
}

void router::impl::on(const membership_changed &Event) {
  if (Event.Membership.Epoch < Epoch)
    return;
  Epoch = Event.Membership.Epoch;
  Endpoints.setOwners(Event.Membership, *Owners);
  Directory.invalidateAll();
  retryWaitingQueries();
}

void router::impl::on(const vm_suspected &Event) {
  Endpoints.setSuspected(Event.Vm, true);
  Directory.invalidateAll();
  std::vector<query_id> Ids;
  for (const auto &[Id, Query] : Queries)
    if (Query->Phase == query_phase::replies)
      Ids.push_back(Id);
  std::sort(Ids.begin(), Ids.end());
  for (const query_id Id : Ids)
    onOwnerLost(*find(Id), Event.Vm);
}

void router::impl::on(const vm_recovered &Event) {
  Endpoints.setSuspected(Event.Vm, false);
  Directory.invalidateAll();
  retryWaitingQueries();
}

void router::impl::on(const readiness_changed &Event) { Ready = Event.Ready; }

void router::impl::on(const stop_requested &) { Stopping = true; }

void router::impl::on(const caller_disconnected &Event) {
  query_state *Query = find(Event.Query);
  if (!Query || Query->IsCommand)
    return;
  answer Answer;
  Answer.Outcome = outcome::unknown;
  Answer.Reason = refusal::cancelled;
  throttleOf(*Query).onQueryAbandoned(Settings.Throttle, Query->Arrived, Now);
  cancelPending(*Query);
  recordQuery(*Query, Answer);
  removeQuery(*Query);
}

void router::impl::on(const timer_fired &) {
  WakeQueue.disarm();
  while (const std::optional<wake> Wake = WakeQueue.front()) {
    if (Wake->At > Now)
      return;
    WakeQueue.pop();
    query_state *Query = find(Wake->Query);
    if (Query && Query->WakeAt == Wake->At)
      onWake(*Query);
  }
}

/// Retries the queries that wait until a snapshot has enough coverage.
void router::impl::retryWaitingQueries() {
  for (const query_id Id : std::exchange(Waiting, {})) {
    query_state *Query = find(Id);
    if (Query && Query->Phase == query_phase::snapshot)
      pinOrWait(*Query);
  }
}

void router::impl::wakeAt(query_state &Query, instant At) {
  if (At >= Query.WakeAt)
    return;
  Query.WakeAt = At;
  WakeQueue.push({At, Query.Id});
}

void router::impl::armTimer() {
  while (const std::optional<wake> Wake = WakeQueue.front()) {
    const query_state *Query = find(Wake->Query);
    if (Query && Query->WakeAt == Wake->At)
      break;
    WakeQueue.pop();
  }
  if (const std::optional<instant> At = WakeQueue.arm())
    Out->emplace_back(set_timer{*At});
}

} // namespace bulrush::query
