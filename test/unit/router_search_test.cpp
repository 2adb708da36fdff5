#include "query_fixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace bulrush;
using namespace bulrush::query;
using namespace bulrush::query::test;

TEST_CASE("a search goes to every shard once, in one batch for each owner",
          "[router]") {
  driven_router Driven(20);
  Driven.search(1);
  const std::vector<send_batch> Batches = Driven.take<send_batch>();
  std::set<std::uint32_t> Owners;
  std::set<std::uint32_t> Shards;
  for (const send_batch &Sent : Batches) {
    CHECK(Owners.insert(Sent.To.Value).second);
    CHECK(Sent.Batch.Remaining == QueryTime);
    for (const sub_request &Item : Sent.Batch.Items) {
      CHECK(Shards.insert(Item.Shard.Value).second);
      CHECK(Driven.ownerOf(Item.Endpoint.Value) == Sent.To);
    }
  }
  CHECK(Shards.size() == 20);
}

TEST_CASE("the answer goes out with the last reply, in the order of the shards",
          "[router]") {
  driven_router Driven(3);
  Driven.search(1);
  std::vector<sub_request> Requests = Driven.takeRequests();
  std::reverse(Requests.begin(), Requests.end());
  for (std::size_t At = 0; At < 2; ++At)
    Driven.reply(Driven.answerTo(Requests[At]));
  CHECK(Driven.takeAnswers().empty());
  Driven.reply(Driven.answerTo(Requests[2]));
  const std::vector<answer> Answers = Driven.takeAnswers();
  REQUIRE(Answers.size() == 1);
  CHECK(Answers[0].RequestId == "r1");
  CHECK(Answers[0].Outcome == outcome::answered);
  CHECK(Answers[0].Covered == 3);
  CHECK(Answers[0].Missing.empty());
  REQUIRE(Answers[0].Results.size() == 3);
  for (std::size_t Shard = 0; Shard < 3; ++Shard)
    CHECK(*Answers[0].Results[Shard] == "1/" + std::to_string(Shard));
  CHECK(Driven.Router.active() == 0);
}

TEST_CASE("at the deadline the answer names the shards that are missing",
          "[router]") {
  router_settings Settings;
  Settings.Hedge.Enabled = false;
  driven_router Driven(3, Settings);
  Driven.search(1);
  const std::vector<sub_request> Requests = Driven.takeRequests();
  Driven.reply(Driven.answerTo(Requests[0]));
  Driven.pass(millis{50});
  const std::vector<answer> Answers = Driven.takeAnswers();
  REQUIRE(Answers.size() == 1);
  CHECK(Answers[0].Outcome == outcome::answered);
  CHECK(Answers[0].Covered == 1);
  CHECK(Answers[0].Missing.size() == 2);
  std::size_t Cancelled = 0;
  for (const send_cancel &Cancel : Driven.take<send_cancel>())
    Cancelled += Cancel.Subs.size();
  CHECK(Cancelled == 2);
}

TEST_CASE("the answer leaves in time to arrive within the deadline",
          "[router]") {
  driven_router Driven(3);
  Driven.search(1);
  const std::vector<sub_request> Requests = Driven.takeRequests();
  Driven.reply(Driven.answerTo(Requests[0]));
  const millis Deadline = makeIntents()[0].Deadline;
  Driven.pass(Deadline - router_settings{}.AnswerMargin - millis{1});
  CHECK(Driven.takeAnswers().empty());
  Driven.pass(millis{1});
  CHECK(Driven.takeAnswers().size() == 1);
}

TEST_CASE("an incomplete answer to a complete intent is refused", "[router]") {
  driven_router Driven(3);
  Driven.search(1, 1);
  const std::vector<sub_request> Requests = Driven.takeRequests();
  Driven.reply(Driven.answerTo(Requests[0]));
  Driven.pass(millis{50});
  const std::vector<answer> Answers = Driven.takeAnswers();
  REQUIRE(Answers.size() == 1);
  CHECK(Answers[0].Outcome == outcome::unknown);
  CHECK(Answers[0].Reason == refusal::timed_out);
  CHECK(Answers[0].Results.empty());
  CHECK(Answers[0].Missing.size() == 2);
  CHECK(Answers[0].RetryAfter > millis{0});
}

