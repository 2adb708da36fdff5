#include "relay/rollout_tally.h"

#include <algorithm>

namespace bulrush::relay {

namespace {

/// Time between two reports with the same share.
constexpr millis ReportInterval{300};

} // namespace

version_counts &rollout_tally::counts(const route_state *Route, bool IsTarget) {
  HasNews = true;
  route_counts &Counts = Routes[Route];
  return IsTarget ? Counts.New : Counts.Old;
}

void rollout_tally::addAnswer(const route_state *Route, bool IsTarget,
                              bool IsFailure, millis Elapsed) {
  version_counts &Counts = counts(Route, IsTarget);
  ++Counts.Answers;
  Counts.Failures += IsFailure ? 1 : 0;
  ++Counts.Latency[latencyBin(Elapsed)];
}

void rollout_tally::onSent(const route_state *Route, bool IsTarget) {
  HasNews = true; // the attempts in flight have changed
  if (IsTarget)
    ++counts(Route, true).Sent;
}

void rollout_tally::onEnded(const route_state *Route, bool IsTarget,
                            endpoint_no Endpoint, attempt_outcome Outcome,
                            millis Elapsed) {
  HasNews = true;
  // Whether a request that ended without a reply arrived is not known.
  const bool HasArrived = Outcome != attempt_outcome::not_sent &&
                          Outcome != attempt_outcome::unreachable &&
                          Outcome != attempt_outcome::overdue;
  if (!IsTarget && HasArrived)
    ++counts(Route, false).Sent;
  switch (Outcome) {
  case attempt_outcome::answered:
  case attempt_outcome::failed:
    addAnswer(Route, IsTarget, Outcome == attempt_outcome::failed, Elapsed);
    return;
  case attempt_outcome::unreachable:
    ++counts(Route, IsTarget).Unreachable;
    return;
  case attempt_outcome::overdue:
    Overdue.push_back({Endpoint, Route, IsTarget, Elapsed});
    return;
  case attempt_outcome::shed:
  case attempt_outcome::not_sent:
    return;
  }
}

void rollout_tally::onProbeEnded(endpoint_no Endpoint, bool HasReplied) {
  std::erase_if(Overdue, [&](const overdue_attempt &Each) {
    if (Each.Endpoint != Endpoint)
      return false;
    if (HasReplied) {
      if (!Each.IsTarget)
        ++counts(Each.Route, false).Sent;
      addAnswer(Each.Route, Each.IsTarget, false, Each.Elapsed);
    } else {
      ++counts(Each.Route, Each.IsTarget).Unreachable;
    }
    return true;
  });
}

const route_counts *rollout_tally::find(const route_state *Route) const {
  const auto Found = Routes.find(Route);
  return Found == Routes.end() ? nullptr : &Found->second;
}

bool rollout_tally::isReportDue(double Share, instant Now) const {
  return Share != ReportedShare || Now >= nextReport();
}

instant rollout_tally::nextReport() const {
  return HasNews ? ReportedAt + ReportInterval : Never;
}

void rollout_tally::onReported(const rollout_report &Report, instant Now) {
  HasNews = Report.OldInFlight + Report.NewInFlight > 0;
  ReportedShare = Report.Share;
  ReportedAt = Now;
}

} // namespace bulrush::relay
