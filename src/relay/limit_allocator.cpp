#include "relay/limit_allocator.h"

#include <cmath>

namespace bulrush::relay {

namespace {

/// Part of a limit that is left for relays without a share, whatever the demand
/// of the others.
constexpr double ReservedPart = 0.1;
/// A relay with a lower share asks for turns: it would let most turns of its
/// own lapse.
constexpr request_rate MinShare{1};
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

request_rate limit_allocator::totalDemand(const limit_state &State) {
  request_rate Sum;
  for (const auto &[Vm, Each] : State.Demands)
    Sum.PerSecond += Each.Demand.PerSecond;
  return Sum;
}

/// The share of a relay with the demand `Own`; 0 if it is to ask for turns.
request_rate limit_allocator::shareOf(request_rate Limit, request_rate Own,
                                      request_rate Total) {
  if (Total <= request_rate{})
    return {};
  const request_rate Share =
      Limit * ((1 - ReservedPart) * Own.PerSecond / Total.PerSecond);
  return Share < MinShare ? request_rate{} : Share;
}

void limit_allocator::grant(limit_state &State, const limit_report &Report,
                            limit_grant &Out, instant Now) {
  const request_rate Limit = observedLimit(*State.Limit);
  const request_rate Total = totalDemand(State);
  request_rate Left = Limit;
  for (const auto &[Vm, Each] : State.Demands)
    Left.PerSecond -= shareOf(Limit, Each.Demand, Total).PerSecond;
  Left = std::max(Left, MinRateLimit);
  if (!State.Turns)
    State.Turns.emplace(Left, 0, Now);
  State.Turns->setRate(Left, Now);
  Out.Share = shareOf(Limit, Report.Demand, Total);
  if (!Report.WantsTurnWithin)
    return;
  const millis Delay = std::max(millis{0}, State.Turns->nextTurn(Now) - Now);
  if (Delay > *Report.WantsTurnWithin) {
    Out.AskAgainIn = Delay;
    return;
  }
  State.Turns->take(Now);
  Out.TurnIn = Delay;
}

limit_grant limit_allocator::toGrant(const endpoint_identity &Endpoint,
                                     const limit_state &State, instant Now) {
  limit_grant Out;
  Out.Statement = {Endpoint, State.Limit, Now - State.StatedAt};
  return Out;
}

limit_allocator::outcome
limit_allocator::on(vm_id Relay, const std::vector<limit_report> &Reports,
                    instant Now) {
  forgetOldLimits(Now);
  outcome Out;
  for (const limit_report &Each : Reports) {
    const endpoint_identity &Endpoint = Each.Statement.Endpoint;
    limit_state &State =
        Limits.try_emplace(Endpoint, limit_state{{}, instant{-1e300}, {}, {}})
            .first->second;
    if (applyStatement(State, Each.Statement, Now))
      Out.News.push_back(toGrant(Endpoint, State, Now));
    forgetOldDemands(State, Now);
    State.Demands[Relay] = {Each.Demand, Now};
    Out.Grants.push_back(toGrant(Endpoint, State, Now));
    if (State.Limit)
      grant(State, Each, Out.Grants.back(), Now);
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
