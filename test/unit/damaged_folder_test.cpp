// Data folders whose files don't hold what was written to them.
#include "fake_disk.h"
#include "store/durable_log.h"
#include "store/log_file.h"
#include "store/log_records.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace bulrush;
using namespace bulrush::store;
using namespace bulrush::control;
using bulrush::test::fake_disk;

namespace {

const voter_id Former{77};
const voter_id Successor{88};

folder_options optionsOf(voter_id NewVoter) {
  return {vm_id{2}, NewVoter.Value, 0, false};
}

persist makeWrite(std::uint64_t From, std::uint64_t To) {
  persist Out;
  Out.Hard = {term_id{3}, Former, {}};
  for (std::uint64_t I = From; I <= To; ++I)
    Out.Entries.push_back({log_index{I}, term_id{3}, entry_kind::command,
                           shareBytes("entry " + std::to_string(I))});
  return Out;
}

/// A member of a group, with a snapshot and with entries in several records.
void fill(fake_disk &Disk) {
  auto Log = durable_log::open(Disk, optionsOf(Former));
  REQUIRE(Log);
  persist First = makeWrite(6, 7);
  First.Snapshot =
      log_snapshot{log_index{5}, term_id{2},
                   voter_group{}.with({Former, vm_id{2}, member_role::voter}),
                   shareBytes("state")};
  First.Bootstrap = bootstrap_record{true, false, {{vm_id{1}, vm_id{2}}, 5}};
  for (const persist &Each : {First, makeWrite(8, 9), makeWrite(10, 11)}) {
    Log->write(Each);
    REQUIRE(Log->sync());
  }
}

std::string otherBytes(std::size_t Size) {
  std::mt19937_64 Random(7);
  std::string Out(Size, '\0');
  for (char &Each : Out)
    Each = static_cast<char>(Random());
  return Out;
}

struct kind_of_damage {
  std::string Name;
  std::function<void(fake_disk &)> Apply;
};

std::vector<kind_of_damage> allKinds() {
  std::vector<kind_of_damage> Out;
  for (const std::string File : {"log", "snapshot"}) {
    const auto Add = [&](const std::string &What, auto Change) {
      Out.push_back({File + What, [File, Change](fake_disk &Disk) {
                       Change(Disk.bytes(File));
                     }});
    };
    Add(" is empty", [](std::string &Bytes) { Bytes.clear(); });
    Add(" is of zeros",
        [](std::string &Bytes) { Bytes.assign(Bytes.size(), '\0'); });
    Add(" is of other bytes",
        [](std::string &Bytes) { Bytes = otherBytes(Bytes.size()); });
    Add(" has another length",
        [](std::string &Bytes) { Bytes.front() ^= 0x55; });
    Add(" has another byte in the first record",
        [](std::string &Bytes) { Bytes[20] ^= 0x55; });
    Out.push_back({File + " is a folder",
                   [File](fake_disk &Disk) { Disk.makeFolder(File); }});
  }
  Out.push_back({"log has another byte in the middle", [](fake_disk &Disk) {
                   std::string &Bytes = Disk.bytes("log");
                   Bytes[Bytes.find("entry 8")] ^= 0x55;
                 }});
  Out.push_back({"snapshot is missing",
                 [](fake_disk &Disk) { REQUIRE(Disk.remove("snapshot")); }});
  Out.push_back({"all files are of zeros", [](fake_disk &Disk) {
                   for (const char *File : {"log", "snapshot", "bootstrap"})
                     Disk.bytes(File).assign(Disk.bytes(File).size(), '\0');
                 }});
  return Out;
}

/// Files that hold what some build has written to them.
std::vector<kind_of_damage> otherBuilds() {
  const log_header Header{Former, incarnation_id{9}, 1, log_index{0}};
  log_batch Batch;
  Batch.Entries.push_back({log_index{1}, term_id{1}, static_cast<entry_kind>(9),
                           shareBytes("entry of a later kind")});
  return {
      {"kind of entry",
       [=](fake_disk &Disk) {
         REQUIRE(replaceFile(Disk, "log", encodeFirstRecord(Header, Batch)));
       }},
      {"format of the log",
       [](fake_disk &Disk) { REQUIRE(replaceFile(Disk, "log", "\x91\x02")); }},
      {"format of the snapshot",
       [](fake_disk &Disk) {
         REQUIRE(replaceFile(Disk, "snapshot", "\x91\x02"));
       }},
      {"format of the bootstrap record", [](fake_disk &Disk) {
         REQUIRE(replaceFile(Disk, "bootstrap", "\x91\x02"));
       }}};
}

} // namespace

// Guards against damage that the log calls a failed disk, which is tried again
// for ever.
TEST_CASE("damaged files are told apart from a disk that fails", "[store]") {
  for (const kind_of_damage &Each : allKinds()) {
    INFO(Each.Name);
    fake_disk Disk;
    fill(Disk);
    Each.Apply(Disk);
    const auto Opened = durable_log::open(Disk, optionsOf(Successor));
    REQUIRE_FALSE(Opened);
    CHECK(Opened.error().Fault == folder_fault::damaged);
  }
  fake_disk Failing;
  fill(Failing);
  Failing.FaultsReads = true;
  for (const disk_fault Fault :
       {disk_fault::full, disk_fault::read_only, disk_fault::other}) {
    Failing.Fault = Fault;
    const auto Opened = durable_log::open(Failing, optionsOf(Successor));
    REQUIRE_FALSE(Opened);
    CHECK(Opened.error().Fault == folder_fault::disk);
  }
}

// Guards against files of a newer build that are taken for damaged ones.
TEST_CASE("files of another build are told apart from damaged ones",
          "[store]") {
  for (const kind_of_damage &Each : otherBuilds()) {
    INFO(Each.Name);
    fake_disk Disk;
    fill(Disk);
    Each.Apply(Disk);
    const auto Opened = durable_log::open(Disk, optionsOf(Successor));
    REQUIRE_FALSE(Opened);
    CHECK(Opened.error().Fault == folder_fault::unknown_format);
  }
}
