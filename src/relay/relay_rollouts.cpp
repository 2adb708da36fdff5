// Rollouts in progress: counts of the attempts and reports to the registry's
// leader.
#include "relay/relay_impl.h"

#include <algorithm>
#include <utility>

namespace bulrush::relay {

void relay::impl::on(const version_policies_arrived &Event) {
  if (!Endpoints.on(Event, Now, *Out))
    return;
  for (const version_policy &Each : Event.Policies) {
    const auto Known = Rollouts.find(Each.Service);
    if (Each.State == rollout_state::in_progress &&
        (Known == Rollouts.end() ||
         Known->second.Tally.rollout() != Each.Rollout))
      Rollouts.insert_or_assign(Each.Service,
                                active_rollout{&Endpoints.service(Each.Service),
                                               rollout_tally(Each.Rollout)});
  }
  std::erase_if(Rollouts, [](const auto &Item) {
    const auto &Split = Item.second.Service->Split;
    return !Split || !Split->isInProgress();
  });
  Slices.clearCache();
  preconnectSlices();
  markAllFreed();
}

/// Counts an attempt to a service with a version policy.
void relay::impl::noteVersionSent(service_state &Service,
                                  const endpoint_state &To,
                                  attempt_context &Attempt,
                                  bool IsFirstAttempt) {
  if (IsFirstAttempt)
    Endpoints.onFirstAttempt(Service, To, Now);
  const auto Known = Rollouts.find(Service.Name);
  if (Known == Rollouts.end())
    return;
  Attempt.Rollout = Known->second.Tally.rollout();
  Attempt.IsTarget = To.versionRole() == version_role::target;
  Known->second.Tally.onSent(Attempt.RouteState, Attempt.IsTarget);
}

/// What the end of an attempt says about the version. An endpoint that sheds or
/// is cold says nothing about it.
attempt_outcome relay::impl::outcomeOf(const endpoint_state &Endpoint,
                                       attempt_verdict Verdict,
                                       attempt_end End) const {
  switch (Verdict) {
  case attempt_verdict::success:
  case attempt_verdict::failure:
    if (Endpoint.isCold(Now))
      return attempt_outcome::shed;
    return Verdict == attempt_verdict::success ? attempt_outcome::answered
                                               : attempt_outcome::failed;
  case attempt_verdict::unreachable:
    return attempt_outcome::unreachable;
  case attempt_verdict::overdue:
    return attempt_outcome::overdue;
  case attempt_verdict::overload:
    return End == attempt_end::replied ? attempt_outcome::shed
                                       : attempt_outcome::not_sent;
  case attempt_verdict::stale_connection:
  case attempt_verdict::cancelled:
    break;
  }
  return attempt_outcome::not_sent;
}

/// Counts the end of an attempt that was sent during a rollout.
void relay::impl::noteVersionEnded(const attempt_context &Attempt,
                                   const endpoint_state &Endpoint,
                                   attempt_verdict Verdict, attempt_end End) {
  const auto Known = Rollouts.find(Endpoint.listed().Service);
  if (Known == Rollouts.end() ||
      Known->second.Tally.rollout() != Attempt.Rollout)
    return;
  Known->second.Tally.onEnded(
      Attempt.RouteState, Attempt.IsTarget, Attempt.Endpoint,
      outcomeOf(Endpoint, Verdict, End), Now - Attempt.SentAt);
}

void relay::impl::noteVersionProbe(const probe_ended &Event) {
  for (auto &[Name, Each] : Rollouts)
    Each.Tally.onProbeEnded(Event.Endpoint,
                            Event.IsHealthy || Event.HasReplied);
}

/// When the next report is due if no share changes.
instant relay::impl::nextRolloutReport() const {
  instant Next = Never;
  for (const auto &[Name, Each] : Rollouts)
    Next = std::min(Next, Each.Tally.nextReport());
  return Next;
}

/// Reports the rollouts of which there is something new.
void relay::impl::reportRollouts() {
  send_rollout_reports Action;
  for (auto &[Name, Each] : Rollouts) {
    rollout_tally &Tally = Each.Tally;
    const double Share = Endpoints.shareOf(*Each.Service->Split, Now);
    if (!Tally.isReportDue(Share, Now))
      continue;
    rollout_report &Report = Action.Reports.emplace_back();
    Report.Service = Name;
    Report.Rollout = Tally.rollout();
    Report.Share = Share;
    countInFlight(Report);
    Tally.onReported(Report, Now);
    for (const auto &[Key, State] : Routes)
      if (const route_counts *Counts = Tally.find(&State)) {
        Report.Routes.push_back(*Counts);
        Report.Routes.back().RouteKey = Key;
      }
  }
  if (!Action.Reports.empty())
    Out->push_back(std::move(Action));
}

/// Counts the attempts in flight, also those that were sent before the rollout
/// or to endpoints that are not listed any more: they end before the endpoints
/// of the old version are stopped.
void relay::impl::countInFlight(rollout_report &Report) {
  for (const auto &[No, Attempt] : Attempts) {
    const endpoint_state *Endpoint = Endpoints.find(Attempt.Endpoint);
    if (!Endpoint || Endpoint->listed().Service != Report.Service)
      continue;
    const bool IsTarget = Endpoint->versionRole() == version_role::target;
    ++(IsTarget ? Report.NewInFlight : Report.OldInFlight);
  }
}

} // namespace bulrush::relay
