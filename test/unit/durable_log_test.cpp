#include "fake_disk.h"
#include "store/durable_log.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::store;
using namespace bulrush::control;
using bulrush::test::fake_disk;

namespace {

const folder_options DefaultOptions{vm_id{2}, 77, 0};

persist persistEntries(std::uint64_t Write, std::uint64_t From,
                       std::uint64_t To, std::uint64_t Term = 1) {
  persist Result;
  Result.Write = {Write};
  Result.Hard = {term_id{Term}, voter_id{77}, {}};
  for (std::uint64_t I = From; I <= To; ++I)
    Result.Entries.push_back({log_index{I}, term_id{Term}, entry_kind::command,
                              shareBytes("entry " + std::to_string(I))});
  return Result;
}

} // namespace

TEST_CASE("a new folder gets the given voter id and keeps it", "[store]") {
  fake_disk Disk;
  auto First = durable_log::open(Disk, DefaultOptions);
  REQUIRE(First);
  CHECK(First->notices() == std::vector{folder_notice::created});
  auto Second = durable_log::open(Disk, {vm_id{2}, 88, 0});
  REQUIRE(Second);
  CHECK(Second->state().Self == voter_id{77});
  CHECK(Second->state().Boot > First->state().Boot);
  CHECK(Second->notices().empty());
}

TEST_CASE("buffered writes share one sync and are recovered after a crash",
          "[store]") {
  fake_disk Disk;
  std::mt19937_64 Random(1);
  auto Log = durable_log::open(Disk, DefaultOptions);
  const std::size_t Before = Disk.Syncs;
  Log->write(persistEntries(1, 1, 3));
  Log->write(persistEntries(2, 3, 4, 2));
  CHECK(*Log->sync() == write_id{2});
  CHECK(Disk.Syncs == Before + 1);
  Disk.crash(Random);
  const recovered_state State =
      durable_log::open(Disk, DefaultOptions)->state();
  CHECK(State.Hard.Term == term_id{2});
  REQUIRE(State.Entries.size() == 4);
  CHECK(State.Entries[1].Term == term_id{1});
  CHECK(State.Entries[2].Term == term_id{2});
  CHECK(*State.Entries[3].Payload == "entry 4");
}

TEST_CASE("a torn last write is discarded as a whole", "[store]") {
  for (std::uint64_t Seed = 0; Seed < 100; ++Seed) {
    fake_disk Disk;
    std::mt19937_64 Random(Seed);
    auto Log = durable_log::open(Disk, DefaultOptions);
    Log->write(persistEntries(1, 1, 2));
    REQUIRE(Log->sync());
    const std::size_t Synced = Disk.bytes("log").size();
    Log->write(persistEntries(2, 3, 9));
    REQUIRE(Log->sync());
    std::string Torn = Disk.bytes("log");
    Torn.resize(Synced + Random() % (Torn.size() - Synced));
    const bool Cut = Torn.size() > Synced;
    Disk.bytes("log") = Torn;
    auto Again = durable_log::open(Disk, DefaultOptions);
    REQUIRE(Again);
    CHECK(Again->state().Entries.size() == 2);
    CHECK(Again->notices().empty() == !Cut);
  }
}

TEST_CASE("a snapshot truncates the log and is recovered", "[store]") {
  fake_disk Disk;
  auto Log = durable_log::open(Disk, DefaultOptions);
  Log->write(persistEntries(1, 1, 500));
  REQUIRE(Log->sync());
  const std::size_t Before = Disk.bytes("log").size();
  persist Write = persistEntries(2, 501, 502);
  Write.Snapshot =
      log_snapshot{log_index{490}, term_id{1}, {}, shareBytes("s")};
  Log->write(Write);
  REQUIRE(Log->sync());
  CHECK(Disk.bytes("log").size() < Before / 10);
  const recovered_state State =
      durable_log::open(Disk, DefaultOptions)->state();
  CHECK(State.Snapshot->Index == log_index{490});
  CHECK(State.Entries.front().Index == log_index{491});
  CHECK(State.Entries.back().Index == log_index{502});
}

TEST_CASE("an installed snapshot drops a conflicting log", "[store]") {
  fake_disk Disk;
  auto Log = durable_log::open(Disk, DefaultOptions);
  Log->write(persistEntries(1, 1, 9));
  REQUIRE(Log->sync());
  persist Write = persistEntries(2, 6, 6, 3);
  Write.Snapshot = log_snapshot{log_index{5}, term_id{2}, {}, shareBytes("s")};
  Write.DropLog = true;
  Log->write(Write);
  REQUIRE(Log->sync());
  const recovered_state State =
      durable_log::open(Disk, DefaultOptions)->state();
  REQUIRE(State.Entries.size() == 1);
  CHECK(State.Entries[0].Term == term_id{3});
}

