/// Counts how the requests of one relay fare during one rollout.
#pragma once

#include "relay/endpoint_state.h"
#include "relay/rollout_report.h"

#include <map>

namespace bulrush::relay {

struct route_state;

/// What an ended attempt says about the version of its endpoint.
enum class attempt_outcome : std::uint8_t {
  answered,
  failed,
  unreachable, ///< no reply: the endpoint or its connection was lost
  overdue,     ///< cancelled without a reply; the endpoint may be slow or down
  shed,        ///< the endpoint shed it or is cold
  not_sent     ///< cancelled, or it reached no endpoint
};

/// Cumulative counts by route and version.
///
/// The exposure of a version that turns out to be bad is bounded by a share of
/// the requests that reach the service. Attempts to the target therefore count
/// as sent from the start, others once they have ended after reaching an
/// endpoint.
class rollout_tally {
public:
  explicit rollout_tally(rollout_id Rollout) : Rollout(Rollout) {}

  rollout_id rollout() const { return Rollout; }
  void onSent(const route_state *Route, bool IsTarget);
  /// Records the end of an attempt that ran for `Elapsed`. An overdue one is
  /// held until a probe tells whether the endpoint is down.
  void onEnded(const route_state *Route, bool IsTarget, endpoint_no Endpoint,
               attempt_outcome Outcome, millis Elapsed);
  /// Applies the result of a probe to the overdue attempts: they count as
  /// answers that took as long as they ran if the endpoint replied, else as
  /// unreachable.
  void onProbeEnded(endpoint_no Endpoint, bool HasReplied);

  /// Counts of a route; null if it has none.
  const route_counts *find(const route_state *Route) const;

  /// Whether a report is due: counts or the share have changed. A changed share
  /// and a first report are due at once.
  bool isReportDue(double Share, instant Now) const;
  /// When the next report is due if the share stays the same.
  instant nextReport() const;
  /// With attempts in flight another report follows: the end of one that was
  /// sent before the rollout is not counted here.
  void onReported(const rollout_report &Report, instant Now);
  /// The registry has another leader, which needs all counts.
  void reportAgain() { ReportedShare = -1; }

private:
  struct overdue_attempt {
    endpoint_no Endpoint;
    const route_state *Route;
    bool IsTarget;
    millis Elapsed;
  };

  version_counts &counts(const route_state *Route, bool IsTarget);
  void addAnswer(const route_state *Route, bool IsTarget, bool IsFailure,
                 millis Elapsed);

  rollout_id Rollout;
  std::map<const route_state *, route_counts> Routes;
  std::vector<overdue_attempt> Overdue;
  bool HasNews = false;      ///< since the last report
  double ReportedShare = -1; ///< -1: not reported yet
  instant ReportedAt{-1e300};
};

} // namespace bulrush::relay
