#include "relay/limit_allocator.h"

#include <cmath>

namespace bulrush::relay {

namespace {

/// Part of a limit that all relays share evenly, whatever their demand, so that
/// a relay without any recent request can send one.
constexpr double EvenShare = 0.1;
/// Demands that were not reported again for this long no longer count. Relays
/// report every 300 ms.
constexpr millis DemandLifetime{1000};
/// Limits of which no relay has reported for this long are forgotten.
constexpr millis LimitLifetime{60'000};
/// A smaller change of a limit is told to the relays that report, not to all.
constexpr double NotableChange = 0.1;

} // namespace

/// Returns whether all relays should be told.
bool limit_allocator::applyStatement(limit_state &State,
                                     const limit_statement &Statement,
                                     instant Now) {
  const instant StatedAt = Now - Statement.Age;
  if (StatedAt <= State.StatedAt)
    return false;
  const std::optional<request_rate> Old = State.Limit;
  State.Limit = Statement.Limit;
  State.StatedAt = StatedAt;
  if (!Old || !State.Limit)
    return Old.has_value() != State.Limit.has_value();
  const double Change = std::abs(State.Limit->PerSecond - Old->PerSecond);
  return Change > Old->PerSecond * NotableChange;
}

request_rate limit_allocator::shareOf(const limit_state &State, vm_id Relay,
                                      std::uint32_t RelayCount) {
  double Sum = 0;
  for (const auto &[Vm, Each] : State.Demands)
    Sum += Each.Demand.PerSecond;
  const double Even = 1.0 / std::max(RelayCount, 1U);
  if (Sum <= 0)
    return *State.Limit * Even;
  const double OfDemand = State.Demands.at(Relay).Demand.PerSecond / Sum;
  return *State.Limit * (EvenShare * Even + (1 - EvenShare) * OfDemand);
}

limit_grant limit_allocator::toGrant(const endpoint_identity &Endpoint,
                                     const limit_state &State, instant Now) {
  return {{Endpoint, State.Limit, Now - State.StatedAt}, std::nullopt};
}

limit_allocator::outcome
limit_allocator::on(vm_id Relay, const std::vector<limit_report> &Reports,
                    std::uint32_t RelayCount, instant Now) {
  forgetOldLimits(Now);
  outcome Out;
  for (const limit_report &Each : Reports) {
    const endpoint_identity &Endpoint = Each.Statement.Endpoint;
    limit_state &State =
        Limits.try_emplace(Endpoint, limit_state{{}, instant{-1e300}, {}})
            .first->second;
    if (applyStatement(State, Each.Statement, Now))
      Out.News.push_back(toGrant(Endpoint, State, Now));
    forgetOldDemands(State, Now);
    State.Demands[Relay] = {Each.Demand, Now};
    Out.Grants.push_back(toGrant(Endpoint, State, Now));
    if (State.Limit)
      Out.Grants.back().Share = shareOf(State, Relay, RelayCount);
  }
  return Out;
}

std::vector<limit_grant> limit_allocator::current(instant Now) const {
  std::vector<limit_grant> Out;
  for (const auto &[Endpoint, State] : Limits)
    if (State.Limit)
      Out.push_back(toGrant(Endpoint, State, Now));
  return Out;
}

void limit_allocator::forgetOldDemands(limit_state &State, instant Now) {
  std::erase_if(State.Demands, [&](const auto &Each) {
    return Now - Each.second.ReportedAt > DemandLifetime;
  });
}

void limit_allocator::forgetOldLimits(instant Now) {
  std::erase_if(Limits, [&](const auto &Each) {
    return Now - Each.second.StatedAt > LimitLifetime;
  });
}

} // namespace bulrush::relay
