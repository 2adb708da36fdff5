#include "relay/service_budget.h"
#include "relay_fixture.h"

#include <deque>
#include <set>

using namespace bulrush;
using namespace bulrush::test;

namespace {

/// A query route over four shards of two endpoints each; an answer needs three.
struct gather_fixture : relay_fixture {
  explicit gather_fixture(relay_settings Given = settings())
      : relay_fixture(std::move(Given)) {
    for (const char *Shard : {"a", "b", "c", "d"})
      addService(Shard, 2);
    addRoute("/all/", {"a", "b", "c", "d"});
    install();
  }
};

/// A route to one service with three endpoints.
struct single_fixture : relay_fixture {
  explicit single_fixture(bool IsIdempotent = true) {
    addService("one", 3);
    addPlainRoute("/one/", "one").IsIdempotent = IsIdempotent;
    install();
  }
};

} // namespace

TEST_CASE("a daemon without a catalog refuses requests with a retry delay",
          "[relay]") {
  relay_fixture Relay;
  const query_id Request = Relay.sendRequest("/all/", {});
  REQUIRE(Relay.answerTo(Request)->Status == 503);
  CHECK(Relay.answerTo(Request)->RetryAfter > millis{0});
}

TEST_CASE("requests that arrive during startup wait for the catalog",
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
  // The wait counts against the client's timeout.
  CHECK(Relay.Sent.begin()->second.Remaining < millis{1700});
  Relay.replyAll();
  REQUIRE(Relay.answerTo(First));
  REQUIRE(Relay.answerTo(Second));
  CHECK(Relay.answerTo(First)->Status == 200);
  CHECK(Relay.answerTo(Second)->Status == 200);
}

TEST_CASE("a request waits for a catalog for at most half the client's timeout",
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

TEST_CASE(
    "a daemon without a catalog refuses immediately after the startup time",
    "[relay]") {
  relay_fixture Relay;
  Relay.step(timer_fired{});
  Relay.advance(1500);
  const query_id Request = Relay.sendRequest("/one/", {8000});
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Status == 503);
}

TEST_CASE("a request whose client leaves is removed from the start queue",
          "[relay]") {
  relay_fixture Relay;
  Relay.addService("one", 3);
  Relay.addPlainRoute("/one/", "one");
  const query_id Request = Relay.sendRequest("/one/", {2000});
  Relay.step(client_disconnected{Request});
  CHECK(Relay.Relay.active() == 0);
  Relay.install();
  CHECK(Relay.Sent.empty());
}

TEST_CASE("a path without a matching route is answered with 404", "[relay]") {
  gather_fixture Relay;
  CHECK(Relay.answerTo(Relay.sendRequest("/none/"))->Status == 404);
}

