#include "relay/slice_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>
#include <xxhash.h>

namespace bulrush::relay {

namespace {

/// Queries whose slices are cached; the cache is cleared when full.
constexpr std::size_t MaxCachedPlans = 16;
/// Relays of one zone that may query the same shard: one for queries from its
/// own zone, one for queries from other zones, and a backup of these.
constexpr std::size_t RelaysPerShardInZone = 3;

/// Slices of one query that the relays of the local zone take, per relay,
/// before further slices leave the zone: traffic between zones is costly.
constexpr double LocalSlicesPerRelay = 1.5;

/// Weight of a relay for a partition in rendezvous hashing.
std::uint64_t rendezvousWeight(vm_id Peer, std::size_t Partition) {
  const std::uint64_t Key[] = {Peer.Value, Partition};
  return XXH3_64bits(Key, sizeof Key);
}

bool contains(const std::vector<std::string> &Set, const std::string &Zone) {
  return std::find(Set.begin(), Set.end(), Zone) != Set.end();
}

} // namespace

/// One shard of the query being sliced.
struct slice_planner::planned_shard {
  std::size_t Index = 0;          ///< in the query
  std::size_t Partition = 0;      ///< same in all zones
  std::vector<std::string> Zones; ///< with an endpoint of the shard
};

/// Relays assigned to one partition in one zone.
struct slice_planner::relay_pair {
  vm_id Primary;
  vm_id Backup;
};

/// Slices one query. The shards, sorted by name, are divided into partitions;
/// in each zone a pair of relays is assigned to each partition.
class slice_planner::builder {
public:
  /// Slices a query that arrives in the zone.
  builder(const slice_planner &Planner, std::string QueryZone,
          const gather_rule &Rule, const zone_lookup &Lookup)
      : Planner(Planner), Zone(std::move(QueryZone)),
        PartitionCount(partitionCountFor(Rule.Shards.size())) {
    for (std::size_t I = 0; I < Rule.Shards.size(); ++I) {
      Shards.push_back({I, 0, Lookup.zonesOf(Rule.Shards[I])});
      if (!hasLocalRelays() && !hasEndpointElsewhere(Shards.back()))
        Shards.back().Zones = zonesWithRelays();
    }
    std::sort(Shards.begin(), Shards.end(),
              [&](const planned_shard &A, const planned_shard &B) {
                return Rule.Shards[A.Index] < Rule.Shards[B.Index];
              });
    for (std::size_t I = 0; I < Shards.size(); ++I)
      Shards[I].Partition = I * PartitionCount / Shards.size();
  }

  std::vector<slice> build() {
    std::vector<planned_shard> Remote;
    std::vector<planned_shard> Local;
    const std::vector<bool> IsOffloaded = offloadedPartitions();
    for (const planned_shard &Each : Shards) {
      const bool IsRemote =
          needsOtherZone(Each) ||
          (IsOffloaded[Each.Partition] && hasEndpointElsewhere(Each));
      (IsRemote ? Remote : Local).push_back(Each);
    }
    addLocalSlices(Local);
    addRemoteSlices(Remote);
    joinSlicesOfSameRelay();
    return std::move(Out);
  }

  /// Slices of the shards that need another zone, and one slice for the
  /// planning relay itself with the other shards; empty if no shard needs
  /// another zone.
  std::vector<slice> buildAcrossZones() {
    std::vector<planned_shard> Remote;
    slice Direct;
    Direct.Primary = Planner.Self;
    for (const planned_shard &Each : Shards)
      if (needsOtherZone(Each))
        Remote.push_back(Each);
      else
        Direct.Shards.push_back(Each.Index);
    if (Remote.empty())
      return {};
    addRemoteSlices(Remote);
    joinSlicesOfSameRelay();
    if (!Direct.Shards.empty())
      Out.push_back(std::move(Direct));
    return std::move(Out);
  }

private:
  /// Square root of the number of shards, at least 1. Does not depend on the
  /// relays, so that all zones use the same partitions and a zone that loses
  /// its relays does not change the slices of the others.
  static std::size_t partitionCountFor(std::size_t Count) {
    const auto Root = std::lround(std::sqrt(static_cast<double>(Count)));
    return std::max<std::size_t>(1, static_cast<std::size_t>(Root));
  }

