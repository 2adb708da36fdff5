// What this build and level 0 (6a40b21) make of each other's messages, log
// entries and snapshots. The fixtures are as 6a40b21 encodes them; see
// fixtures/level0/write_fixtures.cpp.
#include "control/build_level.h"
#include "fixtures/level0/samples.h"
#include "wire/generated/fleet.pb.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <google/protobuf/descriptor.pb.h>
#include <google/protobuf/dynamic_message.h>
#include <iterator>

using namespace bulrush;
using namespace bulrush::level0;

namespace {

std::string readFile(const std::string &Name) {
  const char *Source = std::getenv("BULRUSH_SOURCE");
  const std::string Path =
      std::string(Source ? Source : ".") + "/test/fixtures/level0/" + Name;
  std::ifstream In(Path, std::ios::binary);
  INFO(Path);
  REQUIRE(In);
  return {std::istreambuf_iterator<char>(In), {}};
}

std::string fixture(const std::string &Name) {
  std::string Out;
  int High = -1;
  for (const char Each : readFile(Name + ".hex")) {
    if (Each == '\n')
      continue;
    const int Digit = Each <= '9' ? Each - '0' : Each - 'a' + 10;
    if (High >= 0)
      Out += static_cast<char>(High * 16 + Digit);
    High = High >= 0 ? -1 : Digit;
  }
  return Out;
}

/// Decodes as this build does and encodes the result again.
std::string encodedAgain(const sample &Sample, const std::string &Bytes) {
  if (std::holds_alternative<fleet::fleet_message>(Sample.Value)) {
    const auto Got = wire::decodeFleet(Bytes);
    return Got ? wire::encode(*Got) : "error: " + Got.error().Message;
  }
  if (std::holds_alternative<control::registry_command>(Sample.Value)) {
    const auto Got = wire::decodeRegistryCommand(Bytes);
    return Got ? wire::encode(*Got) : "error: " + Got.error().Message;
  }
  const auto Got = wire::decodeRegistryState(Bytes);
  return Got ? wire::encode(*Got) : "error: " + Got.error().Message;
}

const char *messageName(const sample &Sample) {
  if (std::holds_alternative<fleet::fleet_message>(Sample.Value))
    return "bulrush.wire.FleetMessage";
  if (std::holds_alternative<control::registry_command>(Sample.Value))
    return "bulrush.wire.RegistryCommand";
  return "bulrush.wire.RegistrySnapshot";
}

/// Reads bytes by the .proto files of 6a40b21.
class old_reader {
public:
  old_reader() {
    google::protobuf::FileDescriptorSet Files;
    REQUIRE(Files.ParseFromString(readFile("descriptors.bin")));
    for (const auto &File : Files.file())
      REQUIRE(Pool.BuildFile(File));
  }

  /// Returns what 6a40b21 takes from the bytes: they are encoded again without
  /// the fields that it does not know.
  std::string understood(const char *Type, const std::string &Bytes) {
    const auto *Descriptor = Pool.FindMessageTypeByName(Type);
    REQUIRE(Descriptor);
    const std::unique_ptr<google::protobuf::Message> In(
        Factory.GetPrototype(Descriptor)->New());
    REQUIRE(In->ParseFromString(Bytes));
    In->DiscardUnknownFields();
    return In->SerializeAsString();
  }

private:
  google::protobuf::DescriptorPool Pool;
  google::protobuf::DynamicMessageFactory Factory{&Pool};
};

/// Sets the level in each message that announces one.
void announceLevel(sample &Sample) {
  auto *Message = std::get_if<fleet::fleet_message>(&Sample.Value);
  if (!Message)
    return;
  if (auto *Voter = std::get_if<control::message>(Message))
    Voter->Level = control::BuildLevel;
  if (auto *Subscribe = std::get_if<fleet::subscribe>(Message))
    Subscribe->Level = control::BuildLevel;
  if (auto *State = std::get_if<fleet::fleet_state>(Message))
    State->Level = control::BuildLevel;
}

} // namespace

TEST_CASE("this build reads what level 0 encodes", "[wire][builds]") {
  // Guards against a changed field number, type or meaning: a voter would read
  // another state from its own log, or relays other requests.
  for (const sample &Each : samples()) {
    INFO(Each.Name);
    const std::string Bytes = fixture(Each.Name);
    CHECK(encodedAgain(Each, Bytes) == encoded(Each));
    CHECK(encodedAgain(Each, Bytes) == Bytes);
  }
}

TEST_CASE("what this build sends without new content is what level 0 sends",
          "[wire][builds]") {
  // Guards against new fields in messages and entries that need none, which an
  // old voter or relay could misread.
  for (const sample &Each : samples()) {
    INFO(Each.Name);
    CHECK(encoded(Each) == fixture(Each.Name));
  }
}

