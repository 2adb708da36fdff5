#include "query_fixture.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::query;
using namespace bulrush::query::test;

namespace {

snapshot_id pinnedSnapshot(router_harness &Harness) {
  static std::uint64_t Number = 1000;
  Harness.search(++Number);
  const std::vector<sub_request> Requests = Harness.takeRequests();
  REQUIRE_FALSE(Requests.empty());
  for (const sub_request &Request : Requests) {
    CHECK(Request.Snapshot == Requests[0].Snapshot);
    Harness.reply(Harness.answerTo(Request));
  }
  Harness.takeAnswers();
  return Requests[0].Snapshot;
}

} // namespace

TEST_CASE("a query is pinned to the snapshot with the most available shards",
          "[router]") {
  router_harness Harness(3);
  Harness.report(0, endpoint_condition::warm, {7, 8});
  Harness.report(1, endpoint_condition::warm, {7, 8});
  CHECK(pinnedSnapshot(Harness) == snapshot_id{7});
  Harness.report(2, endpoint_condition::warm, {7, 8});
  CHECK(pinnedSnapshot(Harness) == snapshot_id{8});
  Harness.report(2, endpoint_condition::lost, {7, 8});
  CHECK(pinnedSnapshot(Harness) == snapshot_id{7});
}

TEST_CASE("queries move to a newer snapshot only if its capacity suffices",
          "[router]") {
  router_settings Settings;
  Settings.Snapshot.MinCapacityShare = 0.8;
  router_harness Harness(3, Settings);
  CHECK(pinnedSnapshot(Harness) == snapshot_id{7});
  for (const std::uint32_t Endpoint : {0, 1, 2, 3, 4})
    Harness.report(Endpoint, endpoint_condition::warm, {7, 8});
  CHECK(pinnedSnapshot(Harness) == snapshot_id{7});
  Harness.report(5, endpoint_condition::warm, {7, 8});
  CHECK(pinnedSnapshot(Harness) == snapshot_id{8});
}

TEST_CASE("the newest policy moves to a newer snapshot immediately",
          "[router]") {
  router_settings Settings;
  Settings.Snapshot.Policy = snapshot_policy::newest;
  router_harness Harness(3, Settings);
  Harness.report(0, endpoint_condition::warm, {7, 8});
  CHECK(pinnedSnapshot(Harness) == snapshot_id{8});
}

TEST_CASE("a new snapshot may have a different number of shards", "[router]") {
  router_harness Harness(2);
  const auto HoldsFour = [&](std::uint32_t Endpoint, shard_id Low) {
    endpoint_report Report{{Endpoint}, endpoint_condition::warm, 2, 0, {}};
    Report.Held.push_back({{7}, 2, {{Endpoint % 2}}});
    Report.Held.push_back({{8}, 4, {Low, {Low.Value + 1}}});
    Harness.step(reports_arrived{Harness.ownerOf(Endpoint), {Report}});
  };
  HoldsFour(0, {0});
  CHECK(pinnedSnapshot(Harness) == snapshot_id{7});
  HoldsFour(1, {2});
  Harness.search(1);
  const std::vector<sub_request> Requests = Harness.takeRequests();
  REQUIRE(Requests.size() == 4);
  for (const sub_request &Request : Requests)
    Harness.reply(Harness.answerTo(Request));
  const std::vector<answer> Answers = Harness.takeAnswers();
  CHECK(Answers[0].Snapshot == snapshot_id{8});
  CHECK(Answers[0].Total == 4);
  CHECK(Answers[0].Covered == 4);
}

TEST_CASE("a reply for another snapshot or shard is not part of the answer",
          "[router]") {
  router_harness Harness(2);
  Harness.search(1);
  const std::vector<sub_request> Requests = Harness.takeRequests();
  sub_reply Other = Harness.answerTo(Requests[0]);
  SECTION("another snapshot") { Other.Snapshot = {8}; }
  SECTION("another shard") { Other.Shard = {1}; }
  Harness.reply(Other);
  const std::vector<sub_request> Retries = Harness.takeRequests();
  REQUIRE(Retries.size() == 1);
  CHECK(Retries[0].Endpoint != Requests[0].Endpoint);
  CHECK(Harness.takeActions<count_retry>()[0].Reason ==
        retry_reason::wrong_snapshot);
  Harness.reply(Harness.answerTo(Requests[1]));
  Harness.reply(Harness.answerTo(Retries[0]));
  CHECK(*Harness.takeAnswers()[0].Results[0] == "1/0");
}

TEST_CASE("a query that requires all shards waits a limited time for coverage",
          "[router]") {
  router_harness Harness(2);
  Harness.report(0, endpoint_condition::lost, {7});
  Harness.report(2, endpoint_condition::lost, {7});
  Harness.search(1, 1);
  CHECK(Harness.takeAnswers().empty());
  CHECK(Harness.takeRequests().empty());
  SECTION("coverage becomes complete") {
    Harness.advance(millis{3});
    Harness.report(0, endpoint_condition::warm, {7});
    CHECK(Harness.takeRequests().size() == 2);
  }
  SECTION("coverage stays incomplete") {
    Harness.advance(millis{10});
    const std::vector<answer> Answers = Harness.takeAnswers();
    REQUIRE(Answers.size() == 1);
    CHECK(Answers[0].Outcome == outcome::not_run);
    CHECK(Answers[0].Reason == refusal::incomplete);
    CHECK(Answers[0].Missing == std::vector<shard_id>{{0}});
  }
}

TEST_CASE("a query that requires all shards restarts on another snapshot",
          "[router]") {
  router_harness Harness(2);
  for (std::uint32_t Endpoint = 0; Endpoint < 4; ++Endpoint)
    Harness.report(Endpoint, endpoint_condition::warm, {7, 8});
  Harness.search(1, 1);
  const std::vector<sub_request> First = Harness.takeRequests();
  CHECK(First[0].Snapshot == snapshot_id{8});
  Harness.reply(Harness.refusalOf(First[0], refusal::snapshot_missing));
  const std::vector<sub_request> Retry = Harness.takeRequests();
  REQUIRE(Retry.size() == 1);
  Harness.reply(Harness.refusalOf(Retry[0], refusal::snapshot_missing));
  const std::vector<sub_request> Second = Harness.takeRequests();
  REQUIRE(Second.size() == 2);
  Harness.reply(Harness.answerTo(First[1]));
  for (const sub_request &Request : Second) {
    CHECK(Request.Snapshot == snapshot_id{7});
    Harness.reply(Harness.answerTo(Request));
  }
  const std::vector<answer> Answers = Harness.takeAnswers();
  REQUIRE(Answers.size() == 1);
  CHECK(Answers[0].Snapshot == snapshot_id{7});
  CHECK(Answers[0].Covered == 2);
}
