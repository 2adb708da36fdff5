#include "control/planner.h"

#include <algorithm>
#include <set>

namespace bulrush::control {

namespace {

template <class T> bool contains(const std::vector<T> &List, const T &Item) {
  return std::find(List.begin(), List.end(), Item) != List.end();
}

bool acceptsRequests(const fleet_config &Config, const endpoint &Endpoint) {
  return !contains(Config.ZonesOut, Endpoint.Zone) &&
         !contains(Config.Leaving, Endpoint.Id);
}

const intent *findIntent(const fleet_config &Config, const intent_name &Name) {
  for (const intent &I : Config.Intents)
    if (I.Name == Name)
      return &I;
  return nullptr;
}

class effects_builder {
public:
  effects_builder(const deployment &Deployment, const fleet_config &Before,
                  const fleet_config &After, const endpoint_reports &Reports)
      : Deployment(Deployment), Before(Before), After(After), Reports(Reports) {
  }

  plan_effects build(const change &Change) {
    Out.IsNoChange = isNoChange();
    if (const auto *Put = std::get_if<put_intent>(&Change))
      addIntentEffects(findIntent(Before, Put->Intent.Name), &Put->Intent);
    if (const auto *Drop = std::get_if<drop_intent>(&Change))
      addIntentEffects(findIntent(Before, Drop->Name), nullptr);
    addEndpoints();
    addPools();
    return std::move(Out);
  }

private:
  bool isNoChange() const {
    return Before.Intents == After.Intents &&
           Before.ZonesOut == After.ZonesOut && Before.Leaving == After.Leaving;
  }

  void addIntentEffects(const intent *Old, const intent *New) {
    const intent &Target = New ? *New : *Old;
    for (const caller &Caller : Deployment.Callers) {
      const bool Matches = Target.Caller.empty() ||
                           Target.Caller == Caller.Name ||
                           (Old && Old->Caller == Caller.Name);
      if (!Matches)
        continue;
      Out.Callers.push_back(Caller.Name);
      MatchedPools.insert(Caller.Pool);
    }
    if (Old) {
      Out.ExtraLoadBefore = Old->ExtraLoad;
      Out.Displaced.push_back(Old->Name.Value);
    }
    if (!New)
      return;
    Out.ExtraLoad = New->ExtraLoad;
    Out.Deadline = New->Deadline;
    for (const intent &Other : Before.Intents) {
      if (Other.Name != New->Name && Other.Weight < New->Weight &&
          sharesPool(Other))
        Out.Displaced.push_back(Other.Name.Value);
    }
  }

  bool sharesPool(const intent &Intent) const {
    return std::any_of(Deployment.Callers.begin(), Deployment.Callers.end(),
                       [&](const caller &C) {
                         return (Intent.Caller.empty() ||
                                 Intent.Caller == C.Name) &&
                                MatchedPools.contains(C.Pool);
                       });
  }

  void addEndpoints() {
    std::set<zone_id> Zones;
    for (const endpoint &E : Deployment.Endpoints) {
      const bool IsAffected =
          acceptsRequests(Before, E) != acceptsRequests(After, E);
      if (!IsAffected && !MatchedPools.contains(E.Pool))
        continue;
      Out.Endpoints.push_back(E.Id);
      AffectedPools.insert(E.Pool);
      Zones.insert(E.Zone);
    }
    for (const zone &Zone : Deployment.Zones)
      if (Zones.contains(Zone.Id))
        Out.Zones.push_back(Zone.Name);
  }

  void addPools() {
    for (const pool &Pool : Deployment.Pools) {
      if (AffectedPools.contains(Pool.Id))
        addPool(Pool);
    }
  }

  void addPool(const pool &Pool) {
    pool_capacity Capacity{Pool.Name, 0, 0, false};
    std::set<shard_id> AllShards;
    std::set<shard_id> RemainingShards;
    const snapshot_id Newest = newestSnapshot(Pool);
    for (const endpoint_id Id : Pool.Endpoints) {
      const endpoint &E = Deployment.Endpoints[Id.Value];
      const bool IsRemaining = acceptsRequests(After, E);
      Capacity.SlotsBefore += acceptsRequests(Before, E) ? E.Limits.Slots : 0;
      Capacity.SlotsAfter += IsRemaining ? E.Limits.Slots : 0;
      for (const shard_id Shard : heldShards(Id, Newest)) {
        AllShards.insert(Shard);
        if (IsRemaining)
          RemainingShards.insert(Shard);
      }
    }
    Capacity.IsShardMapKnown = !AllShards.empty();
    Out.Pools.push_back(Capacity);
    lost_shards Lost{Pool.Name, {}};
    std::set_difference(AllShards.begin(), AllShards.end(),
                        RemainingShards.begin(), RemainingShards.end(),
                        std::back_inserter(Lost.Shards));
    if (Lost.Shards.empty())
      return;
    const double Share =
        100.0 * double(RemainingShards.size()) / double(AllShards.size());
    addIncompleteIntents(Pool, percent{Share});
    Out.Lost.push_back(std::move(Lost));
  }

  void addIncompleteIntents(const pool &Pool, percent Reachable) {
    for (const intent &I : After.Intents) {
      const bool AppliesToPool =
          std::any_of(Deployment.Callers.begin(), Deployment.Callers.end(),
                      [&](const caller &C) {
                        return C.Pool == Pool.Id &&
                               (I.Caller.empty() || I.Caller == C.Name);
                      });
      if (AppliesToPool && I.MinCoverage > Reachable &&
          !contains(Out.IncompleteIntents, I.Name.Value))
        Out.IncompleteIntents.push_back(I.Name.Value);
    }
  }

  snapshot_id newestSnapshot(const pool &Pool) const {
    snapshot_id Newest;
    for (const endpoint_id Id : Pool.Endpoints) {
      const auto Found = Reports.find(Id);
      if (Found == Reports.end())
        continue;
      for (const query::held_snapshot &Held : Found->second.Held)
        Newest = std::max(Newest, Held.Snapshot);
    }
    return Newest;
  }

  std::vector<shard_id> heldShards(endpoint_id Id, snapshot_id Snapshot) const {
    const auto Found = Reports.find(Id);
    if (Found == Reports.end())
      return {};
    for (const query::held_snapshot &Held : Found->second.Held)
      if (Held.Snapshot == Snapshot)
        return Held.Shards;
    return {};
  }

  const deployment &Deployment;
  const fleet_config &Before;
  const fleet_config &After;
  const endpoint_reports &Reports;
  std::set<pool_id> MatchedPools;
  std::set<pool_id> AffectedPools;
  plan_effects Out;
};

} // namespace

expected<plan_effects> computeEffects(const deployment &Deployment,
                                      const fleet_config &Config,
                                      const endpoint_reports &Reports,
                                      const change &Change) {
  const auto Valid = validate(Deployment, Config, Change);
  if (!Valid)
    return fail(Valid.error());
  fleet_config After = Config;
  applyTo(After, Change);
  return effects_builder(Deployment, Config, After, Reports).build(Change);
}

} // namespace bulrush::control
