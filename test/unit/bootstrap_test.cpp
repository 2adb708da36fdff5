// The first group of a new fleet, whatever happens in its first moments.
#include "first_start_fleet.h"
#include "store/log_records.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <set>

using namespace bulrush;
using namespace bulrush::control;
using bulrush::test::first_start_fleet;

namespace {

constexpr double PatienceMs = 15'000;

std::size_t seedCount(std::size_t Default) {
  const char *Given = std::getenv("BOOTSTRAP_SEEDS");
  return Given ? std::strtoul(Given, nullptr, 10) : Default;
}

/// Starts all machines and disturbs one of them after `AfterMs`; it comes back
/// 500 ms later.
void disturbOne(
    first_start_fleet &Fleet, std::size_t Index, double AfterMs,
    void (first_start_fleet::*Fault)(first_start_fleet::machine &)) {
  Fleet.startAll();
  Fleet.run(AfterMs);
  (Fleet.*Fault)(Fleet.at(Index));
  Fleet.run(500);
  Fleet.start(Fleet.at(Index));
}

struct explorer_settings {
  std::size_t Machines = 5;
  std::size_t LostDisks = 0;
  std::uint32_t StatedSize = 0; ///< that the machines are told
  bool DamagesDisks = false;    ///< instead of losing them
};

/// Random faults in the first seconds of a fleet.
class explorer {
public:
  explorer(std::uint64_t Seed, const explorer_settings &Settings)
      : Settings(Settings), Fleet(Seed, Settings.Machines),
        BackAt(Settings.Machines, Never) {
    for (auto &Each : Fleet.All)
      Each->FleetSize = Settings.StatedSize;
    Fleet.MaxDelay = pick(2) ? 2 : 60;
    Fleet.MaxSync = pick(3) ? 2 : 150;
    for (instant &Each : BackAt)
      Each = Fleet.Now + millis{Fleet.fraction() * (pick(6) ? 300 : 4000)};
    const std::size_t Faults = 1 + pick(8);
    for (std::size_t I = 0; I < Faults; ++I)
      FaultsAt.insert(Fleet.Now +
                      millis{Fleet.fraction() * (pick(2) ? 500 : 4000)});
  }

