// Relays that clients and other relays reach, but that reach no endpoint.
#include "relay_fleet.h"

using namespace bulrush;
using namespace bulrush::test;

namespace {

/// The rule: this long after the cut began, first tries at the relays that are
/// cut off are served at least `MinServedRatio` times as often as at others.
constexpr millis ContactTime{4000};
constexpr double MinServedRatio = 2.0 / 3;
constexpr double RequestsPerSecond = 60;

struct stranded_fleet : relay_fleet {
  stranded_fleet(fleet_options Options, std::size_t CutRelays,
                 endpoint_path Path)
      : relay_fleet(Options), CutRelays(CutRelays) {
    run({2000}, RequestsPerSecond, "/all/");
    for (std::size_t I = 0; I < CutRelays; ++I)
      setPath(I, Path);
  }

  client_counts cutOff() const {
    return count([this](std::size_t Each) { return Each < CutRelays; });
  }
  client_counts inTouch() const {
    return count([this](std::size_t Each) { return Each >= CutRelays; });
  }
  static double share(const client_counts &Counts) {
    return static_cast<double>(Counts.Served) /
           static_cast<double>(Counts.Sent);
  }

  std::size_t CutRelays;
};

void checkServed(fleet_options Options, std::size_t CutRelays,
                 endpoint_path Path, const std::string &Prefix) {
  INFO(Options.Relays << " relays, " << CutRelays << " cut off, " << Prefix);
  stranded_fleet Fleet(Options, CutRelays, Path);
  Fleet.run(ContactTime, RequestsPerSecond, Prefix);
  Fleet.resetCounts();
  Fleet.run({5000}, RequestsPerSecond, Prefix);
  const double InTouch = stranded_fleet::share(Fleet.inTouch());
  const double CutOff = stranded_fleet::share(Fleet.cutOff());
  INFO("served " << CutOff << ", at the others " << InTouch);
  CHECK(CutOff >= InTouch * MinServedRatio);
  CHECK(InTouch >= 0.95);
}

constexpr fleet_options ManyShards{30, 64, 2, 6};

} // namespace

// Guards against a relay that refuses what it could hand to relays that reach
// the endpoints.
TEST_CASE("queries at relays that reach no endpoint are served by other relays",
          "[stranded]") {
  checkServed({}, 1, endpoint_path::silent, "/all/");
  checkServed({}, 6, endpoint_path::silent, "/all/");
  checkServed({}, 6, endpoint_path::refused, "/all/");
  checkServed({3, 8, 2, 6}, 2, endpoint_path::silent, "/all/");
}

// Guards against one relay's word that nobody reaches an endpoint, given by a
// relay of the same zone: whole zones lose their paths.
TEST_CASE("a zone whose relays reach few endpoints is served by other zones",
          "[stranded]") {
  for (const std::string Prefix : {"/all/", "/plain/"}) {
    relay_fleet Fleet({8, 20, 2, 6});
    const auto InZone = [](std::size_t Relay) {
      return relay_fleet::zoneOf(Relay) == "near";
    };
    Fleet.run({2000}, RequestsPerSecond, "/all/");
    for (std::size_t I = 0; I < 8; ++I)
      if (InZone(I))
        Fleet.setPath(I, endpoint_path::mostly_refused);
    // Replies of the first shard keep these relays from losing their reach.
    Fleet.run(ContactTime, RequestsPerSecond, "/all/");
    Fleet.resetCounts();
    for (int I = 0; I < 25; ++I) {
      Fleet.run({100}, RequestsPerSecond, "/all/");
      Fleet.run({100}, RequestsPerSecond, Prefix);
    }
    INFO(Prefix);
    CHECK(stranded_fleet::share(Fleet.count(InZone)) >= 0.95);
  }
}

// Guards against slices that go to relays which cannot run them: one relay of
// five is in touch.
TEST_CASE("relays in touch are served while most others reach no endpoint",
          "[stranded]") {
  checkServed(ManyShards, 24, endpoint_path::silent, "/all/");
  checkServed(ManyShards, 24, endpoint_path::refused, "/all/");
}

