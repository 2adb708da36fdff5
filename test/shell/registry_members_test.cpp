// VMs of the registry that join, fail and are replaced.
#include "registry_fixture.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <random>
#include <set>

using namespace bulrush;
using namespace bulrush::test;

namespace {

/// A registry whose VMs are replaced by others at new addresses with empty
/// disks.
struct members_fixture : registry_fixture {
  members_fixture() { run(3000); }

  /// Starts a new VM that knows the running ones; returns its index.
  std::uint32_t add() {
    control::vms_discovered Running;
    for (const voter &Each : Voters)
      if (Each.IsUp)
        Running.Vms.push_back(Each.Vm);
    const auto Index = static_cast<std::uint32_t>(Voters.size());
    Voters.emplace_back().Vm = {Index + 1};
    start(Index, 3, false, 100 + Index);
    step(Voters[Index], control::event(Running));
    return Index;
  }
  void fail(std::uint32_t Index) { Voters[Index].IsUp = false; }
  /// A voter that does not lead.
  std::uint32_t follower() {
    for (std::uint32_t I = 0; I < Voters.size(); ++I)
      if (isVoter(I) && &Voters[I] != leader())
        return I;
    return 0;
  }
  bool isVoter(std::uint32_t Index) {
    const voter &Voter = Voters[Index];
    return Voter.IsUp && group().hasVoter(Voter.Node->status().Self);
  }
  control::voter_group group() {
    return leader() ? leader()->Node->status().Group : control::voter_group{};
  }
  std::size_t learners() {
    return group().Members.size() - group().voterCount();
  }
  /// Voters that run.
  std::size_t soundVoters() {
    std::size_t Count = 0;
    for (std::uint32_t I = 0; I < Voters.size(); ++I)
      Count += isVoter(I) ? 1 : 0;
    return Count;
  }
  /// Replaces a voter by a new VM, one second after it has failed.
  void replace(std::uint32_t Index) {
    fail(Index);
    run(1000);
    add();
  }
  /// Fails a voter while two standby VMs run. One replaces it, the other one
  /// stays a learner; returns its index.
  std::uint32_t addLearner() {
    fail(follower());
    run(1500);
    const std::uint32_t First = add();
    const std::uint32_t Second = add();
    Delay = {20}; // so that both are added before one of them has caught up
    run(3000);
    Delay = {0};
    REQUIRE(learners() == 1);
    return isVoter(First) ? Second : First;
  }
  /// Whether a leader gives the latest catalog.
  bool serves(const std::string &Text) {
    return leader() && leader()->Node->state().Catalog &&
           *leader()->Node->state().Catalog == Text;
  }
};

/// Number of random schedules: `MEMBERS_SEEDS` of the environment, if set.
std::uint32_t seedCount(std::uint32_t Default) {
  const char *Given = std::getenv("MEMBERS_SEEDS");
  return Given ? static_cast<std::uint32_t>(std::atoi(Given)) : Default;
}

} // namespace

