#include "query/owned_endpoint.h"

#include <algorithm>

namespace bulrush::query {

owned_endpoint::owned_endpoint(const endpoint &Definition,
                               const owner_settings &Settings,
                               std::pmr::memory_resource &Memory)
    : Definition(Definition), Settings(Settings),
      Queue(makeQueue(Settings.Admission, Memory)),
      ColdStart(makeColdStart(Settings, Definition.Limits.Slots)),
      Limit(Definition.Limits.Slots, Settings.LimitRaiseReplies),
      Service(Settings.InitialServiceTime), Gate(Settings),
      MeanSlotTime(Settings.InitialServiceTime) {
  InFlight.reserve(Definition.Limits.Slots);
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

std::uint32_t owned_endpoint::currentLimit(instant Now) const {
  return Now < blockedUntil() ? 0 : concurrencyLimit();
}

std::uint32_t owned_endpoint::concurrencyLimit() const {
  return std::min(ColdStart->allowedSlots(), Limit.limit());
}

instant owned_endpoint::blockedUntil() const {
  return std::max(InheritedUntil, ColdStart->blockedUntil());
}

void owned_endpoint::addServiceTime(millis Elapsed) {
  constexpr millis MinSlotTime{0.01};
  Service.add(Elapsed);
  MeanSlotTime += (Elapsed - MeanSlotTime) * Settings.CapacityGain;
  MeanSlotTime = std::max(MeanSlotTime, MinSlotTime);
}

admission_estimate owned_endpoint::estimate(const queued_work &Work,
                                            instant Now) const {
  const instant Start = std::max(Now, blockedUntil());
  admission_estimate Result{Start - Now,
                            Service.upperBound(Settings.SlackDeviations)};
  const double Slots = concurrencyLimit();
  const double InUse = static_cast<double>(InFlight.size());
  if (Queue->size() == 0 && InUse < Slots)
    return Result;
  const double ExcessInFlight = std::max(0.0, InUse - Slots);
  const double RequestsAhead = Queue->countAhead(Work) + ExcessInFlight + 1;
  Result.Wait += Service.mean() * (RequestsAhead / Slots);
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
  if (!ColdStart->isWarm())
    return endpoint_condition::cold;
  if (Limit.limit() < Definition.Limits.Slots)
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
      LastReport + (HasUnreportedChange ? Settings.MinReportInterval
                                        : Settings.ReportPeriod);
  return std::min({Wake, NextHealthCheck, Report});
}

} // namespace bulrush::query
