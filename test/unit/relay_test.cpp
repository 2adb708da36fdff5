#include "relay/service_budget.h"
#include "relay_fixture.h"

#include <deque>

using namespace bulrush;
using namespace bulrush::test;

namespace {

/// Four shards of two endpoints each; three are enough.
struct gather_fixture : relay_fixture {
  explicit gather_fixture(relay_settings Given = settings())
      : relay_fixture(std::move(Given)) {
    for (const char *Shard : {"a", "b", "c", "d"})
      addService(Shard, 2);
    addRoute("/all/", {"a", "b", "c", "d"});
    install();
  }
};

/// One service of three endpoints.
struct single_fixture : relay_fixture {
  explicit single_fixture(bool IsIdempotent = true) {
    addService("one", 3);
    addPlainRoute("/one/", "one").IsIdempotent = IsIdempotent;
    install();
  }
};

} // namespace

TEST_CASE("a daemon without a catalog refuses and says when to come back",
          "[relay]") {
  relay_fixture Relay;
  const query_id Request = Relay.sendRequest("/all/", {});
  REQUIRE(Relay.answerTo(Request)->Status == 503);
  CHECK(Relay.answerTo(Request)->RetryAfter > millis{0});
}

TEST_CASE("requests that come while a daemon starts wait for its catalog",
          "[relay][load]") {
  relay_fixture Relay;
  Relay.addService("one", 3);
  Relay.addPlainRoute("/one/", "one");
  const query_id First = Relay.sendRequest("/one/", {2000});
  Relay.advance(300);
  const query_id Second = Relay.sendRequest("/one/", {2000});
  CHECK(Relay.answerTo(First) == nullptr);
  CHECK(Relay.Relay.active() == 2);
  Relay.install();
  REQUIRE(Relay.Sent.size() == 2);
  // The clock of the client has gone on meanwhile.
  CHECK(Relay.Sent.begin()->second.Remaining < millis{1700});
  Relay.replyAll();
  REQUIRE(Relay.answerTo(First));
  REQUIRE(Relay.answerTo(Second));
  CHECK(Relay.answerTo(First)->Status == 200);
  CHECK(Relay.answerTo(Second)->Status == 200);
}

TEST_CASE("a request waits for a catalog no longer than half its patience",
          "[relay]") {
  relay_fixture Relay;
  const query_id Request = Relay.sendRequest("/one/", {800});
  Relay.advance(399);
  CHECK(Relay.answerTo(Request) == nullptr);
  Relay.advance(1);
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Status == 503);
  CHECK(Relay.answerTo(Request)->RetryAfter > millis{0});
}

TEST_CASE("a daemon that finds no catalog for long refuses at once",
          "[relay]") {
  relay_fixture Relay;
  Relay.step(timer_fired{});
  Relay.advance(1500);
  const query_id Request = Relay.sendRequest("/one/", {8000});
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Status == 503);
}

TEST_CASE("a client that leaves does not wait for a catalog", "[relay]") {
  relay_fixture Relay;
  Relay.addService("one", 3);
  Relay.addPlainRoute("/one/", "one");
  const query_id Request = Relay.sendRequest("/one/", {2000});
  Relay.step(client_disconnected{Request});
  CHECK(Relay.Relay.active() == 0);
  Relay.install();
  CHECK(Relay.Sent.empty());
}

TEST_CASE("a path that no route matches is not found", "[relay]") {
  gather_fixture Relay;
  CHECK(Relay.answerTo(Relay.sendRequest("/none/"))->Status == 404);
}

TEST_CASE("a query is sent to one endpoint of each shard and answered whole",
          "[relay]") {
  gather_fixture Relay;
  const query_id Request = Relay.sendRequest("/all/x");
  REQUIRE(Relay.Sent.size() == 4);
  for (const char *Shard : {"a", "b", "c", "d"})
    CHECK(Relay.sentTo(Shard) == 1);
  REQUIRE(Relay.answerTo(Request) == nullptr);
  Relay.replyAll();
  const send_answer *Answer = Relay.answerTo(Request);
  REQUIRE(Answer);
  CHECK(Answer->Status == 200);
  CHECK(Answer->Signatures.size() == 4);
  CHECK(Answer->Missing == 0);
  CHECK(Answer->Body.size() == 4 * 16);
}

