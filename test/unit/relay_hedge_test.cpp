// When second attempts of slow parts are sent, and what makes an endpoint slow.
// Load: endpoints that stall for longer than a query may take.
#include "relay/service_budget.h"
#include "relay_fixture.h"

using namespace bulrush;
using namespace bulrush::test;

namespace {

/// A query over one shard with two endpoints whose replies take 10 ms.
struct hedge_fixture : relay_fixture {
  explicit hedge_fixture(relay_settings Given = settings())
      : relay_fixture(std::move(Given)) {
    addService("a", 2, 100000);
    addRoute("/all/", {"a"}).Gather.MinCoverage = 0;
    install();
    for (int I = 0; I < 100; ++I) {
      sendRequest("/all/");
      advance(10);
      replyAll();
    }
  }

  /// Milliseconds until the second attempt of a request that gets no reply;
  /// -1 if there is none within `Max` ms. Ends the request.
  int timeToHedge(int Max, client_path Client = {}) {
    sendRequest("/all/", {800}, Client);
    int Ms = 0;
    while (Sent.size() < 2 && ++Ms <= Max) {
      advance(1);
      replyHealthyToAll();
    }
    HedgedTo = Sent.size() == 2 ? instanceOf(Sent.rbegin()->second) : "";
    const bool IsHedged = Sent.size() == 2;
    replyAll();
    return IsHedged ? Ms : -1;
  }

  /// Answers 100 requests, every `Nth` after `Ms` and the others after 10 ms.
  void replyLateEach(int Nth, double Ms) {
    for (int I = 0; I < 100; ++I) {
      sendRequest("/all/");
      advance(I % Nth == 0 ? Ms : 10);
      replyAll();
    }
  }

  std::string HedgedTo; ///< instance, by the last `timeToHedge`
};

} // namespace

TEST_CASE("a hedge leaves time for its reply, also for a distant client",
          "[relay][hedges][load]") {
  hedge_fixture Near;
  hedge_fixture Far;
  for (hedge_fixture *Each : {&Near, &Far})
    Each->replyLateEach(4, 30);
  const int AtNear = Near.timeToHedge(100);
  // The client measures 70 of 100 ms itself.
  const int AtFar = Far.timeToHedge(100, {{70}, false});
  CHECK(AtNear > 10); // a reply at the usual time needs no hedge
  CHECK(AtNear <= 30);
  CHECK(AtFar <= 30 - 2 * 10 + 1);
}

TEST_CASE("a hedge that no endpoint could take is tried again while its reply "
          "would be in time",
          "[relay][hedges][load]") {
  hedge_fixture Relay;
  Relay.listedEntry("a-1").ColdFor = {40};
  Relay.publishDirectory();
  const int Ms = Relay.timeToHedge(100);
  CHECK(Ms > 39);
  CHECK(Ms <= 45);
}

TEST_CASE("a hedge goes to an idle endpoint that was slow a while ago",
          "[relay][hedges][load]") {
  hedge_fixture Relay;
  // A second shard that replies makes the first one optional, so that no
  // attempt is sent whose reply would come after the answer.
  Relay.addService("b", 1, 100000);
  Relay.Catalog.Routes.front().Gather.Shards.push_back({"b"});
  Relay.Catalog.Routes.front().Gather.MinCoverage = 0.5;
  Relay.install();
  // "a-1" was taken while "a-0" was cold, and stalled twice.
  Relay.listedEntry("a-0").ColdFor = {200};
  Relay.publishDirectory();
  for (int I = 0; I < 2; ++I) {
    Relay.sendRequest("/all/");
    Relay.reply(Relay.attemptAt("b-0"));
    Relay.advance(85);
    Relay.replyAll();
  }
  Relay.advance(300);
  Relay.replyHealthy("a-0");
  Relay.sendRequest("/all/", {800}, {{62}, false});
  REQUIRE(Relay.attemptAt("a-0") != 0);
  Relay.reply(Relay.attemptAt("b-0"));
  Relay.advance(27); // 38 ms are left for the answer, a reply takes 10
  CHECK(Relay.attemptAt("a-1") != 0);
}

TEST_CASE("early hedges leave budget for those that are urgent",
          "[relay][hedges][load]") {
  service_budget Budget;
  budget_settings Settings;
  Settings.Slack = 100;
  Budget.resize(Settings, 1);
  int Early = 0;
  while (Budget.spend(Budget.hedgeReserve(false)))
    ++Early;
  int Urgent = 0;
  while (Budget.spend(Budget.hedgeReserve(true)))
    ++Urgent;
  int Retries = 0;
  while (Budget.spend())
    ++Retries;
  CHECK(Early > 0);
  CHECK(Urgent > 0);
  CHECK(Retries > 0);
}

TEST_CASE("with little budget, hedges wait until the last useful moment",
          "[relay][hedges][load]") {
  relay_settings Settings = relay_fixture::settings();
  // A capacity of 10 tokens, half of them at the start and no further ones.
  Settings.Budget.Ratio = 0;
  Settings.Budget.Slack = 10.1 / (0.85 * 0.6);
  Settings.Budget.Window = {1e9};
  hedge_fixture Relay(Settings);
  const int First = Relay.timeToHedge(100);
  const int Second = Relay.timeToHedge(100);
  CHECK(First <= 21);
  // The objective is 100 ms, 10 of them on the way; a reply takes 10 ms.
  CHECK(Second >= 90 - 3 * 10);
  CHECK(Second <= 90 - 10);
}

TEST_CASE("a single stall of an endpoint does not move its requests to another "
          "zone",
          "[relay][load]") {
  hedge_fixture Relay;
  Relay.sendRequest("/all/");
  REQUIRE(Relay.attemptAt("a-0") != 0); // of the local zone
  Relay.advance(80);
  Relay.replyAll();
  int Local = 0;
  for (int I = 0; I < 20; ++I) {
    Relay.sendRequest("/all/", {800}, {{60}, false});
    Local += Relay.attemptAt("a-0") != 0 ? 1 : 0;
    Relay.advance(10);
    Relay.replyAll();
  }
  CHECK(Local == 20);
}

TEST_CASE("an endpoint that stays slow loses its requests to another zone",
          "[relay][load]") {
  hedge_fixture Relay;
  int Local = 0;
  for (int I = 0; I < 20; ++I) {
    Relay.sendRequest("/all/", {800}, {{60}, false});
    const bool IsLocal = Relay.attemptAt("a-0") != 0;
    Local += IsLocal ? 1 : 0;
    Relay.advance(IsLocal ? 60 : 10);
    Relay.replyAll();
  }
  CHECK(Local <= 5);
}

TEST_CASE("two slow replies far apart do not make an endpoint slow",
          "[relay][load]") {
  hedge_fixture Relay;
  for (int Stall = 0; Stall < 2; ++Stall) {
    Relay.advance(5000);
    Relay.sendRequest("/all/");
    REQUIRE(Relay.attemptAt("a-0") != 0);
    Relay.advance(80);
    Relay.replyAll();
  }
  Relay.sendRequest("/all/", {800}, {{60}, false});
  CHECK(Relay.attemptAt("a-0") != 0);
}
