// Rate limits that endpoints state, and the part that this relay may use.
#include "relay/endpoint_set.h"

#include <algorithm>
#include <utility>

namespace bulrush::relay {

namespace {

/// A lower limit counts as this. An endpoint that gets no requests at all could
/// not state that it takes them again.
constexpr request_rate MinRateLimit{0.1};
/// Time between two reports to the registry's leader.
constexpr millis ReportInterval{300};
/// The same if there is something new to report.
constexpr millis MinReportInterval{50};
/// A share that was not granted again for this long has expired.
constexpr millis GrantLifetime{3000};
/// Lower demands are not reported; their share expires.
constexpr request_rate MinReportedDemand{0.05};

endpoint_log_event makeLogEvent(const endpoint_state &Endpoint,
                                endpoint_state_change Change) {
  endpoint_log_event Out;
  Out.Instance = Endpoint.listed().Identity.Instance;
  Out.Service = Endpoint.listed().Service;
  Out.Change = Change;
  return Out;
}

} // namespace

void endpoint_set::onRateLimit(endpoint_state &Endpoint,
                               std::optional<request_rate> Limit,
                               instant SentAt, instant Now,
                               relay_actions &Out) {
  const std::optional<endpoint_state::rate_limit> &Old = Endpoint.rateLimit();
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
  Endpoint.setRateShare(shareOf(*Endpoint.rateLimit(), Now), Now);
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
}

request_rate endpoint_set::evenShare(request_rate Limit) const {
  return std::max(Limit, MinRateLimit) * (1.0 / RelayCount);
}

/// The granted share, else an even one: even shares of all relays sum up to the
/// limit.
request_rate endpoint_set::shareOf(const endpoint_state::rate_limit &Limit,
                                   instant Now) const {
  const bool IsGranted = Limit.Share && Now - Limit.GrantedAt < GrantLifetime;
  return IsGranted && *Limit.Share > request_rate{} ? *Limit.Share
                                                    : evenShare(Limit.Rate);
}

void endpoint_set::refreshShares(instant Now) {
  for (const endpoint_no No : Limited) {
    endpoint_state &Endpoint = *Endpoints.at(No);
    Endpoint.setRateShare(shareOf(*Endpoint.rateLimit(), Now), Now);
  }
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
    if (Endpoint.rateLimit() && Each.Share)
      Endpoint.grantShare(*Each.Share, Now);
  }
  refreshShares(Now);
}

instant endpoint_set::nextLimitReport() const {
  if (IsLimitReportDue)
    return LimitsReportedAt + MinReportInterval;
  return Limited.empty() ? Never : LimitsReportedAt + ReportInterval;
}

void endpoint_set::reportLimits(instant Now, relay_actions &Out) {
  if (Now < nextLimitReport())
    return;
  LimitsReportedAt = Now;
  IsLimitReportDue = false;
  refreshShares(Now);
  send_limit_reports Action;
  for (const limit_statement &Each : std::exchange(Lifted, {}))
    Action.Reports.push_back({Each, {}});
  for (const endpoint_no No : Limited) {
    endpoint_state &Endpoint = *Endpoints.at(No);
    const request_rate Demand = Endpoint.rateLimit()->Demand.rate(Now);
    if (Endpoint.markLimitReported() || Demand >= MinReportedDemand)
      Action.Reports.push_back(
          {{Endpoint.listed().Identity, Endpoint.rateLimit()->Rate,
            Now - Endpoint.limitStatedAt()},
           Demand});
  }
  if (!Action.Reports.empty())
    Out.push_back(std::move(Action));
}

void endpoint_set::reportInvalidRateLimit(const endpoint_state &Endpoint,
                                          relay_actions &Out) {
  Out.push_back(
      makeLogEvent(Endpoint, endpoint_state_change::invalid_rate_limit));
}

} // namespace bulrush::relay
