/// Refuses whole queries early if endpoints refuse their sub-requests.
#pragma once

#include "bulrushtray/clock.h"
#include "query/router_settings.h"

namespace bulrush::query {

/// Limits the admitted queries of one intent to slightly more than have
/// succeeded recently, and refuses the others before anything is sent.
///
/// Under overload each owner refuses the sub-requests that it cannot serve in
/// time. Of a query to many shards, some sub-requests are nearly always
/// refused, so that few queries would succeed although all of them cause work.
class admission_throttle {
public:
  /// Returns whether to admit a query that arrives now. `Draw` is a random
  /// number in [0, 1).
  bool admit(const throttle_settings &Settings, instant Now, double Draw);

  /// Records the end of an admitted query. Any end counts as a success, except
  /// a failure caused by load.
  void onQueryEnded(const throttle_settings &Settings, instant Now,
                    bool FailedByLoad);

  /// Forgets a query that was admitted at `AdmittedAt` and whose caller left:
  /// its outcome is not known.
  void onQueryAbandoned(const throttle_settings &Settings, instant AdmittedAt,
                        instant Now);

private:
  void decay(const throttle_settings &Settings, instant Now);

  double Arrived = 0;   ///< exponentially decayed count
  double Succeeded = 0; ///< exponentially decayed count
  instant DecayedAt;
};

} // namespace bulrush::query
