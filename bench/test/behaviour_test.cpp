#include "endpoint/behaviour.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::bench;

TEST_CASE("a behaviour survives its JSON form") {
  endpoint_behaviour Changed;
  Changed.MeanService = millis{7};
  Changed.HealthLies = true;
  Changed.Slots = 6;
  const auto Read = patched(endpoint_behaviour{}, toJson(Changed));
  REQUIRE(Read);
  CHECK(*Read == Changed);
}

TEST_CASE("a patch changes only what it names") {
  const auto Read = patched(endpoint_behaviour{}, R"({"sigma": 0.9})");
  REQUIRE(Read);
  CHECK(Read->Sigma == 0.9);
  CHECK(Read->Slots == endpoint_behaviour{}.Slots);
}

TEST_CASE("a patch with an unknown key or a wrong type is refused") {
  const endpoint_behaviour Base;
  CHECK_FALSE(patched(Base, R"({"slot": 1})"));
  CHECK_FALSE(patched(Base, R"({"slots": -1})"));
  CHECK_FALSE(patched(Base, R"({"slots": 0})"));
  CHECK_FALSE(patched(Base, R"({"healthLies": 1})"));
  CHECK_FALSE(patched(Base, "[]"));
  CHECK_FALSE(patched(Base, "{"));
}
