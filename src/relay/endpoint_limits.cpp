// Rate limits that endpoints state, and the part that this relay may use.
#include "relay/endpoint_set.h"

#include <algorithm>
#include <utility>

namespace bulrush::relay {

namespace {

/// Time between two reports to the registry's leader.
constexpr millis ReportInterval{300};
/// The same if there is something new to report.
constexpr millis MinReportInterval{50};
/// Hysteresis: a higher limit is observed once the endpoint has stated no lower
/// one for this long.
constexpr millis RaiseDelay{4000};
/// Lower demands are not reported; their share expires.
constexpr request_rate MinReportedDemand{0.05};

} // namespace

void endpoint_set::onRateLimit(endpoint_state &Endpoint,
                               std::optional<request_rate> Limit,
                               instant SentAt, instant Now,
                               relay_actions &Out) {
  if (Endpoint.isRemoved())
    return;
  const std::optional<endpoint_state::rate_limit> &Old = Endpoint.rateLimit();
  const bool IsEarlyRaise =
      Limit && Old && *Limit > Old->Rate && Now - Old->LowAt < RaiseDelay;
  if (IsEarlyRaise)
    return;
  if (Limit) {
    const bool IsNews = !Old || Old->Rate != *Limit;
    applyRateLimit(Endpoint, *Limit, Now, Now, Out);
    if (IsNews)
      Endpoint.markLimitUnreported();
    IsLimitReportDue |= IsNews;
    return;
  }
  // A reply that overtook the one with the limit does not lift it.
  if (!Old || SentAt <= Endpoint.limitStatedAt())
    return;
  IsLimitReportDue = true;
  Lifted.push_back({Endpoint.listed().Identity, {}, {}});
  liftRateLimit(Endpoint, Now, Out);
}

void endpoint_set::applyRateLimit(endpoint_state &Endpoint, request_rate Limit,
                                  instant StatedAt, instant Now,
                                  relay_actions &Out) {
  const bool IsNew = Limited.insert(Endpoint.number()).second;
  const bool IsChanged = IsNew || Endpoint.rateLimit()->Rate != Limit;
  const double Phase = static_cast<double>(Random() % 1024) / 1024;
  Endpoint.setRateLimit(Limit, evenShare(Limit), Phase, StatedAt, Now);
  if (!IsChanged)
    return;
  auto LogEvent =
      makeLogEvent(Endpoint, IsNew ? endpoint_state_change::rate_limited
                                   : endpoint_state_change::rate_limit_changed);
  LogEvent.RateLimit = Limit;
  Out.push_back(std::move(LogEvent));
}

void endpoint_set::liftRateLimit(endpoint_state &Endpoint, instant StatedAt,
                                 relay_actions &Out) {
  auto LogEvent =
      makeLogEvent(Endpoint, endpoint_state_change::rate_limit_lifted);
  LogEvent.SentUnderLimit = Endpoint.rateLimit()->Sent;
  Out.push_back(std::move(LogEvent));
  Endpoint.liftRateLimit(StatedAt);
  Limited.erase(Endpoint.number());
  Asking.erase(Endpoint.number());
}

request_rate endpoint_set::evenShare(request_rate Limit) const {
  return observedLimit(Limit) * (1.0 / RelayCount);
}

void endpoint_set::askForTurn(endpoint_state &Endpoint, instant By,
                              instant Now) {
  if (!Endpoint.turns().shouldAsk(Now))
    return;
  Endpoint.turns().onAsked(Now);
  Asking[Endpoint.number()] = By - Now;
}

void endpoint_set::apply(const limit_statement &Statement,
                         endpoint_state &Endpoint, instant Now,
                         relay_actions &Out) {
  const instant StatedAt = Now - Statement.Age;
  if (StatedAt <= Endpoint.limitStatedAt())
    return;
  if (Statement.Limit)
    applyRateLimit(Endpoint, *Statement.Limit, StatedAt, Now, Out);
  else if (Endpoint.rateLimit())
    liftRateLimit(Endpoint, StatedAt, Out);
}

void endpoint_set::on(const limit_grants_arrived &Event, instant Now,
                      relay_actions &Out) {
  for (const limit_grant &Each : Event.Grants) {
    const auto Known = ByIdentity.find(Each.Statement.Endpoint);
    if (Known == ByIdentity.end())
      continue;
    endpoint_state &Endpoint = *Endpoints.at(Known->second);
    apply(Each.Statement, Endpoint, Now, Out);
    if (Endpoint.rateLimit())
      Endpoint.turns().on(Each, Now);
  }
}

instant endpoint_set::nextLimitReport() const {
  if (!Asking.empty())
    return LimitsReportedAt;
  if (IsLimitReportDue)
    return LimitsReportedAt + MinReportInterval;
  return Limited.empty() ? Never : LimitsReportedAt + ReportInterval;
}

/// A turn that is asked for is reported at once, alone unless a report of all
/// limits is due too.
void endpoint_set::reportLimits(instant Now, relay_actions &Out) {
  if (Now < nextLimitReport())
    return;
  const std::map<endpoint_no, millis> Askers = std::exchange(Asking, {});
  const bool IsFull = Now >= nextLimitReport();
  if (IsFull) {
    LimitsReportedAt = Now;
    IsLimitReportDue = false;
  }
  send_limit_reports Action;
  if (IsFull)
    for (const limit_statement &Each : std::exchange(Lifted, {}))
      Action.Reports.push_back({Each, {}, {}});
  for (const endpoint_no No : Limited) {
    const auto Ask = Askers.find(No);
    const bool IsAsking = Ask != Askers.end();
    if (!IsFull && !IsAsking)
      continue;
    limit_report Report = makeLimitReport(*Endpoints.at(No), Now);
    if (IsAsking)
      Report.WantsTurnWithin = Ask->second;
    if (Endpoints.at(No)->markLimitReported() || IsAsking ||
        Report.Demand >= MinReportedDemand)
      Action.Reports.push_back(std::move(Report));
  }
  if (!Action.Reports.empty())
    Out.push_back(std::move(Action));
}

limit_report endpoint_set::makeLimitReport(endpoint_state &Endpoint,
                                           instant Now) {
  Endpoint.turns().refresh(Now);
  limit_report Out;
  Out.Statement = {Endpoint.listed().Identity, Endpoint.rateLimit()->Rate,
                   Now - Endpoint.limitStatedAt()};
  Out.Demand = Endpoint.rateLimit()->Demand.rate(Now);
  return Out;
}

void endpoint_set::reportInvalidRateLimit(const endpoint_state &Endpoint,
                                          relay_actions &Out) {
  Out.push_back(
      makeLogEvent(Endpoint, endpoint_state_change::invalid_rate_limit));
}

} // namespace bulrush::relay
