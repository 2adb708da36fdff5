#include "relay/catalog_change.h"
#include "relay/directory_change.h"
#include "relay_fixture.h"

#include <random>
#include <set>

using namespace bulrush;
using namespace bulrush::test;

namespace {

/// Random catalog; any two have most of their content in common.
catalog randomCatalog(std::minstd_rand &Random, std::uint64_t Version) {
  catalog Out;
  Out.Version = {Version};
  for (int I = 0; I < 20; ++I) {
    if (Random() % 8 == 0)
      continue;
    service Service;
    Service.Name = {"s" + std::to_string(I)};
    Service.MaxConnections = Random() % 10 == 0 ? 7 : 50;
    Out.Services.push_back(Service);
    route Route;
    Route.Host = "host";
    Route.PathPrefix = "/" + std::to_string(I) + "/";
    Route.Timeout = {Random() % 10 == 0 ? 100.0 : 800.0};
    Route.Targets = {{Service.Name, 1}};
    Out.Routes.push_back(Route);
  }
  Out.Limits.MaxBodyBytes = Random() % 2 == 0 ? 1000 : 2000;
  return Out;
}

catalog sorted(catalog Catalog) {
  std::sort(Catalog.Services.begin(), Catalog.Services.end(),
            [](const auto &A, const auto &B) { return A.Name < B.Name; });
  std::sort(
      Catalog.Routes.begin(), Catalog.Routes.end(),
      [](const auto &A, const auto &B) { return A.PathPrefix < B.PathPrefix; });
  return Catalog;
}

} // namespace

TEST_CASE("applying a change yields the new catalog", "[change]") {
  std::minstd_rand Random(11);
  catalog Current;
  for (std::uint64_t Version = 1; Version < 200; ++Version) {
    const catalog Next = randomCatalog(Random, Version);
    const auto Result = applyChange(Current, changeBetween(Current, Next));
    REQUIRE(Result);
    REQUIRE(sorted(*Result) == sorted(Next));
    Current = *Result;
  }
}

TEST_CASE("a change contains only what differs", "[change]") {
  std::minstd_rand Random(3);
  const catalog Old = randomCatalog(Random, 4);
  catalog New = Old;
  New.Version = {5};
  New.Routes.front().Timeout = {1};
  const catalog_change Change = changeBetween(Old, New);
  CHECK(Change.Routes.size() == 1);
  CHECK(Change.Services.empty());
  CHECK(Change.RemovedRoutes.empty());
}

TEST_CASE("a change with another base version is rejected", "[change]") {
  std::minstd_rand Random(5);
  const catalog One = randomCatalog(Random, 1);
  const catalog Two = randomCatalog(Random, 2);
  const catalog Three = randomCatalog(Random, 3);
  CHECK(!applyChange(One, changeBetween(Two, Three)));
  const auto Full = applyChange(One, fullChange(Three));
  REQUIRE(Full);
  CHECK(*Full == Three);
}

namespace {

/// Instances that the relay has opened and not closed.
std::set<std::string> openInstances(relay_fixture &Relay) {
  std::set<std::string> Out;
  for (const relay_action &Each : Relay.Actions) {
    if (const auto *Open = std::get_if<open_endpoint>(&Each))
      Out.insert(Open->Listed.Identity.Instance);
    if (const auto *Close = std::get_if<close_endpoint>(&Each))
      Out.erase(Relay.Names.at(Close->Endpoint.Value));
  }
  return Out;
}

} // namespace

TEST_CASE("a directory change contains only new, changed and removed endpoints",
          "[change]") {
  relay_fixture Relay;
  Relay.addService("one", 5);
  Relay.addPlainRoute("/one/", "one");
  Relay.install();
  const directory Old = Relay.Directory;
  directory New = Old;
  New.Version.Sequence += 1;
  New.Endpoints.erase(New.Endpoints.begin());
  New.Endpoints.front().IsLeaving = true;
  listed_endpoint Added = New.Endpoints.back();
  Added.Identity.Instance = "one-9";
  New.Endpoints.push_back(Added);
  const directory_change Change = changeBetween(Old, New);
  CHECK(Change.Endpoints.size() == 2);
  REQUIRE(Change.Removed.size() == 1);
  CHECK(Change.Removed.front().Instance == "one-0");
  Relay.step(
      directory_arrived{std::make_shared<const directory_change>(Change), {}});
  CHECK(openInstances(Relay) ==
        std::set<std::string>{"one-1", "one-2", "one-3", "one-4", "one-9"});
  // A change with another base version has no effect.
  directory_change Other = Change;
  Other.Removed = {{"one-2", 1}};
  Relay.step(
      directory_arrived{std::make_shared<const directory_change>(Other), {}});
  CHECK(openInstances(Relay).count("one-2") == 1);
}

