#include "load/answer_check.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace bulrush;
using namespace bulrush::bench;
using nlohmann::json;

namespace {

const expected_answer Search{"r1", "t1", percent{50}, false};

json result(unsigned Shard, unsigned Snapshot = 7,
            const std::string &Token = "t1") {
  return {{"shard", Shard},
          {"snapshot", Snapshot},
          {"endpoint", 1},
          {"token", Token}};
}

json validAnswer() {
  return {{"request", "r1"},      {"outcome", "answered"},
          {"intent", "free-bay"}, {"snapshot", 7},
          {"covered", 2},         {"total", 3},
          {"missing", {1}},       {"results", {result(0), result(2)}}};
}

answer_fault faultOf(const json &Body, unsigned Status = 200) {
  return checkAnswer(Search, Status, Body.dump()).Fault;
}

} // namespace

TEST_CASE("a correct answer passes") {
  const auto Answer = checkAnswer(Search, 200, validAnswer().dump());
  CHECK(Answer.Fault == answer_fault::none);
  CHECK(Answer.Outcome == outcome::answered);
  CHECK(Answer.Covered == 2);
  CHECK(Answer.Total == 3);
}

TEST_CASE("each fault of an answer is detected") {
  json Body = validAnswer();
  Body["request"] = "r2";
  CHECK(faultOf(Body) == answer_fault::other_request);

  Body = validAnswer();
  Body["results"][1] = result(2, 7, "t2");
  CHECK(faultOf(Body) == answer_fault::other_token);

  Body = validAnswer();
  Body["results"][1] = result(2, 8);
  CHECK(faultOf(Body) == answer_fault::mixed_snapshots);

  Body = validAnswer();
  Body["covered"] = 3;
  CHECK(faultOf(Body) == answer_fault::untrue_coverage);

  Body = validAnswer();
  Body["results"][1] = result(0);
  CHECK(faultOf(Body) == answer_fault::untrue_coverage);

  Body = validAnswer();
  Body["results"][1] = result(3);
  CHECK(faultOf(Body) == answer_fault::untrue_coverage);

  Body = validAnswer();
  Body["missing"] = json::array();
  CHECK(faultOf(Body) == answer_fault::untrue_missing);
  Body["missing"] = {2};
  CHECK(faultOf(Body) == answer_fault::untrue_missing);

  Body = validAnswer();
  Body["results"] = {result(0)};
  Body["covered"] = 1;
  Body["missing"] = {1, 2};
  CHECK(faultOf(Body) == answer_fault::too_little);

  CHECK(faultOf(validAnswer(), 504) == answer_fault::status_mismatch);
  CHECK(checkAnswer(Search, 200, "{").Fault == answer_fault::malformed);
  Body = validAnswer();
  Body["covered"] = "two";
  CHECK(faultOf(Body) == answer_fault::malformed);
}

TEST_CASE("a refusal needs its outcome, its status and no results") {
  const json Refusal = {{"request", "r1"},
                        {"outcome", "not_run"},
                        {"reason", "deadline_unmeetable"},
                        {"retryAfterMs", 20}};
  const auto Answer = checkAnswer(Search, 503, Refusal.dump());
  CHECK(Answer.Fault == answer_fault::none);
  CHECK(Answer.Reason == "deadline_unmeetable");
  CHECK(Answer.RetryAfter == millis{20});
  CHECK(faultOf(Refusal, 200) == answer_fault::status_mismatch);
  json Ran = Refusal;
  Ran["results"] = {result(0)};
  CHECK(faultOf(Ran, 503) == answer_fault::results_of_no_run);
}

TEST_CASE("a refusal for incompleteness lists the missing shards") {
  json Refusal = {
      {"request", "r1"}, {"outcome", "unknown"}, {"reason", "incomplete"}};
  CHECK(faultOf(Refusal, 504) == answer_fault::missing_not_named);
  Refusal["missing"] = {1};
  CHECK(faultOf(Refusal, 504) == answer_fault::none);
}

TEST_CASE("totals are compared with the published shard maps") {
  reported_totals Counts;
  checked_answer Answer;
  Answer.Snapshot = snapshot_id{7};
  Answer.Total = 20;
  Counts.add("driver", Answer);
  Counts.add("driver", Answer);
  Answer.Total = 21;
  Counts.add("driver", Answer);
  Answer.Snapshot = snapshot_id{9};
  Counts.add("driver", Answer);
  const json Published = {
      {"snapshots", {{{"pool", "driver"}, {"id", 7}, {"totalShards", 20}}}}};
  CHECK(Counts.countMismatches(Published.dump()) == 2);
  CHECK(Counts.countMismatches("") == 4);
}