TEST_CASE("a request that nothing was sent for is refused as not run",
          "[router]") {
  driven_router Driven(3);
  const auto Refused = [&](std::uint16_t Caller) {
    Driven.search(Driven.Now.Ms, Caller);
    const std::vector<answer> Answers = Driven.takeAnswers();
    REQUIRE(Answers.size() == 1);
    CHECK(Answers[0].Outcome == outcome::not_run);
    CHECK(Driven.takeRequests().empty());
    return Answers[0].Reason;
  };
  CHECK(Refused(9) == refusal::no_intent);
  Driven.step(readiness_changed{false});
  CHECK(Refused(0) == refusal::not_ready);
  Driven.step(readiness_changed{true});
  Driven.step(config_changed{{{2}, makeIntents(), {{0}, {1}}, {}}});
  CHECK(Refused(0) == refusal::zone_out);
  Driven.step(stop_requested{});
  CHECK(Refused(0) == refusal::draining);
}

TEST_CASE("repeated and late replies change nothing", "[router]") {
  driven_router Driven(2);
  Driven.search(1);
  const std::vector<sub_request> Requests = Driven.takeRequests();
  Driven.reply(Driven.answerTo(Requests[0]));
  Driven.reply(Driven.answerTo(Requests[0]));
  CHECK(Driven.takeAnswers().empty());
  Driven.reply(Driven.answerTo(Requests[1]));
  CHECK(Driven.takeAnswers().size() == 1);
  Driven.reply(Driven.answerTo(Requests[1]));
  CHECK(Driven.takeAnswers().empty());
}

TEST_CASE("work in flight ends after a stop was requested", "[router]") {
  driven_router Driven(1);
  Driven.search(1);
  Driven.step(stop_requested{});
  CHECK(Driven.Router.active() == 1);
  Driven.reply(Driven.answerTo(Driven.takeRequests()[0]));
  CHECK(Driven.takeAnswers()[0].Outcome == outcome::answered);
  CHECK(Driven.Router.active() == 0);
}

TEST_CASE("a caller that has gone has its work cancelled", "[router]") {
  driven_router Driven(3);
  Driven.search(1);
  Driven.step(caller_disconnected{{1}});
  CHECK(Driven.takeAnswers().empty());
  CHECK_FALSE(Driven.take<send_cancel>().empty());
  CHECK(Driven.Router.active() == 0);
}

TEST_CASE("queries that endpoints refuse for load are refused early",
          "[router]") {
  router_settings Settings;
  Settings.Retry.InitialTokens = 0;
  driven_router Driven(2, Settings);
  Driven.step(config_changed{{{2}, makeIntents({0}), {}, {}}});
  const auto Reason =
      GENERATE(refusal::deadline_unmeetable, refusal::endpoint_lost);
  std::size_t Sent = 0;
  constexpr std::size_t Queries = 100;
  for (std::size_t Query = 1; Query <= Queries; ++Query) {
    Driven.search(Query);
    const std::vector<sub_request> Requests = Driven.takeRequests();
    Sent += Requests.empty() ? 0 : 1;
    for (const sub_request &Request : Requests)
      Driven.reply(Driven.refusalOf(Request, Reason));
    Driven.pass(millis{5});
    const std::vector<answer> Answers = Driven.takeAnswers();
    REQUIRE(Answers.size() == 1);
    CHECK(Answers[0].Outcome == outcome::not_run);
    CHECK(Answers[0].Reason == Reason);
  }
  if (Reason == refusal::deadline_unmeetable)
    CHECK(Sent < Queries / 2);
  else
    CHECK(Sent == Queries);
}