// Guards against a relay that refuses a request for one endpoint although
// other relays reach it.
TEST_CASE("requests for one endpoint at a relay that reaches none are served "
          "by other relays",
          "[stranded]") {
  checkServed({}, 6, endpoint_path::silent, "/plain/");
  checkServed({}, 6, endpoint_path::refused, "/plain/");
}

// Guards against a detour that runs a part more often than its route allows, or
// that promises "not run" for what an endpoint has run.
TEST_CASE("detours keep the limits on attempts while relays lose and regain "
          "their endpoints",
          "[stranded]") {
  for (const std::size_t Shards : {8, 20, 64}) {
    relay_fleet Fleet({12, Shards, 2, 6});
    for (std::size_t Round = 0; Round < 12; ++Round) {
      for (std::size_t I = 0; I < 12; ++I)
        Fleet.setPath(I, (I * 7 + Round * 5) % 12 < 9
                             ? static_cast<endpoint_path>((I + Round) % 3)
                             : endpoint_path::open);
      Fleet.run({900}, RequestsPerSecond, Round % 2 == 0 ? "/all/" : "/plain/");
    }
    CHECK(Fleet.maxRuns() <= 2);
    CHECK(Fleet.FalseRefusals == 0);
  }
}

// Guards against endpoints that work for a client which has left.
TEST_CASE("a client that leaves cancels its query at the relay that runs it",
          "[stranded]") {
  stranded_fleet Fleet({}, 6, endpoint_path::silent);
  Fleet.run({2000}, RequestsPerSecond, "/all/");
  Fleet.run({1000}, 0, "/all/");
  REQUIRE(Fleet.running() == 0);
  const query_id Request = Fleet.send(0, "/all/x");
  for (int Ms = 0; Ms < 10 && Fleet.running() == 0; ++Ms)
    Fleet.run({1}, 0, "/all/");
  CHECK(Fleet.running() > 0);
  Fleet.disconnect(0, Request);
  Fleet.run({3}, 0, "/all/");
  CHECK(Fleet.running() == 0);
}

// Guards against relays that send a request to each other without end.
TEST_CASE("a query that no relay can run is refused at once", "[stranded]") {
  stranded_fleet Fleet({}, 8, endpoint_path::silent);
  Fleet.run({2500}, RequestsPerSecond, "/all/");
  Fleet.resetCounts();
  Fleet.run({3000}, RequestsPerSecond, "/all/");
  const auto Counts = Fleet.cutOff();
  CHECK(Counts.Served == 0);
  CHECK(Counts.Held == 0);
  CHECK(Fleet.Statuses[503] > 100);
}

// Guards against relays in touch that get all requests of those that are not.
TEST_CASE("the relays left share the load evenly", "[stranded][load]") {
  for (const std::size_t Cut : {4, 9}) {
    stranded_fleet Fleet({12, 20, 2, 6}, Cut, endpoint_path::silent);
    Fleet.run(ContactTime, RequestsPerSecond, "/all/");
    Fleet.resetCounts();
    Fleet.run({6000}, RequestsPerSecond, "/all/");
    std::size_t Sum = 0;
    std::size_t Most = 0;
    for (std::size_t I = Cut; I < 12; ++I) {
      Sum += Fleet.sentBy()[I];
      Most = std::max(Most, Fleet.sentBy()[I]);
    }
    INFO(Cut << " of 12 relays cut off");
    CHECK(static_cast<double>(Most) <=
          1.5 * static_cast<double>(Sum) / static_cast<double>(12 - Cut));
  }
}

// Guards against a request that must not run twice and takes a detour after it
// may have run.
TEST_CASE("a request that is not idempotent runs at most once on a detour",
          "[stranded]") {
  relay_fleet Fleet({12, 8, 2, 6});
  for (std::size_t Round = 0; Round < 12; ++Round) {
    for (std::size_t I = 0; I < 12; ++I)
      Fleet.setPath(I, (I * 5 + Round * 7) % 12 < 8
                           ? static_cast<endpoint_path>((I + Round) % 3)
                           : endpoint_path::open);
    Fleet.run({700}, 2 * RequestsPerSecond, "/once/");
    if (Round % 4 == 3)
      Fleet.kill(Round);
  }
  CHECK(Fleet.maxRuns() == 1);
  CHECK(Fleet.FalseRefusals == 0);
  CHECK(Fleet.Statuses[200] > 500);
}

