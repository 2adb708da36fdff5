#include "query_fixture.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::query;
using namespace bulrush::query::test;

namespace {

snapshot_id pinned(driven_router &Driven) {
  static std::uint64_t Number = 1000;
  Driven.search(++Number);
  const std::vector<sub_request> Requests = Driven.takeRequests();
  REQUIRE_FALSE(Requests.empty());
  for (const sub_request &Request : Requests) {
    CHECK(Request.Snapshot == Requests[0].Snapshot);
    Driven.reply(Driven.answerTo(Request));
  }
  Driven.takeAnswers();
  return Requests[0].Snapshot;
}

} // namespace

TEST_CASE("a query is pinned to the snapshot that promises most", "[router]") {
  driven_router Driven(3);
  Driven.report(0, endpoint_condition::warm, {7, 8});
  Driven.report(1, endpoint_condition::warm, {7, 8});
  CHECK(pinned(Driven) == snapshot_id{7});
  Driven.report(2, endpoint_condition::warm, {7, 8});
  CHECK(pinned(Driven) == snapshot_id{8});
  Driven.report(2, endpoint_condition::lost, {7, 8});
  CHECK(pinned(Driven) == snapshot_id{7});
}

TEST_CASE("queries move forward only when the capacity is there", "[router]") {
  router_settings Settings;
  Settings.Snapshot.MoveCapacity = 0.8;
  driven_router Driven(3, Settings);
  CHECK(pinned(Driven) == snapshot_id{7});
  for (const std::uint32_t Endpoint : {0, 1, 2, 3, 4})
    Driven.report(Endpoint, endpoint_condition::warm, {7, 8});
  CHECK(pinned(Driven) == snapshot_id{7});
  Driven.report(5, endpoint_condition::warm, {7, 8});
  CHECK(pinned(Driven) == snapshot_id{8});
}

TEST_CASE("the newest policy moves at once", "[router]") {
  router_settings Settings;
  Settings.Snapshot.Policy = snapshot_policy::newest;
  driven_router Driven(3, Settings);
  Driven.report(0, endpoint_condition::warm, {7, 8});
  CHECK(pinned(Driven) == snapshot_id{8});
}

TEST_CASE("a repartition is only another snapshot", "[router]") {
  driven_router Driven(2);
  const auto HoldsFour = [&](std::uint32_t Endpoint, shard_id Low) {
    endpoint_report Report{{Endpoint}, endpoint_condition::warm, 2, 0, {}};
    Report.Held.push_back({{7}, 2, {{Endpoint % 2}}});
    Report.Held.push_back({{8}, 4, {Low, {Low.Value + 1}}});
    Driven.step(reports_arrived{Driven.ownerOf(Endpoint), {Report}});
  };
  HoldsFour(0, {0});
  CHECK(pinned(Driven) == snapshot_id{7});
  HoldsFour(1, {2});
  Driven.search(1);
  const std::vector<sub_request> Requests = Driven.takeRequests();
  REQUIRE(Requests.size() == 4);
  for (const sub_request &Request : Requests)
    Driven.reply(Driven.answerTo(Request));
  const std::vector<answer> Answers = Driven.takeAnswers();
  CHECK(Answers[0].Snapshot == snapshot_id{8});
  CHECK(Answers[0].Total == 4);
  CHECK(Answers[0].Covered == 4);
}

TEST_CASE("a reply from another snapshot never enters the answer", "[router]") {
  driven_router Driven(2);
  Driven.search(1);
  const std::vector<sub_request> Requests = Driven.takeRequests();
  sub_reply Other = Driven.answerTo(Requests[0]);
  SECTION("another snapshot") { Other.Snapshot = {8}; }
  SECTION("another shard") { Other.Shard = {1}; }
  Driven.reply(Other);
  const std::vector<sub_request> Retries = Driven.takeRequests();
  REQUIRE(Retries.size() == 1);
  CHECK(Retries[0].Endpoint != Requests[0].Endpoint);
  CHECK(Driven.take<count_retry>()[0].Reason == retry_reason::wrong_snapshot);
  Driven.reply(Driven.answerTo(Requests[1]));
  Driven.reply(Driven.answerTo(Retries[0]));
  CHECK(*Driven.takeAnswers()[0].Results[0] == "1/0");
}

TEST_CASE("a complete intent waits for a whole snapshot, not for long",
          "[router]") {
  driven_router Driven(2);
  Driven.report(0, endpoint_condition::lost, {7});
  Driven.report(2, endpoint_condition::lost, {7});
  Driven.search(1, 1);
  CHECK(Driven.takeAnswers().empty());
  CHECK(Driven.takeRequests().empty());
  SECTION("it becomes whole") {
    Driven.pass(millis{3});
    Driven.report(0, endpoint_condition::warm, {7});
    CHECK(Driven.takeRequests().size() == 2);
  }
  SECTION("it does not") {
    Driven.pass(millis{10});
    const std::vector<answer> Answers = Driven.takeAnswers();
    REQUIRE(Answers.size() == 1);
    CHECK(Answers[0].Outcome == outcome::not_run);
    CHECK(Answers[0].Reason == refusal::incomplete);
    CHECK(Answers[0].Missing == std::vector<shard_id>{{0}});
  }
}

TEST_CASE("a complete query starts over on another whole snapshot",
          "[router]") {
  driven_router Driven(2);
  for (std::uint32_t Endpoint = 0; Endpoint < 4; ++Endpoint)
    Driven.report(Endpoint, endpoint_condition::warm, {7, 8});
  Driven.search(1, 1);
  const std::vector<sub_request> First = Driven.takeRequests();
  CHECK(First[0].Snapshot == snapshot_id{8});
  Driven.reply(Driven.refusalOf(First[0], refusal::snapshot_missing));
  const std::vector<sub_request> Retry = Driven.takeRequests();
  REQUIRE(Retry.size() == 1);
  Driven.reply(Driven.refusalOf(Retry[0], refusal::snapshot_missing));
  const std::vector<sub_request> Second = Driven.takeRequests();
  REQUIRE(Second.size() == 2);
  Driven.reply(Driven.answerTo(First[1]));
  for (const sub_request &Request : Second) {
    CHECK(Request.Snapshot == snapshot_id{7});
    Driven.reply(Driven.answerTo(Request));
  }
  const std::vector<answer> Answers = Driven.takeAnswers();
  REQUIRE(Answers.size() == 1);
  CHECK(Answers[0].Snapshot == snapshot_id{7});
  CHECK(Answers[0].Covered == 2);
}
