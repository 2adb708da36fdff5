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

const explain_memory &router::explain() const { return Impl->explain(); }

router::impl::impl(const deployment &Deployment, vm_id Self,
                   std::unique_ptr<const owner_directory> Owners,
                   router_settings Settings)
    : Settings(Settings), Owners(std::move(Owners)),
      Endpoints(Deployment, Settings.Replica.InitialLatency),
      Directory(Deployment, Endpoints, Settings.Snapshot),
      Intents(Deployment.Callers),
      Choice(Endpoints, Settings.Replica, Settings.Seed),
      Hedges(Endpoints, Settings.Hedge), Explain(Settings.ExplainQueries),
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
  const auto Place = Queries.find(Id);
  return Place == Queries.end() ? nullptr : Place->second.get();
}

/// The time until a query must be answered, so that the answer arrives within
/// the intent's deadline.
millis router::impl::timeFor(const intent &Intent) const {
  constexpr double MostMargin = 0.1;
  return Intent.Deadline -
         std::min(Settings.AnswerMargin, Intent.Deadline * MostMargin);
}

/// Makes the state of a new query; null when it was refused or is known.
template <class Arrival>
query_state *router::impl::admit(const Arrival &Event) {
  if (find(Event.Query))
    return nullptr;
  if (Spare.empty())
    Spare.push_back(std::make_unique<query_state>());
  query_state &Query =
      *Queries.emplace(Event.Query, std::move(Spare.back())).first->second;
  Spare.pop_back();
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
  Query.Deadline = Now + timeFor(Query.Intent->Intent);
  wakeAt(Query, Query.Deadline);
  return &Query;
}

template query_state *router::impl::admit(const search_arrived &);
template query_state *router::impl::admit(const command_arrived &);

void router::impl::on(const search_arrived &Event) {
  query_state *Query = admit(Event);
  if (!Query)
    return;
  if (!throttleOf(*Query).admit(Settings.Throttle, Now, Choice.draw()))
    return refuse(*Query, refusal::deadline_unmeetable);
  Query->IsAdmitted = true;
  Query->WholeBy = std::min(Now + Settings.Snapshot.WholeWait, Query->Deadline);
  pinOrWait(*Query);
}

void router::impl::on(const replies_arrived &Event) {
  const auto &Replies = Event.Replies;
  for (std::size_t At = 0; At < Replies.size();) {
    const query_id Id = Replies[At].Query;
    query_state *Query = find(Id);
    for (; At < Replies.size() && Replies[At].Query == Id; ++At) {
      if (!Query) {
        takeLateReply(Replies[At]);
        continue;
      }
      takeReply(*Query, Replies[At]);
      if (Query->IsCommand)
        Query = find(Id);
    }
    if (!Query)
      continue;
    flush(*Query);
    settle(*Query);
  }
}

void router::impl::on(const reports_arrived &Event) {
  bool Changed = false;
  for (const endpoint_report &Report : Event.Reports) {
    if (!Endpoints.contains(Report.Endpoint))
      continue;
    const report_effect Effect = Endpoints.report(Event.From, Report);
    if (Effect == report_effect::ignored)
      continue;
    // A new owner that has not reached its endpoint yet knows nothing.
    const bool KnowsHeld =
        Report.Condition != endpoint_condition::unknown || !Report.Held.empty();
    if (KnowsHeld)
      Changed |= Directory.report(Report.Endpoint, Report.Held);
    if (Effect == report_effect::unchanged)
      continue;
    Directory.invalidate(Endpoints[Report.Endpoint].Pool);
    Changed = true;
  }
  if (Changed)
    retryWaiting();
}

void router::impl::on(const config_changed &Event) {
  if (Event.Config.Revision < Revision)
    return;
  Revision = Event.Config.Revision;
  Intents.assign(Event.Config.Intents);
  Endpoints.assign(Event.Config);
  Directory.invalidateAll();
  retryWaiting();
}

void router::impl::on(const membership_changed &Event) {
  if (Event.Membership.Epoch < Epoch)
    return;
  Epoch = Event.Membership.Epoch;
  Endpoints.assign(Event.Membership, *Owners);
  Directory.invalidateAll();
  retryWaiting();
}

void router::impl::on(const vm_suspected &Event) {
  Endpoints.suspect(Event.Vm, true);
  Directory.invalidateAll();
  std::vector<query_id> Ids;
  for (const auto &[Id, Query] : Queries)
    if (Query->Phase == query_phase::replies)
      Ids.push_back(Id);
  std::sort(Ids.begin(), Ids.end());
  for (const query_id Id : Ids)
    loseOwner(*find(Id), Event.Vm);
}

void router::impl::on(const vm_recovered &Event) {
  Endpoints.suspect(Event.Vm, false);
  Directory.invalidateAll();
  retryWaiting();
}

void router::impl::on(const readiness_changed &Event) { Ready = Event.Ready; }

void router::impl::on(const stop_requested &) { Stopping = true; }

void router::impl::on(const caller_disconnected &Event) {
  query_state *Query = find(Event.Query);
  if (!Query || Query->IsCommand)
    return;
  answer Nobody;
  Nobody.Outcome = outcome::unknown;
  Nobody.Reason = refusal::cancelled;
  throttleOf(*Query).ended(Settings.Throttle, Now, false);
  cancelPending(*Query);
  remember(*Query, Nobody);
  forget(*Query);
}

void router::impl::on(const timer_fired &) {
  Wakes.disarm();
  while (const std::optional<wake> Wake = Wakes.front()) {
    if (Wake->At > Now)
      return;
    Wakes.pop();
    query_state *Query = find(Wake->Query);
    if (Query && Query->WakeAt == Wake->At)
      wakeUp(*Query);
  }
}

/// Looks again at the queries that wait for a whole snapshot.
void router::impl::retryWaiting() {
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
  Wakes.push({At, Query.Id});
}

void router::impl::armTimer() {
  while (const std::optional<wake> Wake = Wakes.front()) {
    const query_state *Query = find(Wake->Query);
    if (Query && Query->WakeAt == Wake->At)
      break;
    Wakes.pop();
  }
  if (const std::optional<instant> At = Wakes.arm())
    Out->emplace_back(set_timer{*At});
}

} // namespace bulrush::query
