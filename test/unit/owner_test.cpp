#include "owner_fixture.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::query;

TEST_CASE("an owner sends a request and returns the answer", "[owner]") {
  owner_fixture Fixture;
  Fixture.grantAllLeases();
  const sub_id Sub = Fixture.submitRequest();
  REQUIRE(Fixture.sendCount() == 1);
  Fixture.reply(Sub);
  REQUIRE(Fixture.replyTo(Sub));
  CHECK(Fixture.replyTo(Sub)->Outcome == outcome::answered);
  CHECK(*Fixture.replyTo(Sub)->Body == "body");
  CHECK(Fixture.Owner->pending() == 0);
}

TEST_CASE("an endpoint of unknown state gets one request at a time, then two",
          "[owner]") {
  owner_settings Settings;
  Settings.RampReplies = 1;
  owner_fixture Fixture(3, Settings);
  Fixture.grantAllLeases();
  const sub_id First = Fixture.submitRequest();
  Fixture.submitRequest();
  Fixture.submitRequest();
  Fixture.submitRequest();
  CHECK(Fixture.sendCount() == 1);
  Fixture.reply(First);
  CHECK(Fixture.sendCount() == 3); // two slots are allowed now
}

TEST_CASE("a warm endpoint never has more in flight than its slots",
          "[owner]") {
  owner_fixture Fixture(2);
  Fixture.grantAllLeases();
  Fixture.warmUp();
  for (int I = 0; I < 5; ++I)
    Fixture.submitRequest();
  CHECK(Fixture.sendCount() == 2);
}

TEST_CASE("nothing is sent while requests of an earlier owner may run",
          "[owner]") {
  owner_fixture Fixture;
  Fixture.grantAllLeases({1e6}, {40});
  Fixture.submitRequest();
  Fixture.advance({39});
  CHECK(Fixture.sendCount() == 0);
  Fixture.advance({1.1});
  CHECK(Fixture.sendCount() == 1);
}

TEST_CASE("an expired lease stops sending and refuses queued requests",
          "[owner]") {
  owner_fixture Fixture;
  Fixture.grantAllLeases({50});
  const sub_id Running = Fixture.submitRequest();
  const sub_id Waiting = Fixture.submitRequest();
  Fixture.advance({51});
  CHECK(Fixture.reasonOf(Waiting) == refusal::lease_lost);
  CHECK_FALSE(Fixture.replyTo(Running));
  const sub_id Late = Fixture.submitRequest();
  CHECK(Fixture.reasonOf(Late) == refusal::lease_lost);
  CHECK(Fixture.sendCount() == 1);
  Fixture.reply(Running);
  CHECK(Fixture.replyTo(Running)->Outcome == outcome::answered);
}

TEST_CASE(
    "if a zone is taken out, queued requests are refused and running ones end",
    "[owner]") {
  owner_fixture Fixture;
  Fixture.grantAllLeases();
  const sub_id Running = Fixture.submitRequest();
  const sub_id Waiting = Fixture.submitRequest();
  fleet_config Config;
  Config.Revision = {2};
  Config.ZonesOut = {zone_id{0}};
  Fixture.step(config_changed{Config});
  CHECK(Fixture.reasonOf(Waiting) == refusal::zone_out);
  Fixture.reply(Running);
  CHECK(Fixture.replyTo(Running)->Outcome == outcome::answered);
  const auto Events = Fixture.actionsOf<endpoint_event>();
  CHECK(std::any_of(Events.begin(), Events.end(), [](const auto &Event) {
    return Event.Change == endpoint_change::drained &&
           Event.Cause == endpoint_cause::zone_out;
  }));
  Config.Revision = {1}; // an older revision
  Config.ZonesOut = {};
  Fixture.step(config_changed{Config});
  CHECK(Fixture.reasonOf(Fixture.submitRequest()) == refusal::zone_out);
}

TEST_CASE("a request that cannot meet its deadline is refused immediately",
          "[owner]") {
  owner_fixture Fixture(1);
  Fixture.grantAllLeases();
  Fixture.warmUp();
  Fixture.submitRequest({100});
  for (int I = 0; I < 4; ++I)
    Fixture.submitRequest({100});
  const sub_id Unmeetable = Fixture.submitRequest({8});
  CHECK(Fixture.reasonOf(Unmeetable) == refusal::deadline_unmeetable);
  CHECK(Fixture.replyTo(Unmeetable)->Outcome == outcome::not_run);
  CHECK(Fixture.replyTo(Unmeetable)->RetryAfter > millis{0});
}

