#include "query/owned_endpoint.h"

#include <algorithm>

namespace bulrush::query {

owned_endpoint::owned_endpoint(const endpoint &World,
                               const owner_settings &Settings,
                               std::pmr::memory_resource &Memory)
    : World(World), Settings(Settings),
      Queue(makeQueue(Settings.Admission, Memory)),
      Warmth(makeWarmth(Settings, World.Limits.Slots)),
      Limit(World.Limits.Slots, Settings.RaiseReplies),
      Service(Settings.FirstServiceTime), Gate(Settings),
      LongService(Settings.FirstServiceTime) {
  InFlight.reserve(World.Limits.Slots);
}

refusal owned_endpoint::closedReason(instant Now) const {
  if (!Granted || Now >= Expiry)
    return refusal::lease_lost;
  if (ZoneOut)
    return refusal::zone_out;
  if (Leaving || Draining)
    return refusal::endpoint_leaving;
  return refusal::none;
}

std::uint32_t owned_endpoint::limit(instant Now) const {
  return Now < blockedUntil() ? 0 : openLimit();
}

std::uint32_t owned_endpoint::openLimit() const {
  return std::min(Warmth->open(), Limit.limit());
}

instant owned_endpoint::blockedUntil() const {
  return std::max(InheritedUntil, Warmth->opensAt());
}

void owned_endpoint::learnService(millis Elapsed) {
  constexpr millis Least{0.01};
  Service.add(Elapsed);
  LongService += (Elapsed - LongService) * Settings.CapacityGain;
  LongService = std::max(LongService, Least);
}

admission_estimate owned_endpoint::estimate(const queued_work &Work,
                                            instant Now) const {
  const instant Start = std::max(Now, blockedUntil());
  admission_estimate Result{Start - Now,
                            Service.high(Settings.DeviationsOfSlack)};
  const double Slots = openLimit();
  const double Busy = static_cast<double>(InFlight.size());
  if (Queue->size() == 0 && Busy < Slots)
    return Result;
  const double Surplus = std::max(0.0, Busy - Slots);
  const double Before = Queue->ahead(Work) + Surplus + 1;
  Result.Wait += Service.mean() * (Before / Slots);
  return Result;
}

instant owned_endpoint::latestStart(instant Deadline) const {
  if (Settings.Admission == admission_policy::fifo)
    return Deadline;
  return Deadline - Settings.ReplyTransit - Service.mean();
}

endpoint_condition owned_endpoint::condition(instant Now) const {
  const refusal Closed = closedReason(Now);
  if (Closed == refusal::lease_lost)
    return endpoint_condition::unknown;
  if (Closed != refusal::none)
    return endpoint_condition::leaving;
  if (Unreachable)
    return endpoint_condition::lost;
  if (!Warmth->isWarm())
    return endpoint_condition::cold;
  if (Limit.limit() < World.Limits.Slots)
    return endpoint_condition::shedding;
  return endpoint_condition::warm;
}

instant owned_endpoint::nextWake(const work_table &Work, instant Now) const {
  instant Wake = Never;
  for (attempt_id Attempt : InFlight) {
    const work_item &Item = Work.get(Attempt);
    const millis Margin = Item.State == work_state::abandoned
                              ? Settings.OccupancyMargin
                              : millis{0};
    Wake = std::min(Wake, Item.Deadline + Margin);
  }
  if (Queue->size() > 0) {
    Wake = std::min(Wake, latestStart(Queue->mostUrgent().Deadline));
    if (blockedUntil() > Now)
      Wake = std::min(Wake, blockedUntil());
  }
  if (!Granted)
    return Wake;
  if (Expiry > Now)
    Wake = std::min(Wake, Expiry);
  const instant Report =
      LastReport + (ReportDue ? Settings.ReportSpacing : Settings.ReportPeriod);
  return std::min({Wake, NextHealth, Report});
}

} // namespace bulrush::query