  /// The partitions that are too many for the relays of the local zone: the
  /// last ones in rendezvous order. Relays of other zones query them, so that a
  /// small zone does not query all shards with a few relays.
  std::vector<bool> offloadedPartitions() const {
    std::vector<bool> Offloaded(PartitionCount, false);
    const auto Local = Planner.RelaysByZone.find(Zone);
    const std::size_t Relays =
        Local == Planner.RelaysByZone.end() ? 0 : Local->second.size();
    const auto Kept = static_cast<std::size_t>(static_cast<double>(Relays) *
                                               LocalSlicesPerRelay);
    std::vector<std::size_t> Ranked(PartitionCount);
    std::iota(Ranked.begin(), Ranked.end(), std::size_t{0});
    const std::uint64_t ZoneKey = XXH3_64bits(Zone.data(), Zone.size());
    std::sort(Ranked.begin(), Ranked.end(), [&](std::size_t A, std::size_t B) {
      return rendezvousWeight({static_cast<std::uint32_t>(ZoneKey)}, A) >
             rendezvousWeight({static_cast<std::uint32_t>(ZoneKey)}, B);
    });
    for (std::size_t I = Kept; I < PartitionCount; ++I)
      Offloaded[Ranked[I]] = true;
    return Offloaded;
  }

  /// Whether another zone has both a relay and an endpoint of the shard.
  bool hasEndpointElsewhere(const planned_shard &Shard) const {
    return std::any_of(
        Shard.Zones.begin(), Shard.Zones.end(), [&](const std::string &Each) {
          return Each != Zone && Planner.RelaysByZone.count(Each) > 0;
        });
  }

  /// Whether no local relay can query an endpoint of its own zone, but a relay
  /// of another zone can.
  bool needsOtherZone(const planned_shard &Shard) const {
    const bool IsLocal = hasLocalRelays() && contains(Shard.Zones, Zone);
    return !IsLocal && hasEndpointElsewhere(Shard);
  }

  bool hasLocalRelays() const { return Planner.RelaysByZone.count(Zone) > 0; }

  std::vector<std::string> zonesWithRelays() const {
    std::vector<std::string> Out;
    for (const auto &[Name, Relays] : Planner.RelaysByZone)
      Out.push_back(Name);
    return Out;
  }

  void addLocalSlices(const std::vector<planned_shard> &Local) {
    for (const planned_shard &Each : Local) {
      if (Out.empty() || Each.Partition != LastPartition)
        addSlice(Zone, Each.Partition);
      LastPartition = Each.Partition;
      Out.back().Shards.push_back(Each.Index);
    }
  }

  /// Splits the shards into groups of about the size of a slice and adds each
  /// group; zones that have equally many of the shards take turns.
  void addRemoteSlices(const std::vector<planned_shard> &Remote) {
    const std::size_t Size =
        (Shards.size() + PartitionCount - 1) / PartitionCount;
    const std::size_t Groups = (Remote.size() + Size - 1) / Size;
    for (std::size_t I = 0; I < Groups; ++I) {
      const auto Begin =
          Remote.begin() + toDifference(I * Remote.size() / Groups);
      const auto End =
          Remote.begin() + toDifference((I + 1) * Remote.size() / Groups);
      addRemoteGroup({Begin, End}, I);
    }
  }

  static std::ptrdiff_t toDifference(std::size_t Count) {
    return static_cast<std::ptrdiff_t>(Count);
  }

  /// Assigns the group to the zone that has endpoints of most of its shards;
  /// `Rotation` selects among equal ones. Shards without an endpoint there are
  /// assigned to further zones in the same way.
  void addRemoteGroup(std::vector<planned_shard> Group, std::size_t Rotation) {
    while (!Group.empty()) {
      const std::string HostZone = hostingZone(Group, Rotation);
      addSlice(HostZone, Group[Group.size() / 2].Partition);
      std::vector<planned_shard> Remaining;
      for (planned_shard &Each : Group) {
        if (contains(Each.Zones, HostZone))
          Out.back().Shards.push_back(Each.Index);
        else
          Remaining.push_back(std::move(Each));
      }
      Group = std::move(Remaining);
    }
  }

