#include "endpoint/behaviour.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::bench;

TEST_CASE("a behaviour round-trips through JSON") {
  endpoint_behaviour Changed;
  Changed.MeanService = millis{7};
  Changed.HealthAlwaysWarm = true;
  Changed.Slots = 6;
  const auto Read = applyPatch(endpoint_behaviour{}, toJson(Changed));
  REQUIRE(Read);
  CHECK(*Read == Changed);
}

TEST_CASE("a patch changes only the fields it contains") {
  const auto Read = applyPatch(endpoint_behaviour{}, R"({"sigma": 0.9})");
  REQUIRE(Read);
  CHECK(Read->Sigma == 0.9);
  CHECK(Read->Slots == endpoint_behaviour{}.Slots);
}

TEST_CASE("a patch with an unknown key or a wrong type is refused") {
  const endpoint_behaviour Base;
  CHECK_FALSE(applyPatch(Base, R"({"slot": 1})"));
  CHECK_FALSE(applyPatch(Base, R"({"slots": -1})"));
  CHECK_FALSE(applyPatch(Base, R"({"slots": 0})"));
  CHECK_FALSE(applyPatch(Base, R"({"healthLies": 1})"));
  CHECK_FALSE(applyPatch(Base, "[]"));
  CHECK_FALSE(applyPatch(Base, "{"));
}
