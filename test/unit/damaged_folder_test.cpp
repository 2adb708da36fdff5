// Data folders whose files don't hold what was written to them.
#include "fake_disk.h"
#include "store/durable_log.h"
#include "store/log_file.h"
#include "store/log_records.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <sys/resource.h>

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

/// A folder of the file system that is removed with this object.
class temporary_folder {
public:
  temporary_folder() {
    std::string Name =
        std::filesystem::temp_directory_path() / "bulrush-folder-XXXXXX";
    REQUIRE(::mkdtemp(Name.data()));
    Path = Name;
  }
  ~temporary_folder() {
    std::error_code Ignored;
    std::filesystem::remove_all(Path, Ignored);
  }
  temporary_folder(const temporary_folder &) = delete;
  temporary_folder &operator=(const temporary_folder &) = delete;

  std::filesystem::path Path;
};

/// Puts a folder with a file in it in the place of a file.
void replaceByFolder(const std::filesystem::path &Path) {
  std::filesystem::remove_all(Path);
  std::filesystem::create_directories(Path / "inside");
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
    Disk.syncAll();
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
    Disk.syncAll();
    const auto Opened = durable_log::open(Disk, optionsOf(Successor));
    REQUIRE_FALSE(Opened);
    CHECK(Opened.error().Fault == folder_fault::unknown_format);
  }
}

// Guards against a damaged folder that keeps its machine out of the group, and
// against a member that goes on under an id whose votes and entries it lost.
TEST_CASE("a damaged folder becomes that of a new member", "[store]") {
  for (const kind_of_damage &Each : allKinds()) {
    INFO(Each.Name);
    fake_disk Disk;
    std::mt19937_64 Random(1);
    fill(Disk);
    Each.Apply(Disk);
    Disk.syncAll();
    {
      const auto Opened = durable_log::openRepaired(Disk, optionsOf(Successor));
      REQUIRE(Opened);
      CHECK(Opened->notices().front() == folder_notice::damaged_files);
      CHECK_FALSE(Opened->damage().empty());
    }
    Disk.crash(Random);
    const auto Again = durable_log::openRepaired(Disk, optionsOf(voter_id{99}));
    REQUIRE(Again);
    CHECK(Again->notices().empty());
    const recovered_state State = Again->state();
    CHECK(State.Self == Successor);
    CHECK(State.Hard.Term == term_id{0});
    CHECK(State.Entries.empty());
    CHECK_FALSE(State.Snapshot);
    CHECK_FALSE(State.Bootstrap);
    CHECK(State.HasFormerMember);
  }
}

// Guards against a folder without its log that takes part in a first group as
// an unused one, and forgets what its member has promised and accepted.
TEST_CASE("a folder that has lost its log is not unused", "[store]") {
  fake_disk Disk;
  {
    auto Log = durable_log::open(Disk, optionsOf(Former));
    persist Write = makeWrite(1, 0);
    Write.Bootstrap = bootstrap_record{true, false, {{vm_id{1}}, 0}};
    Log->write(Write);
    REQUIRE(Log->sync());
  }
  REQUIRE(Disk.remove("log"));
  for (const voter_id Started : {Successor, voter_id{99}}) {
    const auto Opened = durable_log::openRepaired(Disk, optionsOf(Started));
    REQUIRE(Opened);
    CHECK(Opened->state().Self == Successor);
    CHECK_FALSE(Opened->state().Bootstrap);
    CHECK(Opened->state().HasFormerMember);
  }
}

// Guards against damaged files that nobody can examine any more.
TEST_CASE("damaged files are kept as they were found", "[store]") {
  for (const kind_of_damage &Each : allKinds()) {
    INFO(Each.Name);
    fake_disk Disk;
    fill(Disk);
    Each.Apply(Disk);
    Disk.syncAll();
    const auto Found = Disk.backup();
    REQUIRE(durable_log::openRepaired(Disk, optionsOf(Successor)));
    for (const auto &[Name, File] : Found) {
      INFO(Name);
      REQUIRE(Disk.has(Name + ".damaged"));
      CHECK(Disk.bytes(Name + ".damaged") == File.Current);
    }
  }
}

