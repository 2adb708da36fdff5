#include "query_fixture.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::query;
using namespace bulrush::query::test;

namespace {

/// Answers all requests but those of `Held`'s endpoints, after 2 ms each time.
void teachLatency(driven_router &Driven, int Queries) {
  for (int Number = 0; Number < Queries; ++Number) {
    Driven.search(100 + Number);
    Driven.pass(millis{2});
    for (const sub_request &Request : Driven.takeRequests())
      Driven.reply(Driven.answerTo(Request));
  }
  Driven.Out.clear();
}

std::size_t cancelled(driven_router &Driven) {
  std::size_t Count = 0;
  for (const send_cancel &Cancel : Driven.take<send_cancel>())
    Count += Cancel.Subs.size();
  return Count;
}

/// Sends a search whose shard 0 gets no reply, and returns that request.
sub_request searchWithStraggler(driven_router &Driven) {
  Driven.search(1);
  const std::vector<sub_request> Requests = Driven.takeRequests();
  for (const sub_request &Request : Requests)
    if (Request.Shard.Value != 0)
      Driven.reply(Driven.answerTo(Request));
  return Requests[0];
}

} // namespace

TEST_CASE("a straggler is hedged at another replica and the loser cancelled",
          "[router]") {
  driven_router Driven(20);
  teachLatency(Driven, 20);
  const sub_request Slow = searchWithStraggler(Driven);
  CHECK(Driven.takeRequests().empty());
  Driven.pass(millis{5});
  const std::vector<sub_request> Hedges = Driven.takeRequests();
  REQUIRE(Hedges.size() == 1);
  CHECK(Hedges[0].IsHedge);
  CHECK(Hedges[0].Shard == Slow.Shard);
  CHECK(Hedges[0].Endpoint != Slow.Endpoint);
  CHECK(Driven.take<count_retry>()[0].Reason == retry_reason::hedge);
  Driven.reply(Driven.answerTo(Hedges[0]));
  const std::vector<answer> Answers = Driven.takeAnswers();
  REQUIRE(Answers.size() == 1);
  CHECK(Answers[0].Covered == 20);
  CHECK(cancelled(Driven) == 1);
  Driven.reply(Driven.answerTo(Slow));
  CHECK(Driven.takeAnswers().empty());
}

TEST_CASE("no hedge goes to an endpoint that is not warm", "[router]") {
  driven_router Driven(20);
  teachLatency(Driven, 20);
  const endpoint_condition Condition =
      GENERATE(endpoint_condition::cold, endpoint_condition::shedding,
               endpoint_condition::unknown, endpoint_condition::lost);
  const sub_request Slow = searchWithStraggler(Driven);
  const std::uint32_t Other = (Slow.Endpoint.Value + 20) % 40;
  Driven.report(Other, Condition, {7});
  Driven.pass(millis{10});
  CHECK(Driven.takeRequests().empty());
}

TEST_CASE("a query that waits for many shards is not hedged", "[router]") {
  driven_router Driven(20);
  teachLatency(Driven, 20);
  Driven.search(1);
  Driven.takeRequests();
  for (int Passed = 0; Passed < 40; ++Passed)
    Driven.pass(millis{1});
  CHECK(Driven.takeRequests().empty());
}

TEST_CASE("hedges end when the budget is spent", "[router]") {
  router_settings Settings;
  Settings.Retry.MaxTokens = 8;
  Settings.Retry.InitialTokens = 8;
  driven_router Driven(20, Settings);
  Driven.step(config_changed{{{2}, makeIntents({0}), {}, {}}});
  teachLatency(Driven, 20);
  std::size_t Hedges = 0;
  for (std::uint64_t Number = 0; Number < 20; ++Number) {
    Driven.search(500 + Number);
    for (const sub_request &Request : Driven.takeRequests())
      if (Request.Shard.Value != 0)
        Driven.reply(Driven.answerTo(Request));
    Driven.pass(millis{49});
    Hedges += Driven.takeRequests().size();
    Driven.pass(millis{1});
  }
  CHECK(Hedges == 8 - 3);
}

TEST_CASE("a refused shard is asked for again at another replica", "[router]") {
  driven_router Driven(3);
  Driven.search(1);
  const sub_request First = Driven.takeRequests()[0];
  const refusal Reason =
      GENERATE(refusal::endpoint_shed, refusal::endpoint_lost,
               refusal::snapshot_missing, refusal::queue_full);
  Driven.reply(Driven.refusalOf(First, Reason));
  Driven.pass(millis{2});
  const std::vector<sub_request> Retries = Driven.takeRequests();
  REQUIRE(Retries.size() == 1);
  CHECK(Retries[0].Shard == First.Shard);
  CHECK(Retries[0].Endpoint != First.Endpoint);
  CHECK(Retries[0].Attempt == 1);
  CHECK_FALSE(Retries[0].IsHedge);
}