  /// The other zone that has endpoints of most shards of the group. A zone all
  /// of whose relays have a slice of this query counts for less.
  std::string hostingZone(const std::vector<planned_shard> &Group,
                          std::size_t Rotation) const {
    std::map<std::string, std::size_t> ShardCounts;
    for (const planned_shard &Each : Group)
      for (const std::string &Name : Each.Zones)
        if (Name != Zone && Planner.RelaysByZone.count(Name))
          ++ShardCounts[Name];
    std::map<std::string, double> Scores;
    double Best = 0;
    for (const auto &[Name, Count] : ShardCounts) {
      Scores[Name] = static_cast<double>(Count) * roomIn(Name);
      Best = std::max(Best, Scores[Name]);
    }
    std::vector<std::string> Equal;
    for (const auto &[Name, Score] : Scores)
      if (Score == Best)
        Equal.push_back(Name);
    return Equal[Rotation % Equal.size()];
  }

  /// 1 while the zone has a relay without a slice of this query; then falls
  /// with the slices per relay.
  double roomIn(const std::string &HostZone) const {
    const auto Relays =
        static_cast<double>(Planner.RelaysByZone.at(HostZone).size());
    const auto Found = SliceCounts.find(HostZone);
    const auto Slices =
        static_cast<double>(Found == SliceCounts.end() ? 1 : Found->second + 1);
    return std::min(1.0, Relays / Slices);
  }

  /// The relays of each partition in a zone with relays.
  const std::vector<relay_pair> &pairsOf(const std::string &HostZone) {
    std::vector<relay_pair> &Pairs = RelayPairs[HostZone];
    if (Pairs.empty())
      Pairs = assignRelays(Planner.RelaysByZone.at(HostZone));
    return Pairs;
  }

  void addSlice(const std::string &HostZone, std::size_t Partition) {
    const std::vector<vm_id> &Relays = Planner.RelaysByZone.at(HostZone);
    ++SliceCounts[HostZone];
    relay_pair Pair = pairsOf(HostZone)[Partition];
    const bool IsSmallZone = Relays.size() < PartitionCount;
    if (IsSmallZone && shardsOf(Pair.Backup) < shardsOf(Pair.Primary))
      std::swap(Pair.Primary, Pair.Backup);
    Out.push_back({Pair.Primary, Pair.Backup, HostZone != Zone, {}});
    if (HostZone != Zone && hasLocalRelays())
      Out.back().LocalFallback = pairsOf(Zone)[Partition].Primary;
  }

  /// Number of shards that the slices so far assign to the relay; the greatest
  /// number for no relay.
  std::size_t shardsOf(vm_id Relay) const {
    if (Relay.Value == 0)
      return SIZE_MAX;
    std::size_t Count = 0;
    for (const slice &Each : Out)
      Count += Each.Primary == Relay ? Each.Shards.size() : 0;
    return Count;
  }

  /// A relay of a small zone may be assigned several slices: one request is
  /// enough for them.
  void joinSlicesOfSameRelay() {
    std::vector<slice> Joined;
    for (slice &Each : Out) {
      const auto Same =
          std::find_if(Joined.begin(), Joined.end(), [&](const slice &Other) {
            return Other.Primary == Each.Primary;
          });
      if (Same == Joined.end())
        Joined.push_back(std::move(Each));
      else
        Same->Shards.insert(Same->Shards.end(), Each.Shards.begin(),
                            Each.Shards.end());
    }
    Out = std::move(Joined);
  }

