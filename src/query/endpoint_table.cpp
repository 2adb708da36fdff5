#include "query/endpoint_table.h"

#include <algorithm>

namespace bulrush::query {

namespace {

template <class T> bool includes(const std::vector<T> &Items, T Item) {
  return std::find(Items.begin(), Items.end(), Item) != Items.end();
}

} // namespace

endpoint_table::endpoint_table(const deployment &Deployment,
                               millis InitialLatency)
    : Views(Deployment.Endpoints.size()) {
  for (const endpoint &Endpoint : Deployment.Endpoints) {
    endpoint_view &View = (*this)[Endpoint.Id];
    View.Pool = Endpoint.Pool;
    View.Zone = Endpoint.Zone;
    View.Slots = Endpoint.Limits.Slots;
    View.LatencyMs = static_cast<float>(InitialLatency.Count);
  }
}

void endpoint_table::applyConfig(const fleet_config &Config) {
  for (endpoint_view &View : Views) {
    View.ZoneOut = includes(Config.ZonesOut, View.Zone);
    View.Leaving = false;
  }
  for (const endpoint_id Id : Config.Leaving)
    if (contains(Id))
      (*this)[Id].Leaving = true;
}

void endpoint_table::setOwners(const membership &Membership,
                               const owner_directory &Owners) {
  for (std::uint32_t Number = 0; Number < Views.size(); ++Number) {
    endpoint_view &View = Views[Number];
    std::optional<vm_id> Owner;
    if (!Membership.Live.empty())
      Owner = Owners.ownerOf(Membership.Live, endpoint_id{Number});
    if (Owner != View.Owner)
      View.OwnerReported = false;
    View.Owner = Owner;
    View.OwnerSuspected = Owner && includes(Suspected, *Owner);
  }
}

void endpoint_table::setSuspected(vm_id Owner, bool IsSuspected) {
  std::erase(Suspected, Owner);
  if (IsSuspected)
    Suspected.push_back(Owner);
  for (endpoint_view &View : Views)
    if (View.Owner == Owner)
      View.OwnerSuspected = IsSuspected;
}

report_effect endpoint_table::applyReport(vm_id From,
                                          const endpoint_report &Report) {
  endpoint_view &View = (*this)[Report.Endpoint];
  const bool IsOwner = View.Owner == From;
  if (!IsOwner && View.OwnerReported)
    return report_effect::ignored;
  View.OwnerReported |= IsOwner;
  View.Queued = Report.Queued;
  const bool Changed =
      View.Condition != Report.Condition || View.Limit != Report.Limit;
  View.Condition = Report.Condition;
  View.Limit = Report.Limit;
  return Changed ? report_effect::changed : report_effect::unchanged;
}

} // namespace bulrush::query
