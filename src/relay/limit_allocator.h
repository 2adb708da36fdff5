/// Divides the rate limits that endpoints state among the relays.
#pragma once

#include "relay/rate_limits.h"
#include "relay/request_pacer.h"

#include <map>
#include <vector>

namespace bulrush::relay {

/// Kept in the memory of the registry's leader. A relay with enough demand gets
/// a share of a limit in proportion to it. What is left is granted turn by turn
/// to the relays that ask. Deterministic, no I/O.
class limit_allocator {
public:
  struct outcome {
    std::vector<limit_grant> Grants; ///< for the reporting relay
    std::vector<limit_grant> News;   ///< for all relays
  };
  /// Applies the reports of one relay.
  outcome on(vm_id Relay, const std::vector<limit_report> &Reports,
             instant Now);
  /// The limits in force, for a relay that has just come.
  std::vector<limit_grant> current(instant Now) const;
  std::size_t count() const { return Limits.size(); }
  void clear() { Limits.clear(); }

private:
  struct relay_demand {
    request_rate Demand;
    instant ReportedAt;
  };
  struct limit_state {
    std::optional<request_rate> Limit;
    instant StatedAt;
    std::map<vm_id, relay_demand> Demands;
    /// Turns for relays without a share.
    std::optional<request_pacer> Turns;
  };

  static bool applyStatement(limit_state &State,
                             const limit_statement &Statement, instant Now);
  static request_rate totalDemand(const limit_state &State);
  static request_rate shareOf(request_rate Limit, request_rate Own,
                              request_rate Total);
  static void grant(limit_state &State, const limit_report &Report,
                    limit_grant &Out, instant Now);
  static limit_grant toGrant(const endpoint_identity &Endpoint,
                             const limit_state &State, instant Now);
  static void forgetOldDemands(limit_state &State, instant Now);
  void forgetOldLimits(instant Now);

  std::map<endpoint_identity, limit_state> Limits;
};

} // namespace bulrush::relay
