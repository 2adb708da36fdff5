#include "owner_fixture.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::query;

TEST_CASE("an owner sends, and hands the answer back", "[owner]") {
  owner_fixture Given;
  Given.grantAll();
  const sub_id Sub = Given.request();
  REQUIRE(Given.sends() == 1);
  Given.answer(Sub);
  REQUIRE(Given.replyTo(Sub));
  CHECK(Given.replyTo(Sub)->Outcome == outcome::answered);
  CHECK(*Given.replyTo(Sub)->Body == "body");
  CHECK(Given.Owner->pending() == 0);
}

TEST_CASE("an unknown endpoint gets one request at a time, then two",
          "[owner]") {
  owner_settings Settings;
  Settings.RampReplies = 1;
  owner_fixture Given(3, Settings);
  Given.grantAll();
  const sub_id First = Given.request();
  Given.request();
  Given.request();
  Given.request();
  CHECK(Given.sends() == 1);
  Given.answer(First);
  CHECK(Given.sends() == 3); // two slots are open now
}

TEST_CASE("a warm endpoint never has more in flight than its slots",
          "[owner]") {
  owner_fixture Given(2);
  Given.grantAll();
  Given.warm();
  for (int I = 0; I < 5; ++I)
    Given.request();
  CHECK(Given.sends() == 2);
}

TEST_CASE("nothing is sent while an earlier owner's work may run", "[owner]") {
  owner_fixture Given;
  Given.grantAll({1e6}, {40});
  Given.request();
  Given.advance({39});
  CHECK(Given.sends() == 0);
  Given.advance({1.1});
  CHECK(Given.sends() == 1);
}

TEST_CASE("a lease that ran out stops sending and refuses what waits",
          "[owner]") {
  owner_fixture Given;
  Given.grantAll({50});
  const sub_id Running = Given.request();
  const sub_id Waiting = Given.request();
  Given.advance({51});
  CHECK(Given.reasonOf(Waiting) == refusal::lease_lost);
  CHECK_FALSE(Given.replyTo(Running));
  const sub_id Late = Given.request();
  CHECK(Given.reasonOf(Late) == refusal::lease_lost);
  CHECK(Given.sends() == 1);
  Given.answer(Running);
  CHECK(Given.replyTo(Running)->Outcome == outcome::answered);
}

TEST_CASE("a zone taken out: the queue is refused, work in flight ends",
          "[owner]") {
  owner_fixture Given;
  Given.grantAll();
  const sub_id Running = Given.request();
  const sub_id Waiting = Given.request();
  fleet_config Config;
  Config.Revision = {2};
  Config.ZonesOut = {zone_id{0}};
  Given.step(config_changed{Config});
  CHECK(Given.reasonOf(Waiting) == refusal::zone_out);
  Given.answer(Running);
  CHECK(Given.replyTo(Running)->Outcome == outcome::answered);
  const auto Events = Given.all<endpoint_event>();
  CHECK(std::any_of(Events.begin(), Events.end(), [](const auto &Event) {
    return Event.Change == endpoint_change::drained &&
           Event.Cause == endpoint_cause::zone_out;
  }));
  Config.Revision = {1}; // an older revision
  Config.ZonesOut = {};
  Given.step(config_changed{Config});
  CHECK(Given.reasonOf(Given.request()) == refusal::zone_out);
}

TEST_CASE("a request that cannot make its deadline is refused at once",
          "[owner]") {
  owner_fixture Given(1);
  Given.grantAll();
  Given.warm();
  Given.request({100});
  for (int I = 0; I < 4; ++I)
    Given.request({100});
  const sub_id Hopeless = Given.request({8});
  CHECK(Given.reasonOf(Hopeless) == refusal::deadline_unmeetable);
  CHECK(Given.replyTo(Hopeless)->Outcome == outcome::not_run);
  CHECK(Given.replyTo(Hopeless)->RetryAfter > millis{0});
}

TEST_CASE("waiting work is refused as soon as it is too late", "[owner]") {
  owner_fixture Given(1);
  Given.grantAll();
  Given.warm();
  Given.request({200});
  const sub_id Waiting = Given.request({30});
  CHECK_FALSE(Given.replyTo(Waiting));
  Given.advance({25.5});
  CHECK(Given.reasonOf(Waiting) == refusal::deadline_unmeetable);
}

TEST_CASE("a timed-out request keeps its slot until it cannot run any more",
          "[owner]") {
  owner_fixture Given(1);
  Given.grantAll();
  Given.warm();
  const sub_id Lost = Given.request({20});
  Given.advance({20.5});
  CHECK(Given.replyTo(Lost)->Outcome == outcome::unknown);
  CHECK(Given.all<cancel_at_endpoint>().size() == 1);
  Given.request({200});
  CHECK(Given.sends() == 1);
  Given.advance({50});
  CHECK(Given.sends() == 2);
}

TEST_CASE("a lost connection leaves a command unknown and is never resent",
          "[owner]") {
  owner_fixture Given;
  Given.grantAll();
  const sub_id Command = Given.request({100}, 1, true);
  Given.answer(Command, reply_kind::connection_lost);
  CHECK(Given.replyTo(Command)->Outcome == outcome::unknown);
  CHECK(Given.sends() == 1);
}

TEST_CASE("cancels: waiting work is not run, work in flight is told",
          "[owner]") {
  owner_fixture Given(1);
  Given.grantAll();
  const sub_id Running = Given.request();
  const sub_id Waiting = Given.request();
  Given.step(cancel_arrived{Given.Sender, Given.Life, {Running, Waiting}});
  CHECK(Given.reasonOf(Waiting) == refusal::cancelled);
  CHECK(Given.all<cancel_at_endpoint>().size() == 1);
  Given.request();
  CHECK(Given.sends() == 1); // the slot is still taken
  Given.answer(Running, reply_kind::cancelled);
  CHECK(Given.replyTo(Running)->Outcome == outcome::not_run);
  CHECK(Given.sends() == 2);
}

TEST_CASE("a reply from another snapshot is no answer", "[owner]") {
  owner_fixture Given;
  Given.grantAll();
  const sub_id Sub = Given.request();
  reply_headers Headers;
  Headers.Snapshot = {8};
  Given.answer(Sub, reply_kind::answered, Headers);
  CHECK(Given.replyTo(Sub)->Outcome == outcome::unknown);
  CHECK(Given.reasonOf(Sub) == refusal::wrong_snapshot);
  CHECK_FALSE(Given.replyTo(Sub)->Body);
}

TEST_CASE("a stopping owner finishes its work and says so", "[owner]") {
  owner_fixture Given;
  Given.grantAll();
  const sub_id Running = Given.request();
  const sub_id Waiting = Given.request();
  Given.step(stop_requested{});
  CHECK(Given.reasonOf(Given.request()) == refusal::draining);
  CHECK(Given.all<owner_drained>().empty());
  Given.answer(Running);
  Given.answer(Waiting);
  CHECK(Given.replyTo(Waiting)->Outcome == outcome::answered);
  CHECK(Given.all<owner_drained>().size() == 1);
}

TEST_CASE("a request that was sent just before its deadline is no slow one",
          "[owner]") {
  owner_fixture Given(1);
  Given.grantAll();
  Given.warm();
  for (int I = 0; I < 5; ++I) {
    const sub_id Short = Given.request({6});
    Given.advance({6});
    Given.answer(Short, reply_kind::expired_running);
  }
  for (const endpoint_event &Event : Given.all<endpoint_event>())
    CHECK(Event.Change != endpoint_change::turned_cold);
}