// Guards against a detour that hides the endpoint's own answer.
TEST_CASE("an endpoint's reply takes the detour back unchanged", "[stranded]") {
  relay_fixture Responder;
  Responder.addService("plain", 2);
  Responder.install();
  shard_request Asked;
  Asked.Id = {7};
  Asked.Content = std::make_shared<opaque_request>();
  Asked.Shards = {{"plain"}};
  Asked.MaxAttempts = 1;
  Asked.Objective = {100};
  Asked.SoftTimeout = {80};
  Asked.Remaining = {800};
  Asked.IsQuery = false;
  for (const unsigned Status : {200U, 404U, 500U}) {
    ++Asked.Id.Value;
    Responder.step(shard_request_arrived{{2}, Asked});
    REQUIRE(Responder.Sent.size() == 1);
    Responder.reply(Responder.Sent.begin()->first, Status, "any bytes");
    const auto *Reply = std::get_if<send_shard_reply>(
        &*std::find_if(Responder.Actions.rbegin(), Responder.Actions.rend(),
                       [](const relay_action &Each) {
                         return std::holds_alternative<send_shard_reply>(Each);
                       }));
    REQUIRE(Reply);
    REQUIRE(Reply->Reply.Reply);
    CHECK(Reply->Reply.IsFinal);
    CHECK(Reply->Reply.Reply->Status == Status);
    CHECK(Reply->Reply.Reply->Body == "any bytes");
  }
}

// Guards against a detour that waits where the relay itself would refuse.
TEST_CASE("a detour to a relay whose endpoints are busy is refused with a time "
          "to return",
          "[stranded]") {
  relay_fixture Responder;
  Responder.addService("plain", 1, 1);
  Responder.addPlainRoute("/plain/", "plain");
  Responder.install();
  Responder.sendRequest("/plain/x"); // takes the only connection
  shard_request Asked;
  Asked.Id = {7};
  Asked.Content = std::make_shared<opaque_request>();
  Asked.Shards = {{"plain"}};
  Asked.Objective = {100};
  Asked.SoftTimeout = {80};
  Asked.Remaining = {800};
  Asked.IsQuery = false;
  Responder.step(shard_request_arrived{{2}, Asked});
  Responder.advance(25); // a fifth of the objective has passed
  REQUIRE(Responder.count<send_shard_reply>() == 1);
  for (const relay_action &Each : Responder.Actions)
    if (const auto *Reply = std::get_if<send_shard_reply>(&Each)) {
      CHECK(Reply->Reply.IsFinal);
      CHECK(Reply->Reply.IsNotRun);
      CHECK(Reply->Reply.RetryAfter > millis{0});
    }
}

// Guards against a part that fails because all its endpoints refuse connections
// and no probe has confirmed that yet.
TEST_CASE(
    "a part that no connection could be opened for takes a detour at once",
    "[stranded]") {
  for (const std::string Target : {"/all/x", "/plain/x"}) {
    relay_settings Settings = relay_fixture::settings();
    Settings.Self = {1};
    relay_fixture Relay(Settings);
    Relay.addService("a", 2);
    Relay.addService("b", 2);
    Relay.addRoute("/all/", {"a", "b"});
    Relay.addPlainRoute("/plain/", "a");
    Relay.step(peers_changed{{{{1}, "near"}, {{2}, "near"}, {{3}, "far"}}});
    Relay.install(3);
    Relay.sendRequest(Target);
    for (int I = 0; I < 2; ++I)
      Relay.end(Relay.attemptAt("a-0") ? Relay.attemptAt("a-0")
                                       : Relay.attemptAt("a-1"),
                attempt_end::connect_failed, {});
    REQUIRE(Relay.count<send_shard_request>() == 1);
    for (const relay_action &Each : Relay.Actions)
      if (const auto *Asked = std::get_if<send_shard_request>(&Each)) {
        CHECK(Asked->To.Value == 3); // of another zone
        CHECK(!Asked->Request.IsRetry);
        CHECK(Asked->Request.Shards == std::vector<service_name>{{"a"}});
      }
  }
}
