#include "query_fixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace bulrush;
using namespace bulrush::query;
using namespace bulrush::query::test;

TEST_CASE("a search sends one sub-request per shard, in one batch per owner",
          "[router]") {
  router_harness Harness(20);
  Harness.search(1);
  const std::vector<send_batch> Batches = Harness.takeActions<send_batch>();
  std::set<std::uint32_t> Owners;
  std::set<std::uint32_t> Shards;
  for (const send_batch &Sent : Batches) {
    CHECK(Owners.insert(Sent.To.Value).second);
    CHECK(Sent.Batch.Remaining == TimeToAnswer);
    for (const sub_request &Item : Sent.Batch.Items) {
      CHECK(Shards.insert(Item.Shard.Value).second);
      CHECK(Harness.ownerOf(Item.Endpoint.Value) == Sent.To);
    }
  }
  CHECK(Shards.size() == 20);
}

TEST_CASE(
    "the answer is sent after the last reply, with results in shard order",
    "[router]") {
  router_harness Harness(3);
  Harness.search(1);
  std::vector<sub_request> Requests = Harness.takeRequests();
  std::reverse(Requests.begin(), Requests.end());
  for (std::size_t Index = 0; Index < 2; ++Index)
    Harness.reply(Harness.answerTo(Requests[Index]));
  CHECK(Harness.takeAnswers().empty());
  Harness.reply(Harness.answerTo(Requests[2]));
  const std::vector<answer> Answers = Harness.takeAnswers();
  REQUIRE(Answers.size() == 1);
  CHECK(Answers[0].RequestId == "r1");
  CHECK(Answers[0].Outcome == outcome::answered);
  CHECK(Answers[0].Covered == 3);
  CHECK(Answers[0].Missing.empty());
  REQUIRE(Answers[0].Results.size() == 3);
  for (std::size_t Shard = 0; Shard < 3; ++Shard)
    CHECK(*Answers[0].Results[Shard] == "1/" + std::to_string(Shard));
  CHECK(Harness.Router.active() == 0);
}

TEST_CASE("the answer at the deadline lists the missing shards", "[router]") {
  router_settings Settings;
  Settings.Hedge.Enabled = false;
  router_harness Harness(3, Settings);
  Harness.search(1);
  const std::vector<sub_request> Requests = Harness.takeRequests();
  Harness.reply(Harness.answerTo(Requests[0]));
  Harness.advance(millis{50});
  const std::vector<answer> Answers = Harness.takeAnswers();
  REQUIRE(Answers.size() == 1);
  CHECK(Answers[0].Outcome == outcome::answered);
  CHECK(Answers[0].Covered == 1);
  CHECK(Answers[0].Missing.size() == 2);
  std::size_t Cancelled = 0;
  for (const send_cancel &Cancel : Harness.takeActions<send_cancel>())
    Cancelled += Cancel.Subs.size();
  CHECK(Cancelled == 2);
}

TEST_CASE("the answer is sent the answer margin before the deadline",
          "[router]") {
  router_harness Harness(3);
  Harness.search(1);
  const std::vector<sub_request> Requests = Harness.takeRequests();
  Harness.reply(Harness.answerTo(Requests[0]));
  const millis Deadline = makeIntents()[0].Deadline;
  Harness.advance(Deadline - router_settings{}.AnswerMargin - millis{1});
  CHECK(Harness.takeAnswers().empty());
  Harness.advance(millis{1});
  CHECK(Harness.takeAnswers().size() == 1);
}

TEST_CASE("incomplete results are refused if the intent requires all shards",
          "[router]") {
  router_harness Harness(3);
  Harness.search(1, 1);
  const std::vector<sub_request> Requests = Harness.takeRequests();
  Harness.reply(Harness.answerTo(Requests[0]));
  Harness.advance(millis{50});
  const std::vector<answer> Answers = Harness.takeAnswers();
  REQUIRE(Answers.size() == 1);
  CHECK(Answers[0].Outcome == outcome::unknown);
  CHECK(Answers[0].Reason == refusal::timed_out);
  CHECK(Answers[0].Results.empty());
  CHECK(Answers[0].Missing.size() == 2);
  CHECK(Answers[0].RetryAfter > millis{0});
}

