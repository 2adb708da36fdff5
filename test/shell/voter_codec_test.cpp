#include "wire/generated/voter.pb.h"
#include "wire/voter_codec.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::control;

namespace {

/// Returns one message body of each type; every field that is not repeated
/// differs from its default.
std::vector<message_body> sampleBodies() {
  append_request Append{{4}, {2}, {}, {3}, {12.5}, {}};
  Append.Entries.push_back(
      {{5}, {2}, entry_kind::command, shareBytes(std::string("a\0b", 3))});
  Append.Entries.push_back({{6}, {3}, entry_kind::noop, shareBytes({})});
  Append.Held.push_back({{71}, {72}, {73}, {74}});
  const voter_group Group{
      {{{7}, {1}, member_role::voter}, {{9}, {2}, member_role::learner}}};
  const std::string Bytes = "chunk";
  std::vector<message_body> Bodies{
      vote_request{true, true, {5}, {6}},
      vote_reply{true, true},
      Append,
      append_reply{true, {5}, {4}, {7.5}},
      snapshot_chunk{{8}, {9}, Group, 10, 11, 12, Bytes, {13.5}},
      snapshot_reply{{8}, 15, true, {16.5}},
      timeout_now{},
      check_in{},
      check_in_reply{{18}},
      identity_refused{{19}}};
  electorate Electorate;
  Electorate.Seeds.push_back({31});
  Electorate.Seeds.push_back({32});
  Electorate.FleetSize = 5;
  const bootstrap_record Record{true,       true,       Electorate,
                                {33, {34}}, {35, {36}}, Group};
  Bodies.emplace_back(join_request{{17}, Record, {37}});
  Bodies.emplace_back(bootstrap_prepare{{41, {42}}, Electorate});
  Bodies.emplace_back(bootstrap_promise{{41, {42}}, {45, {46}}, Group});
  Bodies.emplace_back(bootstrap_accept{{41, {42}}, Electorate, Group});
  Bodies.emplace_back(bootstrap_accepted{{41, {42}}});
  Bodies.emplace_back(bootstrap_chosen{Group});
  return Bodies;
}

std::string bytesOf(const message &Message) {
  wire::VoterMessage Out;
  wire::toProto(Message, Out);
  return Out.SerializeAsString();
}

} // namespace

TEST_CASE("every type of voter message survives encoding and decoding",
          "[wire]") {
  REQUIRE(sampleBodies().size() == std::variant_size_v<message_body>);
  for (const message_body &Body : sampleBodies()) {
    const message Sent{{21}, {22}, {23}, {24}, {25}, {26}, {27}, Body};
    wire::VoterMessage Wire;
    REQUIRE(Wire.ParseFromString(bytesOf(Sent)));
    const auto Got = wire::fromProto(Wire);
    REQUIRE(Got);
    CHECK(Got->Body.index() == Body.index());
    CHECK(Got->LastIndex == Sent.LastIndex);
    CHECK(Got->LastTerm == Sent.LastTerm);
    CHECK(bytesOf(*Got) == bytesOf(Sent));
  }
}

TEST_CASE("held positions and entries survive encoding and decoding",
          "[wire]") {
  const message Sent{{1}, {2}, {3}, {4}, {5}, {6}, {7}, sampleBodies()[2]};
  wire::VoterMessage Wire;
  wire::toProto(Sent, Wire);
  const auto Got = wire::fromProto(Wire);
  REQUIRE(Got);
  CHECK(std::get<append_request>(Got->Body).Held ==
        std::get<append_request>(Sent.Body).Held);
  CHECK(std::get<append_request>(Got->Body).Entries ==
        std::get<append_request>(Sent.Body).Entries);
}

// Guards against a promise or a group that another machine reads differently.
TEST_CASE("a bootstrap record survives encoding and decoding", "[wire]") {
  for (const message_body &Body : sampleBodies()) {
    const auto *Sent = std::get_if<join_request>(&Body);
    if (!Sent)
      continue;
    wire::VoterMessage Wire;
    wire::toProto({{1}, {2}, {3}, {4}, {5}, {6}, {7}, Body}, Wire);
    const auto Got = wire::fromProto(Wire);
    REQUIRE(Got);
    CHECK(std::get<join_request>(Got->Body).Record == Sent->Record);
    CHECK(std::get<join_request>(Got->Body).Receiver == Sent->Receiver);
  }
}

TEST_CASE("a voter message of unknown type is rejected", "[wire]") {
  CHECK_FALSE(wire::fromProto(wire::VoterMessage{}));
  wire::VoterMessage Wire;
  Wire.mutable_append_request()->add_entries()->set_kind(99);
  CHECK_FALSE(wire::fromProto(Wire));
}
