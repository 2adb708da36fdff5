// When cold endpoints get requests.
#include "relay/cold_time.h"
#include "relay_fixture.h"

using namespace bulrush;
using namespace bulrush::test;

namespace {

constexpr millis ListLag{1000};

/// One service with one local endpoint, "one-0", that is cold for 2 s.
struct cold_fixture : relay_fixture {
  cold_fixture() {
    addService("one", 1);
    addPlainRoute("/one/", "one");
    listedEntry("one-0").ColdFor = {2000};
    install();
  }

  /// Publishes that the list was read `Age` ago with this cold time.
  void list(millis ColdFor, millis Age = {}) {
    listedEntry("one-0").ColdFor = ColdFor;
    Directory.Version.Sequence += 1;
    step(directory_arrived{
        std::make_shared<const directory_change>(fullChange(Directory)), Age});
  }
  /// Whether a request that arrives now is sent.
  bool sends() {
    sendRequest("/one/");
    const bool IsSent = attemptAt("one-0") != 0;
    replyAll();
    return IsSent;
  }
};

} // namespace

TEST_CASE("the latest reading of the list replaces those before", "[cold]") {
  // Guards against cold times that can only grow.
  cold_time Cold;
  CHECK(!Cold.isCold({0}));
  CHECK(Cold.isVerified());
  Cold.onListed({3000}, {0}, ListLag);
  CHECK(Cold.end() == instant{3000});
  CHECK(!Cold.isVerified());
  Cold.onListed({2100}, {1500}, ListLag);
  CHECK(Cold.end() == instant{3600});
  Cold.onListed({0}, {2000}, ListLag);
  CHECK(!Cold.isCold({2000}));
  Cold.onHealthy({2000});
  CHECK(Cold.isVerified());
}

TEST_CASE("what an endpoint says holds until a reading that is newer",
          "[cold]") {
  // Guards against a list that lags and hides that an endpoint has just become
  // cold.
  cold_time Cold;
  Cold.onStated({3000}, {5000});
  Cold.onListed({0}, {5900}, ListLag);
  CHECK(Cold.end() == instant{8000});
  Cold.onListed({0}, {6001}, ListLag);
  CHECK(!Cold.isCold({6001}));
  // Either extends it.
  Cold.onListed({1000}, {7000}, ListLag);
  Cold.onStated({500}, {7100});
  CHECK(Cold.end() == instant{8000});
  Cold.onStated({1500}, {7200});
  CHECK(Cold.end() == instant{8700});
  Cold.onHealthy({8000});
  CHECK(!Cold.isVerified());
}

TEST_CASE("an endpoint that was cold is checked before it gets requests",
          "[relay][cold]") {
  // Guards against requests to an endpoint that became cold again after the
  // last reading of the list.
  cold_fixture Relay;
  CHECK(!Relay.sends());
  Relay.advance(2000);
  CHECK(Relay.probesOf("one-0") == 0); // nothing needs it
  // It says again and again that it is cold: one check each time.
  for (std::size_t I = 1; I <= 4; ++I) {
    CHECK(!Relay.sends());
    CHECK(!Relay.sends());
    CHECK(Relay.probesOf("one-0") == I);
    Relay.replyHealthy("one-0", {1500});
    CHECK(!Relay.sends());
    Relay.advance(1499);
    CHECK(Relay.probesOf("one-0") == I);
    Relay.advance(1);
  }
  CHECK(!Relay.sends());
  CHECK(Relay.probesOf("one-0") == 5);
  Relay.replyHealthy("one-0");
  for (int I = 0; I < 2; ++I)
    Relay.sendRequest("/one/");
  CHECK(Relay.sentTo("one") == 2); // it has not failed: no probation
  Relay.replyAll();
  CHECK(Relay.sends());
  Relay.advance(10'000);
  CHECK(Relay.sends());
  CHECK(Relay.probesOf("one-0") == 5);
}

TEST_CASE("a waiting request is sent once the check succeeds, or refused",
          "[relay][cold]") {
  // Guards against requests that wait for nothing.
  cold_fixture Relay;
  Relay.advance(2000);
  const query_id First = Relay.sendRequest("/one/");
  CHECK(!Relay.answerTo(First));
  Relay.replyHealthy("one-0", {3000});
  REQUIRE(Relay.answerTo(First));
  CHECK(Relay.answerTo(First)->Status == 503);
  Relay.advance(3000);
  const query_id Second = Relay.sendRequest("/one/");
  Relay.replyHealthy("one-0");
  REQUIRE(Relay.attemptAt("one-0") != 0);
  Relay.replyAll();
  CHECK(Relay.answerTo(Second)->Status == 200);
}

TEST_CASE("an endpoint that is cold again gets none of the waiting requests",
          "[relay][cold]") {
  // Guards against requests that wait for a connection when the news comes.
  cold_fixture Relay;
  Relay.list({0});
  Relay.sends();
  Relay.replyHealthy("one-0");
  REQUIRE(Relay.sends());
  const std::size_t Before = Relay.count<withdraw_attempts>();
  Relay.list({3000});
  CHECK(Relay.count<withdraw_attempts>() == Before + 1);
  CHECK(!Relay.sends());
}

TEST_CASE("a cold time that the list takes back ends at once",
          "[relay][cold]") {
  // Guards against endpoints that stay without requests after they are warm.
  cold_fixture Relay;
  Relay.advance(100);
  Relay.list({0});
  CHECK(!Relay.sends());
  Relay.replyHealthy("one-0");
  CHECK(Relay.sends());
}

TEST_CASE("an endpoint of a zone that returns is checked when it is warm",
          "[relay][cold]") {
  // Guards against requests to an endpoint that became cold while its zone was
  // out, and again since, and against a check by all relays at one moment.
  cold_fixture Relay;
  Relay.list({0});
  const std::string Zone = Relay.listedEntry("one-0").Zone;
  Relay.step(zones_out_changed{{Zone}});
  Relay.step(zones_out_changed{{}});
  CHECK(Relay.probesOf("one-0") == 1);
  Relay.replyHealthy("one-0", {3000});
  Relay.advance(3000);
  CHECK(Relay.probesOf("one-0") == 1);
  CHECK(!Relay.sends());
  CHECK(Relay.probesOf("one-0") == 2);
  Relay.replyHealthy("one-0");
  CHECK(Relay.sends());
}

TEST_CASE("an endpoint that is gone needs no check", "[relay][cold]") {
  // Guards against a step that fails because a reply of an endpoint arrived
  // after it was unlisted.
  cold_fixture Relay;
  Relay.addService("two", 1);
  Relay.list({0});
  Relay.sends();
  Relay.replyHealthy("one-0");
  Relay.sendRequest("/one/");
  const std::uint64_t Attempt = Relay.attemptAt("one-0");
  REQUIRE(Attempt != 0);
  const listed_endpoint Gone = Relay.listedEntry("one-0");
  std::erase(Relay.Directory.Endpoints, Gone);
  Relay.publishDirectory();
  Relay.replyHealthy("one-0", {3000}); // while its last request runs
  Relay.reply(Attempt);
  Relay.Directory.Endpoints.push_back(Gone);
  Relay.listedEntry("one-0").Identity.StartTimeMs = 2;
  Relay.publishDirectory();
  Relay.advance(5000);
  CHECK(Relay.sends());
}