TEST_CASE("a query is sent to one endpoint per shard and covers all shards",
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

TEST_CASE("an answer with enough shards is sent before the objective",
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

TEST_CASE("the more distant the client, the earlier an answer is sent",
          "[relay]") {
  const auto AnswerDelay = [](client_path Client, double Cores = 0.25) {
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
  // A round trip of 6 ms and 3 ms of processing.
  CHECK(AnswerDelay({{6}, false}) == millis{100 - 6 - 3});
  // Opening the connection adds a round trip.
  CHECK(AnswerDelay({{6}, true}) == millis{100 - 12 - 3});
  CHECK(AnswerDelay({{40}, true}) == millis{100 - 80 - 3});
  // With half the CPU share, processing takes twice as long.
  CHECK(AnswerDelay({{6}, false}, 0.125) == millis{100 - 6 - 6});
}

TEST_CASE("a query below the required coverage waits until its deadline",
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

TEST_CASE("a slow part is hedged once, at another endpoint of its shard",
          "[relay]") {
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

TEST_CASE("a query is refused immediately if too few shards are available",
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

TEST_CASE("an older catalog is ignored", "[relay]") {
  gather_fixture Relay;
  auto Old = Relay.Catalog;
  Old.Routes.clear();
  Relay.step(catalog_arrived{std::make_shared<const catalog>(Old)});
  Relay.sendRequest("/all/x");
  CHECK(Relay.Sent.size() == 4);
}

TEST_CASE("a non-idempotent request that may have run is not retried",
          "[relay]") {
  single_fixture Relay(false);
  const query_id Request = Relay.sendRequest("/one/");
  Relay.breakConnection(Relay.Sent.begin()->first);
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Status == 502);
  CHECK(Relay.count<send_attempt>() == 1);
}

// Guards against bytes that are no response and that count as "not run", or
// make a request that must not run twice run again.
TEST_CASE("a malformed response is retried only where a second run is allowed",
          "[relay]") {
  const bool IsIdempotent = GENERATE(true, false);
  single_fixture Relay(IsIdempotent);
  const query_id Request = Relay.sendRequest("/one/");
  Relay.end(Relay.Sent.begin()->first, attempt_end::malformed_response, {});
  if (IsIdempotent) {
    REQUIRE(Relay.Sent.size() == 1);
    REQUIRE(Relay.answerTo(Request) == nullptr);
    Relay.end(Relay.Sent.begin()->first, attempt_end::malformed_response, {});
  }
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Status == 502);
  CHECK(Relay.count<send_attempt>() == (IsIdempotent ? 2 : 1));
}

// Guards against a query that counts a malformed response as a part.
TEST_CASE("a malformed response is no part of an answer", "[relay]") {
  gather_fixture Relay;
  const query_id Request = Relay.sendRequest("/all/x");
  while (Relay.sentTo("a") > 0)
    Relay.end(std::max(Relay.attemptAt("a-0"), Relay.attemptAt("a-1")),
              attempt_end::malformed_response, {});
  Relay.replyAll();
  Relay.advance(100);
  const send_answer *Answer = Relay.answerTo(Request);
  REQUIRE(Answer);
  CHECK(Answer->Status == 200);
  CHECK(Answer->Missing == 1);
  CHECK(Answer->Signatures.size() == 3);
}

TEST_CASE("a non-idempotent request is never hedged", "[relay]") {
  single_fixture Relay(false);
  Relay.sendRequest("/one/");
  Relay.advance(300);
  CHECK(Relay.count<send_attempt>() == 1);
}

TEST_CASE("a request that every endpoint sheds is retried, then refused",
          "[relay]") {
  single_fixture Relay(false);
  const query_id Request = Relay.sendRequest("/one/");
  Relay.replyNotRun(Relay.Sent.begin()->first);
  REQUIRE(Relay.Sent.size() == 1);
  Relay.replyNotRun(Relay.Sent.begin()->first);
  REQUIRE(Relay.Sent.size() == 1);
  Relay.replyNotRun(Relay.Sent.begin()->first);
  Relay.advance(11); // the shed backoff of the last endpoint ends
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

TEST_CASE("a 200 reply without a signature counts as a failure", "[relay]") {
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

TEST_CASE("an unreachable endpoint gets only probes until one succeeds",
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
  Relay.step(probe_ended{Attempt.Endpoint, true, {}, {}, false, {}});
  for (int I = 0; I < 9; ++I)
    Relay.sendRequest("/one/");
  CHECK(Relay.attemptAt(Relay.instanceOf(Attempt)) != 0);
}

TEST_CASE("an endpoint whose probe reports it cold gets no requests",
          "[relay]") {
  single_fixture Relay;
  Relay.sendRequest("/one/");
  const auto [Number, Attempt] = *Relay.Sent.begin();
  Relay.breakConnection(Number);
  Relay.step(probe_ended{Attempt.Endpoint, true, {}, millis{3000}, false, {}});
  for (int I = 0; I < 9; ++I)
    Relay.sendRequest("/one/");
  CHECK(Relay.attemptAt(Relay.instanceOf(Attempt)) == 0);
  const std::size_t Probes = Relay.probesOf(Attempt.Endpoint);
  Relay.advance(2999);
  Relay.sendRequest("/one/");
  CHECK(Relay.probesOf(Attempt.Endpoint) == Probes);
  Relay.advance(2);
  for (int I = 0; I < 9; ++I)
    Relay.sendRequest("/one/");
  CHECK(Relay.attemptAt(Relay.instanceOf(Attempt)) == 0);
  CHECK(Relay.probesOf(Attempt.Endpoint) == Probes + 1);
  Relay.step(probe_ended{Attempt.Endpoint, true, {}, millis{0}, false, {}});
  for (int I = 0; I < 9; ++I)
    Relay.sendRequest("/one/");
  CHECK(Relay.attemptAt(Relay.instanceOf(Attempt)) != 0);
}

TEST_CASE("cold, leaving and unlisted endpoints get no requests", "[relay]") {
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

TEST_CASE("a zone that is out gets no requests, and probes on return",
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

TEST_CASE("an endpoint restarted under the same id is a new endpoint",
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

TEST_CASE("a traffic split follows its weights exactly", "[relay]") {
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

TEST_CASE("hedges and retries of a service stay within its budget", "[relay]") {
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
  const std::size_t ExtraAttempts = Relay.count<send_attempt>() - Requests;
  CHECK(ExtraAttempts <= 0.2 * Requests + 10.0 / 2);
  CHECK(ExtraAttempts >= 20);
}

// Guards against further attempts whose reason and sender no page tells.
TEST_CASE("a request's log event tells why its parts were sent again",
          "[relay]") {
  relay_fixture Relay;
  Relay.addService("one", 2);
  Relay.addPlainRoute("/one/", "one");
  Relay.install();
  const auto CountOf = [&](repeat_reason Reason) {
    const auto &Event = std::get<request_log_event>(*std::find_if(
        Relay.Actions.rbegin(), Relay.Actions.rend(), [](const auto &Each) {
          return std::holds_alternative<request_log_event>(Each);
        }));
    return Event.Repeats[static_cast<std::size_t>(Reason)];
  };
  Relay.sendRequest("/one/");
  Relay.reply(Relay.Sent.begin()->first, 500);
  Relay.replyAll();
  CHECK(CountOf(repeat_reason::failure) == repeat_count{1, 0});
  CHECK(CountOf(repeat_reason::shed) == repeat_count{});
  Relay.sendRequest("/one/");
  Relay.replyNotRun(Relay.Sent.begin()->first);
  Relay.replyAll();
  CHECK(CountOf(repeat_reason::shed) == repeat_count{1, 0});
  CHECK(CountOf(repeat_reason::failure) == repeat_count{});
}

TEST_CASE("a spent budget refills over time", "[relay][load]") {
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
  CHECK(Spent >= First + 4); // refilled without first attempts
}

// Guards against relays that take the whole slack of a service until they know
// how many they are.
TEST_CASE("nothing is sent again before the fleet's size is known",
          "[relay][budget]") {
  relay_fixture Relay;
  Relay.addService("one", 2);
  Relay.addPlainRoute("/one/", "one");
  Relay.installWithoutCount();
  Relay.sendRequest("/one/");
  Relay.reply(Relay.Sent.begin()->first, 500);
  CHECK(Relay.Sent.empty());
  Relay.step(peer_count_changed{1});
  Relay.sendRequest("/one/");
  Relay.reply(Relay.Sent.begin()->first, 500);
  CHECK(Relay.Sent.size() == 1);
}

// Guards against tokens that many relays without a share save up.
TEST_CASE("without a share of the slack, tokens are earned and expire",
          "[relay][budget]") {
  service_budget Budget;
  Budget.resize({0.2, 1000, {10'000}}, 0);
  Budget.refill({0});
  CHECK(!Budget.canSpend());
  for (int I = 0; I < 50; ++I)
    Budget.onFirstAttempt();
  Budget.refill({1});
  CHECK(!Budget.spend(0.5));
  for (int I = 0; I < 50; ++I)
    Budget.onFirstAttempt();
  CHECK(Budget.spend());
  CHECK(!Budget.canSpend());
  for (int I = 0; I < 50; ++I)
    Budget.onFirstAttempt();
  Budget.refill({2001});
  CHECK(!Budget.canSpend());
}

TEST_CASE("a budget stays within its share in every window", "[relay]") {
  constexpr double Slack = 100;
  constexpr std::uint32_t Peers = 4;
  service_budget Budget;
  Budget.resize({0.2, Slack, {10'000}}, Peers);
  std::deque<std::pair<instant, bool>> Window; ///< whether a first attempt
  for (int I = 0; I < 40'000; ++I) {
    const instant Now{static_cast<double>(I)};
    Budget.refill(Now);
    // Alternates between 3 s of first attempts only and 3 s in which the budget
    // is spent as fast as possible.
    const bool IsSpending = I / 3000 % 2 == 1;
    if (I % 10 == 0) {
      Budget.onFirstAttempt();
      Window.push_back({Now, true});
    }
    if (IsSpending && Budget.spend())
      Window.push_back({Now, false});
    while (Now - Window.front().first > millis{10'000})
      Window.pop_front();
    const auto Firsts = std::count_if(Window.begin(), Window.end(),
                                      [](const auto &E) { return E.second; });
    const auto Extra = static_cast<std::ptrdiff_t>(Window.size()) - Firsts;
    REQUIRE(static_cast<double>(Extra) <=
            0.2 * static_cast<double>(Firsts) + Slack / Peers);
  }
}

TEST_CASE("requests in flight at an endpoint stay within its connection limit",
          "[relay]") {
  relay_fixture Relay;
  Relay.addService("one", 1, 20);
  Relay.listedEntry("one-0").Slots = 9; // so that the connection limit applies
  Relay.addPlainRoute("/one/", "one");
  Relay.install(6);
  for (int I = 0; I < 9; ++I)
    Relay.sendRequest("/one/");
  CHECK(Relay.Sent.size() == 3);
  Relay.reply(Relay.Sent.begin()->first);
  CHECK(Relay.Sent.size() == 3);
}

TEST_CASE("a burst waits in the relay instead of being shed by endpoints",
          "[relay][load]") {
  gather_fixture Relay;
  for (int I = 0; I < 20; ++I)
    Relay.sendRequest("/all/x");
  // Each of 4 shards has 2 endpoints with 2 slots.
  CHECK(Relay.Sent.size() == 4 * 2 * 2);
  for (int Rounds = 0; Rounds < 30; ++Rounds) {
    Relay.replyAll();
    Relay.advance(1);
  }
  CHECK(Relay.count<send_answer>() == 20);
}

TEST_CASE(
    "a request without an available endpoint is refused early enough to retry",
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
  // The endpoint of shard "a" runs one request at a time, 10 ms each, and
  // queues the others; a query arrives every 5 ms.
  constexpr double ServiceTime = 10;
  constexpr double Interval = 5;
  std::deque<std::uint64_t> Queue;
  double BusyUntil = 0;
  std::size_t Served = 0;
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
      BusyUntil = Relay.Now.Ms + ServiceTime;
      Relay.reply(Done, 200);
      ++Served;
    }
  }
  std::size_t Complete = 0;
  for (const relay_action &Each : Relay.Actions)
    if (const auto *Answer = std::get_if<send_answer>(&Each))
      Complete += Answer->Missing == 0 ? 1 : 0;
  CHECK(Complete >= 160); // one slot can serve 200
  // Most replies of the overloaded endpoint come in time to be used.
  CHECK(static_cast<double>(Complete) >= static_cast<double>(Served) * 0.8);
}

TEST_CASE("an endpoint that never replies gets only probes", "[relay][load]") {
  gather_fixture Relay;
  for (listed_endpoint &Each : Relay.Directory.Endpoints)
    Each.Zone = "near";
  Relay.publishDirectory();
  // Every second endpoint never replies.
  const auto IsUnresponsive = [&](const send_attempt &Attempt) {
    return Relay.instanceOf(Attempt).back() == '1';
  };
  std::size_t Wasted = 0;
  for (int I = 0; I < 40; ++I) {
    Relay.sendRequest("/all/x");
    for (auto Each = Relay.Sent.begin(); Each != Relay.Sent.end();) {
      const auto [Number, Attempt] = *Each++;
      if (!IsUnresponsive(Attempt))
        Relay.reply(Number);
      else if (I > 20)
        ++Wasted;
    }
    Relay.advance(50);
    for (auto Each = Relay.Sent.begin(); Each != Relay.Sent.end();) {
      const auto [Number, Attempt] = *Each++;
      if (!IsUnresponsive(Attempt))
        Relay.reply(Number);
    }
    Relay.advance(50);
  }
  CHECK(Relay.count<probe_endpoint>() >= 2);
  CHECK(Wasted <= 2);
}

TEST_CASE(
    "a query is refused immediately while too many shards are at capacity",
    "[relay][load]") {
  relay_fixture Relay;
  for (const char *Shard : {"a", "b", "c", "d"})
    Relay.addService(Shard, 1, 2);
  Relay.addRoute("/all/", {"a", "b", "c", "d"});
  Relay.install();
  // Two of the four shards are slow and keep a request in flight.
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

TEST_CASE("hedges are sent early even if a third of the replies are slow",
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
  Relay.advance(30); // 2.5 times the median of 10 ms; slow replies take 100 ms
  CHECK(Relay.Sent.size() == 2);
}

TEST_CASE("endpoints of the local zone are preferred while they are as fast",
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
  // A slow endpoint is avoided even in the local zone.
  for (int I = 0; I < 20; ++I) {
    Relay.sendRequest("/one/");
    Relay.advance(Relay.attemptAt("one-0") != 0 ? 60 : 10);
    Relay.replyAll();
  }
  Relay.sendRequest("/one/");
  CHECK(Relay.attemptAt("one-1") != 0);
}

TEST_CASE(
    "the local zone is preferred over a faster one while it replies early "
    "enough",
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
    Relay.advance(IsNear ? 20 : 10); // the objective is 100 ms
    Relay.replyAll();
  }
  CHECK(Near >= Requests * 0.95);
}

TEST_CASE("an endpoint that closed an idle connection is not suspected",
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

TEST_CASE("a non-idempotent request is not sent on an idle connection",
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

TEST_CASE("a query whose shards are at capacity past the objective is answered "
          "late",
          "[relay][load]") {
  gather_fixture Relay;
  const query_id Request = Relay.sendRequest("/all/x");
  // Two of four shards shed all requests for 300 ms; an answer needs three.
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
  // The backoff limits the attempts at a shard that sheds them.
  CHECK(Relay.count<send_attempt>() <= 4 + 2 * 12);
}

TEST_CASE("a part denied by the budget is sent once the budget has refilled",
          "[relay][load]") {
  relay_settings Settings = relay_fixture::settings();
  Settings.Budget = {0, 4, {1000}}; // 1 token at the start, then 1.4 per second
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

TEST_CASE("an endpoint that stays down is logged once", "[relay]") {
  single_fixture Relay;
  Relay.sendRequest("/one/");
  const auto [Number, Attempt] = *Relay.Sent.begin();
  Relay.breakConnection(Number);
  for (int I = 0; I < 5; ++I) {
    Relay.step(probe_ended{Attempt.Endpoint, false, {}, {}, false, {}});
    Relay.advance(1001);
  }
  std::size_t Logged = 0;
  for (const relay_action &Each : Relay.Actions)
    if (const auto *LogEvent = std::get_if<endpoint_log_event>(&Each))
      Logged += LogEvent->Change == endpoint_state_change::probe_failed ? 1 : 0;
  CHECK(Logged == 1);
  CHECK(Relay.probesOf(Attempt.Endpoint) == 6);
}

TEST_CASE("a suspect that may not be probed schedules no timer", "[relay]") {
  single_fixture Relay;
  const query_id Request = Relay.sendRequest("/one/");
  const std::uint64_t Attempt = Relay.Sent.begin()->first;
  const std::string Instance = Relay.instanceOf(Relay.Sent.begin()->second);
  Relay.breakConnection(Attempt);
  Relay.listedEntry(Instance).IsLeaving = true;
  Relay.publishDirectory();
  for (const auto &[Number, Name] : Relay.Names)
    if (Name == Instance)
      Relay.step(probe_ended{{Number}, false, {}, {}, false, {}});
  Relay.replyAll();
  REQUIRE(Relay.answerTo(Request));
  Relay.advance(1000); // the deadline of the request has passed
  const std::size_t Before = Relay.count<set_timer>();
  for (int Step = 0; Step < 20; ++Step)
    Relay.step(timer_fired{});
  CHECK(Relay.count<set_timer>() == Before);
}

TEST_CASE("after a hand-over of the registry an older directory does not bring "
          "back an endpoint that left",
          "[relay]") {
  single_fixture Relay;
  const directory Old = Relay.Directory;
  std::erase_if(Relay.Directory.Endpoints, [](const listed_endpoint &Each) {
    return Each.Identity.Instance == "one-0";
  });
  // The new leader's term; its sequence starts anew.
  Relay.Directory.Version = {2, 1};
  Relay.step(directory_arrived{
      std::make_shared<const directory_change>(fullChange(Relay.Directory)),
      {}});
  // The former leader, cut off meanwhile, publishes what it read before.
  directory Late = Old;
  Late.Version = {1, Old.Version.Sequence + 5};
  Relay.step(directory_arrived{
      std::make_shared<const directory_change>(fullChange(Late)), {}});
  for (int I = 0; I < 10; ++I) {
    Relay.sendRequest("/one/");
    CHECK(Relay.attemptAt("one-0") == 0);
  }
}

TEST_CASE("queries over shards whose endpoints all fall silent are refused at "
          "once from the first overdue one on",
          "[relay][load]") {
  gather_fixture Relay; // an answer needs three of four shards
  const auto ReplyExcept = [&](const std::set<std::string> &Silent) {
    for (auto Each = Relay.Sent.begin(); Each != Relay.Sent.end();) {
      const auto [Number, Attempt] = *Each++;
      const std::string Instance = Relay.instanceOf(Attempt);
      if (!Silent.count(Instance.substr(0, 1)))
        Relay.reply(Number);
    }
  };
  const auto FailProbes = [&](std::size_t From) {
    for (std::size_t I = From; I < Relay.Actions.size(); ++I)
      if (const auto *Probe = std::get_if<probe_endpoint>(&Relay.Actions[I])) {
        const endpoint_no No = Probe->Endpoint;
        Relay.step(probe_ended{No, false, {}, {}, false, {}});
      }
  };
  // A query every 20 ms; shards a and b are silent.
  std::map<query_id, double> AskedAt;
  std::size_t Handled = 0;
  for (int I = 0; I < 50; ++I) {
    AskedAt[Relay.sendRequest("/all/x")] = Relay.Now.Ms;
    ReplyExcept({"a", "b"});
    Relay.advance(20);
    FailProbes(std::exchange(Handled, Relay.Actions.size()));
  }
  const double Start = AskedAt.begin()->second;
  for (const auto &[Request, At] : AskedAt) {
    // The objective is 100 ms, 10 of them on the way; 250 ms later the
    // endpoints are overdue.
    if (At < Start + 90 + 250 + 200)
      continue;
    const send_answer *Answer = Relay.answerTo(Request);
    REQUIRE(Answer);
    CHECK(Answer->Status == 503);
    CHECK(Answer->RetryAfter > millis{0});
  }
}

// Guards against an endpoint that stays in use although no request to it is
// answered before its client's deadline.
TEST_CASE(
    "an endpoint without a reply at a request's deadline gets only probes",
    "[relay]") {
  relay_fixture Relay;
  Relay.addService("one", 1);
  Relay.addPlainRoute("/one/", "one");
  Relay.install();
  const query_id Request = Relay.sendRequest("/one/", {600});
  Relay.advance(600);
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Status == 504);
  CHECK(Relay.count<probe_endpoint>() == 1);
  Relay.sendRequest("/one/", {600});
  CHECK(Relay.Sent.empty());
  // One that a client gave little time is not judged by it.
  relay_fixture Other;
  Other.addService("one", 1);
  Other.addPlainRoute("/one/", "one");
  Other.install();
  Other.sendRequest("/one/", {100});
  Other.advance(100);
  CHECK(Other.count<probe_endpoint>() == 0);
}

// Guards against a query over no shards that ends the relay: such a
// configuration is valid.
TEST_CASE("a query over no shards is refused at once", "[relay]") {
  relay_fixture Relay;
  Relay.addService("one", 1);
  Relay.addRoute("/none/", {});
  Relay.install();
  const query_id Request = Relay.sendRequest("/none/x", {});
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Status == 503);
  CHECK(Relay.answerTo(Request)->RetryAfter > millis{0});
}