  /// Rendezvous hashing: the primary of a partition is the relay with the
  /// greatest weight among those that are primaries of the fewest partitions.
  /// The backup is the relay with the greatest weight apart from the primary.
  std::vector<relay_pair> assignRelays(const std::vector<vm_id> &Relays) const {
    std::vector<relay_pair> Pairs(PartitionCount);
    std::set<vm_id> Used;
    for (std::size_t I = 0; I < PartitionCount; ++I) {
      std::vector<vm_id> Ranked = Relays;
      std::sort(Ranked.begin(), Ranked.end(), [&](vm_id A, vm_id B) {
        return rendezvousWeight(A, I) > rendezvousWeight(B, I);
      });
      if (Used.size() == Relays.size())
        Used.clear();
      Pairs[I].Primary =
          *std::find_if(Ranked.begin(), Ranked.end(),
                        [&](vm_id Each) { return !Used.count(Each); });
      Used.insert(Pairs[I].Primary);
      const auto Other =
          std::find_if(Ranked.begin(), Ranked.end(),
                       [&](vm_id Each) { return Each != Pairs[I].Primary; });
      if (Other != Ranked.end())
        Pairs[I].Backup = *Other;
    }
    return Pairs;
  }

  const slice_planner &Planner;
  std::string Zone;
  std::size_t PartitionCount;
  std::vector<planned_shard> Shards;                         ///< sorted by name
  std::map<std::string, std::vector<relay_pair>> RelayPairs; ///< by zone
  std::map<std::string, std::size_t> SliceCounts;            ///< by zone
  std::vector<slice> Out;
  std::size_t LastPartition = 0;
};

void slice_planner::setPeers(const std::vector<relay_peer> &New) {
  Peers = New;
  std::erase_if(Peers, [&](const relay_peer &Each) {
    return Settings.ForeignZones.count(Each.Zone) > 0;
  });
  std::sort(
      Peers.begin(), Peers.end(),
      [](const relay_peer &A, const relay_peer &B) { return A.Vm < B.Vm; });
  update();
}

void slice_planner::setReach(bool New) {
  HasReach = New;
  update();
}

void slice_planner::update() {
  std::map<std::string, std::vector<vm_id>> New;
  Zones = {Zone};
  if (HasReach)
    New[Zone].push_back(Self);
  Others.clear();
  for (const relay_peer &Each : Peers) {
    if (Each.Vm == Self)
      continue;
    Zones.insert(Each.Zone);
    if (!Each.HasReach)
      continue;
    New[Each.Zone].push_back(Each.Vm);
    Others.push_back(Each);
  }
  for (auto &[Name, Vms] : New)
    std::sort(Vms.begin(), Vms.end());
  if (New == RelaysByZone)
    return;
  Cache.clear();
  RelaysByZone = std::move(New);
}

std::size_t slice_planner::relaysPerShard() const {
  return Zones.size() * RelaysPerShardInZone;
}

std::vector<std::set<vm_id>>
slice_planner::relaysOf(const gather_rule &Rule,
                        const zone_lookup &Lookup) const {
  std::vector<std::set<vm_id>> Out(Rule.Shards.size());
  for (const std::string &Each : Zones)
    for (const slice &Slice : builder(*this, Each, Rule, Lookup).build())
      for (const std::size_t Shard : Slice.Shards)
        for (const vm_id Relay :
             {Slice.Primary, Slice.Backup, Slice.LocalFallback})
          if (Relay.Value != 0)
            Out[Shard].insert(Relay);
  return Out;
}

bool slice_planner::isSliced(const gather_rule &Rule) const {
  return Rule.Shards.size() >= Settings.MinShards && !Others.empty();
}

bool slice_planner::isSlicedAcrossZones(const gather_rule &Rule) const {
  const bool HasOtherZone =
      std::any_of(Others.begin(), Others.end(),
                  [&](const relay_peer &Each) { return Each.Zone != Zone; });
  return Rule.Shards.size() >= Settings.MinShardsAcrossZones && HasOtherZone;
}

const std::vector<slice> &slice_planner::slicesOf(const gather_rule &Rule,
                                                  const zone_lookup &Lookup) {
  static const std::vector<slice> None;
  const bool IsSliced = isSliced(Rule);
  if (!IsSliced && !isSlicedAcrossZones(Rule))
    return None;
  const auto Found = Cache.find(Rule.Shards);
  if (Found != Cache.end())
    return Found->second;
  if (Cache.size() >= MaxCachedPlans)
    Cache.clear();
  builder Builder(*this, Zone, Rule, Lookup);
  return Cache[Rule.Shards] =
             IsSliced ? Builder.build() : Builder.buildAcrossZones();
}

} // namespace bulrush::relay