// Guards against damage that is found again before the machine is back in a
// group, and whose files replace those that still hold its entries.
TEST_CASE("only a folder with as much in it replaces files set aside",
          "[store]") {
  fake_disk Disk;
  fill(Disk);
  Disk.bytes("log")[20] ^= 0x55;
  const std::string Log = Disk.bytes("log");
  const std::string Snapshot = Disk.bytes("snapshot");
  REQUIRE(durable_log::openRepaired(Disk, optionsOf(Successor)));
  Disk.bytes("log")[20] ^= 0x55;
  const auto Second = durable_log::openRepaired(Disk, optionsOf(voter_id{99}));
  REQUIRE(Second);
  CHECK(Second->state().Self == voter_id{99});
  CHECK(Second->state().HasFormerMember);
  CHECK(Disk.bytes("log.damaged") == Log);
  CHECK(Disk.bytes("snapshot.damaged") == Snapshot);
  const std::size_t Files = Disk.backup().size();

  {
    auto Joined = durable_log::openRepaired(Disk, optionsOf(voter_id{99}));
    Joined->write(makeWrite(1, 40));
    REQUIRE(Joined->sync());
  }
  Disk.bytes("log")[20] ^= 0x55;
  const std::string Later = Disk.bytes("log");
  REQUIRE(durable_log::openRepaired(Disk, optionsOf(Successor)));
  CHECK(Disk.bytes("log.damaged") == Later);
  CHECK_FALSE(Disk.has("snapshot.damaged"));
  CHECK(Disk.backup().size() <= Files);
}

// Guards against the files of a voter that are removed for those of a member
// that was replaced long ago, as its log has been shortened since.
TEST_CASE("files of a member of a group replace larger ones set aside",
          "[store]") {
  fake_disk Disk;
  fill(Disk);
  {
    auto Log = durable_log::openRepaired(Disk, optionsOf(Successor));
    Log->write(makeWrite(6, 120));
    REQUIRE(Log->sync());
  }
  Disk.bytes("log")[20] ^= 0x55;
  {
    auto Log = durable_log::openRepaired(Disk, optionsOf(voter_id{88}));
    REQUIRE(Log);
    control::persist Joined = makeWrite(501, 510);
    Joined.Snapshot = control::log_snapshot{
        log_index{500}, term_id{3},
        control::voter_group{}.with(
            {voter_id{88}, vm_id{2}, control::member_role::voter}),
        control::shareBytes("state")};
    Joined.DropLog = true;
    Log->write(Joined);
    REQUIRE(Log->sync());
  }
  Disk.bytes("log")[20] ^= 0x55;
  const std::string Later = Disk.bytes("log");
  REQUIRE(Later.size() < Disk.bytes("log.damaged").size());
  REQUIRE(durable_log::openRepaired(Disk, optionsOf(voter_id{99})));
  CHECK(Disk.bytes("log.damaged") == Later);
}

// Guards against a folder that a refused write or a power failure leaves half
// set aside, and that then counts as unused or is never opened.
TEST_CASE("setting damaged files aside is completed after any interruption",
          "[store]") {
  for (const kind_of_damage &Each : allKinds())
    for (const bool HasEarlierFiles : {false, true})
      for (const bool LosesPower : {false, true})
        for (std::size_t N = 0;; ++N) {
          INFO(Each.Name << ", refused from operation " << N << ", power lost "
                         << LosesPower << ", for the second time "
                         << HasEarlierFiles);
          fake_disk Disk;
          std::mt19937_64 Random(N);
          for (int Times = HasEarlierFiles ? 2 : 1; Times > 0; --Times) {
            if (Disk.has("log"))
              REQUIRE(durable_log::openRepaired(Disk, optionsOf(voter_id{66})));
            fill(Disk);
            Each.Apply(Disk);
            Disk.syncAll();
          }
          Disk.CallsUntilFault = N;
          const auto First =
              durable_log::openRepaired(Disk, optionsOf(Successor));
          Disk.CallsUntilFault.reset();
          Disk.Fault.reset();
          if (!First)
            CHECK(First.error().Fault == folder_fault::disk);
          if (LosesPower)
            Disk.crash(Random);
          const auto Second =
              durable_log::openRepaired(Disk, optionsOf(Successor));
          REQUIRE(Second);
          CHECK(Second->state().Self == Successor);
          CHECK(Second->state().Entries.empty());
          CHECK(Second->state().HasFormerMember);
          if (First)
            break;
        }
}

// Guards against a repair that takes away what another disk state or another
// build can still use.
TEST_CASE("a folder that is not damaged is never set aside", "[store]") {
  for (const kind_of_damage &Each : otherBuilds()) {
    INFO(Each.Name);
    fake_disk Disk;
    fill(Disk);
    Each.Apply(Disk);
    Disk.syncAll();
    const auto Opened = durable_log::openRepaired(Disk, optionsOf(Successor));
    REQUIRE_FALSE(Opened);
    CHECK(Opened.error().Fault == folder_fault::unknown_format);
    for (const auto &[Name, File] : Disk.backup())
      CHECK_FALSE(Name.ends_with(".damaged"));
  }
  for (const disk_fault Fault :
       {disk_fault::full, disk_fault::read_only, disk_fault::other}) {
    fake_disk Disk;
    fill(Disk);
    Disk.FaultsReads = true;
    Disk.Fault = Fault;
    REQUIRE_FALSE(durable_log::openRepaired(Disk, optionsOf(Successor)));
    Disk.Fault.reset();
    const auto Opened = durable_log::openRepaired(Disk, optionsOf(Successor));
    REQUIRE(Opened);
    CHECK(Opened->state().Self == Former);
    CHECK(Opened->state().Entries.size() == 6);
  }
}

