#include "relay/slices.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <xxhash.h>

namespace bulrush::relay {

namespace {

/// Catalogs whose slices are remembered.
constexpr std::size_t MaxKnown = 16;
/// Relays of each zone that ask the same shard: for queries of their own zone
/// and for others, and the relays that take over from these.
constexpr std::size_t SharersInZone = 3;

std::uint64_t weightOf(vm_id Peer, std::size_t Slice) {
  const std::uint64_t Key[] = {Peer.Value, Slice};
  return XXH3_64bits(Key, sizeof Key);
}

bool contains(const std::vector<std::string> &Set, const std::string &Zone) {
  return std::find(Set.begin(), Set.end(), Zone) != Set.end();
}

} // namespace

/// One shard of a query that is cut.
struct slice_planner::shard_place {
  std::size_t Place = 0;          ///< in the query
  std::size_t Part = 0;           ///< of the index, alike in all zones
  std::vector<std::string> Zones; ///< that hold it
};

/// The relays of one part of the index in one zone.
struct slice_planner::slice_relays {
  vm_id Primary;
  vm_id Backup;
};

/// Cuts one query. The shards in the order of their names form as many parts of
/// the index as there are slices; in each zone each part has its relays.
class slice_planner::cutter {
public:
  cutter(const slice_planner &Map, const gather_rule &Rule,
         const zone_lookup &Places)
      : Map(Map), Parts(partsOf(Rule.Shards.size())) {
    for (std::size_t I = 0; I < Rule.Shards.size(); ++I)
      Shards.push_back({I, 0, Places.zonesOf(Rule.Shards[I])});
    std::sort(Shards.begin(), Shards.end(),
              [&](const shard_place &A, const shard_place &B) {
                return Rule.Shards[A.Place] < Rule.Shards[B.Place];
              });
    for (std::size_t I = 0; I < Shards.size(); ++I)
      Shards[I].Part = I * Parts / Shards.size();
  }

  std::vector<slice> run() {
    std::vector<shard_place> Missing;
    std::vector<shard_place> Own;
    for (const shard_place &Each : Shards)
      (hasHost(Each) ? Missing : Own).push_back(Each);
    cutOwn(Own);
    cutFar(Missing);
    return std::move(Out);
  }

private:
  /// As many as the square root of the shards, where each zone has the relays.
  std::size_t partsOf(std::size_t Count) const {
    auto Root = static_cast<std::size_t>(
        std::lround(std::sqrt(static_cast<double>(Count))));
    for (const auto &[Name, Vms] : Map.Relays)
      Root = std::min(Root, Vms.size());
    return std::max<std::size_t>(1, Root);
  }

  /// Whether another zone is to ask this shard.
  bool hasHost(const shard_place &Shard) const {
    return !contains(Shard.Zones, Map.Zone) &&
           std::any_of(Shard.Zones.begin(), Shard.Zones.end(),
                       [&](const std::string &Each) {
                         return Map.Relays.count(Each) > 0;
                       });
  }

  void cutOwn(const std::vector<shard_place> &Own) {
    for (const shard_place &Each : Own) {
      if (Out.empty() || Each.Part != LastPart)
        add(Map.Zone, Each.Part);
      LastPart = Each.Part;
      Out.back().Shards.push_back(Each.Place);
    }
  }

  /// Groups of the size of a slice, in turn to the zones that hold them.
  void cutFar(const std::vector<shard_place> &Missing) {
    const std::size_t Size = (Shards.size() + Parts - 1) / Parts;
    const std::size_t Groups = (Missing.size() + Size - 1) / Size;
    for (std::size_t I = 0; I < Groups; ++I) {
      const auto Begin =
          Missing.begin() + difference(I * Missing.size() / Groups);
      const auto End =
          Missing.begin() + difference((I + 1) * Missing.size() / Groups);
      cutGroup({Begin, End}, I);
    }
  }

  static std::ptrdiff_t difference(std::size_t Count) {
    return static_cast<std::ptrdiff_t>(Count);
  }

