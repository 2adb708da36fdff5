#include "relay/record_merge.h"
#include "relay/route_table.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::relay;

namespace {

std::shared_ptr<const catalog> catalogWithTwoRoutes() {
  auto Out = std::make_shared<catalog>();
  for (const char *Prefix : {"/a/", "/a/b/"}) {
    route Route;
    Route.Name = Prefix;
    Route.Host = "shop.example";
    Route.PathPrefix = Prefix;
    Out->Routes.push_back(Route);
  }
  return Out;
}

std::string record(char First, char Fill = 'x') {
  return std::string(1, First) + std::string(RecordBytes - 1, Fill);
}

} // namespace

TEST_CASE("the route with the longest matching prefix is found", "[routes]") {
  const route_table Table(catalogWithTwoRoutes());
  REQUIRE(Table.find("shop.example", "/a/b/c")->Name == "/a/b/");
  REQUIRE(Table.find("SHOP.example:8080", "/a/bc?x=/a/b/")->Name == "/a/");
  REQUIRE(Table.find("shop.example", "/a") == nullptr);
  REQUIRE(Table.find("other.example", "/a/b/") == nullptr);
}

TEST_CASE("the greatest records of all parts are returned in descending order",
          "[merge]") {
  const std::string A = record('b') + record('d');
  const std::string B = record('c') + record('\xff') + "rest";
  REQUIRE(greatestRecords({A, B}, 3) ==
          record('\xff') + record('d') + record('c'));
}

TEST_CASE("duplicate records are kept", "[merge]") {
  const std::string A = record('b') + record('a');
  REQUIRE(greatestRecords({A, A}, 3) ==
          record('b') + record('b') + record('a'));
  REQUIRE(greatestRecords({A}, 9) == record('b') + record('a'));
  REQUIRE(greatestRecords({"short"}, 9).empty());
}