// Guards against a repair that gives up synced entries for a torn tail.
TEST_CASE("a torn tail is cut and the folder keeps its member", "[store]") {
  for (const bool IsZeros : {false, true}) {
    fake_disk Whole;
    fill(Whole);
    const std::size_t Size = Whole.bytes("log").size();
    const std::size_t Last = Whole.bytes("log").find("entry 10") + 8;
    for (std::size_t Cut = Last; Cut < Size; ++Cut) {
      INFO("cut at " << Cut << ", zeros " << IsZeros);
      fake_disk Disk;
      fill(Disk);
      Disk.bytes("log").resize(Cut);
      if (IsZeros)
        Disk.bytes("log").resize(Size + 4096);
      const auto Opened = durable_log::openRepaired(Disk, optionsOf(Successor));
      REQUIRE(Opened);
      CHECK(Opened->state().Self == Former);
      CHECK(Opened->state().Entries.size() == 4);
      CHECK(Opened->notices() == std::vector{folder_notice::torn_tail});
    }
  }
}

// Guards against a member that gives up its entries since a file is damaged
// that it does not need any more.
TEST_CASE("a member of a group does without a damaged bootstrap record",
          "[store]") {
  fake_disk Disk;
  fill(Disk);
  Disk.bytes("bootstrap").back() ^= 1;
  const auto Opened = durable_log::openRepaired(Disk, optionsOf(Successor));
  REQUIRE(Opened);
  CHECK(Opened->state().Self == Former);
  CHECK(Opened->state().Entries.size() == 6);
  CHECK_FALSE(Opened->state().Bootstrap);
  CHECK(Opened->notices() == std::vector{folder_notice::damaged_bootstrap});
}

// Guards against a folder in the place of a file of ours, which can neither be
// read nor written over.
TEST_CASE("folders in the place of files are set aside", "[store]") {
  const temporary_folder Folder;
  for (const std::uint64_t Voter : {77U, 88U, 99U}) {
    auto Disk = openPosixDisk(Folder.Path);
    REQUIRE(Disk);
    {
      auto Log = durable_log::openRepaired(**Disk, optionsOf(voter_id{Voter}));
      REQUIRE(Log);
      CHECK(Log->state().Self == voter_id{Voter});
      persist Write = makeWrite(6, 7);
      Write.Snapshot =
          log_snapshot{log_index{5}, term_id{2}, {}, shareBytes("s")};
      Write.Bootstrap = bootstrap_record{true, false, {{vm_id{1}}, 0}};
      Log->write(Write);
      REQUIRE(Log->sync());
    }
    for (const char *Name :
         {"log", "log.new", "log.damaged", "snapshot", "bootstrap"})
      replaceByFolder(Folder.Path / Name);
  }
}

// Guards against a folder in the place of the lock, which kept the data folder
// closed, and against two processes that use it at once.
TEST_CASE("a folder in the place of the lock locks the data folder",
          "[store]") {
  const temporary_folder Folder;
  REQUIRE(openPosixDisk(Folder.Path));
  replaceByFolder(Folder.Path / "lock");
  const auto First = openPosixDisk(Folder.Path);
  REQUIRE(First);
  CHECK_FALSE(openPosixDisk(Folder.Path));
}

// Guards against a file that cannot be read for now and counts as damaged.
TEST_CASE("a file that no descriptor is left for is not damaged", "[store]") {
  const temporary_folder Folder;
  auto Disk = openPosixDisk(Folder.Path);
  REQUIRE(durable_log::open(**Disk, optionsOf(Former)));
  rlimit Given{};
  REQUIRE(::getrlimit(RLIMIT_NOFILE, &Given) == 0);
  const rlimit None{0, Given.rlim_max};
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &None) == 0);
  const auto Opened = durable_log::openRepaired(**Disk, optionsOf(Successor));
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &Given) == 0);
  REQUIRE_FALSE(Opened);
  CHECK(Opened.error().Fault == folder_fault::disk);
  const auto Again = durable_log::openRepaired(**Disk, optionsOf(Successor));
  REQUIRE(Again);
  CHECK(Again->state().Self == Former);
}
