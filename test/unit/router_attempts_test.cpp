#include "query_fixture.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::query;
using namespace bulrush::query::test;

namespace {

/// Trains the latency estimates with queries whose requests are all answered
/// after 2 ms.
void trainLatency(router_harness &Harness, int Queries) {
  for (int Number = 0; Number < Queries; ++Number) {
    Harness.search(100 + Number);
    Harness.advance(millis{2});
    for (const sub_request &Request : Harness.takeRequests())
      Harness.reply(Harness.answerTo(Request));
  }
  Harness.Out.clear();
}

std::size_t countCancelled(router_harness &Harness) {
  std::size_t Count = 0;
  for (const send_cancel &Cancel : Harness.takeActions<send_cancel>())
    Count += Cancel.Subs.size();
  return Count;
}

/// Starts a search, answers all shards but shard 0, and returns the request for
/// shard 0.
sub_request searchWithStraggler(router_harness &Harness) {
  Harness.search(1);
  const std::vector<sub_request> Requests = Harness.takeRequests();
  for (const sub_request &Request : Requests)
    if (Request.Shard.Value != 0)
      Harness.reply(Harness.answerTo(Request));
  return Requests[0];
}

} // namespace

TEST_CASE("a straggler is hedged at another replica and then cancelled",
          "[router]") {
  router_harness Harness(20);
  trainLatency(Harness, 20);
  const sub_request Slow = searchWithStraggler(Harness);
  CHECK(Harness.takeRequests().empty());
  Harness.advance(millis{5});
  const std::vector<sub_request> Hedges = Harness.takeRequests();
  REQUIRE(Hedges.size() == 1);
  CHECK(Hedges[0].IsHedge);
  CHECK(Hedges[0].Shard == Slow.Shard);
  CHECK(Hedges[0].Endpoint != Slow.Endpoint);
  CHECK(Harness.takeActions<count_retry>()[0].Reason == retry_reason::hedge);
  Harness.reply(Harness.answerTo(Hedges[0]));
  const std::vector<answer> Answers = Harness.takeAnswers();
  REQUIRE(Answers.size() == 1);
  CHECK(Answers[0].Covered == 20);
  CHECK(countCancelled(Harness) == 1);
  Harness.reply(Harness.answerTo(Slow));
  CHECK(Harness.takeAnswers().empty());
}

TEST_CASE("no hedge goes to an endpoint that is not warm", "[router]") {
  router_harness Harness(20);
  trainLatency(Harness, 20);
  const endpoint_condition Condition =
      GENERATE(endpoint_condition::cold, endpoint_condition::shedding,
               endpoint_condition::unknown, endpoint_condition::lost);
  const sub_request Slow = searchWithStraggler(Harness);
  const std::uint32_t Other = (Slow.Endpoint.Value + 20) % 40;
  Harness.report(Other, Condition, {7});
  Harness.advance(millis{10});
  CHECK(Harness.takeRequests().empty());
}

TEST_CASE("a query with many open shards is not hedged", "[router]") {
  router_harness Harness(20);
  trainLatency(Harness, 20);
  Harness.search(1);
  Harness.takeRequests();
  for (int Passed = 0; Passed < 40; ++Passed)
    Harness.advance(millis{1});
  CHECK(Harness.takeRequests().empty());
}

TEST_CASE("hedging stops when the budget is spent", "[router]") {
  router_settings Settings;
  Settings.Retry.MaxTokens = 8;
  Settings.Retry.InitialTokens = 8;
  router_harness Harness(20, Settings);
  Harness.step(config_changed{{{2}, makeIntents({0}), {}, {}}});
  trainLatency(Harness, 20);
  std::size_t Hedges = 0;
  for (std::uint64_t Number = 0; Number < 20; ++Number) {
    Harness.search(500 + Number);
    for (const sub_request &Request : Harness.takeRequests())
      if (Request.Shard.Value != 0)
        Harness.reply(Harness.answerTo(Request));
    Harness.advance(millis{49});
    Hedges += Harness.takeRequests().size();
    Harness.advance(millis{1});
  }
  CHECK(Hedges == 8 - 3);
}

TEST_CASE("a refused sub-request is retried at another replica", "[router]") {
  router_harness Harness(3);
  Harness.search(1);
  const sub_request First = Harness.takeRequests()[0];
  const refusal Reason =
      GENERATE(refusal::endpoint_shed, refusal::endpoint_lost,
               refusal::snapshot_missing, refusal::queue_full);
  Harness.reply(Harness.refusalOf(First, Reason));
  Harness.advance(millis{2});
  const std::vector<sub_request> Retries = Harness.takeRequests();
  REQUIRE(Retries.size() == 1);
  CHECK(Retries[0].Shard == First.Shard);
  CHECK(Retries[0].Endpoint != First.Endpoint);
  CHECK(Retries[0].Attempt == 1);
  CHECK_FALSE(Retries[0].IsHedge);
}

