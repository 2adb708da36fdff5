#include "wire/rollout_codec.h"

namespace bulrush::wire {

namespace {

/// A state that this build does not know permits no request to the target.
relay::rollout_state fromProto(VersionPolicy::State From) {
  switch (From) {
  case VersionPolicy::NONE:
    return relay::rollout_state::none;
  case VersionPolicy::IN_PROGRESS:
    return relay::rollout_state::in_progress;
  case VersionPolicy::COMPLETE:
    return relay::rollout_state::complete;
  default:
    return relay::rollout_state::rolled_back;
  }
}

void toProto(const relay::version_counts &From, VersionCounts &To) {
  To.set_sent(From.Sent);
  To.set_answers(From.Answers);
  To.set_failures(From.Failures);
  To.set_unreachable(From.Unreachable);
  for (const std::uint64_t Each : From.Latency)
    To.add_latency(Each);
}

relay::version_counts fromProto(const VersionCounts &From) {
  relay::version_counts To;
  To.Sent = From.sent();
  To.Answers = From.answers();
  To.Failures = From.failures();
  To.Unreachable = From.unreachable();
  const auto Bins = static_cast<std::size_t>(From.latency_size());
  for (std::size_t I = 0; I < std::min(Bins, To.Latency.size()); ++I)
    To.Latency[I] = From.latency(static_cast<int>(I));
  return To;
}

} // namespace

void toProto(const relay::version_policy &From, VersionPolicy &To) {
  To.set_service(From.Service.Value);
  To.set_rollout(From.Rollout.Value);
  To.set_state(static_cast<VersionPolicy::State>(From.State));
  To.set_target(From.Target.Value);
  To.set_share(From.Share);
  for (const relay::software_version &Each : From.Barred)
    To.add_barred(Each.Value);
  To.set_established(From.Established.Value);
}

relay::version_policy fromProto(const VersionPolicy &From) {
  relay::version_policy To;
  To.Service = {From.service()};
  To.Rollout = {From.rollout()};
  To.State = fromProto(From.state());
  To.Target = {From.target()};
  To.Share = From.share();
  for (const std::string &Each : From.barred())
    To.Barred.push_back({Each});
  To.Established = {From.established()};
  return To;
}

void toProto(const fleet::rollout_reports &From, RolloutReports &To) {
  for (const relay::rollout_report &Each : From.Reports) {
    RolloutReport &Report = *To.add_reports();
    Report.set_service(Each.Service.Value);
    Report.set_rollout(Each.Rollout.Value);
    Report.set_share(Each.Share);
    Report.set_old_in_flight(Each.OldInFlight);
    Report.set_new_in_flight(Each.NewInFlight);
    for (const relay::route_counts &Route : Each.Routes) {
      RouteCounts &Counts = *Report.add_routes();
      Counts.set_route_key(Route.RouteKey);
      toProto(Route.Old, *Counts.mutable_old_version());
      toProto(Route.New, *Counts.mutable_new_version());
    }
  }
}

fleet::rollout_reports fromProto(const RolloutReports &From) {
  fleet::rollout_reports To;
  for (const RolloutReport &Item : From.reports()) {
    relay::rollout_report &Each = To.Reports.emplace_back();
    Each.Service = {Item.service()};
    Each.Rollout = {Item.rollout()};
    Each.Share = Item.share();
    Each.OldInFlight = Item.old_in_flight();
    Each.NewInFlight = Item.new_in_flight();
    for (const RouteCounts &Route : Item.routes())
      Each.Routes.push_back({Route.route_key(), fromProto(Route.old_version()),
                             fromProto(Route.new_version())});
  }
  return To;
}

void toProto(const relay::service_name &Service, const control::rollout &From,
             Rollout &To) {
  To.set_service(Service.Value);
  To.set_id(From.Id.Value);
  To.set_target(From.Target.Value);
  To.set_duration_ms(From.Duration.Count);
  To.set_state(static_cast<VersionPolicy::State>(From.State));
  To.set_elapsed_ms(From.Elapsed.Count);
  for (const relay::software_version &Each : From.Barred)
    To.add_barred(Each.Value);
  for (const control::replaced_order &Each : From.Replaced) {
    ReplacedOrder &Item = *To.add_replaced();
    Item.set_target(Each.Target.Value);
    Item.set_duration_ms(Each.Duration.Count);
    Item.set_age_ms(Each.Age.Count);
  }
}

control::rollout fromProto(const Rollout &From) {
  control::rollout To;
  To.Id = {From.id()};
  To.Target = {From.target()};
  To.Duration = {From.duration_ms()};
  To.State = fromProto(From.state());
  To.Elapsed = {From.elapsed_ms()};
  for (const std::string &Each : From.barred())
    To.Barred.push_back({Each});
  for (const ReplacedOrder &Each : From.replaced())
    To.Replaced.push_back(
        {{Each.target()}, {Each.duration_ms()}, {Each.age_ms()}});
  return To;
}

void toProto(const control::start_rollout &From, Rollout &To) {
  To.set_service(From.Service.Value);
  To.set_target(From.Target.Value);
  To.set_duration_ms(From.Duration.Count);
  To.set_id(From.Known.Value);
  To.set_elapsed_ms(From.KnownElapsed.Count);
}

control::start_rollout startRolloutFromProto(const Rollout &From) {
  return {{From.service()},
          {From.target()},
          {From.duration_ms()},
          {From.id()},
          {From.elapsed_ms()}};
}

void toProto(const control::advance_rollout &From, Rollout &To) {
  To.set_service(From.Service.Value);
  To.set_id(From.Id.Value);
  To.set_elapsed_ms(From.Elapsed.Count);
}

control::advance_rollout advanceRolloutFromProto(const Rollout &From) {
  return {{From.service()}, {From.id()}, {From.elapsed_ms()}};
}

void toProto(const control::end_rollout &From, Rollout &To) {
  To.set_service(From.Service.Value);
  To.set_id(From.Id.Value);
  To.set_state(static_cast<VersionPolicy::State>(From.State));
  To.set_elapsed_ms(From.Elapsed.Count);
}

control::end_rollout endRolloutFromProto(const Rollout &From) {
  return {{From.service()},
          {From.id()},
          fromProto(From.state()),
          {From.elapsed_ms()}};
}

} // namespace bulrush::wire
