/// Tells a relay that reaches no endpoint from one some of whose endpoints are
/// down.
#pragma once

#include "relay/endpoint_state.h"

#include <set>

namespace bulrush::relay {

/// Counts the endpoints that were expected to reply and did not, since any
/// endpoint was last heard. Reach is in doubt once there are several of them.
/// The owner then probes other endpoints, and reach is lost if none of these
/// is heard for a while either. One reply from any endpoint restores it;
/// further endpoints are probed until then, as those that were lost may never
/// return.
class reach_monitor {
public:
  /// Bytes of an endpoint arrived.
  void onHeard();
  /// An attempt or a probe ended without any byte of the endpoint.
  void onUnheard(endpoint_no Endpoint, instant Now);
  /// Returns whether endpoints that are not in `unheard` are to be probed now;
  /// once for each time.
  bool takeProbesDue(instant Now);
  /// Returns whether reach was lost or restored since the last call.
  bool update(instant Now);

  bool isLost() const { return IsLost; }
  /// Whether the silence of an endpoint may come from this relay's own path.
  bool isInDoubt() const { return DoubtSince < Never; }
  /// When a doubt becomes a loss unless an endpoint is heard, or the next
  /// probes are due; `Never` if reach is not in doubt.
  instant nextDue() const;
  /// Endpoints that did not reply since one was last heard.
  const std::set<endpoint_no> &unheard() const { return Unheard; }
  /// How long reach has been in doubt or lost; 0 if it is not.
  millis doubtTime(instant Now) const;

private:
  /// When a doubt becomes a loss; `Never` if it is one, or there is no doubt.
  instant lossDue() const;

  std::set<endpoint_no> Unheard;
  instant DoubtSince = Never;
  instant ProbesAt = Never;
  bool IsLost = false;
  bool WasLost = false; ///< at the last call of `update`
};

} // namespace bulrush::relay