TEST_CASE("an answer with enough shards leaves before the objective",
          "[relay]") {
  gather_fixture Relay;
  const query_id Request = Relay.sendRequest("/all/x");
  while (Relay.Sent.size() > 1)
    Relay.reply(Relay.Sent.begin()->first);
  Relay.advance(89);
  CHECK(Relay.answerTo(Request) == nullptr);
  Relay.advance(1);
  const send_answer *Answer = Relay.answerTo(Request);
  REQUIRE(Answer);
  CHECK(Answer->Missing == 1);
  CHECK(Answer->Signatures.size() == 3);
}

TEST_CASE("an answer leaves the earlier the further away its client is",
          "[relay]") {
  const auto LeavesAfter = [](client_path Client, double Cores = 0.25) {
    relay_settings Settings = relay_fixture::settings();
    Settings.Cores = Cores;
    gather_fixture Relay(Settings);
    const query_id Request = Relay.sendRequest("/all/x", {800}, Client);
    while (Relay.Sent.size() > 1)
      Relay.reply(Relay.Sent.begin()->first);
    const instant Start = Relay.Now;
    while (!Relay.answerTo(Request))
      Relay.advance(1);
    return Relay.Now - Start;
  };
  // One way there and one back, and the daemon's own work.
  CHECK(LeavesAfter({{6}, false}) == millis{100 - 6 - 3});
  // Opening the connection takes a round trip more.
  CHECK(LeavesAfter({{6}, true}) == millis{100 - 12 - 3});
  CHECK(LeavesAfter({{40}, true}) == millis{100 - 80 - 3});
  // A daemon on half as much of a core works twice as long.
  CHECK(LeavesAfter({{6}, false}, 0.125) == millis{100 - 6 - 6});
}

TEST_CASE("below the least coverage a query waits for its deadline",
          "[relay]") {
  gather_fixture Relay;
  const query_id Request = Relay.sendRequest("/all/x");
  Relay.reply(Relay.Sent.begin()->first);
  Relay.reply(Relay.Sent.begin()->first);
  Relay.advance(100);
  CHECK(Relay.answerTo(Request) == nullptr);
  Relay.advance(700);
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Status == 504);
}

TEST_CASE("a slow part is hedged at another endpoint, once", "[relay]") {
  gather_fixture Relay;
  const query_id Request = Relay.sendRequest("/all/x");
  while (Relay.Sent.size() > 1)
    Relay.reply(Relay.Sent.begin()->first);
  const std::string Slow = Relay.instanceOf(Relay.Sent.begin()->second);
  Relay.advance(46);
  REQUIRE(Relay.Sent.size() == 2);
  const std::string Other = Relay.instanceOf(Relay.Sent.rbegin()->second);
  CHECK(Other != Slow);
  CHECK(Other.substr(0, 1) == Slow.substr(0, 1));
  Relay.reply(Relay.Sent.rbegin()->first);
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Missing == 0);
}

TEST_CASE("a query that too few shards can serve is refused at once",
          "[relay]") {
  gather_fixture Relay;
  for (const char *Gone : {"a-0", "a-1", "b-0", "b-1"})
    Relay.listedEntry(Gone).IsLeaving = true;
  Relay.publishDirectory();
  const query_id Request = Relay.sendRequest("/all/x");
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Status == 503);
  CHECK(Relay.answerTo(Request)->RetryAfter > millis{0});
  CHECK(Relay.Sent.empty());
}

TEST_CASE("a query keeps the shards of the catalog that it arrived under",
          "[relay]") {
  gather_fixture Relay;
  const query_id Request = Relay.sendRequest("/all/x");
  Relay.Catalog.Routes[0].Gather.Shards = {{"a"}};
  Relay.install();
  Relay.replyAll();
  CHECK(Relay.answerTo(Request)->Signatures.size() == 4);
}

TEST_CASE("an older catalog changes nothing", "[relay]") {
  gather_fixture Relay;
  auto Old = Relay.Catalog;
  Old.Routes.clear();
  Relay.step(catalog_arrived{std::make_shared<const catalog>(Old)});
  Relay.sendRequest("/all/x");
  CHECK(Relay.Sent.size() == 4);
}

TEST_CASE("a request that may have run is not sent again unless idempotent",
          "[relay]") {
  single_fixture Relay(false);
  const query_id Request = Relay.sendRequest("/one/");
  Relay.breakConnection(Relay.Sent.begin()->first);
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Status == 502);
  CHECK(Relay.count<send_attempt>() == 1);
}