TEST_CASE("a folder with copied files becomes a new member", "[store]") {
  fake_disk Disk;
  {
    auto Log = durable_log::open(Disk, DefaultOptions);
    Log->write(persistEntries(1, 1, 3));
    REQUIRE(Log->sync());
  }
  Disk.restore(Disk.backup(), false);
  auto Copy = durable_log::open(Disk, {vm_id{2}, 88, 0});
  REQUIRE(Copy);
  CHECK(Copy->notices() == std::vector{folder_notice::copied_files});
  CHECK(Copy->state().Self == voter_id{88});
  CHECK(Copy->state().Entries.empty());
}

TEST_CASE("a folder whose file ids change is kept if file ids aren't stable",
          "[store]") {
  fake_disk Disk;
  folder_options Options = DefaultOptions;
  Options.HasStableFileIds = false;
  {
    auto Log = durable_log::open(Disk, Options);
    Log->write(persistEntries(1, 1, 3));
    REQUIRE(Log->sync());
  }
  Disk.restore(Disk.backup(), false);
  auto Again = durable_log::open(Disk, Options);
  REQUIRE(Again);
  CHECK(Again->notices().empty());
  CHECK(Again->state().Entries.size() == 3);
}

TEST_CASE("a missing or damaged snapshot is an error", "[store]") {
  fake_disk Disk;
  {
    auto Log = durable_log::open(Disk, DefaultOptions);
    persist Write = persistEntries(1, 6, 6);
    Write.Snapshot =
        log_snapshot{log_index{5}, term_id{1}, {}, shareBytes("state")};
    Log->write(Write);
    REQUIRE(Log->sync());
  }
  Disk.bytes("snapshot").back() ^= 1;
  CHECK(durable_log::open(Disk, DefaultOptions).error().Message ==
        "snapshot: damaged, checksum mismatch");
  REQUIRE(Disk.remove("snapshot"));
  CHECK(durable_log::open(Disk, DefaultOptions).error().Message ==
        "snapshot: missing or older than the log");
}

TEST_CASE("after a full disk error no further write succeeds", "[store]") {
  fake_disk Disk;
  auto Log = durable_log::open(Disk, DefaultOptions);
  Disk.Fault = disk_fault::full;
  Log->write(persistEntries(1, 1, 1));
  CHECK(Log->sync().error().Fault == disk_fault::full);
  Disk.Fault.reset();
  CHECK_FALSE(Log->sync());
  CHECK(durable_log::open(Disk, DefaultOptions)->state().Entries.empty());
}

// Guards against a promise on the first group that a restart forgets, or that
// passes to another voter on the same disk.
TEST_CASE("a bootstrap record is recovered by its own voter only", "[store]") {
  fake_disk Disk;
  std::mt19937_64 Random(1);
  auto Log = durable_log::open(Disk, DefaultOptions);
  persist Write = persistEntries(1, 1, 0);
  Write.Bootstrap = bootstrap_record{true, false, {{vm_id{1}, vm_id{2}}, 5}};
  Write.Bootstrap->Promised = {7, voter_id{77}};
  Log->write(Write);
  REQUIRE(Log->sync());
  Disk.crash(Random);
  CHECK(durable_log::open(Disk, DefaultOptions)->state().Bootstrap ==
        Write.Bootstrap);
  REQUIRE(durable_log::retire(Disk));
  const recovered_state Next =
      durable_log::open(Disk, {vm_id{2}, 88, 0})->state();
  CHECK_FALSE(Next.Bootstrap);
  CHECK(Next.HasFormerMember);
}

// Guards against a voter that takes a damaged promise for none.
TEST_CASE("a damaged bootstrap record is an error", "[store]") {
  fake_disk Disk;
  auto Log = durable_log::open(Disk, DefaultOptions);
  persist Write = persistEntries(1, 1, 0);
  Write.Bootstrap = bootstrap_record{true, false, {{vm_id{1}}, 0}};
  Log->write(Write);
  REQUIRE(Log->sync());
  Disk.bytes("bootstrap").back() ^= 1;
  const auto Opened = durable_log::open(Disk, DefaultOptions);
  REQUIRE_FALSE(Opened);
  CHECK(Opened.error().Message.find("bootstrap") == 0);
}
