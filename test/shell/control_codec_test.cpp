#include "small_deployment.h"
#include "wire/control_codec.h"
#include "wire/daemon_codec.h"
#include "wire/generated/control.pb.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::control;

namespace {

const run_id Run{{vm_id{2}, incarnation_id{9}}, 4};
const ledger_key Key{caller_id{1}, {"1000-a"}};

put_intent quoteIntent() {
  return {{{"quote"}, "driver-app", "/q", millis{45.5}, {99}, 2.5, {4}}};
}

std::vector<change> allChanges() {
  return {quoteIntent(),
          drop_intent{{"quote"}},
          zone_out{zone_id{0}},
          zone_in{zone_id{2}},
          endpoint_leave{endpoint_id{0}},
          endpoint_return{endpoint_id{7}},
          add_voter{vm_id{0}},
          remove_voter{vm_id{3}}};
}

control_state populatedState() {
  state_machine Machine(test::smallDeployment());
  Machine.apply(operator_command{{"anna"}, {"1"}, {0}, quoteIntent(), {5}},
                {1});
  Machine.apply(assign_endpoints{{{endpoint_id{3}, Run.Daemon}}}, {2});
  Machine.apply(ledger_start{Run, Key, 77, {1000}}, {3});
  Machine.apply(ledger_finish{Run, Key, outcome::answered, {}, "body", {1001}},
                {4});
  return Machine.snapshot();
}

} // namespace

TEST_CASE("every change round-trips as a log entry and as a plan id") {
  for (const change &Change : allChanges()) {
    INFO(describe(Change));
    const command Command =
        operator_command{{"anna"}, {"c-1"}, {7}, Change, {1234}};
    const auto Decoded = wire::decodeCommand(wire::encode(Command));
    REQUIRE(Decoded);
    CHECK(*Decoded == Command);
    const plan Plan{{"anna"}, {"c-1"}, {7}, Change};
    const auto Parsed = wire::parsePlanId(wire::planId(Plan));
    REQUIRE(Parsed);
    CHECK(*Parsed == Plan);
  }
}

TEST_CASE("a plan id with a wrong character is rejected") {
  const std::string Good = wire::planId({{"a"}, {"b"}, {1}, quoteIntent()});
  for (std::size_t Index = 0; Index + 1 < Good.size(); ++Index) {
    std::string Bad = Good;
    Bad[Index] = Bad[Index] == 'A' ? 'B' : 'A';
    CHECK_FALSE(wire::parsePlanId(Bad));
  }
  CHECK_FALSE(wire::parsePlanId(""));
  CHECK_FALSE(wire::parsePlanId("no plan!"));
}

TEST_CASE(
    "the state round-trips as a snapshot, and invalid bytes are rejected") {
  const control_state State = populatedState();
  const auto Decoded = wire::decodeState(wire::encode(State));
  REQUIRE(Decoded);
  CHECK(*Decoded == State);
  CHECK_FALSE(wire::decodeState("\xff\xff\xff"));
  CHECK_FALSE(wire::decodeCommand("\xff"));
  CHECK_FALSE(wire::decodeCommand(""));
}

TEST_CASE("heartbeats and replies round-trip") {
  const heartbeat Heartbeat{5, {6}, 7, {{8}, 9}, true};
  wire::Heartbeat HeartbeatMessage;
  wire::toProto(Heartbeat, HeartbeatMessage);
  CHECK(wire::fromProto(HeartbeatMessage) == Heartbeat);
  heartbeat_reply Reply{5, {8}, {2000}, {3000}, {6}, {}, {}, {{8}, 10}, {}};
  Reply.Config = config_update{{5}, allChanges(), {}, 42};
  Reply.Members = membership{9, {vm_id{1}, vm_id{2}}};
  Reply.Owned = {{endpoint_id{0}, millis{12.5}}};
  wire::HeartbeatReply ReplyMessage;
  wire::toProto(Reply, ReplyMessage);
  REQUIRE(wire::fromProto(ReplyMessage));
  CHECK(*wire::fromProto(ReplyMessage) == Reply);
  Reply.Owned.emplace();
  ReplyMessage.Clear();
  wire::toProto(Reply, ReplyMessage);
  CHECK(wire::fromProto(ReplyMessage)->Owned.has_value());
}

TEST_CASE("forwarded requests and their results round-trip") {
  const confirm_request Confirm{{{"anna"}, {"1"}, {3}, quoteIntent()}, true};
  wire::OperatorForward Forward;
  wire::toProto(forward_request{vm_id{1}, 12, Confirm}, Forward);
  const auto Request = wire::fromProto(vm_id{2}, Forward);
  REQUIRE(Request);
  CHECK(Request->From == request_origin{vm_id{2}, 12});
  const auto &Received = std::get<confirm_request>(Request->Request);
  CHECK(Received.Plan == Confirm.Plan);
  CHECK(Received.IsFirstSend);
  plan_effects Effects;
  Effects.Callers = {"driver-app"};
  Effects.Pools = {{"driver", 40, 26, true}};
  Effects.Lost = {{"driver", {shard_id{0}, shard_id{4}}}};
  Effects.Deadline = {45.5};
  wire::OperatorResult Message;
  wire::toProto(
      operator_answer{{vm_id{2}, 12}, plan_result{Confirm.Plan, Effects}},
      Message);
  const auto Result = wire::fromProto(Message);
  REQUIRE(Result);
  CHECK(Result->Ticket == 12);
  CHECK(std::get<plan_result>(Result->Result).Effects == Effects);
}
