#include "owner_fixture.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::query;

namespace {

/// Fills an endpoint with more work than it may have in flight; returns how
/// much of it was sent.
std::size_t sentOf(owner_fixture &Given, int Requests = 10) {
  Given.Actions.clear();
  for (int I = 0; I < Requests; ++I)
    Given.request({1000});
  return Given.sends();
}

reply_headers withGeneration(std::uint64_t Generation, bool Cold = false) {
  reply_headers Headers;
  Headers.Generation = Generation;
  Headers.Cold = Cold;
  return Headers;
}

bool tells(const owner_fixture &Given, endpoint_change Change,
           endpoint_cause Cause) {
  const auto Events = Given.all<endpoint_event>();
  return std::any_of(Events.begin(), Events.end(), [&](const auto &Event) {
    return Event.Change == Change && Event.Cause == Cause;
  });
}

} // namespace

TEST_CASE("each so many successes open one more cold slot", "[owner][cold]") {
  owner_settings Settings;
  Settings.RampReplies = 4;
  owner_fixture Given(3, Settings);
  Given.grantAll();
  for (int I = 0; I < 3; ++I)
    Given.answer(Given.request());
  CHECK(sentOf(Given) == 1);
}

TEST_CASE("an endpoint that says it is warm is not believed", "[owner][cold]") {
  owner_fixture Given(6);
  Given.grantAll();
  Given.step(health_arrived{{0}, health_state::warm, 1, 0, {}});
  CHECK(sentOf(Given) == 1);
}

TEST_CASE("signs of cold close the slots of a warm endpoint", "[owner][cold]") {
  owner_fixture Given(3);
  Given.grantAll();
  Given.answer(Given.request(), reply_kind::answered, withGeneration(5));
  Given.warm();

  SECTION("a new generation") {
    Given.answer(Given.request(), reply_kind::answered, withGeneration(6));
    CHECK(tells(Given, endpoint_change::turned_cold,
                endpoint_cause::generation_changed));
    CHECK(sentOf(Given) == 1);
  }
  SECTION("the flag") {
    Given.answer(Given.request(), reply_kind::answered,
                 withGeneration(5, true));
    CHECK(sentOf(Given) == 1);
  }
  SECTION("a shed, and the endpoint's hint is kept") {
    reply_headers Headers;
    Headers.RetryAfter = {30};
    Given.answer(Given.request(), reply_kind::shed, Headers);
    CHECK(sentOf(Given) == 0);
    Given.advance({30.5});
    CHECK(Given.sends() == 1);
  }
  SECTION("a lost connection") {
    Given.answer(Given.request(), reply_kind::connection_lost);
    Given.advance({11});
    CHECK(sentOf(Given) == 1);
  }
  SECTION("a health report with a new generation") {
    Given.step(health_arrived{{0}, health_state::warm, 6, 0, {}});
    CHECK(sentOf(Given) == 1);
  }
  SECTION("one slow reply after the other") {
    for (int I = 0; I < 3; ++I) {
      const sub_id Slow = Given.request({1000});
      Given.advance({60});
      Given.answer(Slow, reply_kind::answered, withGeneration(5), {60});
    }
    CHECK(tells(Given, endpoint_change::turned_cold,
                endpoint_cause::latency_jump));
    CHECK(sentOf(Given) == 1);
  }
}

TEST_CASE("what is no sign of cold leaves the slots open", "[owner][cold]") {
  owner_fixture Given(3);
  Given.grantAll();
  Given.answer(Given.request(), reply_kind::answered, withGeneration(5));
  Given.warm();

  SECTION("a pause that holds up several requests at once") {
    const std::vector<sub_id> Held = {
        Given.request({1000}), Given.request({1000}), Given.request({1000})};
    Given.advance({60});
    for (const sub_id Sub : Held)
      Given.answer(Sub, reply_kind::answered, {}, {60});
    CHECK(sentOf(Given) == 3);
  }
  SECTION("a cancel that reached a running request") {
    Given.answer(Given.request(), reply_kind::cancelled_running);
    CHECK(sentOf(Given) == 3);
  }
  SECTION("a health report that lags behind a restart") {
    Given.answer(Given.request(), reply_kind::answered, withGeneration(6));
    Given.warm();
    Given.step(health_arrived{{0}, health_state::warm, 5, 0, {}});
    CHECK(sentOf(Given) == 3);
  }
}

TEST_CASE("a failure while slots open closes them, and the next ramp is slower",
          "[owner][cold]") {
  owner_settings Settings;
  Settings.RampReplies = 2;
  owner_fixture Given(3, Settings);
  Given.grantAll();
  for (int I = 0; I < 2; ++I)
    Given.answer(Given.request());
  Given.answer(Given.request(), reply_kind::connection_lost);
  Given.advance({11});
  for (int I = 0; I < 3; ++I)
    Given.answer(Given.request());
  CHECK(sentOf(Given) == 1);
}

