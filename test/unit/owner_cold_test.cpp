#include "owner_fixture.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::query;

namespace {

/// Submits more requests than the endpoint may have in flight; returns how many
/// were sent.
std::size_t countSent(owner_fixture &Fixture, int Requests = 10) {
  Fixture.Actions.clear();
  for (int I = 0; I < Requests; ++I)
    Fixture.submitRequest({1000});
  return Fixture.sendCount();
}

reply_headers withGeneration(std::uint64_t Generation, bool Cold = false) {
  reply_headers Headers;
  Headers.Generation = Generation;
  Headers.Cold = Cold;
  return Headers;
}

bool hasEvent(const owner_fixture &Fixture, endpoint_change Change,
              endpoint_cause Cause) {
  const auto Events = Fixture.actionsOf<endpoint_event>();
  return std::any_of(Events.begin(), Events.end(), [&](const auto &Event) {
    return Event.Change == Change && Event.Cause == Cause;
  });
}

} // namespace

TEST_CASE("`RampReplies` successes are needed for one more cold slot",
          "[owner][cold]") {
  owner_settings Settings;
  Settings.RampReplies = 4;
  owner_fixture Fixture(3, Settings);
  Fixture.grantAllLeases();
  for (int I = 0; I < 3; ++I)
    Fixture.reply(Fixture.submitRequest());
  CHECK(countSent(Fixture) == 1);
}

TEST_CASE("a health report alone does not make an endpoint warm",
          "[owner][cold]") {
  owner_fixture Fixture(6);
  Fixture.grantAllLeases();
  Fixture.step(health_arrived{{0}, health_state::warm, 1, 0, {}});
  CHECK(countSent(Fixture) == 1);
}

TEST_CASE("signals of a cold endpoint close its slots", "[owner][cold]") {
  owner_fixture Fixture(3);
  Fixture.grantAllLeases();
  Fixture.reply(Fixture.submitRequest(), reply_kind::answered,
                withGeneration(5));
  Fixture.warmUp();

  SECTION("a new generation") {
    Fixture.reply(Fixture.submitRequest(), reply_kind::answered,
                  withGeneration(6));
    CHECK(hasEvent(Fixture, endpoint_change::turned_cold,
                   endpoint_cause::generation_changed));
    CHECK(countSent(Fixture) == 1);
  }
  SECTION("the cold flag of a reply") {
    Fixture.reply(Fixture.submitRequest(), reply_kind::answered,
                  withGeneration(5, true));
    CHECK(countSent(Fixture) == 1);
  }
  SECTION("a shed reply, whose Retry-After is respected") {
    reply_headers Headers;
    Headers.RetryAfter = {30};
    Fixture.reply(Fixture.submitRequest(), reply_kind::shed, Headers);
    CHECK(countSent(Fixture) == 0);
    Fixture.advance({30.5});
    CHECK(Fixture.sendCount() == 1);
  }
  SECTION("a lost connection") {
    Fixture.reply(Fixture.submitRequest(), reply_kind::connection_lost);
    Fixture.advance({11});
    CHECK(countSent(Fixture) == 1);
  }
  SECTION("a health report with a new generation") {
    Fixture.step(health_arrived{{0}, health_state::warm, 6, 0, {}});
    CHECK(countSent(Fixture) == 1);
  }
  SECTION("several consecutive slow replies") {
    for (int I = 0; I < 3; ++I) {
      const sub_id Slow = Fixture.submitRequest({1000});
      Fixture.advance({60});
      Fixture.reply(Slow, reply_kind::answered, withGeneration(5), {60});
    }
    CHECK(hasEvent(Fixture, endpoint_change::turned_cold,
                   endpoint_cause::latency_jump));
    CHECK(countSent(Fixture) == 1);
  }
}

TEST_CASE("events that do not indicate a cold endpoint close no slots",
          "[owner][cold]") {
  owner_fixture Fixture(3);
  Fixture.grantAllLeases();
  Fixture.reply(Fixture.submitRequest(), reply_kind::answered,
                withGeneration(5));
  Fixture.warmUp();

  SECTION("one pause that delays several requests") {
    const std::vector<sub_id> Held = {Fixture.submitRequest({1000}),
                                      Fixture.submitRequest({1000}),
                                      Fixture.submitRequest({1000})};
    Fixture.advance({60});
    for (const sub_id Sub : Held)
      Fixture.reply(Sub, reply_kind::answered, {}, {60});
    CHECK(countSent(Fixture) == 3);
  }
  SECTION("a cancel of a running request") {
    Fixture.reply(Fixture.submitRequest(), reply_kind::cancelled_running);
    CHECK(countSent(Fixture) == 3);
  }
  SECTION("a health report from before a restart") {
    Fixture.reply(Fixture.submitRequest(), reply_kind::answered,
                  withGeneration(6));
    Fixture.warmUp();
    Fixture.step(health_arrived{{0}, health_state::warm, 5, 0, {}});
    CHECK(countSent(Fixture) == 3);
  }
}

TEST_CASE("a failure during the ramp closes slots and slows the next ramp",
          "[owner][cold]") {
  owner_settings Settings;
  Settings.RampReplies = 2;
  owner_fixture Fixture(3, Settings);
  Fixture.grantAllLeases();
  for (int I = 0; I < 2; ++I)
    Fixture.reply(Fixture.submitRequest());
  Fixture.reply(Fixture.submitRequest(), reply_kind::connection_lost);
  Fixture.advance({11});
  for (int I = 0; I < 3; ++I)
    Fixture.reply(Fixture.submitRequest());
  CHECK(countSent(Fixture) == 1);
}

