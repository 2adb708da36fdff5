#include "settings/operator_json.h"
#include "small_deployment.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::control;
using namespace bulrush::settings;

namespace {

expected<plan_request> parse(const std::string &Change) {
  return parsePlanRequest(R"({"operator":"anna","command":"1","change":)" +
                              Change + "}",
                          test::smallDeployment());
}

std::string errorOf(const std::string &Change) {
  const auto Parsed = parse(Change);
  return Parsed ? "" : Parsed.error().Message;
}

} // namespace

TEST_CASE("each kind of change is parsed from JSON") {
  CHECK(parse(R"({"zoneOut":"linz"})")->Change == change{zone_out{{2}}});
  CHECK(parse(R"({"zoneIn":"linz"})")->Change == change{zone_in{{2}}});
  CHECK(parse(R"({"endpointLeave":12})")->Change ==
        change{endpoint_leave{{12}}});
  CHECK(parse(R"({"endpointReturn":0})")->Change ==
        change{endpoint_return{{0}}});
  CHECK(parse(R"({"dropIntent":"quote"})")->Change ==
        change{drop_intent{{"quote"}}});
  CHECK(parse(R"({"addVoter":1})")->Change == change{add_voter{{1}}});
  CHECK(parse(R"({"removeVoter":1})")->Change == change{remove_voter{{1}}});
  const auto Put = parse(R"({"putIntent":{"name":"quote","kind":"q",
      "caller":"driver-app","deadlineMs":45,"weight":3}})");
  REQUIRE(Put);
  CHECK(Put->Change ==
        change{put_intent{
            {{"quote"}, "driver-app", "q", millis{45}, {0}, 3, {5}}}});
  CHECK(Put->Operator == operator_id{"anna"});
}

TEST_CASE("errors give the field, the value found and the values allowed") {
  CHECK(errorOf(R"({"zoneOut":"graz"})") ==
        "request: /change/zoneOut: found \"graz\", allowed is one of vienna-1 "
        "vienna-2 linz");
  CHECK(errorOf(R"({"endpointLeave":999})") ==
        "request: /change/endpointLeave: found 999, allowed is a number from "
        "0 to 45");
  CHECK(errorOf("{}").find("exactly one of putIntent") != std::string::npos);
  CHECK(errorOf(R"({"zoneOut":"linz","zoneIn":"linz"})").find("exactly one") !=
        std::string::npos);
  CHECK(errorOf(R"({"zoneOut":"linz","x":1})").find("unknown key") !=
        std::string::npos);
  CHECK_FALSE(parsePlanRequest("{", test::smallDeployment()));
  CHECK_FALSE(parsePlanRequest(R"({"operator":"a","command":"1"})",
                               test::smallDeployment()));
}

TEST_CASE("a confirm must have the operator and the command of its plan") {
  const auto Fields =
      parseConfirm(R"({"operator":"anna","command":"1","plan":"x"})");
  REQUIRE(Fields);
  CHECK_FALSE(Fields->IsFirstSend);
  CHECK(makeConfirmRequest(*Fields, {{"anna"}, {"1"}, {0}, zone_out{{2}}}));
  CHECK_FALSE(
      makeConfirmRequest(*Fields, {{"ben"}, {"1"}, {0}, zone_out{{2}}}));
  CHECK_FALSE(
      makeConfirmRequest(*Fields, {{"anna"}, {"2"}, {0}, zone_out{{2}}}));
}

TEST_CASE("the HTTP status of a result agrees with its body") {
  const json_answer Accepted =
      toJson(confirm_result{confirm_status::accepted, {6}});
  CHECK(Accepted.Status == 200);
  CHECK(Accepted.Body == R"({"result":"accepted","revision":6})");
  const json_answer Conflict =
      toJson(confirm_result{confirm_status::conflict, {6}});
  CHECK(Conflict.Status == 409);
  const json_answer Unknown =
      toJson(confirm_result{confirm_status::unknown, {}});
  CHECK(Unknown.Status == 504);
  CHECK(Unknown.Body == R"({"result":"unknown"})");
  CHECK(badRequest("no").Status == 400);
  CHECK(toJson(request_refused{refusal::no_quorum, "no"}).Status == 503);
}