TEST_CASE("a query refused before any sub-request is sent has not run",
          "[router]") {
  router_harness Harness(3);
  const auto Refused = [&](std::uint16_t Caller) {
    Harness.search(Harness.Now.Ms, Caller);
    const std::vector<answer> Answers = Harness.takeAnswers();
    REQUIRE(Answers.size() == 1);
    CHECK(Answers[0].Outcome == outcome::not_run);
    CHECK(Harness.takeRequests().empty());
    return Answers[0].Reason;
  };
  CHECK(Refused(9) == refusal::no_intent);
  Harness.step(readiness_changed{false});
  CHECK(Refused(0) == refusal::not_ready);
  Harness.step(readiness_changed{true});
  Harness.step(config_changed{{{2}, makeIntents(), {{0}, {1}}, {}}});
  CHECK(Refused(0) == refusal::zone_out);
  Harness.step(stop_requested{});
  CHECK(Refused(0) == refusal::draining);
}

TEST_CASE("duplicate and late replies are ignored", "[router]") {
  router_harness Harness(2);
  Harness.search(1);
  const std::vector<sub_request> Requests = Harness.takeRequests();
  Harness.reply(Harness.answerTo(Requests[0]));
  Harness.reply(Harness.answerTo(Requests[0]));
  CHECK(Harness.takeAnswers().empty());
  Harness.reply(Harness.answerTo(Requests[1]));
  CHECK(Harness.takeAnswers().size() == 1);
  Harness.reply(Harness.answerTo(Requests[1]));
  CHECK(Harness.takeAnswers().empty());
}

TEST_CASE("queries in flight are completed after a stop request", "[router]") {
  router_harness Harness(1);
  Harness.search(1);
  Harness.step(stop_requested{});
  CHECK(Harness.Router.active() == 1);
  Harness.reply(Harness.answerTo(Harness.takeRequests()[0]));
  CHECK(Harness.takeAnswers()[0].Outcome == outcome::answered);
  CHECK(Harness.Router.active() == 0);
}

TEST_CASE("the sub-requests of a disconnected caller are cancelled",
          "[router]") {
  router_harness Harness(3);
  Harness.search(1);
  Harness.step(caller_disconnected{{1}});
  CHECK(Harness.takeAnswers().empty());
  CHECK_FALSE(Harness.takeActions<send_cancel>().empty());
  CHECK(Harness.Router.active() == 0);
}

TEST_CASE("queries are refused early if endpoints refuse them because of load",
          "[router]") {
  router_settings Settings;
  Settings.Retry.InitialTokens = 0;
  router_harness Harness(2, Settings);
  Harness.step(config_changed{{{2}, makeIntents({0}), {}, {}}});
  const auto Reason =
      GENERATE(refusal::deadline_unmeetable, refusal::endpoint_lost);
  std::size_t Sent = 0;
  constexpr std::size_t Queries = 100;
  for (std::size_t Query = 1; Query <= Queries; ++Query) {
    Harness.search(Query);
    const std::vector<sub_request> Requests = Harness.takeRequests();
    Sent += Requests.empty() ? 0 : 1;
    for (const sub_request &Request : Requests)
      Harness.reply(Harness.refusalOf(Request, Reason));
    Harness.advance(millis{5});
    const std::vector<answer> Answers = Harness.takeAnswers();
    REQUIRE(Answers.size() == 1);
    CHECK(Answers[0].Outcome == outcome::not_run);
    CHECK(Answers[0].Reason == Reason);
  }
  if (Reason == refusal::deadline_unmeetable)
    CHECK(Sent < Queries / 2);
  else
    CHECK(Sent == Queries);
}