TEST_CASE("probes of an endpoint that refuses them become less frequent",
          "[owner][cold]") {
  owner_fixture Fixture(2);
  Fixture.grantAllLeases();
  std::size_t Probes = 0;
  for (int Ms = 0; Ms < 3000; ++Ms) {
    Fixture.Actions.clear();
    Fixture.advance({1});
    Fixture.submitRequest({20});
    for (const auto &Probe : Fixture.actionsOf<send_to_endpoint>()) {
      ++Probes;
      Fixture.reply(Probe.Request.Sub, reply_kind::connect_refused);
    }
  }
  CHECK(Probes >= 6);
  CHECK(Probes <= 10);
}

TEST_CASE("the baseline trusts health reports", "[owner][cold]") {
  owner_settings Settings;
  Settings.Cold = cold_policy::trust_health;
  owner_fixture Fixture(3, Settings);
  Fixture.grantAllLeases();
  CHECK(countSent(Fixture) == 3);
}

TEST_CASE("a lease renewed after its expiry leaves the endpoint cold",
          "[owner][cold]") {
  owner_fixture Fixture(3);
  Fixture.grantAllLeases({5000});
  Fixture.warmUp();
  Fixture.Now = Fixture.Now + millis{6000}; // the process was paused
  Fixture.grantAllLeases({5000});
  CHECK(countSent(Fixture) == 1);
}

TEST_CASE("in a known warm generation one success opens all slots",
          "[owner][cold]") {
  owner_fixture Fixture(3);

  SECTION("seen by this owner before its lease ran out") {
    Fixture.grantAllLeases({5000});
    Fixture.reply(Fixture.submitRequest(), reply_kind::answered,
                  withGeneration(5));
    Fixture.warmUp();
    Fixture.Now = Fixture.Now + millis{6000};
  }
  SECTION("reported by the previous owner") {
    endpoint_report Report;
    Report.WarmGeneration = 5;
    Fixture.step(peer_reports_arrived{{Report}});
  }
  Fixture.grantAllLeases({5000});
  CHECK(countSent(Fixture, 1) == 1);
  Fixture.reply({Fixture.LastSub}, reply_kind::answered, withGeneration(5));
  CHECK(countSent(Fixture) == 3);
}

TEST_CASE("a warm generation does not count for the next one",
          "[owner][cold]") {
  owner_fixture Fixture(3);
  endpoint_report Report;
  Report.WarmGeneration = 5;
  Fixture.step(peer_reports_arrived{{Report}});
  Fixture.grantAllLeases();
  Fixture.reply(Fixture.submitRequest(), reply_kind::answered,
                withGeneration(6));
  CHECK(countSent(Fixture) == 1);
}

TEST_CASE(
    "a warm signal counts only after a cold signal in the same generation",
    "[owner][cold]") {
  owner_fixture Fixture(3);
  Fixture.grantAllLeases();

  SECTION("counts: the cold flag is cleared") {
    Fixture.reply(Fixture.submitRequest(), reply_kind::answered,
                  withGeneration(5, true));
    Fixture.reply(Fixture.submitRequest(), reply_kind::answered,
                  withGeneration(5));
    CHECK(countSent(Fixture) == 3);
  }
  SECTION("counts: the health report changes from cold to warm") {
    Fixture.reply(Fixture.submitRequest(), reply_kind::answered,
                  withGeneration(5));
    Fixture.step(health_arrived{{0}, health_state::cold, 5, 0, {}});
    Fixture.step(health_arrived{{0}, health_state::warm, 5, 0, {}});
    CHECK(countSent(Fixture) == 3);
  }
  SECTION("does not count: late report, restart not yet shown by a reply") {
    Fixture.reply(Fixture.submitRequest(), reply_kind::answered,
                  withGeneration(5));
    Fixture.step(health_arrived{{0}, health_state::cold, 5, 0, {}});
    Fixture.reply(Fixture.submitRequest(), reply_kind::connection_lost);
    Fixture.advance({30});
    Fixture.step(health_arrived{{0}, health_state::warm, 5, 0, {}});
    CHECK(countSent(Fixture) == 1);
  }
  SECTION("does not count: a report of an earlier generation") {
    Fixture.reply(Fixture.submitRequest(), reply_kind::answered,
                  withGeneration(5));
    Fixture.step(health_arrived{{0}, health_state::cold, 5, 0, {}});
    Fixture.reply(Fixture.submitRequest(), reply_kind::answered,
                  withGeneration(6));
    Fixture.step(health_arrived{{0}, health_state::warm, 5, 0, {}});
    CHECK(countSent(Fixture) == 1);
  }
}

TEST_CASE("a signal that was wrong once is not trusted again",
          "[owner][cold]") {
  owner_fixture Fixture(3);
  Fixture.grantAllLeases();
  for (int I = 0; I < 2; ++I) {
    Fixture.reply(Fixture.submitRequest(), reply_kind::answered,
                  withGeneration(5, true));
    Fixture.reply(Fixture.submitRequest(), reply_kind::answered,
                  withGeneration(5));
    Fixture.reply(Fixture.submitRequest(), reply_kind::shed);
    Fixture.advance({30});
  }
  CHECK(countSent(Fixture) == 1);
}

TEST_CASE("an endpoint that asks for time gets no request until it is over",
          "[owner][cold]") {
  owner_fixture Fixture(3);
  Fixture.grantAllLeases();
  Fixture.warmUp();
  reply_headers Headers;
  Headers.RetryAfter = {1500};
  Fixture.reply(Fixture.submitRequest(), reply_kind::shed, Headers);
  Fixture.advance({1400});
  CHECK(countSent(Fixture) == 0);
  Fixture.advance({200});
  CHECK(Fixture.sendCount() == 1);
}
