#include "store/log_records.h"

#include <nlohmann/json.hpp>

namespace bulrush::store {

using control::entry_kind;
using control::held_position;
using control::log_entry;
using control::voter_id;
using nlohmann::json;

namespace {

json binary(const std::string &Bytes) {
  return json::binary(std::vector<std::uint8_t>(Bytes.begin(), Bytes.end()));
}

std::string pack(const json &Value) {
  std::string Out;
  json::to_msgpack(Value, Out);
  return Out;
}

json unpack(std::string_view Bytes) {
  return json::from_msgpack(Bytes.begin(), Bytes.end(), true, false);
}

bool areUnsigned(const json &List, std::size_t First, std::size_t Count) {
  if (!List.is_array() || List.size() < First + Count)
    return false;
  for (std::size_t I = First; I < First + Count; ++I)
    if (!List[I].is_number_unsigned())
      return false;
  return true;
}

std::uint64_t numberAt(const json &List, std::size_t Index) {
  return List[Index].get<std::uint64_t>();
}

control::shared_bytes readBinary(const json &Value) {
  const auto &Bytes = Value.get_binary();
  return control::shareBytes(std::string(Bytes.begin(), Bytes.end()));
}

json toJson(const log_header &Header) {
  return {Header.Voter.Value, Header.Boot.Value, Header.FileId,
          Header.SnapshotIndex.Value};
}

json toJson(const log_entry &Entry) {
  return {Entry.Index.Value, Entry.Term.Value,
          static_cast<std::uint64_t>(Entry.Kind), binary(*Entry.Payload)};
}

json toJson(const log_batch &Batch) {
  json Positions = json::array();
  for (const held_position &Position : Batch.Hard.HeldPositions)
    Positions.push_back({Position.Voter.Value, Position.Boot.Value,
                         Position.Term.Value, Position.Index.Value});
  json Entries = json::array();
  for (const log_entry &Entry : Batch.Entries)
    Entries.push_back(toJson(Entry));
  json Result = json::array();
  Result.push_back(Batch.Hard.Term.Value);
  Result.push_back(Batch.Hard.Vote.Value);
  Result.push_back(std::move(Positions));
  Result.push_back(std::move(Entries));
  return Result;
}

bool readHeldPositions(const json &List, std::vector<held_position> &Out) {
  if (!List.is_array())
    return false;
  for (const json &Item : List) {
    if (!areUnsigned(Item, 0, 4))
      return false;
    Out.push_back({voter_id{numberAt(Item, 0)},
                   incarnation_id{numberAt(Item, 1)},
                   term_id{numberAt(Item, 2)}, log_index{numberAt(Item, 3)}});
  }
  return true;
}

bool readEntries(const json &List, std::vector<log_entry> &Out) {
  if (!List.is_array())
    return false;
  for (const json &Item : List) {
    const bool Valid =
        areUnsigned(Item, 0, 3) && Item.size() == 4 && Item[3].is_binary() &&
        numberAt(Item, 2) <= static_cast<std::uint64_t>(entry_kind::group);
    if (!Valid)
      return false;
    Out.push_back({log_index{numberAt(Item, 0)}, term_id{numberAt(Item, 1)},
                   static_cast<entry_kind>(numberAt(Item, 2)),
                   readBinary(Item[3])});
    const bool IsGroup = Out.back().Kind == entry_kind::group;
    if (IsGroup && !control::decodeGroup(*Out.back().Payload))
      return false;
  }
  return true;
}

/// Raised when a build that does not know a field of the record would break a
/// promise that the field holds.
constexpr std::uint64_t BootstrapFormat = 1;
constexpr std::size_t BootstrapNumbers = 9;

} // namespace

std::string encodeFirstRecord(const log_header &Header,
                              const log_batch &Batch) {
  return pack({toJson(Batch), toJson(Header)});
}

std::string encodeBatch(const log_batch &Batch) {
  return pack(json::array({toJson(Batch)}));
}

std::string encodeSnapshot(const control::log_snapshot &Snapshot) {
  return pack({Snapshot.Index.Value, Snapshot.Term.Value,
               control::encodeGroup(Snapshot.Group), binary(*Snapshot.Bytes)});
}

std::string encodeBootstrap(control::voter_id Voter,
                            const control::bootstrap_record &Record) {
  json Seeds = json::array();
  for (const vm_id Each : Record.Electorate.Seeds)
    Seeds.push_back(Each.Value);
  json Out = json::array();
  for (const std::uint64_t Each :
       {BootstrapFormat, Voter.Value, std::uint64_t{Record.IsAcceptor},
        std::uint64_t{Record.HasSeenGroup}, Record.Promised.Round,
        Record.Promised.Proposer.Value, Record.AcceptedAt.Round,
        Record.AcceptedAt.Proposer.Value,
        std::uint64_t{Record.Electorate.FleetSize}})
    Out.push_back(Each);
  Out.push_back(std::move(Seeds));
  Out.push_back(control::encodeGroup(Record.Accepted));
  return pack(Out);
}

expected<log_header> decodeHeader(std::string_view Bytes) {
  const json Record = unpack(Bytes);
  if (!Record.is_array() || Record.size() != 2 || !areUnsigned(Record[1], 0, 4))
    return fail("malformed header");
  const json &Header = Record[1];
  return log_header{voter_id{numberAt(Header, 0)},
                    incarnation_id{numberAt(Header, 1)}, numberAt(Header, 2),
                    log_index{numberAt(Header, 3)}};
}

expected<log_batch> decodeBatch(std::string_view Bytes) {
  const json Record = unpack(Bytes);
  if (!Record.is_array() || Record.empty() || !areUnsigned(Record[0], 0, 2) ||
      Record[0].size() != 4)
    return fail("malformed record");
  const json &Fields = Record[0];
  log_batch Batch;
  Batch.Hard.Term = {numberAt(Fields, 0)};
  Batch.Hard.Vote = {numberAt(Fields, 1)};
  if (!readHeldPositions(Fields[2], Batch.Hard.HeldPositions) ||
      !readEntries(Fields[3], Batch.Entries))
    return fail("malformed record");
  return Batch;
}

expected<control::log_snapshot> decodeSnapshot(std::string_view Bytes) {
  const json Record = unpack(Bytes);
  if (!areUnsigned(Record, 0, 2) || Record.size() != 4 ||
      !Record[2].is_string() || !Record[3].is_binary())
    return fail("malformed snapshot");
  expected<control::voter_group> Group =
      control::decodeGroup(Record[2].get<std::string>());
  if (!Group)
    return fail(Group.error());
  return control::log_snapshot{log_index{numberAt(Record, 0)},
                               term_id{numberAt(Record, 1)}, *Group,
                               readBinary(Record[3])};
}

expected<std::optional<control::bootstrap_record>>
decodeBootstrap(std::string_view Bytes, control::voter_id Voter) {
  const json In = unpack(Bytes);
  if (!areUnsigned(In, 0, 1))
    return fail("malformed record");
  if (numberAt(In, 0) > BootstrapFormat)
    return fail("written by a newer build, format " +
                std::to_string(numberAt(In, 0)));
  const bool Valid = areUnsigned(In, 0, BootstrapNumbers) &&
                     In.size() >= BootstrapNumbers + 2 && In[9].is_array() &&
                     areUnsigned(In[9], 0, In[9].size()) && In[10].is_string();
  if (!Valid)
    return fail("malformed record");
  if (numberAt(In, 1) != Voter.Value)
    return std::optional<control::bootstrap_record>();
  expected<control::voter_group> Accepted =
      control::decodeGroup(In[10].get<std::string>());
  if (!Accepted)
    return fail(Accepted.error());
  control::bootstrap_record Out;
  Out.IsAcceptor = numberAt(In, 2) != 0;
  Out.HasSeenGroup = numberAt(In, 3) != 0;
  Out.Promised = {numberAt(In, 4), voter_id{numberAt(In, 5)}};
  Out.AcceptedAt = {numberAt(In, 6), voter_id{numberAt(In, 7)}};
  Out.Electorate.FleetSize = static_cast<std::uint32_t>(numberAt(In, 8));
  for (const json &Seed : In[9])
    Out.Electorate.Seeds.push_back(vm_id{Seed.get<std::uint32_t>()});
  Out.Accepted = std::move(*Accepted);
  return std::optional(std::move(Out));
}

} // namespace bulrush::store
