#include "control/state_machine.h"
#include "small_deployment.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::control;

namespace {

operator_command zoneOut(std::string Operator, std::string Id,
                         std::uint64_t BaseRevision, std::int64_t Ms = 0) {
  return {{std::move(Operator)},
          {std::move(Id)},
          {BaseRevision},
          zone_out{zone_id{2}},
          wall_time{Ms}};
}

command_answer apply(state_machine &Machine, const operator_command &Command) {
  const log_index Next{Machine.applied().Value + 1};
  return std::get<command_answer>(Machine.apply(Command, Next));
}

const command_answer AcceptedAtOne{command_result::accepted, {1}};

} // namespace

TEST_CASE("of two operators that race one gets conflict and changes nothing") {
  state_machine Machine(test::smallDeployment());
  CHECK(apply(Machine, zoneOut("anna", "1", 0)) == AcceptedAtOne);
  const operator_command Loser{
      {"ben"}, {"1"}, {0}, endpoint_leave{endpoint_id{3}}, {}};
  CHECK(apply(Machine, Loser) == command_answer{command_result::conflict, {1}});
  CHECK(Machine.config().Leaving.empty());
  CHECK(Machine.history().size() == 1);
}

TEST_CASE("a resend gets the first answer, also from a restored copy") {
  state_machine Machine(test::smallDeployment());
  apply(Machine, zoneOut("anna", "1", 0));
  apply(Machine, {{"ben"}, {"1"}, {1}, zone_in{zone_id{2}}, {}});
  state_machine Copy(test::smallDeployment());
  REQUIRE(Copy.restore(Machine.snapshot()));
  CHECK(apply(Copy, zoneOut("anna", "1", 0)) == AcceptedAtOne);
  CHECK(Copy.config().Revision == revision{2});
  CHECK(Copy.config().ZonesOut.empty());
}

TEST_CASE("a command id used for another change is refused") {
  state_machine Machine(test::smallDeployment());
  apply(Machine, zoneOut("anna", "1", 0));
  const operator_command Other{{"anna"}, {"1"}, {1}, zone_in{zone_id{2}}, {}};
  CHECK(apply(Machine, Other).Result == command_result::reused_id);
  CHECK(Machine.config().Revision == revision{1});
}

TEST_CASE("a forgotten command never takes effect twice") {
  memory_limits Limits;
  Limits.MaxAnswerAge = millis{1000};
  state_machine Machine(test::smallDeployment(), Limits);
  apply(Machine, zoneOut("anna", "1", 0, 0));
  apply(Machine, {{"ben"}, {"1"}, {1}, zone_in{zone_id{2}}, {5000}});
  CHECK(apply(Machine, zoneOut("anna", "1", 0, 5000)).Result ==
        command_result::conflict);
  CHECK(Machine.config().ZonesOut.empty());
}

TEST_CASE("answers are bounded by count") {
  memory_limits Limits;
  Limits.MaxAnswers = 4;
  state_machine Machine(test::smallDeployment(), Limits);
  for (std::uint64_t I = 0; I < 20; ++I)
    apply(Machine, zoneOut("anna", std::to_string(I), I));
  CHECK(Machine.snapshot().Answers.size() == 4);
  CHECK(apply(Machine, zoneOut("anna", "19", 19)) ==
        command_answer{command_result::accepted, {20}});
}

TEST_CASE("neither an old snapshot nor an old entry takes the state back") {
  state_machine Machine(test::smallDeployment());
  const control_state Old = Machine.snapshot();
  apply(Machine, zoneOut("anna", "1", 0));
  CHECK_FALSE(Machine.restore(Old));
  const operator_command Next{{"ben"}, {"1"}, {1}, zone_in{zone_id{2}}, {}};
  Machine.apply(Next, log_index{1});
  CHECK(Machine.config().Revision == revision{1});
}

TEST_CASE("a change that does not fit the deployment is invalid") {
  state_machine Machine(test::smallDeployment());
  const operator_command Bad{
      {"anna"}, {"1"}, {0}, endpoint_leave{endpoint_id{999}}, {}};
  CHECK(apply(Machine, Bad) == command_answer{command_result::invalid, {0}});
}

TEST_CASE("an error names the field, the value and what is allowed") {
  const deployment D = test::smallDeployment();
  const auto Zone = validate(D, {}, zone_out{zone_id{9}});
  REQUIRE_FALSE(Zone);
  CHECK(Zone.error().Message == "zoneOut: 9 is not allowed; allowed: "
                                "\"vienna-1\", \"vienna-2\", \"linz\"");
  intent Intent;
  Intent.Name = {"quote"};
  Intent.MinCoverage = {101};
  const auto Coverage = validate(D, {}, put_intent{Intent});
  REQUIRE_FALSE(Coverage);
  CHECK(Coverage.error().Message ==
        "putIntent.minCoveragePercent: 101 is not allowed; allowed: 0 to 100");
}
