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

std::uint64_t weightOf(vm_id Peer, std::size_t Slice) {
  const std::uint64_t Key[] = {Peer.Value, Slice};
  return XXH3_64bits(Key, sizeof Key);
}

} // namespace

void slice_map::setPeers(const std::vector<relay_peer> &Peers) {
  std::set<std::string> Names{Zone};
  std::set<vm_id> InZone{Self};
  for (const relay_peer &Each : Peers) {
    Names.insert(Each.Zone);
    if (Each.Zone == Zone)
      InZone.insert(Each.Vm);
  }
  const std::vector<vm_id> New(InZone.begin(), InZone.end());
  if (New != ZonePeers)
    Known.clear();
  ZonePeers = New;
  Zones = Names.size();
}

std::size_t slice_map::sharers() const { return Zones * SharersInZone; }

bool slice_map::isSliced(const gather_rule &Rule) const {
  return Rule.Shards.size() >= Settings.LeastShards && ZonePeers.size() > 1;
}

const std::vector<slice> &slice_map::slicesOf(const gather_rule &Rule) {
  static const std::vector<slice> None;
  if (!isSliced(Rule))
    return None;
  const auto Found = Known.find(Rule.Shards);
  if (Found != Known.end())
    return Found->second;
  if (Known.size() >= MaxKnown)
    Known.clear();
  return Known[Rule.Shards] = cut(Rule);
}

/// Shards go to slices in the order of their names, and each slice to the relay
/// with the greatest weight that asks no other slice yet.
std::vector<slice> slice_map::cut(const gather_rule &Rule) const {
  std::vector<std::size_t> Order(Rule.Shards.size());
  std::iota(Order.begin(), Order.end(), 0);
  std::sort(Order.begin(), Order.end(), [&](std::size_t A, std::size_t B) {
    return Rule.Shards[A] < Rule.Shards[B];
  });
  const auto Root = static_cast<std::size_t>(
      std::lround(std::sqrt(static_cast<double>(Order.size()))));
  std::vector<slice> Out(std::min(Root, ZonePeers.size()));
  for (std::size_t I = 0; I < Order.size(); ++I)
    Out[I * Out.size() / Order.size()].Shards.push_back(Order[I]);
  std::set<vm_id> Used;
  for (std::size_t I = 0; I < Out.size(); ++I) {
    std::vector<vm_id> Ranked = ZonePeers;
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
