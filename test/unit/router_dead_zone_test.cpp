#include "query_fixture.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace bulrush;
using namespace bulrush::query;
using namespace bulrush::query::test;

namespace {

constexpr std::uint32_t Shards = 20;
constexpr percent ExtraLoad{5};

struct phase_result {
  std::size_t Primaries = 0;
  std::size_t Extra = 0;
  std::size_t Covered = 0;
  std::size_t Total = 0;
};

/// Sends one query every 5 ms, in steps of 1 ms. Endpoints reply after 2 ms or,
/// in a dead zone, never.
phase_result run(router_harness &Harness, std::uint64_t &Query, int Queries,
                 bool ZoneIsDead) {
  constexpr int StepsAfter = 60;
  phase_result Result;
  constexpr int ReplySteps = 2;
  std::deque<std::pair<int, sub_request>> Due;
  for (int Step = 0; Step < 5 * Queries + StepsAfter; ++Step) {
    for (; !Due.empty() && Due.front().first <= Step; Due.pop_front())
      if (!ZoneIsDead || Due.front().second.Endpoint.Value < Shards)
        Harness.reply(Harness.answerTo(Due.front().second));
    Harness.advance(millis{1});
    if (Step % 5 == 0 && Step < 5 * Queries)
      Harness.search(++Query);
    for (const sub_request &Request : Harness.takeRequests()) {
      ++(Request.Attempt == 0 ? Result.Primaries : Result.Extra);
      Due.emplace_back(Step + ReplySteps, Request);
    }
    for (const answer &Answer : Harness.takeAnswers()) {
      Result.Covered += Answer.Covered;
      Result.Total += Answer.Total;
    }
    Harness.Out.clear();
  }
  return Result;
}

} // namespace

TEST_CASE("an unresponsive zone is avoided and causes little extra load",
          "[router]") {
  router_harness Harness(Shards);
  Harness.step(config_changed{{{2}, makeIntents(ExtraLoad), {}, {}}});
  std::uint64_t Query = 0;
  const phase_result Before = run(Harness, Query, 100, false);
  CHECK(Before.Covered == Before.Total);
  const phase_result AfterLoss = run(Harness, Query, 200, true);
  CHECK(AfterLoss.Extra <= AfterLoss.Primaries / 10);
  const phase_result Later = run(Harness, Query, 200, true);
  CHECK(Later.Extra <= Later.Primaries / 10);
  // Issue 4: the loss of a zone reduces coverage by at most a tenth.
  CHECK(Later.Covered >= Later.Total * 0.9);
}
