#include "relay/slices.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>
#include <xxhash.h>

namespace bulrush::relay {

namespace {

/// Catalogs whose slices are remembered.
constexpr std::size_t MaxKnown = 16;
/// Two relays of each zone ask the shards of a slice, one of them rarely.
constexpr std::size_t SharersInZone = 2;
/// A zone that holds this share of the shards holds a copy: while some of its
/// endpoints are replaced it still does.
constexpr double CopyShare = 0.5;

std::uint64_t weightOf(vm_id Peer, std::size_t Slice) {
  const std::uint64_t Key[] = {Peer.Value, Slice};
  return XXH3_64bits(Key, sizeof Key);
}

/// Places of the shards in the order of their names.
std::vector<std::size_t> byName(const std::vector<service_name> &Shards) {
  std::vector<std::size_t> Order(Shards.size());
  std::iota(Order.begin(), Order.end(), 0);
  std::sort(Order.begin(), Order.end(), [&](std::size_t A, std::size_t B) {
    return Shards[A] < Shards[B];
  });
  return Order;
}

} // namespace

void slice_map::setPeers(const std::vector<relay_peer> &Peers) {
  std::map<std::string, std::vector<vm_id>> New;
  New[Zone].push_back(Self);
  for (const relay_peer &Each : Peers)
    if (Each.Vm != Self)
      New[Each.Zone].push_back(Each.Vm);
  for (auto &[Name, Vms] : New)
    std::sort(Vms.begin(), Vms.end());
  if (New == Relays)
    return;
  Known.clear();
  Relays = std::move(New);
}

std::vector<std::string>
slice_map::hostsOf(const gather_rule &Rule,
                   const endpoint_places &Places) const {
  std::map<std::string, std::size_t> Held; ///< shards, by zone
  for (const service_name &Shard : Rule.Shards)
    for (const std::string &Each : Places.zonesOf(Shard))
      ++Held[Each];
  const double Least = CopyShare * static_cast<double>(Rule.Shards.size());
  std::vector<std::string> Out;
  for (const auto &[Name, Shards] : Held)
    if (static_cast<double>(Shards) >= Least && Relays.count(Name))
      Out.push_back(Name);
  return Out;
}

std::size_t slice_map::sharers(const gather_rule &Rule,
                               const endpoint_places &Places) const {
  const std::size_t Hosts = hostsOf(Rule, Places).size();
  return (Hosts == 0 ? std::max<std::size_t>(1, Relays.size()) : Hosts) *
         SharersInZone;
}

bool slice_map::isSliced(const gather_rule &Rule) const {
  const bool HasOthers =
      Relays.size() > 1 ||
      (Relays.size() == 1 && Relays.begin()->second.size() > 1);
  return Rule.Shards.size() >= Settings.LeastShards && HasOthers;
}

const std::vector<slice> &slice_map::slicesOf(const gather_rule &Rule,
                                              const endpoint_places &Places) {
  static const std::vector<slice> None;
  if (!isSliced(Rule))
    return None;
  const auto Found = Known.find(Rule.Shards);
  if (Found != Known.end())
    return Found->second;
  if (Known.size() >= MaxKnown)
    Known.clear();
  return Known[Rule.Shards] = cut(Rule, Places);
}

/// Shards go to slices in the order of their names. Where the own zone holds no
/// copy, its slices go to the zones that do in turn.
std::vector<slice> slice_map::cut(const gather_rule &Rule,
                                  const endpoint_places &Places) const {
  std::vector<std::string> Hosts = hostsOf(Rule, Places);
  const bool IsHost =
      std::find(Hosts.begin(), Hosts.end(), Zone) != Hosts.end();
  if (IsHost || Hosts.empty())
    Hosts = {Zone};
  std::size_t Count = static_cast<std::size_t>(
      std::lround(std::sqrt(static_cast<double>(Rule.Shards.size()))));
  for (const std::string &Host : Hosts)
    Count = std::min(Count, Relays.at(Host).size());
  std::map<std::string, std::vector<slice_relays>> Assigned;
  for (const std::string &Host : Hosts)
    Assigned[Host] = assign(Relays.at(Host), Count);
  std::vector<slice> Out(Count);
  for (std::size_t I = 0; I < Count; ++I) {
    const std::string &Host = Hosts[I % Hosts.size()];
    Out[I].First = Assigned[Host][I].First;
    Out[I].Second = Assigned[Host][I].Second;
    Out[I].IsFar = Host != Zone;
  }
  const std::vector<std::size_t> Order = byName(Rule.Shards);
  for (std::size_t I = 0; I < Order.size(); ++I)
    Out[I * Count / Order.size()].Shards.push_back(Order[I]);
  return Out;
}

/// Each slice goes to the relay with the greatest weight that asks no other
/// slice yet.
std::vector<slice_map::slice_relays>
slice_map::assign(const std::vector<vm_id> &Relays, std::size_t Slices) {
  std::vector<slice_relays> Out(Slices);
  std::set<vm_id> Used;
  for (std::size_t I = 0; I < Slices; ++I) {
    std::vector<vm_id> Ranked = Relays;
    std::sort(Ranked.begin(), Ranked.end(), [&](vm_id A, vm_id B) {
      return weightOf(A, I) > weightOf(B, I);
    });
    const auto Free =
        std::find_if(Ranked.begin(), Ranked.end(),
                     [&](vm_id Each) { return !Used.count(Each); });
    Out[I].First = Free == Ranked.end() ? Ranked.front() : *Free;
    Used.insert(Out[I].First);
    const auto Other =
        std::find_if(Ranked.begin(), Ranked.end(),
                     [&](vm_id Each) { return Each != Out[I].First; });
    if (Other != Ranked.end())
      Out[I].Second = *Other;
  }
  return Out;
}

} // namespace bulrush::relay