TEST_CASE("level 0 reads the same from a message that announces a level",
          "[wire][builds]") {
  // Guards against an announcement that takes the place of an old field.
  old_reader Reader;
  for (sample &Each : samples()) {
    INFO(Each.Name);
    announceLevel(Each);
    CHECK(Reader.understood(messageName(Each), encoded(Each)) ==
          fixture(Each.Name));
  }
}

TEST_CASE("level 0 reads and echoes the large ids of shard requests",
          "[wire][builds]") {
  // Guards against a relay of level 0 that replies to another id than this
  // build sent: ids no longer start at 1.
  constexpr relay::shard_request_id Id{0xfedcba9876543210};
  old_reader Reader;
  relay::shard_request Request;
  Request.Id = Id;
  Request.Content = std::make_shared<const relay::opaque_request>();
  const std::string Understood = Reader.understood(
      "bulrush.wire.FleetMessage", wire::encode(fleet::fleet_message(Request)));
  const auto Read = wire::decodeFleet(Understood);
  REQUIRE(Read);
  CHECK(std::get<relay::shard_request>(*Read).Id == Id);
  relay::shard_reply Reply;
  Reply.ShardRequest = Id;
  const std::string Bytes = wire::encode(fleet::fleet_message(Reply));
  CHECK(Reader.understood("bulrush.wire.FleetMessage", Bytes) == Bytes);
}

TEST_CASE("level 0 reads a request to join without what this build adds",
          "[wire][builds]") {
  // Guards against an old seed that takes the request for the acknowledgement
  // on which it forms a group by itself.
  old_reader Reader;
  control::message Sent{{1}, {2}, {0}, {4}, {5}, {6}, {7}, {}};
  Sent.Body = control::join_request{
      control::NoVoter, control::bootstrap_record{true, true, {{vm_id{3}}, 5}},
      control::voter_id{8}};
  const auto Read = wire::decodeFleet(Reader.understood(
      "bulrush.wire.FleetMessage", wire::encode(fleet::fleet_message(Sent))));
  REQUIRE(Read);
  const auto &Body =
      std::get<control::join_request>(std::get<control::message>(*Read).Body);
  CHECK(Body.Seen == control::NoVoter);
  CHECK_FALSE(Body.Record);
}

TEST_CASE("level 0 refuses the messages of the agreement on the first group",
          "[wire][builds]") {
  // Guards against an old voter that takes one for a message that it knows.
  old_reader Reader;
  control::message Sent{{1}, {2}, {3}, {4}, {5}, {6}, {7}, {}};
  for (const control::message_body &Body :
       {control::message_body(control::bootstrap_prepare{}),
        control::message_body(control::bootstrap_promise{}),
        control::message_body(control::bootstrap_accept{}),
        control::message_body(control::bootstrap_accepted{}),
        control::message_body(control::bootstrap_chosen{})}) {
    Sent.Body = Body;
    CHECK_FALSE(wire::decodeFleet(
        Reader.understood("bulrush.wire.FleetMessage",
                          wire::encode(fleet::fleet_message(Sent)))));
  }
}

TEST_CASE("level 0 ignores the entry that raises the level", "[wire][builds]") {
  // Guards against a voter that has gone back to level 0 and reads the entry as
  // one that changes its state. It reads an empty command as the catalog of
  // version 0, which it ignores.
  old_reader Reader;
  const std::string Bytes = wire::encode(
      control::registry_command(control::raise_level{control::BuildLevel}));
  CHECK(Reader.understood("bulrush.wire.RegistryCommand", Bytes).empty());
}

TEST_CASE("level 0 reads a snapshot of this build as its own",
          "[wire][builds]") {
  // Guards against a return to level 0 that loses configuration or zones.
  old_reader Reader;
  for (sample &Each : samples()) {
    auto *State = std::get_if<control::registry_state>(&Each.Value);
    if (!State)
      continue;
    INFO(Each.Name);
    State->Level = control::BuildLevel;
    CHECK(Reader.understood(messageName(Each), wire::encode(*State)) ==
          fixture(Each.Name));
  }
}

TEST_CASE("this build reads and writes the data folder of level 0",
          "[wire][builds]") {
  // Guards against a voter that cannot open its folder after a replacement in
  // either direction.
  for (const auto &[Name, Bytes] : folderRecords()) {
    INFO(Name);
    CHECK(fixture(Name) == Bytes);
  }
  const auto Batch = store::decodeBatch(fixture("folder_batch"));
  REQUIRE(Batch);
  REQUIRE(Batch->Entries.size() == 2);
  const auto Command = wire::decodeRegistryCommand(*Batch->Entries[0].Payload);
  REQUIRE(Command);
  CHECK(std::get<control::set_zone>(*Command).Zone == "linz");
  CHECK(store::decodeHeader(fixture("folder_first_record")));
  const auto Snapshot = store::decodeSnapshot(fixture("folder_snapshot"));
  REQUIRE(Snapshot);
  const auto State = wire::decodeRegistryState(*Snapshot->Bytes);
  REQUIRE(State);
  CHECK(State->ZonesOut == std::set<std::string>{"linz"});
  CHECK(State->Level == 0);
}