TEST_CASE("probes of an endpoint that refuses them become rarer",
          "[owner][cold]") {
  owner_fixture Given(2);
  Given.grantAll();
  std::size_t Probes = 0;
  for (int Ms = 0; Ms < 3000; ++Ms) {
    Given.Actions.clear();
    Given.advance({1});
    Given.request({20});
    for (const auto &Probe : Given.all<send_to_endpoint>()) {
      ++Probes;
      Given.answer(Probe.Request.Sub, reply_kind::connect_refused);
    }
  }
  CHECK(Probes >= 6);
  CHECK(Probes <= 10);
}

TEST_CASE("the baseline believes health reports", "[owner][cold]") {
  owner_settings Settings;
  Settings.Cold = cold_policy::trust_health;
  owner_fixture Given(3, Settings);
  Given.grantAll();
  CHECK(sentOf(Given) == 3);
}

TEST_CASE("a lease renewed after it ran out leaves the endpoint unknown",
          "[owner][cold]") {
  owner_fixture Given(3);
  Given.grantAll({5000});
  Given.warm();
  Given.Now = Given.Now + millis{6000}; // the process was paused
  Given.grantAll({5000});
  CHECK(sentOf(Given) == 1);
}

TEST_CASE("an endpoint in a life in which it was warm opens after one success",
          "[owner][cold]") {
  owner_fixture Given(3);

  SECTION("seen by this owner before its lease ran out") {
    Given.grantAll({5000});
    Given.answer(Given.request(), reply_kind::answered, withGeneration(5));
    Given.warm();
    Given.Now = Given.Now + millis{6000};
  }
  SECTION("told by the owner before it") {
    endpoint_report Report;
    Report.WarmGeneration = 5;
    Given.step(peer_reports_arrived{{Report}});
  }
  Given.grantAll({5000});
  CHECK(sentOf(Given, 1) == 1);
  Given.answer({Given.NextSub}, reply_kind::answered, withGeneration(5));
  CHECK(sentOf(Given) == 3);
}

TEST_CASE("a life that was warm proves nothing of the next one",
          "[owner][cold]") {
  owner_fixture Given(3);
  endpoint_report Report;
  Report.WarmGeneration = 5;
  Given.step(peer_reports_arrived{{Report}});
  Given.grantAll();
  Given.answer(Given.request(), reply_kind::answered, withGeneration(6));
  CHECK(sentOf(Given) == 1);
}

TEST_CASE("a sign of warmth counts when it said cold in the same life",
          "[owner][cold]") {
  owner_fixture Given(3);
  Given.grantAll();

  SECTION("the flag") {
    Given.answer(Given.request(), reply_kind::answered,
                 withGeneration(5, true));
    Given.answer(Given.request(), reply_kind::answered, withGeneration(5));
    CHECK(sentOf(Given) == 3);
  }
  SECTION("the health report") {
    Given.answer(Given.request(), reply_kind::answered, withGeneration(5));
    Given.step(health_arrived{{0}, health_state::cold, 5, 0, {}});
    Given.step(health_arrived{{0}, health_state::warm, 5, 0, {}});
    CHECK(sentOf(Given) == 3);
  }
  SECTION("not a late report, after a restart that no reply has shown yet") {
    Given.answer(Given.request(), reply_kind::answered, withGeneration(5));
    Given.step(health_arrived{{0}, health_state::cold, 5, 0, {}});
    Given.answer(Given.request(), reply_kind::connection_lost);
    Given.advance({30});
    Given.step(health_arrived{{0}, health_state::warm, 5, 0, {}});
    CHECK(sentOf(Given) == 1);
  }
  SECTION("not a report of an earlier life") {
    Given.answer(Given.request(), reply_kind::answered, withGeneration(5));
    Given.step(health_arrived{{0}, health_state::cold, 5, 0, {}});
    Given.answer(Given.request(), reply_kind::answered, withGeneration(6));
    Given.step(health_arrived{{0}, health_state::warm, 5, 0, {}});
    CHECK(sentOf(Given) == 1);
  }
}

TEST_CASE("a sign that misled once is not believed again", "[owner][cold]") {
  owner_fixture Given(3);
  Given.grantAll();
  for (int I = 0; I < 2; ++I) {
    Given.answer(Given.request(), reply_kind::answered,
                 withGeneration(5, true));
    Given.answer(Given.request(), reply_kind::answered, withGeneration(5));
    Given.answer(Given.request(), reply_kind::shed);
    Given.advance({30});
  }
  CHECK(sentOf(Given) == 1);
}