TEST_CASE("a non-idempotent request is never hedged", "[relay]") {
  single_fixture Relay(false);
  Relay.sendRequest("/one/");
  Relay.advance(300);
  CHECK(Relay.count<send_attempt>() == 1);
}

TEST_CASE("a request that no endpoint ran is tried elsewhere, then refused",
          "[relay]") {
  single_fixture Relay(false);
  const query_id Request = Relay.sendRequest("/one/");
  Relay.replyNotRun(Relay.Sent.begin()->first);
  REQUIRE(Relay.Sent.size() == 1);
  Relay.replyNotRun(Relay.Sent.begin()->first);
  REQUIRE(Relay.Sent.size() == 1);
  Relay.replyNotRun(Relay.Sent.begin()->first);
  Relay.advance(11); // the first that has shed it may take it now
  REQUIRE(Relay.Sent.size() == 1);
  Relay.replyNotRun(Relay.Sent.begin()->first);
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Status == 503);
}

TEST_CASE(
    "a part that the only endpoint left sheds is sent again a little later",
    "[relay][load]") {
  gather_fixture Relay;
  Relay.listedEntry("a-1").IsLeaving = true;
  Relay.publishDirectory();
  const query_id Request = Relay.sendRequest("/all/x");
  const std::uint64_t Shed = Relay.attemptAt("a-0");
  Relay.replyNotRun(Shed);
  CHECK(Relay.attemptAt("a-0") == 0);
  Relay.advance(11);
  CHECK(Relay.attemptAt("a-0") != 0);
  Relay.replyAll();
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Missing == 0);
}

TEST_CASE("a success without a signature is no success", "[relay]") {
  single_fixture Relay;
  Relay.sendRequest("/one/");
  attempt_ended Event{{Relay.Sent.begin()->first}, attempt_end::replied, {}};
  endpoint_reply Reply;
  Reply.Status = 200;
  Event.Reply = std::make_shared<const endpoint_reply>(Reply);
  Relay.Sent.clear();
  Relay.step(Event);
  CHECK(Relay.Sent.size() == 1);
}

TEST_CASE("an endpoint that cannot be reached gets probes until one succeeds",
          "[relay]") {
  single_fixture Relay;
  Relay.sendRequest("/one/");
  const auto [Number, Attempt] = *Relay.Sent.begin();
  Relay.breakConnection(Number);
  REQUIRE(Relay.count<probe_endpoint>() == 1);
  for (int I = 0; I < 9; ++I)
    Relay.sendRequest("/one/");
  for (const auto &[Other, Each] : Relay.Sent)
    CHECK(Each.Endpoint != Attempt.Endpoint);
  Relay.step(probe_ended{Attempt.Endpoint, true, {}, {}});
  for (int I = 0; I < 9; ++I)
    Relay.sendRequest("/one/");
  CHECK(Relay.attemptAt(Relay.instanceOf(Attempt)) != 0);
}

TEST_CASE("an endpoint that says it is cold gets nothing", "[relay]") {
  single_fixture Relay;
  Relay.sendRequest("/one/");
  const auto [Number, Attempt] = *Relay.Sent.begin();
  Relay.breakConnection(Number);
  Relay.step(probe_ended{Attempt.Endpoint, true, {}, {3000}});
  for (int I = 0; I < 9; ++I)
    Relay.sendRequest("/one/");
  CHECK(Relay.attemptAt(Relay.instanceOf(Attempt)) == 0);
  Relay.advance(3001);
  for (int I = 0; I < 9; ++I)
    Relay.sendRequest("/one/");
  CHECK(Relay.attemptAt(Relay.instanceOf(Attempt)) != 0);
}

TEST_CASE("cold, leaving and unlisted endpoints get nothing", "[relay]") {
  single_fixture Relay;
  Relay.listedEntry("one-0").ColdFor = {2000};
  Relay.listedEntry("one-1").IsLeaving = true;
  std::erase_if(Relay.Directory.Endpoints, [](const listed_endpoint &Each) {
    return Each.Identity.Instance == "one-2";
  });
  Relay.publishDirectory();
  const query_id Request = Relay.sendRequest("/one/");
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Status == 503);
}