  /// Goes to the zone that holds most of the group, the next one in turn among
  /// equals, and what that does not hold to others.
  void cutGroup(std::vector<shard_place> Group, std::size_t Turn) {
    while (!Group.empty()) {
      const std::string Host = hostOf(Group, Turn);
      add(Host, Group[Group.size() / 2].Part);
      std::vector<shard_place> Rest;
      for (shard_place &Each : Group) {
        if (contains(Each.Zones, Host))
          Out.back().Shards.push_back(Each.Place);
        else
          Rest.push_back(std::move(Each));
      }
      Group = std::move(Rest);
    }
  }

  std::string hostOf(const std::vector<shard_place> &Group,
                     std::size_t Turn) const {
    std::map<std::string, std::size_t> Held;
    for (const shard_place &Each : Group)
      for (const std::string &Name : Each.Zones)
        if (Map.Relays.count(Name))
          ++Held[Name];
    std::size_t Most = 0;
    for (const auto &[Name, Count] : Held)
      Most = std::max(Most, Count);
    std::vector<std::string> Best;
    for (const auto &[Name, Count] : Held)
      if (Count == Most)
        Best.push_back(Name);
    return Best[Turn % Best.size()];
  }

  void add(const std::string &Zone, std::size_t Part) {
    if (!Assigned.count(Zone))
      Assigned[Zone] = assign(Map.Relays.at(Zone));
    const slice_relays &Asked = Assigned[Zone][Part];
    Out.push_back({Asked.Primary, Asked.Backup, Zone != Map.Zone, {}});
  }

  /// Each part goes to the relay with the greatest weight that asks no other
  /// part yet.
  std::vector<slice_relays> assign(const std::vector<vm_id> &Relays) const {
    std::vector<slice_relays> Found(Parts);
    std::set<vm_id> Used;
    for (std::size_t I = 0; I < Parts; ++I) {
      std::vector<vm_id> Ranked = Relays;
      std::sort(Ranked.begin(), Ranked.end(), [&](vm_id A, vm_id B) {
        return weightOf(A, I) > weightOf(B, I);
      });
      const auto Free =
          std::find_if(Ranked.begin(), Ranked.end(),
                       [&](vm_id Each) { return !Used.count(Each); });
      Found[I].Primary = Free == Ranked.end() ? Ranked.front() : *Free;
      Used.insert(Found[I].Primary);
      const auto Other =
          std::find_if(Ranked.begin(), Ranked.end(),
                       [&](vm_id Each) { return Each != Found[I].Primary; });
      if (Other != Ranked.end())
        Found[I].Backup = *Other;
    }
    return Found;
  }

  const slice_planner &Map;
  std::size_t Parts;
  std::vector<shard_place> Shards; ///< in the order of their names
  std::map<std::string, std::vector<slice_relays>> Assigned; ///< by zone
  std::vector<slice> Out;
  std::size_t LastPart = 0;
};

void slice_planner::setPeers(const std::vector<relay_peer> &Peers) {
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

std::size_t slice_planner::relaysPerShard() const {
  return std::max<std::size_t>(1, Relays.size()) * SharersInZone;
}

bool slice_planner::isSliced(const gather_rule &Rule) const {
  const bool HasOthers =
      Relays.size() > 1 ||
      (Relays.size() == 1 && Relays.begin()->second.size() > 1);
  return Rule.Shards.size() >= Settings.MinShards && HasOthers;
}

const std::vector<slice> &slice_planner::slicesOf(const gather_rule &Rule,
                                                  const zone_lookup &Places) {
  static const std::vector<slice> None;
  if (!isSliced(Rule))
    return None;
  const auto Found = Known.find(Rule.Shards);
  if (Found != Known.end())
    return Found->second;
  if (Known.size() >= MaxKnown)
    Known.clear();
  return Known[Rule.Shards] = cutter(*this, Rule, Places).run();
}

} // namespace bulrush::relay
