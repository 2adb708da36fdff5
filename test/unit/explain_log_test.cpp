#include "query_fixture.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::query;
using namespace bulrush::query::test;

namespace {

sub_request runQuery(router_harness &Harness, std::uint64_t Query,
                     refusal Reason) {
  Harness.search(Query);
  const std::vector<sub_request> Requests = Harness.takeRequests();
  for (const sub_request &Request : Requests)
    Harness.reply(Reason == refusal::none ? Harness.answerTo(Request)
                                          : Harness.refusalOf(Request, Reason));
  for (const sub_request &Retry : Harness.takeRequests())
    Harness.reply(Harness.answerTo(Retry));
  return Requests[0];
}

} // namespace

TEST_CASE("the explain log contains a query's attempts and their reasons",
          "[router]") {
  router_harness Harness(1);
  const sub_request First = runQuery(Harness, 1, refusal::endpoint_lost);
  const query_record *Record = Harness.Router.explain().findByRequestId("r1");
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

TEST_CASE(
    "queries are found by endpoint and the oldest records are overwritten",
    "[router]") {
  router_settings Settings;
  Settings.ExplainQueries = 2;
  Settings.Retry.InitialTokens = 50;
  router_harness Harness(1, Settings);
  for (std::uint64_t Query = 1; Query <= 3; ++Query)
    runQuery(Harness, Query, refusal::endpoint_lost);
  const explain_log &Log = Harness.Router.explain();
  CHECK_FALSE(Log.findByRequestId("r1"));
  const auto Found = Log.findByEndpoint({0}, 10);
  REQUIRE(Found.size() == 2);
  CHECK(Found[0]->RequestId == "r3");
  CHECK(Log.findByAnyEndpoint({{0}, {1}}, 1).size() == 1);
  CHECK(Log.findByAnyEndpoint({{9}}, 10).empty());
}

TEST_CASE("uneventful queries are recorded at a limited rate", "[router]") {
  router_harness Harness(1);
  runQuery(Harness, 1, refusal::none);
  runQuery(Harness, 2, refusal::none);
  Harness.advance(millis{20});
  runQuery(Harness, 3, refusal::none);
  CHECK(Harness.Router.explain().findByRequestId("r1"));
  CHECK_FALSE(Harness.Router.explain().findByRequestId("r2"));
  CHECK(Harness.Router.explain().findByRequestId("r3"));
}

TEST_CASE("a refused query is recorded with its reason", "[router]") {
  router_harness Harness(1);
  Harness.step(readiness_changed{false});
  Harness.search(1);
  REQUIRE(Harness.Router.explain().findByRequestId("r1"));
  CHECK(Harness.Router.explain().findByRequestId("r1")->Reason ==
        refusal::not_ready);
}
