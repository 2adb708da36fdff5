#include "bulrushtray/clock.h"
#include "bulrushtray/ids.h"

#include <catch2/catch.hpp>
#include <type_traits>

using namespace bulrush;

TEST_CASE("ids of different kinds do not convert to each other") {
  STATIC_REQUIRE_FALSE(std::is_convertible_v<vm_id, endpoint_id>);
  STATIC_REQUIRE_FALSE(std::is_convertible_v<intent_name, operator_id>);
  CHECK(vm_id{1} < vm_id{2});
}

TEST_CASE("adding a duration to an instant gives an instant") {
  const instant Start{100};
  CHECK((Start + millis{2.5}) - Start == millis{2.5});
  CHECK(Start < Never);
}