TEST_CASE("a zone that is out gets nothing, and probes when it returns",
          "[relay]") {
  single_fixture Relay;
  Relay.step(zones_out_changed{{"near"}});
  for (int I = 0; I < 3; ++I)
    Relay.sendRequest("/one/");
  CHECK(Relay.attemptAt("one-0") == 0);
  CHECK(Relay.attemptAt("one-2") == 0);
  Relay.step(zones_out_changed{{}});
  CHECK(Relay.count<probe_endpoint>() == 2);
  Relay.sendRequest("/one/");
  CHECK(Relay.attemptAt("one-0") == 0);
}

TEST_CASE("an endpoint that starts anew under its id is another one",
          "[relay]") {
  single_fixture Relay;
  Relay.listedEntry("one-0").Identity.StartTimeMs = 2;
  Relay.listedEntry("one-0").ColdFor = {3000};
  Relay.publishDirectory();
  for (int I = 0; I < 9; ++I)
    Relay.sendRequest("/one/");
  CHECK(Relay.attemptAt("one-0") == 0);
}

TEST_CASE("a client that leaves cancels its attempts", "[relay]") {
  gather_fixture Relay;
  const query_id Request = Relay.sendRequest("/all/x");
  Relay.step(client_disconnected{Request});
  CHECK(Relay.count<cancel_attempt>() == 4);
  CHECK(Relay.Relay.active() == 0);
  CHECK(Relay.answerTo(Request) == nullptr);
}

TEST_CASE("parts of a split get their shares exactly", "[relay]") {
  relay_fixture Relay;
  Relay.addService("big", 1);
  Relay.addService("small", 1);
  route &Route = Relay.addRoute("/split/", {});
  Route.Targets = {{{"big"}, 3}, {{"small"}, 1}};
  Relay.install();
  std::size_t Big = 0;
  for (int I = 0; I < 40; ++I) {
    Relay.sendRequest("/split/");
    Big += Relay.sentTo("big");
    Relay.replyAll();
  }
  CHECK(Big == 30);
}

TEST_CASE("further attempts of a service stay within its budget", "[relay]") {
  relay_settings Settings = relay_fixture::settings();
  Settings.Budget = {0.2, 10};
  relay_fixture Relay(Settings);
  Relay.addService("one", 2, 100000);
  Relay.addPlainRoute("/one/", "one");
  Relay.install(2);
  constexpr int Requests = 200;
  for (int I = 0; I < Requests; ++I) {
    Relay.sendRequest("/one/");
    Relay.reply(Relay.Sent.begin()->first, 500);
    while (!Relay.Sent.empty())
      Relay.reply(Relay.Sent.begin()->first, 500);
  }
  const std::size_t Further = Relay.count<send_attempt>() - Requests;
  CHECK(Further <= 0.2 * Requests + 10.0 / 2);
  CHECK(Further >= 20);
}

