/// State that the router of one daemon keeps for each endpoint.
#pragma once

#include "bulrushtray/fleet_config.h"
#include "query/messages.h"
#include "query/owner_directory.h"

#include <optional>

namespace bulrush::query {

/// State of one endpoint as the router knows it.
struct endpoint_view {
  pool_id Pool;
  zone_id Zone;
  std::optional<vm_id> Owner;
  endpoint_condition Condition = endpoint_condition::unknown;
  std::uint32_t Slots = 1;
  std::uint32_t Limit = 0;       ///< limit of its owner on requests in flight
  std::uint32_t Queued = 0;      ///< sub-requests queued at its owner
  std::uint32_t Outstanding = 0; ///< attempts of this router without a reply
  float LatencyMs = 0;           ///< recent mean, measured by this router
  bool ZoneOut = false;
  bool Leaving = false;
  bool OwnerSuspected = false;
  bool OwnerReported = false; ///< the current owner has reported it

  /// Whether the router may send sub-requests to the endpoint.
  bool usable() const {
    return Owner && !OwnerSuspected && !ZoneOut && !Leaving &&
           Condition != endpoint_condition::leaving &&
           Condition != endpoint_condition::lost;
  }
};

/// Effect of a report on the table.
enum class report_effect : std::uint8_t {
  ignored,   ///< not from the owner, which has reported already
  unchanged, ///< condition and limit stay the same
  changed
};

/// All endpoints of the deployment, indexed by endpoint id.
class endpoint_table {
public:
  endpoint_table(const deployment &Deployment, millis InitialLatency);

  const endpoint_view &operator[](endpoint_id Id) const {
    return Views[Id.Value];
  }
  endpoint_view &operator[](endpoint_id Id) { return Views[Id.Value]; }
  bool contains(endpoint_id Id) const { return Id.Value < Views.size(); }
  std::size_t size() const { return Views.size(); }

  /// Updates which zones are out and which endpoints are leaving.
  void applyConfig(const fleet_config &Config);

  /// Recomputes the owner of every endpoint for a new membership.
  void setOwners(const membership &Membership, const owner_directory &Owners);

  /// Sets or clears the suspicion that an owner is unreachable.
  void setSuspected(vm_id Owner, bool Suspected);

  /// Applies a report. Reports of daemons that do not own the endpoint count
  /// only until its owner has reported.
  report_effect applyReport(vm_id From, const endpoint_report &Report);

private:
  std::vector<endpoint_view> Views;
  std::vector<vm_id> Suspected;
};

} // namespace bulrush::query