  /// Returns what went wrong; all machines run and are connected in the end.
  std::string run() {
    const instant Start = Fleet.Now;
    while (Fleet.Now - Start < millis{5000}) {
      startDue(Fleet.Now - Start < millis{1000});
      for (; !FaultsAt.empty() && *FaultsAt.begin() <= Fleet.Now;
           FaultsAt.erase(FaultsAt.begin()))
        disturb();
      Fleet.run(5);
    }
    heal();
    const bool IsWhole = Fleet.isWhole(60'000);
    Fleet.run(5'000);
    if (Fleet.Formed.size() > 1)
      return "two groups";
    return IsWhole || isGroupLost() || lacksRecords() || isUncertain()
               ? ""
               : "no group of all machines";
  }

private:
  std::size_t pick(std::size_t Count) {
    return static_cast<std::size_t>(Fleet.Random() % Count);
  }

  void startDue(bool IsFirst) {
    for (std::size_t I = 0; I < Settings.Machines; ++I) {
      if (Fleet.Now < BackAt[I])
        continue;
      BackAt[I] = Never;
      auto &Machine = Fleet.at(I);
      Machine.HasStarted = Machine.HasStarted || !IsFirst;
      Fleet.start(Machine);
    }
  }

  void end(std::size_t Index,
           void (first_start_fleet::*Fault)(first_start_fleet::machine &)) {
    if (!Fleet.at(Index).IsUp)
      return;
    (Fleet.*Fault)(Fleet.at(Index));
    BackAt[Index] = Fleet.Now + millis{pick(2) ? 500 : Fleet.fraction() * 2000};
  }

  void disturb() {
    const std::size_t Victim = pick(Settings.Machines);
    const std::uint32_t Vm = Fleet.at(Victim).Vm.Value;
    switch (pick(8)) {
    case 0:
      end(Victim, &first_start_fleet::kill);
      break;
    case 1:
      end(Victim, &first_start_fleet::losePower);
      break;
    case 2:
      if (LostDisks < Settings.LostDisks && Fleet.at(Victim).IsUp) {
        ++LostDisks;
        end(Victim, Settings.DamagesDisks ? &first_start_fleet::damageDisk
                                          : &first_start_fleet::loseDisk);
      }
      break;
    case 3:
      for (std::size_t I = 0; I < Settings.Machines; ++I)
        end(I, &first_start_fleet::losePower);
      break;
    case 4:
      split(Fleet.Random());
      break;
    case 5:
      for (std::uint32_t Other = 1; Other <= Settings.Machines; ++Other)
        if (pick(2))
          Fleet.cut(Vm, Other);
      break;
    case 6:
      Fleet.at(Victim).IsDiskStuck = !Fleet.at(Victim).IsDiskStuck;
      break;
    case 7:
      Fleet.CutLinks.clear();
      break;
    }
  }

  /// Cuts the machines in two; bit N of `Side` is the side of VM N.
  void split(std::uint64_t Side) {
    for (std::uint32_t A = 1; A <= Settings.Machines; ++A)
      for (std::uint32_t B = 1; B <= Settings.Machines; ++B)
        if ((Side >> A & 1) != (Side >> B & 1))
          Fleet.cut(A, B);
  }

  void heal() {
    Fleet.CutLinks.clear();
    for (auto &Each : Fleet.All) {
      Each->IsDiskStuck = false;
      Each->HasStarted = true;
      Fleet.start(*Each);
    }
  }

  /// Whether a majority of the first group's disks is lost. It may have fewer
  /// voters than tolerate all lost disks while machines are away.
  bool isGroupLost() {
    if (Fleet.Formed.empty())
      return false;
    std::size_t Left = 0;
    for (auto &Each : Fleet.All)
      if (Fleet.Formed[0].hasVoter(Each->Replica->status().Self))
        ++Left;
    return Left < Fleet.Formed[0].majority();
  }

  /// Whether too few folders remember the first start of a fleet whose size is
  /// not known or wrong, so that an operator has to decide.
  bool lacksRecords() {
    std::size_t Seeds = 0;
    std::size_t Recorded = 0;
    for (auto &Each : Fleet.All) {
      const auto Record = Each->Folder->state().Bootstrap;
      if (!Record || !Record->IsAcceptor)
        continue;
      ++Recorded;
      Seeds += Each->Vm.Value <= 3 ? 1 : 0;
    }
    return Settings.StatedSize != Settings.Machines &&
           (Seeds < 2 || Recorded <= first_start_fleet::Losses);
  }

  /// Whether a damaged folder may have held a member, and another folder has no
  /// record, so that an operator has to decide on the first group.
  bool isUncertain() {
    const auto LacksRecord = [](const auto &Each) {
      const auto Record = Each->Folder->state().Bootstrap;
      return !Each->IsDamaged && (!Record || !Record->IsAcceptor);
    };
    const auto IsDamaged = [](const auto &Each) { return Each->IsDamaged; };
    return Fleet.Formed.empty() &&
           std::any_of(Fleet.All.begin(), Fleet.All.end(), IsDamaged) &&
           std::any_of(Fleet.All.begin(), Fleet.All.end(), LacksRecord);
  }

  explorer_settings Settings;
  first_start_fleet Fleet;
  std::vector<instant> BackAt; ///< of each machine; first its start
  std::multiset<instant> FaultsAt;
  std::size_t LostDisks = 0;
};

void exploreSeeds(std::size_t Count, const explorer_settings &Settings) {
  std::map<std::string, std::vector<std::uint64_t>> Found;
  for (std::uint64_t Seed = 1; Seed <= Count; ++Seed)
    if (const std::string Fault = explorer(Seed, Settings).run();
        !Fault.empty())
      Found[Fault].push_back(Seed);
  for (const auto &[Fault, Seeds] : Found) {
    INFO(Fault << " of " << Settings.Machines << " machines, seeds "
               << Catch::Detail::stringify(Seeds));
    CHECK(Seeds.empty());
  }
}

} // namespace

// Guards against a fleet that never starts because one process ended in its
// first moments: a single machine decided on the first group.
TEST_CASE("a fleet starts although a seed ends in its first moments",
          "[bootstrap]") {
  for (std::size_t Seed = 0; Seed < 3; ++Seed)
    for (const double AfterMs : {1., 5., 20., 50., 100., 200., 400.})
      for (const auto Fault :
           {&first_start_fleet::kill, &first_start_fleet::losePower,
            &first_start_fleet::loseDisk}) {
        first_start_fleet Fleet(Seed + 1);
        disturbOne(Fleet, Seed, AfterMs, Fault);
        INFO("seed " << Seed << " after " << AfterMs << " ms");
        CHECK(Fleet.elects(PatienceMs));
        CHECK(Fleet.Formed.size() == 1);
        CHECK(Fleet.isWhole(PatienceMs));
      }
}

// Guards against a fleet that never starts because a machine stays away.
TEST_CASE("a fleet starts although as many machines as may be lost stay away",
          "[bootstrap]") {
  for (std::size_t A = 0; A < 5; ++A)
    for (std::size_t B = A; B < 5; ++B) {
      if (A != B && B < 3)
        continue; // two of three seeds: see the next case
      first_start_fleet Fleet(7);
      for (std::size_t I = 0; I < 5; ++I)
        if (I != A && I != B)
          Fleet.start(Fleet.at(I));
      INFO("without machines " << A << " and " << B);
      CHECK(Fleet.elects(PatienceMs));
      CHECK(Fleet.Formed.size() == 1);
    }
}

// Guards against two groups: two seeds that are cut off may agree with machines
// that the third has never heard of.
TEST_CASE("one seed of three forms no group before another one is back",
          "[bootstrap]") {
  first_start_fleet Fleet(8);
  for (std::size_t I = 2; I < 5; ++I)
    Fleet.start(Fleet.at(I));
  Fleet.run(30'000);
  CHECK(Fleet.Formed.empty());
  CHECK(Fleet.wait(2) == bootstrap_wait::missing_seeds);
  Fleet.start(Fleet.at(0));
  CHECK(Fleet.elects(PatienceMs));
  CHECK(Fleet.Formed.size() == 1);
}

// Guards against a fleet that does not start without two of its three seeds
// although its size is known, so that the others are a majority.
TEST_CASE("a majority of a fleet of known size starts without two seeds",
          "[bootstrap]") {
  for (std::size_t A = 0; A < 5; ++A)
    for (std::size_t B = A + 1; B < 5; ++B) {
      first_start_fleet Fleet(14);
      for (std::size_t I = 0; I < 5; ++I) {
        Fleet.at(I).FleetSize = 5;
        if (I != A && I != B)
          Fleet.start(Fleet.at(I));
      }
      INFO("without machines " << A << " and " << B);
      CHECK(Fleet.elects(PatienceMs));
      for (const std::size_t Late : {A, B}) {
        Fleet.at(Late).HasStarted = true;
        Fleet.start(Fleet.at(Late));
      }
      CHECK(Fleet.isWhole(PatienceMs));
      CHECK(Fleet.Formed.size() == 1);
    }
}

// Guards against a fleet that never starts because more machines take part than
// the stated size, or because the stated sizes differ.
TEST_CASE("a wrong fleet size keeps no fleet from starting", "[bootstrap]") {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed)
    for (const std::size_t Machines : {5U, 6U, 7U, 9U})
      for (const bool IsOneSize : {true, false}) {
        first_start_fleet Fleet(Seed, Machines);
        Fleet.MaxSync = Seed % 2 ? 0 : 20;
        for (std::size_t I = 0; I < Machines; ++I)
          Fleet.at(I).FleetSize = IsOneSize || I < 3 ? 5 : 7;
        Fleet.startAll();
        INFO("seed " << Seed << ", " << Machines << " machines");
        CHECK(Fleet.elects(2000));
        Fleet.run(PatienceMs);
        CHECK(Fleet.Formed.size() == 1);
      }
}

// Guards against two groups where the stated size is too small and the fleet is
// split while it starts, in any way, and each side is as large as the size
// seems to ask for.
TEST_CASE("a fleet that is larger than stated forms one group after a split",
          "[bootstrap]") {
  for (std::uint32_t Side = 0; Side < 64; ++Side) {
    first_start_fleet Fleet(15 + Side, 6);
    for (auto &Each : Fleet.All)
      Each->FleetSize = 5;
    for (std::uint32_t A = 1; A <= 6; ++A)
      for (std::uint32_t B = 1; B <= 6; ++B)
        if ((Side >> (A - 1) & 1) != (Side >> (B - 1) & 1))
          Fleet.cut(A, B);
    Fleet.startAll();
    Fleet.run(4500);
    Fleet.CutLinks.clear();
    INFO("side " << Side);
    CHECK(Fleet.isWhole(PatienceMs));
    CHECK(Fleet.Formed.size() == 1);
  }
}

// Guards against a fleet of known size that does not start because two seeds
// are heard, but cannot write.
TEST_CASE("a fleet of known size starts although the disks of two seeds hang",
          "[bootstrap]") {
  for (const double AfterMs : {0., 20., 60., 110.})
    for (std::size_t Left = 0; Left < 3; ++Left) {
      first_start_fleet Fleet(30 + Left);
      for (auto &Each : Fleet.All)
        Each->FleetSize = 5;
      Fleet.startAll();
      Fleet.run(AfterMs);
      for (std::size_t I = 0; I < 3; ++I)
        Fleet.at(I).IsDiskStuck = I != Left;
      INFO("after " << AfterMs << " ms, all seeds but " << Left);
      CHECK(Fleet.elects(PatienceMs));
      CHECK(Fleet.Formed.size() == 1);
    }
}

// Guards against a fleet without records that does not start because a spare
// machine is there.
TEST_CASE("a spare machine keeps no fleet without records from starting",
          "[bootstrap]") {
  first_start_fleet Fleet(31, 6);
  for (auto &Each : Fleet.All) {
    Each->FleetSize = 5;
    Each->HasStarted = true;
  }
  Fleet.startAll();
  CHECK(Fleet.elects(PatienceMs));
  CHECK(Fleet.Formed.size() == 1);
}

// Guards against two groups: without the size, one seed of three cannot know
// whether the others have agreed with machines that it never heard of.
TEST_CASE("one seed of a fleet that is larger than stated forms no group",
          "[bootstrap]") {
  first_start_fleet Fleet(32, 6);
  for (auto &Each : Fleet.All) {
    Each->FleetSize = 5;
    Each->IsDiskStuck = true;
  }
  Fleet.startAll();
  Fleet.run(300);
  for (std::uint32_t Other = 3; Other <= 6; ++Other)
    for (const std::uint32_t Seed : {1U, 2U})
      Fleet.cutBoth(Seed, Other);
  for (auto &Each : Fleet.All)
    Each->IsDiskStuck = false;
  Fleet.run(30'000);
  CHECK(Fleet.Formed.empty());
  CHECK(Fleet.wait(2) == bootstrap_wait::missing_seeds);
  for (std::uint32_t Other = 3; Other <= 6; ++Other) {
    Fleet.CutLinks.erase({2, Other});
    Fleet.CutLinks.erase({Other, 2});
  }
  CHECK(Fleet.elects(PatienceMs));
  CHECK(Fleet.Formed.size() == 1);
}

// Guards against two groups where a lasting split follows after the machines
// have learned that the stated size is too small, and they forget it in a
// restart.
TEST_CASE("a fleet size that was found to be wrong stays dropped",
          "[bootstrap]") {
  first_start_fleet Fleet(17, 6);
  for (auto &Each : Fleet.All) {
    Each->FleetSize = 5;
    Each->IsDiskStuck = true;
  }
  Fleet.startAll();
  Fleet.run(300);
  for (std::uint32_t A = 1; A <= 6; ++A)
    for (std::uint32_t B = 1; B <= 6; ++B)
      if ((A >= 3 && A <= 5) != (B >= 3 && B <= 5))
        Fleet.cut(A, B);
  for (auto &Each : Fleet.All)
    Each->IsDiskStuck = false;
  Fleet.run(50);
  for (auto &Each : Fleet.All)
    Fleet.kill(*Each);
  Fleet.startAll();
  Fleet.run(60'000);
  CHECK(Fleet.Formed.size() <= 1);
  for (std::size_t I = 2; I < 5; ++I)
    CHECK(Fleet.at(I).Replica->status().Group.Members.empty());
  Fleet.CutLinks.clear();
  CHECK(Fleet.isWhole(PatienceMs));
  CHECK(Fleet.Formed.size() == 1);
}

// Guards against a fleet that never starts because all processes were killed
// before the first of them had a group, or had recorded its first start.
TEST_CASE("a fleet starts although all processes end in the first moments",
          "[bootstrap]") {
  for (const double AfterMs : {0., 5., 50., 120., 200., 400., 1000.}) {
    first_start_fleet Fleet(9);
    for (auto &Each : Fleet.All)
      Each->FleetSize = 5;
    Fleet.startAll();
    Fleet.run(AfterMs);
    for (auto &Each : Fleet.All)
      Fleet.losePower(*Each);
    Fleet.run(500);
    Fleet.startAll();
    INFO("after " << AfterMs << " ms");
    CHECK(Fleet.elects(PatienceMs));
    CHECK(Fleet.Formed.size() == 1);
  }
}

// Guards against an empty group beside one that has data: a lost disk must not
// pass for a new machine, and a spare machine must not vouch for it.
TEST_CASE("machines that lost their disks form no group without the others",
          "[bootstrap]") {
  first_start_fleet Fleet(10);
  Fleet.startAll();
  REQUIRE(Fleet.isWhole(PatienceMs));
  for (std::size_t I = 0; I < 2; ++I)
    Fleet.loseDisk(Fleet.at(I));
  for (std::size_t I = 2; I < 5; ++I)
    Fleet.kill(Fleet.at(I));
  for (std::size_t I = 0; I < 2; ++I)
    Fleet.start(Fleet.at(I));
  Fleet.run(20'000);
  CHECK(Fleet.Formed.size() == 1);
  CHECK(Fleet.wait(0) == bootstrap_wait::no_record);
}

// Guards against two groups where the settings of some machines name other
// seeds.
TEST_CASE("machines with other seeds form no second group", "[bootstrap]") {
  first_start_fleet Fleet(11);
  for (std::size_t I = 3; I < 5; ++I)
    Fleet.at(I).Seeds = {vm_id{3}, vm_id{4}, vm_id{5}};
  Fleet.startAll();
  CHECK(Fleet.elects(PatienceMs));
  Fleet.run(PatienceMs);
  CHECK(Fleet.Formed.size() == 1);
}

// Guards against a machine of an earlier fleet that is taken into a new one, or
// that keeps a vote of its own.
TEST_CASE("a folder of an earlier fleet keeps a new one from forming",
          "[bootstrap]") {
  first_start_fleet Former(12);
  Former.startAll();
  REQUIRE(Former.isWhole(PatienceMs));
  first_start_fleet Fleet(13);
  Fleet.at(3).Disk.restore(Former.at(3).Disk.backup(), true);
  Fleet.startAll();
  Fleet.run(PatienceMs);
  CHECK(Fleet.Formed.empty());
  CHECK(Fleet.wait(0) == bootstrap_wait::group_elsewhere);
}

// Guards against two proposers that do not hear each other and start their
// attempts at the same times, so that neither gets a quorum.
TEST_CASE("a fleet starts although links between some machines are cut",
          "[bootstrap]") {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    first_start_fleet Fleet(Seed);
    for (auto &Each : Fleet.All)
      Each->FleetSize = 5;
    const auto Second = static_cast<std::uint32_t>(2 + Seed % 4);
    for (std::uint32_t Other = 1; Other <= 5; ++Other)
      for (const std::uint32_t Cut : {1U, Second}) {
        if (Other != Cut && Fleet.Random() % 2)
          Fleet.cut(Cut, Other);
        if (Other != Cut && Fleet.Random() % 2)
          Fleet.cut(Other, Cut);
      }
    Fleet.startAll();
    const bool Elects = Fleet.elects(30'000);
    INFO("seed " << Seed);
    CHECK(Elects);
    CHECK(Fleet.Formed.size() == 1);
  }
}

// Guards against a group of fewer members than must have accepted it, proposed
// by a process that was suspended while the promises came.
TEST_CASE("a proposer that hears no one any more proposes no group",
          "[bootstrap]") {
  bootstrap_settings Settings;
  Settings.Electorate.Seeds = {vm_id{1}, vm_id{2}, vm_id{3}};
  Settings.IsFirstStart = true;
  Settings.MinAcceptors = Settings.InitialSize = 3;
  bootstrap_agreement Proposer(Settings, std::nullopt, voter_id{11}, vm_id{1},
                               true);
  const auto Announce = [&](instant Now) {
    for (std::uint32_t Vm = 2; Vm <= 3; ++Vm)
      Proposer.on(
          vm_id{Vm}, voter_id{10 + Vm},
          join_request{NoVoter,
                       bootstrap_record{true, false, Settings.Electorate},
                       voter_id{11}},
          Now);
  };
  Proposer.takeChange();
  Announce(instant{1});
  Proposer.tick(instant{2}, true);
  REQUIRE(Proposer.takeChange());
  const ballot Ballot = Proposer.record().Promised;
  for (std::uint32_t Vm = 2; Vm <= 3; ++Vm)
    Proposer.on(vm_id{Vm}, voter_id{10 + Vm}, bootstrap_promise{Ballot, {}, {}},
                instant{3});
  Proposer.tick(instant{5000}, true);
  CHECK(Proposer.record().AcceptedAt == ballot{});
}

namespace {

/// Vm 1 of five that are told their number, with an attempt that lacks the
/// promises of two others.
bootstrap_agreement startedAttempt() {
  bootstrap_settings Settings;
  Settings.Electorate = {{vm_id{1}, vm_id{2}, vm_id{3}}, 5};
  Settings.IsFirstStart = true;
  Settings.MinAcceptors = Settings.InitialSize = 3;
  bootstrap_agreement Proposer(Settings, std::nullopt, voter_id{11}, vm_id{1},
                               true);
  Proposer.takeChange();
  for (std::uint32_t Vm = 2; Vm <= 3; ++Vm)
    Proposer.on(vm_id{Vm}, voter_id{10 + Vm},
                join_request{NoVoter,
                             bootstrap_record{true, false, Settings.Electorate},
                             voter_id{11}},
                instant{1});
  Proposer.tick(instant{2}, true);
  Proposer.takeChange();
  return Proposer;
}

} // namespace

// Guards against two groups where an attempt from before a split ended goes on
// although a group has formed meanwhile.
TEST_CASE("an attempt ends when a group is seen", "[bootstrap]") {
  for (const bool IsGroupSeen : {false, true}) {
    bootstrap_agreement Proposer = startedAttempt();
    const ballot Ballot = Proposer.record().Promised;
    if (IsGroupSeen)
      Proposer.onGroupSeen(vm_id{4}, instant{3});
    Proposer.takeChange();
    for (std::uint32_t Vm = 2; Vm <= 3; ++Vm)
      Proposer.on(vm_id{Vm}, voter_id{10 + Vm},
                  bootstrap_promise{Ballot, {}, {}}, instant{4});
    Proposer.tick(instant{5}, true);
    CHECK((Proposer.record().AcceptedAt == ballot{}) == IsGroupSeen);
  }
}

// Guards against two groups where a machine promises to one that has found the
// stated size to be wrong, and relies on the size itself afterwards.
TEST_CASE("a proposer without the size tells the acceptors that it is wrong",
          "[bootstrap]") {
  bootstrap_agreement Acceptor = startedAttempt();
  const electorate Dropped{{vm_id{1}, vm_id{2}, vm_id{3}}, 0};
  Acceptor.on(vm_id{2}, voter_id{12},
              bootstrap_prepare{{9, voter_id{12}}, Dropped}, instant{3});
  CHECK(Acceptor.record().Promised == ballot{9, voter_id{12}});
  CHECK(Acceptor.record().Electorate == Dropped);
  CHECK(Acceptor.droppedSize());
}

// Guards against a promise that is forgotten in a restart: the group that a
// quorum may have accepted must be the one that is formed.
TEST_CASE("a restarted acceptor keeps its promises", "[bootstrap]") {
  bootstrap_settings Settings;
  Settings.Electorate.Seeds = {vm_id{1}, vm_id{2}, vm_id{3}};
  Settings.IsFirstStart = true;
  bootstrap_agreement First(Settings, std::nullopt, voter_id{11}, vm_id{1},
                            true);
  const voter_group Group{{{voter_id{12}, vm_id{2}, member_role::voter}}};
  const ballot Third{3, voter_id{12}};
  First.on(vm_id{2}, voter_id{12},
           bootstrap_accept{Third, Settings.Electorate, Group}, instant{1});
  bootstrap_agreement Again(Settings, First.record(), voter_id{11}, vm_id{1},
                            true);
  Again.on(vm_id{3}, voter_id{13},
           bootstrap_prepare{{2, voter_id{13}}, Settings.Electorate},
           instant{2});
  CHECK(Again.takeMessages().empty());
  Again.on(vm_id{3}, voter_id{13},
           bootstrap_prepare{{4, voter_id{13}}, Settings.Electorate},
           instant{3});
  const auto Replies = Again.takeMessages();
  REQUIRE(Replies.size() == 1);
  const auto &Promise = std::get<bootstrap_promise>(Replies[0].Body);
  CHECK(Promise.AcceptedAt == Third);
  CHECK(Promise.Accepted == Group);
}

// Guards against a record that an older or a newer build misreads.
TEST_CASE(
    "a bootstrap record survives encoding, and another voter's is ignored",
    "[bootstrap]") {
  const voter_group Group{{{voter_id{12}, vm_id{2}, member_role::voter}}};
  const bootstrap_record Record{
      true, true, {{vm_id{1}, vm_id{2}}, 5}, {5, voter_id{6}}, {4, voter_id{7}},
      Group};
  const std::string Bytes = store::encodeBootstrap(voter_id{9}, Record);
  const auto Read = store::decodeBootstrap(Bytes, voter_id{9});
  REQUIRE(Read);
  REQUIRE(*Read);
  CHECK(**Read == Record);
  const auto Other = store::decodeBootstrap(Bytes, voter_id{10});
  REQUIRE(Other);
  CHECK_FALSE(Other->has_value());
  CHECK_FALSE(store::decodeBootstrap("\x92\x01\x02", voter_id{9}));
  CHECK_FALSE(store::decodeBootstrap("\x91\x02", voter_id{9})); // newer format
}

// Guards against schedules that none of the cases above names. Without lost
// disks the fleets are also larger than the losses alone demand.
TEST_CASE("one group forms under random faults in the first seconds",
          "[bootstrap]") {
  exploreSeeds(seedCount(150), {5, 0});
  exploreSeeds(seedCount(100), {7, 0});
  exploreSeeds(seedCount(150), {5, 2});
  exploreSeeds(seedCount(150), {5, 0, 5});
  exploreSeeds(seedCount(150), {5, 2, 5});
  exploreSeeds(seedCount(150), {6, 0, 5});
  exploreSeeds(seedCount(100), {7, 0, 5});
  exploreSeeds(seedCount(150), {5, 2, 0, true});
  exploreSeeds(seedCount(150), {5, 2, 5, true});
}

// Guards against a fleet that elects no leader because votes wait for disks
// longer than the first election timeouts.
TEST_CASE("a fleet with slow disks and links elects its first leader",
          "[bootstrap]") {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    first_start_fleet Fleet(Seed);
    Fleet.MaxDelay = 60;
    Fleet.MaxSync = 150;
    Fleet.startAll();
    INFO("seed " << Seed);
    CHECK(Fleet.elects(PatienceMs));
  }
}

// Guards against a group that never commits again: with three voters, three
// copies were needed of voters alone, so that a lost disk could not be
// replaced.
TEST_CASE("a group of three voters replaces a lost disk", "[bootstrap]") {
  for (std::size_t Lost = 0; Lost < 3; ++Lost) {
    first_start_fleet Fleet(20 + Lost);
    for (std::size_t I = 0; I < 3; ++I)
      Fleet.start(Fleet.at(I));
    REQUIRE(Fleet.elects(PatienceMs));
    Fleet.loseDisk(Fleet.at(Lost));
    Fleet.run(500);
    Fleet.start(Fleet.at(Lost));
    INFO("machine " << Lost);
    CHECK(Fleet.isWhole(PatienceMs));
  }
}

// Guards against damaged folders that are never repaired, so that further
// losses end the service.
TEST_CASE("as many damaged folders as may be lost rejoin, time after time",
          "[bootstrap]") {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    INFO("seed " << Seed);
    first_start_fleet Fleet(Seed);
    Fleet.startAll();
    REQUIRE(Fleet.isWhole(PatienceMs));
    for (std::size_t Round = 0; Round < 5; ++Round) {
      const log_index Commit = Fleet.leader()->Replica->status().Commit;
      std::set<voter_id> Former;
      for (const std::size_t I : {Round, (Round + 1 + Seed % 4) % 5}) {
        Former.insert(Fleet.at(I % 5).Replica->status().Self);
        Fleet.damageDisk(Fleet.at(I % 5));
      }
      Fleet.run(500);
      for (auto &Each : Fleet.All)
        Fleet.start(*Each);
      INFO("round " << Round);
      REQUIRE(Fleet.isRestored(PatienceMs));
      CHECK(Fleet.leader()->Replica->status().Commit >= Commit);
      for (auto &Each : Fleet.All)
        CHECK(Former.count(Each->Replica->status().Self) == 0);
    }
    CHECK(Fleet.Formed.size() == 1);
  }
}

// Guards against an empty group that replaces one whose folders were found
// damaged all at once, or more of them than may be lost.
TEST_CASE("damaged folders form no group without the others", "[bootstrap]") {
  for (const std::uint32_t StatedSize : {0U, 5U})
    for (const bool IsFirstStart : {false, true})
      for (std::size_t Damaged = 3; Damaged <= 5; ++Damaged) {
        INFO("stated size " << StatedSize << ", told of a first start "
                            << IsFirstStart << ", damaged " << Damaged);
        first_start_fleet Fleet(Damaged);
        for (auto &Each : Fleet.All)
          Each->FleetSize = StatedSize;
        Fleet.startAll();
        REQUIRE(Fleet.isWhole(PatienceMs));
        Fleet.run(1000);
        const voter_group Group = Fleet.leader()->Replica->status().Group;
        for (std::size_t I = 0; I < Damaged; ++I)
          Fleet.damageDisk(Fleet.at(I));
        for (auto &Each : Fleet.All) {
          Each->HasStarted = !IsFirstStart;
          Fleet.start(*Each);
        }
        Fleet.run(30'000);
        CHECK(Fleet.Formed.size() == 1);
        CHECK(Fleet.leader() == nullptr);
        for (std::size_t I = 0; I < 5; ++I) {
          const replica_status Status = Fleet.at(I).Replica->status();
          CHECK(Status.Group.Members.empty() == (I < Damaged));
          CHECK((Group.find(Status.Self) == nullptr) == (I < Damaged));
        }
      }
}

// Guards against an empty group once the files that show a former member have
// been removed.
TEST_CASE("damaged folders remember that there was a group", "[bootstrap]") {
  first_start_fleet Fleet(40);
  Fleet.startAll();
  REQUIRE(Fleet.isWhole(PatienceMs));
  for (std::size_t I = 0; I < 3; ++I)
    Fleet.damageDisk(Fleet.at(I));
  for (std::size_t I = 3; I < 5; ++I)
    Fleet.kill(Fleet.at(I));
  for (std::size_t I = 0; I < 3; ++I)
    Fleet.start(Fleet.at(I));
  Fleet.run(1000);
  for (std::size_t I = 0; I < 3; ++I) {
    auto &Machine = Fleet.at(I);
    Fleet.kill(Machine);
    for (const char *Name : {"log", "snapshot", "bootstrap"})
      REQUIRE(Machine.Disk.remove(std::string(Name) + ".damaged"));
    Machine.HasStarted = false;
    Fleet.start(Machine);
  }
  Fleet.run(30'000);
  CHECK(Fleet.Formed.size() == 1);
}

// Guards against files that are of no use to an operator once a whole group was
// taken for damaged.
TEST_CASE("a group goes on from the files that were set aside", "[bootstrap]") {
  first_start_fleet Fleet(7);
  Fleet.startAll();
  REQUIRE(Fleet.isWhole(PatienceMs));
  Fleet.run(1000);
  const log_index Commit = Fleet.leader()->Replica->status().Commit;
  for (auto &Each : Fleet.All) {
    Fleet.kill(*Each);
    Each->Disk.bytes("log")[20] ^= 0x55;
    Each->Disk.syncAll();
    Fleet.start(*Each);
  }
  Fleet.run(5'000);
  REQUIRE(Fleet.leader() == nullptr);
  for (auto &Each : Fleet.All) {
    Fleet.kill(*Each);
    Each->Disk.bytes("log.damaged")[20] ^= 0x55;
    for (const std::string Name : {"log", "snapshot", "bootstrap"})
      if (Each->Disk.has(Name + ".damaged"))
        REQUIRE(Each->Disk.rename(Name + ".damaged", Name));
    Fleet.start(*Each);
  }
  REQUIRE(Fleet.isWhole(PatienceMs));
  CHECK(Fleet.leader()->Replica->status().Commit >= Commit);
  CHECK(Fleet.Formed.size() == 1);
}
