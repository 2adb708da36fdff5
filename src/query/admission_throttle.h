/// Refuses whole queries early when endpoints refuse their parts.
#pragma once

#include "bulrushtray/clock.h"
#include "query/router_settings.h"

namespace bulrush::query {

/// Under overload each owner refuses the sub-requests that it cannot serve in
/// time. Of a query to many shards nearly always some are refused, so that few
/// queries succeed while all cost work. The throttle admits only slightly more
/// queries than have succeeded lately; the others are refused before anything
/// is sent. One for each intent.
class admission_throttle {
public:
  /// Whether a query that arrives now is admitted. `Draw` is a random number in
  /// [0, 1).
  bool admit(const throttle_settings &Settings, instant Now, double Draw);

  /// A query has ended. Only failures by load count against its intent.
  void ended(const throttle_settings &Settings, instant Now, bool FailedByLoad);

private:
  void decay(const throttle_settings &Settings, instant Now);

  double Arrived = 0;   ///< decayed count
  double Succeeded = 0; ///< decayed count
  instant DecayedAt;
};

} // namespace bulrush::query
