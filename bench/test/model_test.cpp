#include "endpoint/model.h"

#include <catch2/catch.hpp>
#include <numeric>

using namespace bulrush;
using namespace bulrush::bench;

namespace {

endpoint_behaviour constantServiceTime() {
  endpoint_behaviour B;
  B.MeanService = millis{10};
  B.Sigma = 0;
  B.RampRequests = 3;
  B.RampTime = millis{100'000};
  return B;
}

std::string nameOf(exchange_id Exchange) {
  return std::to_string(Exchange.Value);
}

/// A model that holds shard 0 of snapshot 1, with a simulated clock.
struct fixture {
  endpoint_model Model;
  instant Now{1000};
  std::uint64_t Next = 1;
  std::vector<action> Out;

  explicit fixture(const endpoint_behaviour &B = constantServiceTime())
      : Model(B, 7, instant{1000}) {
    step(set_snapshots{{{snapshot_id{1}, 1, {shard_id{0}}}}});
  }
  void step(const event &E) { Model.step(E, Now, Out); }
  exchange_id send(millis Remaining = millis{500}, const std::string &Key = "",
                   snapshot_id Snapshot = snapshot_id{1}) {
    const exchange_id Exchange{Next++};
    step(request_arrived{Exchange, nameOf(Exchange), 0, !Key.empty(), Key,
                         Snapshot, shard_id{0}, Remaining});
    return Exchange;
  }
  void runFor(millis D) {
    const instant End = Now + D;
    while (Model.nextTimer() <= End) {
      Now = Model.nextTimer();
      step(timer_expired{});
    }
    Now = End;
  }
  void warmUp() {
    while (Model.state() != run_state::warm) {
      send();
      runFor(millis{20});
    }
    Out.clear();
  }
  const send_reply *replyTo(exchange_id Exchange) const {
    for (const action &A : Out)
      if (const auto *R = std::get_if<send_reply>(&A))
        if (R->Exchange == Exchange)
          return R;
    return nullptr;
  }
  template <class Action> std::size_t count() const {
    std::size_t N = 0;
    for (const action &A : Out)
      N += std::holds_alternative<Action>(A) ? 1 : 0;
    return N;
  }
};

} // namespace

TEST_CASE("the capacity of a cold endpoint grows as it serves requests") {
  fixture F;
  CHECK(F.Model.state() == run_state::cold);
  CHECK(F.Model.capacity() == 1);
  for (int I = 0; I < 3; ++I) {
    const exchange_id E = F.send();
    F.runFor(millis{15});
    REQUIRE(F.replyTo(E));
    CHECK(F.replyTo(E)->Outcome == outcome::answered);
  }
  CHECK(F.Model.state() == run_state::warm);
  CHECK(F.Model.capacity() == 2);
  CHECK(F.Model.record().ColdBreaches == 0);
  CHECK(F.Model.record().ColdPeriods.back().Warm ==
        instant{1000 + 15 + 15 + 10});
}

TEST_CASE("a cold endpoint crashes under requests above its capacity") {
  fixture F;
  F.runFor(millis{100});
  const exchange_id First = F.send();
  F.send();
  CHECK(F.Model.record().ColdBreaches == 1);
  CHECK(F.Model.record().Crashes == 1);
  CHECK(F.count<reset_connections>() == 1);
  CHECK(F.Model.state() == run_state::down);
  F.runFor(millis{600});
  CHECK_FALSE(F.replyTo(First));
  CHECK(F.Model.state() == run_state::cold);
  CHECK(F.Model.health(F.Now).Generation == 2);
  CHECK(F.Model.record().ColdPeriods.back().RampRequests == 6);
}

TEST_CASE("excess is shed and counted separately before cold is detectable") {
  fixture F;
  F.warmUp();
  F.step(turn_cold{});
  F.send();
  const exchange_id Excess = F.send();
  REQUIRE(F.replyTo(Excess));
  CHECK(F.replyTo(Excess)->Reason == reply_reason::shed);
  CHECK(F.replyTo(Excess)->Generation == 2);
  CHECK(F.Model.record().ExcessBeforeDetectable == 1);
  F.runFor(millis{6});
  F.send();
  CHECK(F.Model.record().ColdBreaches == 1);
}

TEST_CASE("a warm endpoint sheds requests above its slots") {
  fixture F;
  F.warmUp();
  const exchange_id A = F.send();
  const exchange_id B = F.send();
  const exchange_id C = F.send();
  REQUIRE(F.replyTo(C));
  CHECK(F.replyTo(C)->Outcome == outcome::not_run);
  CHECK(F.replyTo(C)->RetryAfter > millis{0});
  F.runFor(millis{10});
  CHECK(F.replyTo(A));
  CHECK(F.replyTo(B));
  CHECK(F.Model.record().MaxInFlight == 2);
  CHECK(F.Model.record().Requests.Shed == 1);
}

TEST_CASE("deadlines, cancels, drains and missing snapshots end a request") {
  fixture F;
  F.warmUp();
  const exchange_id Expired = F.send(millis{0});
  CHECK(F.replyTo(Expired)->Outcome == outcome::not_run);
  CHECK(F.replyTo(Expired)->Reason == reply_reason::expired);

  const exchange_id Cut = F.send(millis{4});
  F.runFor(millis{4});
  CHECK(F.replyTo(Cut)->Outcome == outcome::unknown);

  const exchange_id Missing = F.send(millis{50}, "", snapshot_id{2});
  CHECK(F.replyTo(Missing)->Reason == reply_reason::snapshot_missing);

  const exchange_id Cancelled = F.send();
  F.step(cancel_arrived{nameOf(Cancelled)});
  CHECK(F.replyTo(Cancelled)->Reason == reply_reason::cancelled);
  CHECK(F.Model.inFlight() == 0);

  const exchange_id InFlight = F.send();
  F.step(set_draining{true});
  const exchange_id Late = F.send();
  CHECK(F.replyTo(Late)->Reason == reply_reason::draining);
  F.runFor(millis{10});
  CHECK(F.replyTo(InFlight)->Outcome == outcome::answered);
}

TEST_CASE("a command runs to completion and is counted by its key") {
  fixture F;
  F.warmUp();
  const exchange_id Command = F.send(millis{1}, "key");
  F.step(cancel_arrived{nameOf(Command)});
  F.runFor(millis{20});
  CHECK(F.replyTo(Command)->Outcome == outcome::answered);
  F.send(millis{50}, "key");
  CHECK(F.Model.record().RunsByKey.at("key") == 2);
}

TEST_CASE("lost replies are never sent and late replies are delayed") {
  auto B = constantServiceTime();
  B.LostReplyShare = 1;
  fixture Lost(B);
  const exchange_id E = Lost.send();
  Lost.runFor(millis{1000});
  CHECK_FALSE(Lost.replyTo(E));
  CHECK(Lost.Model.inFlight() == 0);

  B.LostReplyShare = 0;
  B.LateReplyShare = 1;
  fixture Late(B);
  const exchange_id L = Late.send();
  Late.runFor(millis{50});
  CHECK_FALSE(Late.replyTo(L));
  Late.runFor(millis{200});
  CHECK(Late.replyTo(L));
}

TEST_CASE("connections above the limit are refused, others are delayed") {
  auto B = constantServiceTime();
  B.Connections = 2;
  fixture F(B);
  for (std::uint64_t I = 1; I <= 3; ++I)
    F.step(connection_opened{connection_id{I}});
  CHECK(F.count<serve_connection>() == 2);
  CHECK(F.count<refuse_connection>() == 1);
  CHECK(F.Model.record().ConnectionsRefused == 1);
  F.step(connection_closed{connection_id{1}});
  F.step(connection_opened{connection_id{4}});
  CHECK(F.count<serve_connection>() == 3);
}

TEST_CASE("health reports lag and are false as configured") {
  auto B = constantServiceTime();
  B.HealthLag = millis{300};
  fixture F(B);
  F.warmUp();
  F.runFor(millis{400});
  CHECK(F.Model.health(F.Now).RunState == run_state::warm);
  F.step(turn_cold{});
  CHECK(F.Model.health(F.Now).RunState == run_state::warm);
  F.runFor(millis{300});
  CHECK(F.Model.health(F.Now).RunState == run_state::cold);
  B.HealthAlwaysWarm = true;
  F.step(set_behaviour{B});
  F.runFor(millis{300});
  CHECK(F.Model.health(F.Now).RunState == run_state::warm);
}

TEST_CASE("service times follow the mean, the stragglers and the seed") {
  auto B = constantServiceTime();
  B.Sigma = 0.5;
  B.Slots = 1;
  B.StragglerShare = 0.01;
  B.StragglerFactor = 20;
  const auto Draw = [&](std::uint64_t Seed) {
    endpoint_model Model(B, Seed, instant{0});
    std::vector<action> Out;
    Model.step(set_snapshots{{{snapshot_id{1}, 1, {shard_id{0}}}}}, instant{0},
               Out);
    for (std::uint64_t I = 0; I < 20'000; ++I) {
      Model.step(request_arrived{exchange_id{I}, std::to_string(I), 0, false,
                                 "", snapshot_id{1}, shard_id{0}, millis{1e6}},
                 instant{0}, Out);
      Model.step(cancel_arrived{std::to_string(I)}, instant{0}, Out);
    }
    return Model.record().ServiceTimes;
  };
  const auto Times = Draw(1);
  CHECK(Times == Draw(1));
  CHECK(Times != Draw(2));
  const double Mean =
      std::accumulate(Times.begin(), Times.end(), 0.0) / Times.size();
  CHECK(Mean == Approx(10 * (1 + 0.01 * 19)).epsilon(0.05));
}

TEST_CASE("an endpoint that was down restarts cold") {
  fixture F;
  F.warmUp();
  const exchange_id Lost = F.send();
  F.step(take_down{millis{200}});
  F.step(connection_opened{connection_id{9}});
  CHECK(F.count<reset_connections>() == 1);
  CHECK(F.count<refuse_connection>() == 1);
  F.runFor(millis{200});
  CHECK_FALSE(F.replyTo(Lost));
  CHECK(F.Model.state() == run_state::cold);
  CHECK(F.Model.record().ColdPeriods.back().RampRequests == 3);
}

TEST_CASE("resetting the record keeps the current cold period") {
  fixture F;
  F.send();
  F.step(reset_record{});
  CHECK(F.Model.record().Requests.Arrived == 0);
  CHECK(F.Model.record().ColdPeriods.size() == 1);
  F.warmUp();
  F.step(reset_record{});
  CHECK(F.Model.record().ColdPeriods.empty());
  F.step(reset_record{});
  CHECK(F.Model.record().ColdPeriods.empty());
}