TEST_CASE("retries carry the remaining time until the deadline", "[router]") {
  router_harness Harness(3);
  Harness.search(1);
  const sub_request First = Harness.takeRequests()[0];
  Harness.advance(millis{15});
  Harness.takeActions<send_batch>();
  Harness.reply(Harness.refusalOf(First, refusal::endpoint_lost));
  const std::vector<send_batch> Sent = Harness.takeActions<send_batch>();
  REQUIRE(Sent.size() == 1);
  CHECK(Sent[0].Batch.Remaining == millis{35});
}

TEST_CASE("a query whose shards have all failed is answered immediately",
          "[router]") {
  router_settings Settings;
  Settings.Retry.InitialTokens = 0;
  router_harness Harness(2, Settings);
  Harness.step(config_changed{{{2}, makeIntents({0}), {}, {}}});
  Harness.search(1);
  for (const sub_request &Request : Harness.takeRequests()) {
    sub_reply Refused = Harness.refusalOf(Request, refusal::endpoint_shed);
    Refused.RetryAfter = millis{30};
    Harness.reply(Refused);
  }
  Harness.advance(millis{4});
  const std::vector<answer> Answers = Harness.takeAnswers();
  REQUIRE(Answers.size() == 1);
  CHECK(Answers[0].Outcome == outcome::not_run);
  CHECK(Answers[0].Reason == refusal::endpoint_shed);
  CHECK(Answers[0].RetryAfter == millis{30});
}

TEST_CASE("sub-requests to an unreachable daemon are retried at other owners",
          "[router]") {
  router_harness Harness(6);
  Harness.search(1);
  const std::vector<sub_request> Requests = Harness.takeRequests();
  const vm_id Lost = Harness.ownerOf(Requests[0].Endpoint.Value);
  Harness.step(vm_suspected{Lost});
  for (const sub_request &Retry : Harness.takeRequests()) {
    CHECK(Retry.Attempt == 1);
    CHECK(Harness.ownerOf(Retry.Endpoint.Value) != Lost);
  }
  Harness.search(2);
  for (const sub_request &Request : Harness.takeRequests())
    CHECK(Harness.ownerOf(Request.Endpoint.Value) != Lost);
}

TEST_CASE("a cold endpoint gets few sub-requests", "[router]") {
  router_harness Harness(1);
  Harness.report(0, endpoint_condition::cold, {7});
  int ToCold = 0;
  constexpr int Queries = 2000;
  for (int Number = 0; Number < Queries; ++Number) {
    Harness.search(1 + Number);
    const sub_request Request = Harness.takeRequests()[0];
    ToCold += Request.Endpoint.Value == 0 ? 1 : 0;
    Harness.reply(Harness.answerTo(Request));
  }
  CHECK(ToCold > 0);
  CHECK(ToCold <= Queries / 2);
}

TEST_CASE("an endpoint that does not reply gets few sub-requests", "[router]") {
  router_harness Harness(1);
  int ToUnresponsive = 0;
  for (int Number = 0; Number < 200; ++Number) {
    Harness.search(1 + Number);
    const sub_request Request = Harness.takeRequests()[0];
    if (Request.Endpoint.Value == 0)
      ++ToUnresponsive;
    else
      Harness.reply(Harness.answerTo(Request));
  }
  CHECK(ToUnresponsive < 10);
}

TEST_CASE("a hedge is not sent to a much slower replica", "[router]") {
  router_harness Harness(20);
  constexpr std::uint32_t SlowEndpoint = 0;
  for (int Number = 0; Number < 100; ++Number) {
    Harness.search(100 + Number);
    const std::vector<sub_request> Requests = Harness.takeRequests();
    Harness.advance(millis{2});
    for (const sub_request &Request : Requests)
      if (Request.Endpoint.Value != SlowEndpoint)
        Harness.reply(Harness.answerTo(Request));
    Harness.advance(millis{30});
    for (const sub_request &Request : Requests)
      if (Request.Endpoint.Value == SlowEndpoint)
        Harness.reply(Harness.answerTo(Request));
    Harness.advance(millis{20});
    Harness.Out.clear();
  }
  const sub_request Late = searchWithStraggler(Harness);
  REQUIRE(Late.Endpoint.Value != SlowEndpoint);
  Harness.advance(millis{20});
  const std::vector<sub_request> Hedges = Harness.takeRequests();
  REQUIRE(Hedges.size() == 1);
  CHECK(Hedges[0].Endpoint == Late.Endpoint);
}
