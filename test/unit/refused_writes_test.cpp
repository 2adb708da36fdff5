#include "fake_disk.h"
#include "store/durable_log.h"

#include <catch2/catch.hpp>
#include <set>

using namespace bulrush;
using namespace bulrush::store;
using namespace bulrush::control;
using bulrush::test::fake_disk;

namespace {

const voter_id Former{77};
const voter_id Successor{88};

/// What happens between the refused operation and the next time that the disk
/// takes writes.
enum class aftermath : std::uint8_t { reopened, restarted, power_lost };

struct trial {
  std::size_t RefusedFrom = 0; ///< operations that succeed before
  bool WritesPartly = false;
  aftermath After = aftermath::reopened;
};

struct outcome_of_script {
  std::size_t Acknowledged = 0; ///< writes
  bool WasRefused = false;
};

log_entry makeEntry(std::uint64_t Index, std::uint64_t Term) {
  return {log_index{Index}, term_id{Term}, entry_kind::command,
          shareBytes("entry " + std::to_string(Index))};
}

persist makeWrite(std::uint64_t Term, std::uint64_t From, std::uint64_t To) {
  persist Out;
  Out.Hard = {term_id{Term}, Former, {}};
  for (std::uint64_t I = From; I <= To; ++I)
    Out.Entries.push_back(makeEntry(I, Term));
  return Out;
}

/// Appends, replaces, compacts and installs a snapshot.
std::vector<persist> makeScript() {
  std::vector<persist> Out{makeWrite(1, 1, 3), makeWrite(2, 3, 6),
                           makeWrite(2, 7, 8), makeWrite(4, 21, 22),
                           makeWrite(4, 23, 23)};
  Out[2].Snapshot = log_snapshot{log_index{5}, term_id{2}, {}, shareBytes("a")};
  Out[3].Snapshot =
      log_snapshot{log_index{20}, term_id{3}, {}, shareBytes("b")};
  Out[3].DropLog = true;
  for (std::size_t I = 0; I < Out.size(); ++I)
    Out[I].Write = {I + 1};
  return Out;
}

/// Everything that a voter may not lose, as text.
std::string describe(const recovered_state &State) {
  std::string Out = "term " + std::to_string(State.Hard.Term.Value);
  if (State.Snapshot)
    Out += ", snapshot " + std::to_string(State.Snapshot->Index.Value) + ' ' +
           *State.Snapshot->Bytes;
  for (const log_entry &Each : State.Entries)
    Out += ", " + std::to_string(Each.Term.Value) + ' ' + *Each.Payload;
  return Out;
}

folder_result<durable_log> open(fake_disk &Disk, voter_id NewVoter = Former) {
  return durable_log::open(Disk, {vm_id{2}, NewVoter.Value, 0, false});
}

outcome_of_script play(fake_disk &Disk) {
  outcome_of_script Out;
  auto Log = open(Disk);
  if (!Log)
    return {0, true};
  for (const persist &Each : makeScript()) {
    Log->write(Each);
    if (!Log->sync())
      return {Out.Acknowledged, true};
    ++Out.Acknowledged;
  }
  return Out;
}

std::string stateAfter(const std::vector<persist> &Writes) {
  fake_disk Disk;
  auto Log = open(Disk);
  for (const persist &Each : Writes) {
    Log->write(Each);
    REQUIRE(Log->sync());
  }
  return describe(open(Disk)->state());
}

/// What may be found after a number of acknowledged writes: these, the next
/// write as well, or only the snapshot of the next one, which is replaced
/// before the log.
using permitted_states = std::vector<std::set<std::string>>;

permitted_states makePermittedStates() {
  permitted_states Out;
  std::vector<persist> Acknowledged;
  const auto With = [&](const persist &Next) {
    std::vector<persist> Writes = Acknowledged;
    Writes.push_back(Next);
    return stateAfter(Writes);
  };
  for (const persist &Next : makeScript()) {
    std::set<std::string> States{stateAfter(Acknowledged), With(Next)};
    if (Next.Snapshot) {
      persist OnlySnapshot;
      OnlySnapshot.Hard = Acknowledged.back().Hard;
      OnlySnapshot.Snapshot = Next.Snapshot;
      States.insert(With(OnlySnapshot));
    }
    Out.push_back(std::move(States));
    Acknowledged.push_back(Next);
  }
  Out.push_back({stateAfter(Acknowledged)});
  return Out;
}

void refuseFrom(fake_disk &Disk, std::size_t Operation) {
  Disk.Fault.reset();
  Disk.CallsUntilFault = Operation;
}

void acceptAgain(fake_disk &Disk) {
  Disk.Fault.reset();
  Disk.CallsUntilFault.reset();
}

template <class Function> void forEachTrial(const Function &Check) {
  for (const bool FaultsReads : {false, true})
    for (const bool WritesPartly : {false, true})
      for (const aftermath After :
           {aftermath::reopened, aftermath::restarted, aftermath::power_lost})
        for (std::size_t N = 0;; ++N) {
          fake_disk Disk;
          Disk.FaultsReads = FaultsReads;
          Disk.WritesPartly = WritesPartly;
          INFO("refused from operation "
               << N << ", reads " << FaultsReads << ", partly " << WritesPartly
               << ", aftermath " << static_cast<int>(After));
          if (!Check(Disk, trial{N, WritesPartly, After}))
            break;
        }
}

} // namespace