// Guards against a registry that adds no VM any more because one failed before
// its promotion, and that has no leader after two further single replacements.
TEST_CASE("a VM that fails before its promotion does not block repairs",
          "[registry][members]") {
  // Since the failure of the voter, which counts as silent after 2500 ms.
  const double NewFailsAfter = GENERATE(1000, 1600, 2300, 2490, 2520, 2600);
  members_fixture Registry;
  REQUIRE(Registry.submitCommand(1, makeCatalog(7, "seven")) == call_end::done);
  const std::uint32_t New = Registry.add();
  Registry.run(6000);
  Registry.fail(Registry.follower());
  Registry.run(NewFailsAfter);
  Registry.fail(New);
  Registry.run(1000);
  const std::uint32_t Sound = Registry.add();
  Registry.run(9000);
  CHECK(Registry.isVoter(Sound));
  CHECK(Registry.soundVoters() == 5);
  Registry.replace(Registry.follower());
  Registry.run(9000);
  CHECK(Registry.soundVoters() == 5);
  REQUIRE(Registry.leader());
  REQUIRE(Registry.submitCommand(2, makeCatalog(8, "eight")) == call_end::done);
  Registry.replace(Registry.leaderIndex());
  Registry.run(12'000);
  CHECK(Registry.serves("eight"));
  CHECK(Registry.soundVoters() == 5);
}

// Guards against the same for a VM that has lost its disk and fails while it
// receives the log.
TEST_CASE("a VM with a lost disk that fails again does not block repairs",
          "[registry][members]") {
  const double UpTime = GENERATE(10, 60, 110, 160, 210);
  members_fixture Registry;
  const std::uint32_t Lost = Registry.follower();
  Registry.fail(Lost);
  Registry.run(500);
  Registry.Delay = {40}; // so that it is a learner for some time
  Registry.start(Lost, 3, false, 900);
  Registry.run(UpTime);
  Registry.fail(Lost);
  Registry.Delay = {0};
  const std::uint32_t Sound = Registry.add();
  Registry.run(9000);
  CHECK(Registry.isVoter(Sound));
  CHECK(Registry.soundVoters() == 5);
}

// Guards against a group, and a majority, that grow with each standby VM.
TEST_CASE("standby VMs become voters only when they are needed",
          "[registry][members]") {
  members_fixture Registry;
  std::set<std::uint32_t> StandBy;
  Registry.fail(Registry.follower());
  Registry.run(1500);
  for (int I = 0; I < 3; ++I)
    StandBy.insert(Registry.add());
  Registry.run(6000);
  CHECK(Registry.group().voterCount() == 5);
  CHECK(Registry.soundVoters() == 5);
  Registry.fail(Registry.follower());
  Registry.run(6000);
  CHECK(Registry.group().voterCount() == 5);
  CHECK(Registry.soundVoters() == 5);
}

// Guards against failed learners that stay in the group: one that has announced
// no level would prevent a higher replicated level.
TEST_CASE("a failed learner is removed", "[registry][members]") {
  members_fixture Registry;
  const std::uint32_t Learner = Registry.addLearner();
  Registry.fail(Learner);
  Registry.run(9000);
  CHECK(Registry.learners() == 1);
  Registry.run(2000);
  CHECK(Registry.learners() == 0);
  CHECK(Registry.soundVoters() == 5);
}

// Guards against a VM that can never join again after it was removed.
TEST_CASE("a learner that was removed while it was frozen joins again",
          "[registry][members]") {
  members_fixture Registry;
  const std::uint32_t Learner = Registry.addLearner();
  Registry.fail(Learner);
  Registry.run(12'000);
  REQUIRE(Registry.learners() == 0);
  Registry.Voters[Learner].IsUp = true;
  Registry.run(6000);
  CHECK(Registry.Voters[Learner].HasLostIdentity);
  // The daemon opens a new folder when it learns that.
  Registry.start(Learner, 3, false, 950);
  Registry.fail(Registry.follower());
  Registry.run(6000);
  CHECK(Registry.isVoter(Learner));
  CHECK(Registry.soundVoters() == 5);
}

// Guards against other orders of events: after single replacements, with new
// VMs that fail, freeze or lose their disks meanwhile, the registry serves and
// has all its voters.
TEST_CASE("a registry serves after random replacements",
          "[registry][members]") {
  for (std::uint32_t Seed = 1; Seed <= seedCount(60); ++Seed) {
    INFO("seed " << Seed);
    std::mt19937 Random(Seed);
    const auto UpTo = [&](int Max) {
      return std::uniform_int_distribution<int>(0, Max)(Random);
    };
    members_fixture Registry;
    for (std::uint64_t Round = 1; Round <= 4; ++Round) {
      const std::string Text = "round " + std::to_string(Round);
      REQUIRE(Registry.leader());
      REQUIRE(Registry.submitCommand(Round, makeCatalog(Round, Text)) ==
              call_end::done);
      Registry.Delay = {UpTo(1) * 20.0};
      std::optional<std::uint32_t> Early;
      if (UpTo(1) == 1) {
        Early = Registry.add();
        Registry.run(UpTo(60) * 100);
      }
      Registry.fail(UpTo(2) == 0 ? Registry.leaderIndex()
                                 : Registry.follower());
      Registry.run(UpTo(40) * 100);
      // At most two disks are lost: the voter's and that of the new VM.
      const std::uint32_t New = Early ? *Early : Registry.add();
      Registry.run(UpTo(10) * 30);
      switch (UpTo(3)) {
      case 0: // fails for good
        Registry.fail(New);
        break;
      case 1: // freezes
        Registry.fail(New);
        Registry.run(UpTo(60) * 100);
        Registry.Voters[New].IsUp = true;
        break;
      case 2: // restarts with an empty disk
        Registry.fail(New);
        Registry.run(UpTo(20) * 100);
        Registry.start(New, 3, false, 1000 * Seed + Round);
        break;
      default: // lives
        break;
      }
      Registry.run(UpTo(20) * 100);
      Registry.add();
      Registry.Delay = {0};
      Registry.run(12'000);
      CHECK(Registry.serves(Text));
      REQUIRE(Registry.soundVoters() >= 5);
      CHECK(Registry.group().voterCount() <= 6);
    }
  }
}