TEST_CASE("retries carry the deadline that is left", "[router]") {
  driven_router Driven(3);
  Driven.search(1);
  const sub_request First = Driven.takeRequests()[0];
  Driven.pass(millis{15});
  Driven.take<send_batch>();
  Driven.reply(Driven.refusalOf(First, refusal::endpoint_lost));
  const std::vector<send_batch> Sent = Driven.take<send_batch>();
  REQUIRE(Sent.size() == 1);
  CHECK(Sent[0].Batch.Remaining == millis{35});
}

TEST_CASE("a query whose shards are all lost is answered at once", "[router]") {
  router_settings Settings;
  Settings.Retry.InitialTokens = 0;
  driven_router Driven(2, Settings);
  Driven.step(config_changed{{{2}, makeIntents({0}), {}, {}}});
  Driven.search(1);
  for (const sub_request &Request : Driven.takeRequests()) {
    sub_reply Refused = Driven.refusalOf(Request, refusal::endpoint_shed);
    Refused.RetryAfter = millis{30};
    Driven.reply(Refused);
  }
  Driven.pass(millis{4});
  const std::vector<answer> Answers = Driven.takeAnswers();
  REQUIRE(Answers.size() == 1);
  CHECK(Answers[0].Outcome == outcome::not_run);
  CHECK(Answers[0].Reason == refusal::endpoint_shed);
  CHECK(Answers[0].RetryAfter == millis{30});
}

TEST_CASE("what a lost daemon was sent goes to other owners", "[router]") {
  driven_router Driven(6);
  Driven.search(1);
  const std::vector<sub_request> Requests = Driven.takeRequests();
  const vm_id Lost = Driven.ownerOf(Requests[0].Endpoint.Value);
  Driven.step(vm_suspected{Lost});
  for (const sub_request &Retry : Driven.takeRequests()) {
    CHECK(Retry.Attempt == 1);
    CHECK(Driven.ownerOf(Retry.Endpoint.Value) != Lost);
  }
  Driven.search(2);
  for (const sub_request &Request : Driven.takeRequests())
    CHECK(Driven.ownerOf(Request.Endpoint.Value) != Lost);
}

TEST_CASE("a cold endpoint takes part in few queries", "[router]") {
  driven_router Driven(1);
  Driven.report(0, endpoint_condition::cold, {7});
  int ToCold = 0;
  constexpr int Queries = 2000;
  for (int Number = 0; Number < Queries; ++Number) {
    Driven.search(1 + Number);
    const sub_request Request = Driven.takeRequests()[0];
    ToCold += Request.Endpoint.Value == 0 ? 1 : 0;
    Driven.reply(Driven.answerTo(Request));
  }
  CHECK(ToCold > 0);
  CHECK(ToCold <= Queries / 2);
}

TEST_CASE("work avoids an endpoint that does not reply", "[router]") {
  driven_router Driven(1);
  int ToSilent = 0;
  for (int Number = 0; Number < 200; ++Number) {
    Driven.search(1 + Number);
    const sub_request Request = Driven.takeRequests()[0];
    if (Request.Endpoint.Value == 0)
      ++ToSilent;
    else
      Driven.reply(Driven.answerTo(Request));
  }
  CHECK(ToSilent < 10);
}

TEST_CASE("a hedge avoids a replica that is much slower", "[router]") {
  driven_router Driven(20);
  constexpr std::uint32_t SlowEndpoint = 0;
  for (int Number = 0; Number < 100; ++Number) {
    Driven.search(100 + Number);
    const std::vector<sub_request> Requests = Driven.takeRequests();
    Driven.pass(millis{2});
    for (const sub_request &Request : Requests)
      if (Request.Endpoint.Value != SlowEndpoint)
        Driven.reply(Driven.answerTo(Request));
    Driven.pass(millis{30});
    for (const sub_request &Request : Requests)
      if (Request.Endpoint.Value == SlowEndpoint)
        Driven.reply(Driven.answerTo(Request));
    Driven.pass(millis{20});
    Driven.Out.clear();
  }
  const sub_request Late = searchWithStraggler(Driven);
  REQUIRE(Late.Endpoint.Value != SlowEndpoint);
  Driven.pass(millis{20});
  const std::vector<sub_request> Hedges = Driven.takeRequests();
  REQUIRE(Hedges.size() == 1);
  CHECK(Hedges[0].Endpoint == Late.Endpoint);
}