TEST_CASE("a shrinking cold time is no change, a growing one is", "[change]") {
  relay_fixture Relay;
  Relay.addService("one", 1);
  directory Old = Relay.Directory;
  Old.Endpoints[0].ColdFor = {2000};
  directory New = Old;
  New.Endpoints[0].ColdFor = {1500};
  CHECK(changeBetween(Old, New).Endpoints.empty());
  New.Endpoints[0].ColdFor = {2500};
  CHECK(changeBetween(Old, New).Endpoints.size() == 1);
  Old.Endpoints[0].ColdFor = {};
  CHECK(changeBetween(Old, New).Endpoints.size() == 1);
}

TEST_CASE("a cold time that starts anew is a change, whatever it was before",
          "[change][cold]") {
  // Guards against an endpoint that becomes cold again while it warms up: what
  // is left is less than at the reading before, and ends later.
  relay_fixture Relay;
  Relay.addService("one", 1);
  directory Old = Relay.Directory;
  Old.Endpoints[0].ColdFor = {2400};
  directory New = Old;
  New.ReadAt = Old.ReadAt + millis{1500};
  New.Endpoints[0].ColdFor = {900};
  CHECK(changeBetween(Old, New).Endpoints.empty());
  New.Endpoints[0].ColdFor = {2100};
  CHECK(changeBetween(Old, New).Endpoints.size() == 1);
  New.Endpoints[0].ColdFor = {901};
  CHECK(changeBetween(Old, New).Endpoints.size() == 1);
  // Warm long before the end that was published.
  New.Endpoints[0].ColdFor = {};
  CHECK(changeBetween(Old, New).Endpoints.size() == 1);
  New.ReadAt = Old.ReadAt + millis{2400};
  CHECK(changeBetween(Old, New).Endpoints.empty());
}

TEST_CASE("relays know the cold time of the list, however they came to it",
          "[change][cold]") {
  // Guards against relays that go by a cold time of an earlier reading: those
  // that had each change, and those that got the full directory later.
  std::minstd_rand Random(7);
  const auto Draw = [&](double Max) {
    return Max * static_cast<double>(Random() % 1000) / 1000;
  };
  constexpr double MaxJitter = 40;
  for (int Run = 0; Run < 200; ++Run) {
    directory Published;
    instant WarmAt{0}; ///< of the endpoint
    instant Known{0};  ///< end of the cold time, at a relay with all changes
    instant Now{0};
    for (int I = 0; I < 30; ++I) {
      Now = Now + millis{200 + Draw(1800)};
      if (Random() % 4 == 0)
        WarmAt = Now + millis{Draw(3000)};
      directory Read;
      Read.Version = {1, Published.Version.Sequence + 1};
      Read.ReadAt = Now;
      listed_endpoint &Entry = Read.Endpoints.emplace_back();
      Entry.Identity = {"a", 1};
      // The list may say it a little late, never early.
      if (WarmAt > Now)
        Entry.ColdFor = WarmAt - Now + millis{Draw(MaxJitter)};
      directory_change Change = fullChange(Read);
      if (I > 0) {
        keepCountDowns(Published, Read);
        Change = changeBetween(Published, Read);
      }
      Published = Read;
      for (const listed_endpoint &Each : Change.Endpoints)
        Known = Now + Each.ColdFor;
      // A relay that joins now.
      const instant Joined = Now + Published.Endpoints[0].ColdFor;
      if (WarmAt > Now) {
        CHECK(Known >= WarmAt);
        CHECK(Joined >= WarmAt);
        CHECK(Known <= WarmAt + millis{MaxJitter} + MaxEarlierEnd);
      } else {
        CHECK(Known <= Now + MaxEarlierEnd);
      }
      CHECK(std::abs((std::max(Known, Now) - Joined).Count) < 1e-6);
    }
  }
}