TEST_CASE("a budget that was spent comes back with the time", "[relay][load]") {
  service_budget Budget;
  Budget.resize({0.2, 100, {10'000}}, 4);
  instant Now{0};
  std::size_t Spent = 0;
  const auto SpendAll = [&] {
    Budget.refill(Now);
    while (Budget.spend())
      ++Spent;
  };
  SpendAll();
  const std::size_t First = Spent;
  CHECK(First >= 6);
  Now = Now + millis{5000};
  SpendAll();
  CHECK(Spent >= First + 4); // without any first attempt
}

TEST_CASE("a budget stays within its share in each window", "[relay]") {
  constexpr double Slack = 100;
  constexpr std::uint32_t Peers = 4;
  service_budget Budget;
  Budget.resize({0.2, Slack, {10'000}}, Peers);
  std::deque<std::pair<instant, bool>> Window; ///< first attempt or further
  for (int I = 0; I < 40'000; ++I) {
    const instant Now{static_cast<double>(I)};
    Budget.refill(Now);
    // Quiet for a while, then as much as goes.
    const bool IsStorm = I / 3000 % 2 == 1;
    if (I % 10 == 0) {
      Budget.onFirstAttempt();
      Window.push_back({Now, true});
    }
    if (IsStorm && Budget.spend())
      Window.push_back({Now, false});
    while (Now - Window.front().first > millis{10'000})
      Window.pop_front();
    const auto Firsts = std::count_if(Window.begin(), Window.end(),
                                      [](const auto &E) { return E.second; });
    const auto Further = static_cast<std::ptrdiff_t>(Window.size()) - Firsts;
    REQUIRE(static_cast<double>(Further) <=
            0.2 * static_cast<double>(Firsts) + Slack / Peers);
  }
}

TEST_CASE("requests in flight at an endpoint stay within its connections",
          "[relay]") {
  relay_fixture Relay;
  Relay.addService("one", 1, 20);
  Relay.listedEntry("one-0").Slots = 9; // so that its connections bind
  Relay.addPlainRoute("/one/", "one");
  Relay.install(6);
  for (int I = 0; I < 9; ++I)
    Relay.sendRequest("/one/");
  CHECK(Relay.Sent.size() == 3);
  Relay.reply(Relay.Sent.begin()->first);
  CHECK(Relay.Sent.size() == 3);
}

TEST_CASE("a burst waits here rather than at an endpoint that would shed it",
          "[relay][load]") {
  gather_fixture Relay;
  for (int I = 0; I < 20; ++I)
    Relay.sendRequest("/all/x");
  // Each shard has two endpoints of two slots.
  CHECK(Relay.Sent.size() == 4 * 2 * 2);
  for (int Rounds = 0; Rounds < 30; ++Rounds) {
    Relay.replyAll();
    Relay.advance(1);
  }
  CHECK(Relay.count<send_answer>() == 20);
}

TEST_CASE(
    "a request that nothing can take is refused early enough to come back",
    "[relay]") {
  relay_fixture Relay;
  Relay.addService("one", 1, 1);
  Relay.addPlainRoute("/one/", "one");
  Relay.install();
  Relay.sendRequest("/one/");
  const query_id Second = Relay.sendRequest("/one/");
  Relay.advance(25);
  REQUIRE(Relay.answerTo(Second));
  CHECK(Relay.answerTo(Second)->Status == 503);
  CHECK(Relay.answerTo(Second)->RetryAfter > millis{0});
}

TEST_CASE("the only endpoint of a shard under too much load answers what it "
          "can in time",
          "[relay][load]") {
  relay_fixture Relay;
  Relay.addService("a", 1, 1000);
  for (const char *Shard : {"b", "c", "d"})
    Relay.addService(Shard, 2, 1000);
  Relay.addRoute("/all/", {"a", "b", "c", "d"});
  Relay.install();
  // One endpoint with one slot of 10 ms and a queue; a query each 5 ms.
  constexpr double Service = 10;
  constexpr double Interval = 5;
  std::deque<std::uint64_t> Queue;
  double BusyUntil = 0;
  std::size_t Useful = 0;
  for (int I = 0; I < 400; ++I) {
    Relay.sendRequest("/all/x");
    for (auto Each = Relay.Sent.begin(); Each != Relay.Sent.end();) {
      const auto [Number, Attempt] = *Each++;
      if (Relay.instanceOf(Attempt) != "a-0")
        Relay.reply(Number, 200);
      else if (std::find(Queue.begin(), Queue.end(), Number) == Queue.end())
        Queue.push_back(Number);
    }
    Relay.advance(Interval);
    std::erase_if(Queue, [&](std::uint64_t Number) {
      return Relay.Sent.count(Number) == 0;
    });
    if (!Queue.empty() && Relay.Now.Ms >= BusyUntil) {
      const std::uint64_t Done = Queue.front();
      Queue.pop_front();
      BusyUntil = Relay.Now.Ms + Service;
      const bool WasWanted = Relay.Relay.active() > 0;
      Relay.reply(Done, 200);
      Useful += WasWanted ? 1 : 0;
    }
  }
  std::size_t Whole = 0;
  for (const relay_action &Each : Relay.Actions)
    if (const auto *Answer = std::get_if<send_answer>(&Each))
      Whole += Answer->Missing == 0 ? 1 : 0;
  CHECK(Whole >= 160); // of the 200 that one slot can serve
}

TEST_CASE("an endpoint that never replies gets probes only", "[relay][load]") {
  gather_fixture Relay;
  for (listed_endpoint &Each : Relay.Directory.Endpoints)
    Each.Zone = "near";
  Relay.publishDirectory();
  // Every second endpoint is dark.
  const auto IsDark = [&](const send_attempt &Attempt) {
    return Relay.instanceOf(Attempt).back() == '1';
  };
  std::size_t Wasted = 0;
  for (int I = 0; I < 40; ++I) {
    Relay.sendRequest("/all/x");
    for (auto Each = Relay.Sent.begin(); Each != Relay.Sent.end();) {
      const auto [Number, Attempt] = *Each++;
      if (!IsDark(Attempt))
        Relay.reply(Number);
      else if (I > 20)
        ++Wasted;
    }
    Relay.advance(50);
    for (auto Each = Relay.Sent.begin(); Each != Relay.Sent.end();) {
      const auto [Number, Attempt] = *Each++;
      if (!IsDark(Attempt))
        Relay.reply(Number);
    }
    Relay.advance(50);
  }
  CHECK(Relay.count<probe_endpoint>() >= 2);
  CHECK(Wasted <= 2);
}

TEST_CASE("a query is refused at once while too many shards have no room",
          "[relay][load]") {
  relay_fixture Relay;
  for (const char *Shard : {"a", "b", "c", "d"})
    Relay.addService(Shard, 1, 2);
  Relay.addRoute("/all/", {"a", "b", "c", "d"});
  Relay.install();
  // Two shards are slow and have one request each in flight.
  const auto IsSlow = [&](const send_attempt &Attempt) {
    return Relay.instanceOf(Attempt) == "a-0" ||
           Relay.instanceOf(Attempt) == "b-0";
  };
  for (int I = 0; I < 6; ++I) {
    Relay.sendRequest("/all/x");
    for (auto Each = Relay.Sent.begin(); Each != Relay.Sent.end();) {
      const auto [Number, Attempt] = *Each++;
      if (!IsSlow(Attempt))
        Relay.reply(Number);
    }
    Relay.advance(300);
    Relay.replyAll();
  }
  Relay.sendRequest("/all/x");
  for (auto Each = Relay.Sent.begin(); Each != Relay.Sent.end();) {
    const auto [Number, Attempt] = *Each++;
    if (!IsSlow(Attempt))
      Relay.reply(Number);
  }
  const std::size_t Before = Relay.count<send_attempt>();
  const query_id Next = Relay.sendRequest("/all/x");
  REQUIRE(Relay.answerTo(Next));
  CHECK(Relay.answerTo(Next)->Status == 503);
  CHECK(Relay.count<send_attempt>() == Before);
}

TEST_CASE("hedges leave early although a third of the replies are slow",
          "[relay][load]") {
  relay_fixture Relay;
  Relay.addService("one", 3, 100000);
  Relay.addPlainRoute("/one/", "one");
  Relay.install();
  for (int I = 0; I < 300; ++I) {
    Relay.sendRequest("/one/");
    Relay.advance(10);
    const auto [Number, Attempt] = *Relay.Sent.begin();
    if (I % 3 == 0)
      Relay.advance(90);
    Relay.replyAll();
  }
  Relay.sendRequest("/one/");
  Relay.advance(
      30); // 2.5 times the usual 10 ms, and not the 90 of the slow ones
  CHECK(Relay.Sent.size() == 2);
}

TEST_CASE("endpoints of the own zone come first while they are as good",
          "[relay][load]") {
  relay_fixture Relay;
  Relay.addService("one", 2, 100000);
  Relay.addPlainRoute("/one/", "one");
  Relay.install();
  std::size_t Near = 0;
  std::size_t Far = 0;
  constexpr int Requests = 200;
  for (int I = 0; I < Requests; ++I) {
    Relay.sendRequest("/one/");
    Relay.advance(10);
    (Relay.attemptAt("one-0") != 0 ? Near : Far) += 1;
    Relay.replyAll();
  }
  CHECK(Near >= Requests * 0.9);
  // A slow one is left, wherever it is.
  for (int I = 0; I < 20; ++I) {
    Relay.sendRequest("/one/");
    Relay.advance(Relay.attemptAt("one-0") != 0 ? 60 : 10);
    Relay.replyAll();
  }
  Relay.sendRequest("/one/");
  CHECK(Relay.attemptAt("one-1") != 0);
}

TEST_CASE(
    "a faster endpoint of another zone waits while the own one replies in "
    "good time",
    "[relay][load]") {
  relay_fixture Relay;
  Relay.addService("one", 2, 100000);
  Relay.addPlainRoute("/one/", "one");
  Relay.install();
  std::size_t Near = 0;
  constexpr int Requests = 300;
  for (int I = 0; I < Requests; ++I) {
    Relay.sendRequest("/one/");
    const bool IsNear = Relay.attemptAt("one-0") != 0;
    Near += IsNear ? 1 : 0;
    Relay.advance(IsNear ? 20 : 10); // of an objective of 100
    Relay.replyAll();
  }
  CHECK(Near >= Requests * 0.95);
}

TEST_CASE("an endpoint that had let go of a connection is not suspected",
          "[relay][load]") {
  single_fixture Relay;
  const query_id Request = Relay.sendRequest("/one/");
  const auto First = *Relay.Sent.begin();
  CHECK(!First.second.WantsFreshConnection);
  Relay.Sent.clear();
  Relay.step(
      attempt_ended{{First.first}, attempt_end::stale_connection, nullptr});
  CHECK(Relay.count<probe_endpoint>() == 0);
  REQUIRE(Relay.Sent.size() == 1);
  CHECK(Relay.Sent.begin()->second.WantsFreshConnection);
  Relay.replyAll();
  CHECK(Relay.answerTo(Request)->Status == 200);
}

TEST_CASE("a request that cannot be repeated takes no rested connection",
          "[relay]") {
  single_fixture Relay(false);
  const query_id Request = Relay.sendRequest("/one/");
  CHECK(Relay.Sent.begin()->second.WantsFreshConnection);
  const std::uint64_t Attempt = Relay.Sent.begin()->first;
  Relay.Sent.clear();
  Relay.step(attempt_ended{{Attempt}, attempt_end::stale_connection, nullptr});
  CHECK(Relay.Sent.empty());
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Status == 502);
}

TEST_CASE("a query whose shards have no room for longer than the objective is "
          "answered late",
          "[relay][load]") {
  gather_fixture Relay;
  const query_id Request = Relay.sendRequest("/all/x");
  // Two of four shards shed all that they get for 300 ms; three are wanted.
  const instant Start = Relay.Now;
  while (Relay.answerTo(Request) == nullptr &&
         Relay.Now < Start + millis{800}) {
    const bool IsFull = Relay.Now - Start < millis{300};
    while (!Relay.Sent.empty()) {
      const auto [Number, Attempt] = *Relay.Sent.begin();
      const char Shard = Relay.instanceOf(Attempt).front();
      if (IsFull && (Shard == 'a' || Shard == 'b'))
        Relay.replyNotRun(Number);
      else
        Relay.reply(Number);
    }
    Relay.advance(5);
  }
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Status == 200);
  CHECK(Relay.Now - Start < millis{600});
  // A shard that has no room is not asked over and over.
  CHECK(Relay.count<send_attempt>() <= 4 + 2 * 12);
}

TEST_CASE("a part that a budget has stopped is sent once there is budget again",
          "[relay][load]") {
  relay_settings Settings = relay_fixture::settings();
  Settings.Budget = {0, 4, {1000}}; // one at the start, then 1.4 a second
  gather_fixture Relay(Settings);
  Relay.Catalog.Routes[0].Timeout = {3000};
  Relay.install();
  const query_id Request = Relay.sendRequest("/all/x", {3000});
  while (!Relay.Sent.empty())
    Relay.replyNotRun(Relay.Sent.begin()->first);
  CHECK(Relay.count<send_attempt>() == 4 + 4);
  CHECK(Relay.answerTo(Request) == nullptr);
  for (int I = 0; I < 30 && !Relay.answerTo(Request); ++I) {
    Relay.advance(100);
    Relay.replyAll();
  }
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Status == 200);
}

TEST_CASE("an endpoint that stays down is told once", "[relay]") {
  single_fixture Relay;
  Relay.sendRequest("/one/");
  const auto [Number, Attempt] = *Relay.Sent.begin();
  Relay.breakConnection(Number);
  for (int I = 0; I < 5; ++I) {
    Relay.step(probe_ended{Attempt.Endpoint, false, {}, {}});
    Relay.advance(1001);
  }
  std::size_t Told = 0;
  for (const relay_action &Each : Relay.Actions)
    if (const auto *LogEvent = std::get_if<endpoint_log_event>(&Each))
      Told += LogEvent->Change == endpoint_state_change::probe_failed ? 1 : 0;
  CHECK(Told == 1);
  CHECK(Relay.count<probe_endpoint>() == 6);
}