TEST_CASE("a queued request is refused once it cannot meet its deadline",
          "[owner]") {
  owner_fixture Fixture(1);
  Fixture.grantAllLeases();
  Fixture.warmUp();
  Fixture.submitRequest({200});
  const sub_id Waiting = Fixture.submitRequest({30});
  CHECK_FALSE(Fixture.replyTo(Waiting));
  Fixture.advance({25.5});
  CHECK(Fixture.reasonOf(Waiting) == refusal::deadline_unmeetable);
}

TEST_CASE("a timed-out request occupies its slot until it can no longer run",
          "[owner]") {
  owner_fixture Fixture(1);
  Fixture.grantAllLeases();
  Fixture.warmUp();
  const sub_id Lost = Fixture.submitRequest({20});
  Fixture.advance({20.5});
  CHECK(Fixture.replyTo(Lost)->Outcome == outcome::unknown);
  CHECK(Fixture.actionsOf<cancel_at_endpoint>().size() == 1);
  Fixture.submitRequest({200});
  CHECK(Fixture.sendCount() == 1);
  Fixture.advance({50});
  CHECK(Fixture.sendCount() == 2);
}

TEST_CASE(
    "a command whose connection is lost has an unknown outcome, without resend",
    "[owner]") {
  owner_fixture Fixture;
  Fixture.grantAllLeases();
  const sub_id Command = Fixture.submitRequest({100}, 1, true);
  Fixture.reply(Command, reply_kind::connection_lost);
  CHECK(Fixture.replyTo(Command)->Outcome == outcome::unknown);
  CHECK(Fixture.sendCount() == 1);
}

TEST_CASE(
    "a cancel refuses queued requests and is forwarded for those in flight",
    "[owner]") {
  owner_fixture Fixture(1);
  Fixture.grantAllLeases();
  const sub_id Running = Fixture.submitRequest();
  const sub_id Waiting = Fixture.submitRequest();
  Fixture.step(
      cancel_arrived{Fixture.Sender, Fixture.Incarnation, {Running, Waiting}});
  CHECK(Fixture.reasonOf(Waiting) == refusal::cancelled);
  CHECK(Fixture.actionsOf<cancel_at_endpoint>().size() == 1);
  Fixture.submitRequest();
  CHECK(Fixture.sendCount() == 1); // the slot is still occupied
  Fixture.reply(Running, reply_kind::cancelled);
  CHECK(Fixture.replyTo(Running)->Outcome == outcome::not_run);
  CHECK(Fixture.sendCount() == 2);
}

TEST_CASE("a reply from another snapshot is not an answer", "[owner]") {
  owner_fixture Fixture;
  Fixture.grantAllLeases();
  const sub_id Sub = Fixture.submitRequest();
  reply_headers Headers;
  Headers.Snapshot = {8};
  Fixture.reply(Sub, reply_kind::answered, Headers);
  CHECK(Fixture.replyTo(Sub)->Outcome == outcome::unknown);
  CHECK(Fixture.reasonOf(Sub) == refusal::wrong_snapshot);
  CHECK_FALSE(Fixture.replyTo(Sub)->Body);
}

TEST_CASE(
    "a stopping owner completes its requests, then reports that it is drained",
    "[owner]") {
  owner_fixture Fixture;
  Fixture.grantAllLeases();
  const sub_id Running = Fixture.submitRequest();
  const sub_id Waiting = Fixture.submitRequest();
  Fixture.step(stop_requested{});
  CHECK(Fixture.reasonOf(Fixture.submitRequest()) == refusal::draining);
  CHECK(Fixture.actionsOf<owner_drained>().empty());
  Fixture.reply(Running);
  Fixture.reply(Waiting);
  CHECK(Fixture.replyTo(Waiting)->Outcome == outcome::answered);
  CHECK(Fixture.actionsOf<owner_drained>().size() == 1);
}

TEST_CASE(
    "a timeout of a request sent just before its deadline is no slow reply",
    "[owner]") {
  owner_fixture Fixture(1);
  Fixture.grantAllLeases();
  Fixture.warmUp();
  for (int I = 0; I < 5; ++I) {
    const sub_id Short = Fixture.submitRequest({6});
    Fixture.advance({6});
    Fixture.reply(Short, reply_kind::expired_running);
  }
  for (const endpoint_event &Event : Fixture.actionsOf<endpoint_event>())
    CHECK(Event.Change != endpoint_change::turned_cold);
}
