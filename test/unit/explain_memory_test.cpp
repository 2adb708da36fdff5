#include "query_fixture.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::query;
using namespace bulrush::query::test;

namespace {

sub_request finishFirst(driven_router &Driven, std::uint64_t Query,
                        refusal Reason) {
  Driven.search(Query);
  const std::vector<sub_request> Requests = Driven.takeRequests();
  for (const sub_request &Request : Requests)
    Driven.reply(Reason == refusal::none ? Driven.answerTo(Request)
                                         : Driven.refusalOf(Request, Reason));
  for (const sub_request &Retry : Driven.takeRequests())
    Driven.reply(Driven.answerTo(Retry));
  return Requests[0];
}

} // namespace

TEST_CASE("the memory tells of a query's attempts and their reasons",
          "[router]") {
  driven_router Driven(1);
  const sub_request First = finishFirst(Driven, 1, refusal::endpoint_lost);
  const query_record *Record = Driven.Router.explain().findByRequestId("r1");
  REQUIRE(Record);
  CHECK(Record->Intent == intent_name{"any"});
  CHECK(Record->Snapshot == snapshot_id{7});
  CHECK(Record->Revision == revision{1});
  REQUIRE(Record->Attempts.size() == 2);
  CHECK(Record->Attempts[0].Endpoint == First.Endpoint);
  CHECK(Record->Attempts[0].Reason == refusal::endpoint_lost);
  CHECK(Record->Attempts[1].Cause == retry_reason::lost);
  CHECK(Record->Attempts[1].State == attempt_state::covered);
}

TEST_CASE("queries are found by endpoint and the oldest are forgotten",
          "[router]") {
  router_settings Settings;
  Settings.ExplainQueries = 2;
  Settings.Retry.InitialTokens = 50;
  driven_router Driven(1, Settings);
  for (std::uint64_t Query = 1; Query <= 3; ++Query)
    finishFirst(Driven, Query, refusal::endpoint_lost);
  const explain_log &Memory = Driven.Router.explain();
  CHECK_FALSE(Memory.findByRequestId("r1"));
  const auto Found = Memory.findByEndpoint({0}, 10);
  REQUIRE(Found.size() == 2);
  CHECK(Found[0]->RequestId == "r3");
  CHECK(Memory.findByAnyEndpoint({{0}, {1}}, 1).size() == 1);
  CHECK(Memory.findByAnyEndpoint({{9}}, 10).empty());
}

TEST_CASE("of queries without incident some are remembered", "[router]") {
  driven_router Driven(1);
  finishFirst(Driven, 1, refusal::none);
  finishFirst(Driven, 2, refusal::none);
  Driven.pass(millis{20});
  finishFirst(Driven, 3, refusal::none);
  CHECK(Driven.Router.explain().findByRequestId("r1"));
  CHECK_FALSE(Driven.Router.explain().findByRequestId("r2"));
  CHECK(Driven.Router.explain().findByRequestId("r3"));
}

TEST_CASE("a refused query is remembered with its reason", "[router]") {
  driven_router Driven(1);
  Driven.step(readiness_changed{false});
  Driven.search(1);
  REQUIRE(Driven.Router.explain().findByRequestId("r1"));
  CHECK(Driven.Router.explain().findByRequestId("r1")->Reason ==
        refusal::not_ready);
}
