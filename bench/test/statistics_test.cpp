#include "load/statistics.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::bench;

TEST_CASE("quantiles use the nearest rank") {
  std::vector<float> Values;
  for (int I = 100; I >= 1; --I)
    Values.push_back(static_cast<float>(I));
  CHECK(quantile(Values, 0.99) == 99);
  CHECK(quantile(Values, 0.5) == 50);
  CHECK(quantile(Values, 1) == 100);
  Values.clear();
  CHECK(quantile(Values, 0.5) == 0);
}

TEST_CASE("results are counted by outcome, reason and scheduled second") {
  class_statistics Statistics;
  caller_result Result;
  Result.Offset = millis{1500};
  Result.Latency = millis{20};
  Result.Answer.Outcome = outcome::answered;
  Result.Answer.Covered = 1;
  Result.Answer.Total = 2;
  Statistics.add(Result);
  Result.Answer.Outcome = outcome::not_run;
  Result.Answer.Reason = "queue_full";
  Statistics.add(Result);
  CHECK(Statistics.Sent == 2);
  CHECK(Statistics.Answered == 1);
  CHECK(Statistics.CoverageSum == 0.5);
  CHECK(Statistics.Complete == 0);
  CHECK(Statistics.Reasons.at("not_run:queue_full") == 1);
  REQUIRE(Statistics.Seconds.size() == 2);
  CHECK(Statistics.Seconds[1].Sent == 2);
  CHECK(Statistics.Seconds[1].NotRun == 1);
}

TEST_CASE("the series of an entry daemon counts requests by class weight") {
  entry_series Series;
  caller_result Result;
  Result.Offset = millis{2100};
  Result.Answer.Outcome = outcome::answered;
  addResult(Series, Result, 4);
  Result.Answer.Outcome = outcome::unknown;
  addResult(Series, Result, 1);
  REQUIRE(Series.size() == 3);
  CHECK(Series[2].Sent == 5);
  CHECK(Series[2].Answered == 4);
}
