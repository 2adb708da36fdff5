/// What the router of one daemon knows of each endpoint.
#pragma once

#include "bulrushtray/fleet_config.h"
#include "query/messages.h"
#include "query/owner_directory.h"

#include <optional>

namespace bulrush::query {

/// One endpoint.
struct endpoint_view {
  pool_id Pool;
  zone_id Zone;
  std::optional<vm_id> Owner;
  endpoint_condition Condition = endpoint_condition::unknown;
  std::uint32_t Slots = 1;
  std::uint32_t Limit = 0;
  std::uint32_t Queued = 0;
  std::uint32_t Outstanding = 0; ///< attempts of this daemon without a reply
  float LatencyMs = 0;           ///< recent mean, seen by this daemon
  bool ZoneOut = false;
  bool Leaving = false;
  bool OwnerSuspected = false;
  bool OwnerReported = false; ///< the present owner has reported it

  /// Whether new work may go there at all.
  bool usable() const {
    return Owner && !OwnerSuspected && !ZoneOut && !Leaving &&
           Condition != endpoint_condition::leaving &&
           Condition != endpoint_condition::lost;
  }
};

/// What a report has changed.
enum class report_effect : std::uint8_t {
  ignored,   ///< it is not the owner's
  unchanged, ///< nothing that choices depend on
  changed
};

/// All endpoints of the deployment, at the place of their number.
class endpoint_table {
public:
  endpoint_table(const deployment &Deployment, millis InitialLatency);

  const endpoint_view &operator[](endpoint_id Id) const {
    return Views[Id.Value];
  }
  endpoint_view &operator[](endpoint_id Id) { return Views[Id.Value]; }
  bool contains(endpoint_id Id) const { return Id.Value < Views.size(); }
  std::size_t size() const { return Views.size(); }

  /// Takes the zones and endpoints that are out.
  void applyConfig(const fleet_config &Config);

  /// Names the owners anew.
  void setOwners(const membership &Membership, const owner_directory &Owners);

  /// Marks the endpoints of an owner that is suspected, or no longer.
  void setSuspected(vm_id Owner, bool Suspected);

  /// Takes a report, also from a daemon that does not own the endpoint as long
  /// as its owner has not reported.
  report_effect applyReport(vm_id From, const endpoint_report &Report);

private:
  std::vector<endpoint_view> Views;
  std::vector<vm_id> Suspected;
};

} // namespace bulrush::query
