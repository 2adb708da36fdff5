#include "control/planner.h"
#include "small_deployment.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::control;

namespace {

/// Reports in which each endpoint of pool 0 holds one shard; the replicas of a
/// shard are 20 positions apart.
endpoint_reports reportsOf(const deployment &D) {
  endpoint_reports Out;
  const pool &P = D.Pools[0];
  for (std::uint32_t Position = 0; Position < P.Endpoints.size(); ++Position) {
    query::endpoint_report &Report = Out[P.Endpoints[Position]];
    Report.Endpoint = P.Endpoints[Position];
    Report.Held = {{snapshot_id{1}, P.Shards, {shard_id{Position % P.Shards}}}};
  }
  return Out;
}

intent billingIntent(double Weight, double Coverage) {
  return {{"b"}, "driver-app", "", millis{50}, {Coverage}, Weight, {5}};
}

} // namespace

TEST_CASE("the plan of a zone out lists zones, slots and lost shards") {
  const deployment D = test::smallDeployment();
  const auto Effects =
      computeEffects(D, {}, reportsOf(D), zone_out{zone_id{2}});
  REQUIRE(Effects);
  CHECK(Effects->Zones == std::vector<std::string>{"linz"});
  REQUIRE(Effects->Pools.size() == 2);
  CHECK(Effects->Pools[0].SlotsBefore == 80);
  CHECK(Effects->Pools[0].SlotsAfter == 54);
  CHECK(Effects->Pools[0].IsShardMapKnown);
  CHECK_FALSE(Effects->Pools[1].IsShardMapKnown);
  CHECK(Effects->Lost.empty());
}

TEST_CASE("a plan lists shards without a replica and the intents affected") {
  const deployment D = test::smallDeployment();
  fleet_config Config;
  Config.Intents = {billingIntent(1, 100)};
  Config.Leaving = {endpoint_id{4}};
  const auto Effects =
      computeEffects(D, Config, reportsOf(D), endpoint_leave{endpoint_id{24}});
  REQUIRE(Effects);
  CHECK(Effects->Lost == std::vector<lost_shards>{{"driver", {shard_id{4}}}});
  CHECK(Effects->IncompleteIntents == std::vector<std::string>{"b"});
}

TEST_CASE("the plan of an intent lists callers and displaced intents") {
  const deployment D = test::smallDeployment();
  fleet_config Config;
  Config.Intents = {billingIntent(1, 0)};
  intent Quote = billingIntent(5, 0);
  Quote.Name = {"quote"};
  Quote.ExtraLoad = {8};
  const auto Effects = computeEffects(D, Config, {}, put_intent{Quote});
  REQUIRE(Effects);
  CHECK(Effects->Callers == std::vector<std::string>{"driver-app"});
  CHECK(Effects->Displaced == std::vector<std::string>{"b"});
  CHECK(Effects->ExtraLoad == percent{8});
  CHECK(Effects->Endpoints.size() == 40);
}

TEST_CASE("the plan of a change without effect is marked as no change") {
  const deployment D = test::smallDeployment();
  const auto Effects = computeEffects(D, {}, {}, zone_in{zone_id{1}});
  REQUIRE(Effects);
  CHECK(Effects->IsNoChange);
  CHECK_FALSE(computeEffects(D, {}, {}, zone_in{zone_id{9}}));
}
