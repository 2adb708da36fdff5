#include "fake_disk.h"
#include "store/log_file.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::store;
using bulrush::test::fake_disk;

namespace {

std::string encodeLog(const std::vector<std::string> &Records) {
  std::string Bytes;
  for (const std::string &Record : Records)
    Bytes += frameRecord(Record, Bytes.size());
  return Bytes;
}

} // namespace

TEST_CASE("records are read back in order", "[store]") {
  fake_disk Disk;
  auto Log = log_file::create(Disk, "log", [](auto) { return "first"; });
  REQUIRE(Log);
  REQUIRE(Log->append("second"));
  const auto Contents = parseLog(Disk.bytes("log"), "log");
  REQUIRE(Contents);
  CHECK(Contents->Records == std::vector<std::string>{"first", "second"});
  CHECK(Contents->TornBytes == 0);
}

TEST_CASE("a last record torn at any byte is discarded", "[store]") {
  const std::string Whole = encodeLog({"one", "two", "three"});
  const std::size_t Kept = encodeLog({"one", "two"}).size();
  for (std::size_t Size = Kept; Size < Whole.size(); ++Size) {
    const auto Contents = parseLog(Whole.substr(0, Size), "log");
    REQUIRE(Contents);
    CHECK(Contents->Records.size() == 2);
    CHECK(Contents->TornBytes == Size - Kept);
  }
}

TEST_CASE("damage before a valid record is an error with file and offset",
          "[store]") {
  std::string Bytes = encodeLog({"one", "two", "three"});
  const std::size_t Second = encodeLog({"one"}).size();
  for (std::size_t At = Second; At < encodeLog({"one", "two"}).size(); ++At) {
    std::string Damaged = Bytes;
    Damaged[At] ^= 1;
    const auto Contents = parseLog(Damaged, "log");
    REQUIRE_FALSE(Contents);
    CHECK(Contents.error().Message == "log: damaged record at byte " +
                                          std::to_string(Second) +
                                          ", valid records follow it");
  }
}

// Guards against a process that stands still while it searches a large damaged
// file for valid records, although it is damaged in any case.
TEST_CASE("a log without a valid first record is refused without a search",
          "[store]") {
  const std::string Whole = encodeLog({"one", "two", "three"});
  for (std::size_t At = 0; At < encodeLog({"one"}).size(); ++At) {
    std::string Damaged = Whole;
    Damaged[At] ^= 1;
    const auto Contents = parseLog(Damaged, "log");
    REQUIRE_FALSE(Contents);
    CHECK(Contents.error().Message == "log: damaged record at byte 0");
  }
  CHECK_FALSE(parseLog("", "log"));
}

TEST_CASE("a record is not valid at another offset", "[store]") {
  const std::string Record = frameRecord("one", 0);
  const auto Contents = parseLog(Record + Record, "log");
  REQUIRE(Contents);
  CHECK(Contents->Records.size() == 1);
}

TEST_CASE("after a failed append all further appends fail", "[store]") {
  fake_disk Disk;
  auto Log = log_file::create(Disk, "log", [](auto) { return "first"; });
  Disk.Fault = disk_fault::full;
  const auto Failed = Log->append("second");
  REQUIRE_FALSE(Failed);
  CHECK(Failed.error().Fault == disk_fault::full);
  Disk.Fault.reset();
  CHECK_FALSE(Log->append("third"));
}

TEST_CASE("a replaced file survives a crash once replaceFile returns",
          "[store]") {
  for (std::uint64_t Seed = 0; Seed < 50; ++Seed) {
    std::mt19937_64 Random(Seed);
    fake_disk Disk;
    REQUIRE(replaceFile(Disk, "snapshot", "old"));
    Disk.crash(Random);
    CHECK(*parseSingleRecord(*Disk.read("snapshot"), "snapshot") == "old");
    REQUIRE(replaceFile(Disk, "snapshot", "new"));
    Disk.crash(Random);
    CHECK(*parseSingleRecord(*Disk.read("snapshot"), "snapshot") == "new");
  }
}

TEST_CASE("a crash in the middle of replaceFile leaves the old or the new file",
          "[store]") {
  bool HasFinished = false;
  for (std::size_t Calls = 0; !HasFinished; ++Calls)
    for (std::uint64_t Seed = 0; Seed < 50; ++Seed) {
      std::mt19937_64 Random(Seed);
      fake_disk Disk;
      REQUIRE(replaceFile(Disk, "snapshot", "old"));
      Disk.CallsUntilFault = Calls;
      HasFinished = replaceFile(Disk, "snapshot", "new").has_value();
      Disk.CallsUntilFault.reset();
      Disk.Fault.reset();
      Disk.crash(Random);
      const auto Found = parseSingleRecord(*Disk.read("snapshot"), "snapshot");
      REQUIRE(Found);
      CHECK((*Found == "new" || (!HasFinished && *Found == "old")));
    }
}