// Guards against acknowledged entries that are lost, and a voter that stays
// out, after a disk refused writes at any step and took them again.
TEST_CASE("a log that was refused at any step holds what was acknowledged",
          "[store]") {
  const permitted_states Permitted = makePermittedStates();
  std::mt19937_64 Random(1);
  forEachTrial([&](fake_disk &Disk, const trial &Trial) {
    refuseFrom(Disk, Trial.RefusedFrom);
    const outcome_of_script Outcome = play(Disk);
    if (!Outcome.WasRefused)
      return false;
    for (std::size_t Again = 0; Again < 4; ++Again) {
      if (Trial.After == aftermath::power_lost)
        Disk.crash(Random);
      if (Trial.After != aftermath::reopened)
        refuseFrom(Disk, Again);
      CHECK_FALSE(open(Disk));
    }
    acceptAgain(Disk);
    auto Log = open(Disk);
    if (!Log)
      FAIL(Log.error().Message);
    const std::string Found = describe(Log->state());
    INFO(Found);
    CHECK(Permitted[Outcome.Acknowledged].count(Found) == 1);
    CHECK(Log->state().Self == Former);
    Log->write(makeWrite(9, 24, 24));
    CHECK(Log->sync());
    return true;
  });
}

// Guards against a folder that can never be opened again, since one of its
// files was set aside and the other was not when writes were refused or the
// power failed.
TEST_CASE("a folder whose retirement was cut short opens again", "[store]") {
  const std::string Complete = stateAfter(makeScript());
  const std::string Empty = stateAfter({});
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    std::mt19937_64 Random(Seed);
    forEachTrial([&](fake_disk &Disk, const trial &Trial) {
      REQUIRE_FALSE(play(Disk).WasRefused);
      refuseFrom(Disk, Trial.RefusedFrom);
      const bool IsRetired = durable_log::retire(Disk).has_value();
      acceptAgain(Disk);
      if (Trial.After == aftermath::power_lost)
        Disk.crash(Random);
      auto Log = open(Disk, Successor);
      if (!Log)
        FAIL("seed " << Seed << ": " << Log.error().Message);
      const bool IsFormer = Log->state().Self == Former;
      CHECK(describe(Log->state()) == (IsFormer ? Complete : Empty));
      CHECK_FALSE((IsRetired && IsFormer));
      return !IsRetired;
    });
  }
}
