#include "control/build_level.h"
#include "registry_fixture.h"
#include "wire/generated/fleet.pb.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::fleet;
using namespace bulrush::test;

TEST_CASE("three seeds bootstrap the group and other vms join as voters",
          "[registry]") {
  registry_fixture Registry;
  Registry.run(3000);
  REQUIRE(Registry.leader());
  CHECK(Registry.leader()->Node->status().Group.voterCount() == 5);
}

TEST_CASE("vms without the first-start flag do not bootstrap a group",
          "[registry]") {
  registry_fixture Registry(3, 0);
  for (std::uint32_t I = 0; I < 3; ++I)
    Registry.start(I, 3, false, 200 + I);
  Registry.run(3000);
  CHECK(Registry.leader() == nullptr);
}

TEST_CASE("a command completes once committed, and the highest version wins",
          "[registry]") {
  registry_fixture Registry;
  Registry.run(3000);
  CHECK(Registry.submitCommand(1, makeCatalog(7, "seven")) == call_end::done);
  CHECK(Registry.leader()->EndedCalls.back().HasNewRevision);
  CHECK(Registry.submitCommand(2, makeCatalog(5, "five")) == call_end::done);
  CHECK(!Registry.leader()->EndedCalls.back().HasNewRevision);
  CHECK(Registry.submitCommand(3, makeCatalog(7, "other")) == call_end::done);
  CHECK(!Registry.leader()->EndedCalls.back().HasNewRevision);
  CHECK(*Registry.leader()->Node->state().Catalog == "seven");
}

TEST_CASE(
    "no command is accepted before there are enough voters to tolerate the "
    "configured losses",
    "[registry]") {
  registry_fixture Registry(3, 0);
  Registry.run(2000);
  REQUIRE(Registry.leader());
  CHECK(Registry.submitCommand(1, makeCatalog(1, "one")) == call_end::unclear);
}

// Guards against orders that are acknowledged before machines that started with
// the others have caught up, and against a first order that waits longer than
// operators do: its wait began only with the election.
TEST_CASE("with fewer voters a command is accepted after a wait",
          "[registry]") {
  for (const std::uint32_t Others : {0U, 1U}) {
    registry_fixture Registry(3, Others);
    Registry.run(4300);
    REQUIRE(Registry.leader());
    CHECK(Registry.submitCommand(1, makeCatalog(1, "one")) ==
          call_end::unclear);
    Registry.run(400);
    CHECK(Registry.submitCommand(2, makeCatalog(1, "one")) == call_end::done);
  }
}

// Guards against orders that are acknowledged by too few voters at once, as the
// leader had waited for other machines before any of them was there.
TEST_CASE("a leader that started long before the others waits for voters",
          "[registry]") {
  registry_fixture Registry(3, 0);
  Registry.Voters[1].IsUp = Registry.Voters[2].IsUp = false;
  Registry.run(10'000);
  Registry.Voters[1].IsUp = Registry.Voters[2].IsUp = true;
  Registry.run(4300);
  REQUIRE(Registry.leader());
  CHECK(Registry.submitCommand(1, makeCatalog(1, "one")) == call_end::unclear);
  Registry.run(600);
  CHECK(Registry.submitCommand(2, makeCatalog(1, "one")) == call_end::done);
}

TEST_CASE("a command waits for subscribers to apply it, up to a timeout",
          "[registry]") {
  registry_fixture Registry;
  Registry.run(3000);
  auto &Leader = *Registry.leader();
  Registry.step(Leader, subscriber_joined{{1}});
  CHECK(!Registry.submitCommand(1, makeCatalog(1, "one")));
  const revision Revision = Leader.Node->state().Revision;
  Registry.step(Leader, subscriber_applied{{1}, Revision});
  REQUIRE(Leader.EndedCalls.size() == 1);
  CHECK(!Registry.submitCommand(2, makeCatalog(2, "two")));
  Registry.run(800);
  CHECK(Leader.EndedCalls.size() == 2);
}

TEST_CASE("a vm that restarts with an empty disk replaces its former member",
          "[registry]") {
  registry_fixture Registry;
  Registry.run(3000);
  Registry.submitCommand(1, makeCatalog(1, "one"));
  const std::uint32_t Lost = Registry.leader() == &Registry.Voters[4] ? 3 : 4;
  Registry.start(Lost, 3, false, 900);
  Registry.run(2000);
  const auto Group = Registry.leader()->Node->status().Group;
  CHECK(Group.voterCount() == 5);
  CHECK(Group.hasVoter({900}));
  CHECK(*Registry.Voters[Lost].Node->state().Catalog == "one");
}

TEST_CASE("a vm with a new address replaces a lost one", "[registry]") {
  registry_fixture Registry;
  Registry.run(3000);
  const std::uint32_t Gone = Registry.leader() == &Registry.Voters[4] ? 3 : 4;
  Registry.Voters[Gone].IsUp = false;
  Registry.Voters.emplace_back().Vm = {9};
  Registry.start(5, 3, false, 909);
  Registry.run(5000);
  const auto Group = Registry.leader()->Node->status().Group;
  CHECK(Group.voterCount() == 5);
  CHECK(Group.hasVoter({909}));
  CHECK(!Group.findByVm(Registry.Voters[Gone].Vm));
}

namespace {

/// Restarts all voters at once; the first `Wiped` of them have lost their
/// disks.
void restartAll(registry_fixture &Registry, std::uint32_t Wiped,
                std::uint64_t Seed) {
  for (auto &Voter : Registry.Voters)
    Voter.IsUp = false;
  Registry.InFlight.clear();
  const auto Group = Registry.Voters[0].Node->status().Group;
  for (std::uint32_t I = 0; I < 5; ++I) {
    auto &Voter = Registry.Voters[I];
    const control::replica_status Old = Voter.Node->status();
    node_settings Settings;
    Settings.Log.HasLeases = false;
    Settings.Log.FirstElectionMax = millis{100};
    Settings.Log.CheckInTimeout = {150};
    control::recovered_state State;
    State.Vm = Voter.Vm;
    State.Boot = {5000};
    State.Self = {I < Wiped ? 900 + I : 100 + I};
    if (I >= Wiped) {
      State.Hard.Term = Old.Term;
      State.Snapshot = control::log_snapshot{
          Old.LastIndex, Old.Term, Group,
          control::shareBytes(wire::encode(Voter.Node->state()))};
    }
    Voter.Node.emplace(Settings, State, Seed * 5 + I);
    Voter.IsUp = true;
  }
}

} // namespace

TEST_CASE("a leader is elected within 500 ms of a restart of all voters",
          "[registry]") {
  registry_fixture Registry;
  Registry.run(3000);
  restartAll(Registry, 0, 0);
  Registry.run(500);
  CHECK(Registry.leader());
}

TEST_CASE("after a power loss that destroys two disks the first election "
          "succeeds",
          "[registry]") {
  // All three remaining voters must vote for the same candidate. An election
  // takes about 20 ms after the check-in; each failed one adds another 100 ms.
  constexpr double Bound = 150 + 100 + 40;
  int Slow = 0;
  for (std::uint64_t Seed = 0; Seed < 200; ++Seed) {
    registry_fixture Registry;
    Registry.run(3000);
    restartAll(Registry, 2, Seed);
    Registry.Delay = {4};
    Registry.run(Bound, 2);
    Slow += Registry.leader() ? 0 : 1;
  }
  CHECK(Slow == 0);
}

TEST_CASE("a leader with a stuck disk transfers its leadership", "[registry]") {
  registry_fixture Registry;
  Registry.run(3000);
  auto &Slow = *Registry.leader();
  Slow.IsDiskStuck = true;
  Registry.step(Slow, command_received{{1}, makeCatalog(1, "one")});
  Registry.run(2500);
  REQUIRE(Registry.leader());
  CHECK(Registry.leader() != &Slow);
}

TEST_CASE("the fleet size grows at once and shrinks after a delay",
          "[registry]") {
  registry_fixture Registry;
  Registry.run(3000);
  auto &Leader = *Registry.leader();
  for (std::uint64_t I = 1; I <= 7; ++I)
    Registry.step(Leader, subscriber_joined{{I}});
  Registry.run(1000);
  CHECK(Leader.Node->state().FleetSize == 7);
  for (std::uint64_t I = 1; I <= 6; ++I)
    Registry.step(Leader, subscriber_left{{I}});
  Registry.run(5000);
  CHECK(Leader.Node->fleetSize() == 7);
  Registry.run(30'000);
  CHECK(Leader.Node->fleetSize() == 1);
}

TEST_CASE(
    "a read completes only after a majority has acknowledged the leader again",
    "[registry]") {
  registry_fixture Registry;
  Registry.run(3000);
  auto &Leader = *Registry.leader();
  for (auto &Voter : Registry.Voters)
    if (&Voter != &Leader)
      Voter.IsUp = false;
  Registry.step(Leader, read_received{{1}});
  CHECK(Leader.EndedCalls.empty());
  Registry.run(1000);
  REQUIRE(Leader.EndedCalls.size() == 1);
  CHECK(Leader.EndedCalls[0].End == call_end::unclear);
}

TEST_CASE("a leader whose short disk writes overlap keeps its leadership",
          "[registry]") {
  registry_fixture Registry;
  Registry.run(3000);
  auto *Leader = Registry.leader();
  REQUIRE(Leader);
  Leader->DiskDelay = {50};
  // A command each 30 ms: some write is pending all the time.
  for (std::uint64_t Version = 1; Version <= 60; ++Version) {
    Registry.step(*Leader,
                  command_received{{Version}, makeCatalog(Version, "x")});
    Registry.run(30);
    REQUIRE(Registry.leader() == Leader);
  }
}

// Guards against BUDGET after a restart of the whole fleet.
TEST_CASE("a quarantine outlives a power loss of all voters", "[registry]") {
  control::registry_machine Machine;
  Machine.apply({1}, control::set_quarantine{7, 5000});
  Machine.apply({2}, control::set_quarantine{8, 6000});
  Machine.apply({3}, control::set_quarantine{8, 0});
  const auto Restored =
      wire::decodeRegistryState(wire::encode(Machine.state()));
  REQUIRE(Restored);
  CHECK(Restored->Quarantines ==
        std::map<std::uint64_t, std::uint64_t>{{7, 5000}});
  for (const std::uint64_t UntilMs : {std::uint64_t{9000}, std::uint64_t{0}}) {
    const auto Command =
        wire::decodeRegistryCommand(wire::encode(control::registry_command{
            control::set_quarantine{std::uint64_t{1} << 63, UntilMs}}));
    REQUIRE(Command);
    const auto &Back = std::get<control::set_quarantine>(*Command);
    CHECK(Back.Request == std::uint64_t{1} << 63);
    CHECK(Back.UntilMs == UntilMs);
  }
}

TEST_CASE("a quarantine that the leader decides reaches all voters",
          "[registry]") {
  registry_fixture Group;
  Group.run(2000);
  auto *Leader = Group.leader();
  REQUIRE(Leader);
  Group.step(*Leader, quarantine_decided{{7, 5000}});
  Group.run(500);
  for (const auto &Each : Group.Voters)
    CHECK(Each.Node->state().Quarantines.count(7) == 1);
}

TEST_CASE("the quarantines that the registry stores are bounded",
          "[registry]") {
  control::registry_machine Machine;
  for (std::uint64_t I = 1; I <= 3000; ++I)
    Machine.apply({I}, control::set_quarantine{I, I});
  CHECK(Machine.state().Quarantines.size() == control::MaxQuarantines);
  CHECK(Machine.state().Quarantines.count(3000) == 1);
}

TEST_CASE("the replicated level is raised only when all voters announce it",
          "[registry][builds]") {
  // Guards against commands of this build in a group with a voter that would
  // read them as something else.
  registry_fixture Registry;
  Registry.run(3000);
  REQUIRE(Registry.leader());
  for (std::uint32_t I = 0; I < 5; ++I) {
    CHECK(Registry.leader()->Node->level() == 0);
    CHECK(!Registry.leader()->Node->accepts(1));
    Registry.restart(I, 1);
    Registry.run(2000);
    REQUIRE(Registry.leader());
  }
  for (const auto &Voter : Registry.Voters)
    CHECK(Voter.Node->level() == 1);
  CHECK(Registry.leader()->Node->accepts(1));
}

TEST_CASE("a group that still forms does not raise its level",
          "[registry][builds]") {
  // Guards against a first start of several builds in which the old ones could
  // no longer join.
  registry_fixture Registry(3, 2, 1);
  Registry.Voters[4].Level = 0;
  Registry.start(4, 3, true, 104);
  Registry.run(3000);
  REQUIRE(Registry.leader());
  CHECK(Registry.leader()->Node->status().Group.voterCount() == 5);
  CHECK(Registry.leader()->Node->level() == 0);
}

TEST_CASE("a voter of an old build does not join once the level is raised",
          "[registry][builds]") {
  // Guards against a new member that misreads the log from its first entry.
  registry_fixture Registry(3, 2, 1);
  Registry.run(3000);
  REQUIRE(Registry.leader()->Node->level() == 1);
  const std::uint32_t Lost = Registry.leaderIndex() == 4 ? 3 : 4;
  Registry.Voters[Lost].Level = 0;
  Registry.start(Lost, 3, false, 900);
  Registry.run(5000);
  CHECK(!Registry.leader()->Node->status().Group.find({900}));
  REQUIRE(Registry.leader()->RefusedJoins.size() == 1);
  CHECK(Registry.leader()->RefusedJoins[0].Vm == Registry.Voters[Lost].Vm);
  CHECK(Registry.leader()->RefusedJoins[0].MinLevel == 1);
  // The same vm with a build of the group's level is added.
  Registry.Voters[Lost].Level = 1;
  Registry.start(Lost, 3, false, 901);
  Registry.run(3000);
  CHECK(Registry.leader()->Node->status().Group.hasVoter({901}));
  CHECK(Registry.Voters[Lost].Node->level() == 1);
}

TEST_CASE("the level of a replaced voter does not count for its successor",
          "[registry][builds]") {
  // Guards against raising the level on the announcement of a former member.
  registry_fixture Registry;
  Registry.run(3000);
  const std::uint32_t Replaced = Registry.leaderIndex() == 4 ? 3 : 4;
  for (std::uint32_t I = 0; I < 5; ++I)
    if (I != Registry.leaderIndex()) {
      Registry.restart(I, 1);
      Registry.run(1000);
    }
  Registry.Voters[Replaced].Level = 0;
  Registry.start(Replaced, 3, false, 900);
  const std::uint32_t Leader = Registry.leaderIndex();
  Registry.run(2000);
  REQUIRE(Registry.leader()->Node->status().Group.hasVoter({900}));
  for (std::uint32_t I = 0; I < 5; ++I)
    if (I != Replaced && Registry.Voters[I].Level == 0)
      Registry.restart(I, 1);
  Registry.run(3000);
  REQUIRE(Registry.leader());
  CHECK(Registry.Voters[Leader].Level == 1);
  CHECK(Registry.leader()->Node->level() == 0);
}

TEST_CASE("the replicated level is not lowered by a leader change or a return "
          "to an old build",
          "[registry][builds]") {
  // Guards against a leader that takes the level for its own announcement, and
  // against new work that a voter of an old build would lose.
  registry_fixture Registry(3, 2, 1);
  Registry.run(3000);
  const std::uint32_t First = Registry.leaderIndex();
  Registry.Voters[First].IsUp = false;
  Registry.run(3000);
  REQUIRE(Registry.leader());
  CHECK(Registry.leader()->Node->level() == 1);
  CHECK(Registry.leader()->Node->accepts(1));
  Registry.restart(First, 0);
  Registry.run(2000);
  REQUIRE(Registry.leader());
  REQUIRE(Registry.leaderIndex() != First);
  CHECK(Registry.leader()->Node->level() == 1);
  CHECK(!Registry.leader()->Node->accepts(1));
}

TEST_CASE("a snapshot without a level does not lower the level",
          "[registry][builds]") {
  // Guards against the snapshot of a leader of an old build.
  control::registry_machine Machine;
  Machine.apply({1}, control::raise_level{1});
  Machine.apply({2}, control::raise_level{0});
  CHECK(Machine.state().Level == 1);
  Machine.load({3}, {});
  CHECK(Machine.state().Level == 1);
}

TEST_CASE("the level survives a snapshot", "[registry][builds]") {
  // Guards against a voter that starts from a snapshot at level 0.
  control::registry_state State;
  State.Level = 1;
  const auto Read = wire::decodeRegistryState(wire::encode(State));
  REQUIRE(Read);
  CHECK(Read->Level == 1);
}

namespace {

/// Returns a command of a kind that only a newer build knows.
control::shared_bytes newerCommand() {
  wire::RegistryCommand Command;
  Command.set_kind(99);
  Command.set_level(7);
  return control::shareBytes(Command.SerializeAsString());
}

/// Returns a started node whose data folder holds the snapshot and the entries.
registry_node startNode(std::vector<control::log_entry> Entries,
                        std::string Snapshot = {}) {
  control::recovered_state State;
  State.Self = {7};
  State.Vm = {1};
  State.Boot = {1};
  State.Hard.Term = {1};
  const control::voter_group Group{{{{7}, {1}, control::member_role::voter}}};
  State.Snapshot = control::log_snapshot{
      {1}, {1}, Group, control::shareBytes(std::move(Snapshot))};
  State.Entries = std::move(Entries);
  node_settings Settings;
  Settings.VoterManager.TargetVoters = 1;
  return {Settings, std::move(State), 1};
}

/// Runs the node with immediate disk writes and returns its actions, without
/// the writes.
std::vector<node_action> runNode(registry_node &Node, instant &Now, double Ms) {
  std::vector<node_action> Out;
  for (double Done = 0; Done < Ms; Done += 10) {
    Now = Now + millis{10};
    std::vector<node_action> Actions;
    Node.step(control::event(control::tick{}), Now, Actions);
    for (std::size_t I = 0; I < Actions.size(); ++I) {
      if (const auto *Write = std::get_if<control::persist>(&Actions[I]))
        Node.step(control::event(control::persisted{Write->Write}), Now,
                  Actions);
      else
        Out.push_back(Actions[I]);
    }
  }
  return Out;
}

} // namespace

TEST_CASE("a voter stops at a log entry of an unknown kind",
          "[registry][builds]") {
  // Guards against skipping an entry of a newer build, or reading it as an
  // empty catalog, which loses what it says.
  auto Node =
      startNode({{{2}, {1}, control::entry_kind::command, newerCommand()},
                 {{3},
                  {1},
                  control::entry_kind::command,
                  control::shareBytes(wire::encode(
                      control::registry_command(makeCatalog(9, "nine"))))}});
  instant Now{1000};
  const auto Actions = runNode(Node, Now, 3000);
  REQUIRE(Actions.size() == 1);
  const auto *Refused = std::get_if<record_refused>(&Actions[0]);
  REQUIRE(Refused);
  CHECK(Refused->Record == "log_entry");
  CHECK(Refused->Index == log_index{2});
  CHECK(Refused->Kind == 99);
  CHECK(Refused->Level == 7);
  CHECK(!Node.isLeader());
  CHECK(Node.state().CatalogVersion == 0);
}

TEST_CASE("a voter stops at a snapshot of a higher level",
          "[registry][builds]") {
  // Guards against a snapshot of a newer build that is loaded without the
  // fields this build does not know, and then written without them.
  wire::RegistrySnapshot Snapshot;
  Snapshot.set_catalog_version(5);
  Snapshot.set_level(control::BuildLevel + 1);
  auto Node = startNode({}, Snapshot.SerializeAsString());
  instant Now{1000};
  const auto Actions = runNode(Node, Now, 3000);
  REQUIRE(!Actions.empty());
  const auto *Refused = std::get_if<record_refused>(&Actions.back());
  REQUIRE(Refused);
  CHECK(Refused->Record == "snapshot");
  CHECK(Refused->Level == control::BuildLevel + 1);
  for (const node_action &Action : Actions)
    CHECK(!std::holds_alternative<leadership_changed>(Action));
}

TEST_CASE("a follower that receives an entry of an unknown kind stops and the "
          "group serves on",
          "[registry][builds]") {
  // Guards against a voter of an old build that stays in a newer group and
  // leads it without the state it could not read.
  registry_fixture Registry;
  Registry.run(3000);
  const std::uint32_t Leader = Registry.leaderIndex();
  const std::uint32_t Victim = Leader == 0 ? 1 : 0;
  auto &From = Registry.Voters[Leader];
  const control::replica_status Status = From.Node->status();
  control::append_request Append;
  Append.PrevIndex = Status.LastIndex;
  Append.PrevTerm = Status.Term;
  Append.Entries.push_back({{Status.LastIndex.Value + 1},
                            Status.Term,
                            control::entry_kind::command,
                            newerCommand()});
  Append.Commit = {Status.LastIndex.Value + 1};
  Append.SentAt = Registry.Now;
  const control::message Message{
      Status.Self, From.Vm,     Registry.Voters[Victim].Node->status().Self,
      {1000},      Status.Term, {Status.LastIndex.Value + 1},
      Status.Term, Append};
  Registry.step(Registry.Voters[Victim],
                control::event(control::message_received{Message}));
  REQUIRE(Registry.Voters[Victim].RefusedRecords.size() == 1);
  CHECK(Registry.Voters[Victim].RefusedRecords[0].Kind == 99);
  Registry.run(2000);
  CHECK(Registry.submitCommand(1, makeCatalog(1, "one")) == call_end::done);
}

TEST_CASE("commands of unknown kinds and higher levels are refused",
          "[wire][builds]") {
  // Guards against a kind that is decoded by the fields of another one.
  wire::RegistryCommand Command;
  Command.set_kind(99);
  Command.set_catalog_version(12);
  Command.set_catalog("c");
  CHECK(!wire::decodeRegistryCommand(Command.SerializeAsString()));
  CHECK(wire::commandHeader(Command.SerializeAsString()).Kind == 99);
  CHECK(!wire::decodeRegistryCommand(wire::encode(control::registry_command(
      control::raise_level{control::BuildLevel + 1}))));
  const auto Raise = wire::decodeRegistryCommand(wire::encode(
      control::registry_command(control::raise_level{control::BuildLevel})));
  REQUIRE(Raise);
  CHECK(std::get<control::raise_level>(*Raise).Level == control::BuildLevel);
}

TEST_CASE("a member that is silent counts as one of an old build",
          "[registry][builds]") {
  // Guards against a new leader that counts what members announced before its
  // term, or that leaves out members that are down.
  registry_fixture Registry;
  Registry.run(3000);
  const std::uint32_t Silent = Registry.leaderIndex() == 4 ? 3 : 4;
  for (std::uint32_t I = 0; I < 5; ++I)
    if (I != Silent) {
      Registry.restart(I, 1);
      Registry.run(2000);
    }
  Registry.Voters[Silent].IsUp = false;
  Registry.run(3000);
  REQUIRE(Registry.leader());
  CHECK(Registry.leader()->Node->level() == 0);
  const std::uint32_t First = Registry.leaderIndex();
  Registry.Voters[First].IsUp = false;
  Registry.run(3000);
  REQUIRE(Registry.leader());
  Registry.restart(Silent, 1);
  Registry.run(2000);
  REQUIRE(Registry.leader());
  CHECK(Registry.leader()->Node->level() == 0);
  Registry.restart(First, 1);
  Registry.run(2000);
  REQUIRE(Registry.leader());
  CHECK(Registry.leader()->Node->level() == 1);
}

namespace {

control::start_rollout makeOrder(const std::string &Target,
                                 millis Duration = {12'000}) {
  return {{"a"}, {Target}, Duration, {}, {}};
}

/// A group of five voters at level 1 that has elected a leader.
struct rollout_group : registry_fixture {
  rollout_group() : registry_fixture(3, 2, 1) {
    run(3000);
    REQUIRE(leader());
    REQUIRE(leader()->Node->canStoreRollouts());
  }

  std::optional<control::rollout> rolloutAt(const voter &Voter) const {
    const auto &Rollouts = Voter.Node->state().Rollouts;
    const auto Found = Rollouts.find({"a"});
    return Found == Rollouts.end() ? std::nullopt
                                   : std::optional(Found->second);
  }
  control::rollout rollout() {
    REQUIRE(leader());
    const auto Found = rolloutAt(*leader());
    REQUIRE(Found);
    return *Found;
  }
  millis elapsed() {
    REQUIRE(leader());
    return leader()->Node->rolloutElapsed({"a"}, Now);
  }
  void endRollout(relay::rollout_state State) {
    step(*leader(), rollout_decided{control::end_rollout{
                        {"a"}, rollout().Id, State, elapsed()}});
    run(200);
  }
};

} // namespace

TEST_CASE("an order below level 1 is not stored", "[registry][rollout]") {
  // Guards against an order that a voter of an old build applies as a catalog.
  registry_fixture Registry;
  Registry.run(3000);
  const auto Before = Registry.leader()->Node->status().LastIndex;
  CHECK(Registry.submitCommand(1, makeOrder("v2")) == call_end::unsupported);
  Registry.run(500);
  CHECK(Registry.leader()->Node->status().LastIndex == Before);
  CHECK(Registry.leader()->Node->state().Rollouts.empty());
}

TEST_CASE("of two orders that race through the log the second is refused",
          "[registry][rollout]") {
  // Guards against two accepted orders of one service, which a check before the
  // proposal would allow.
  rollout_group Registry;
  Registry.Delay = {4};
  auto &Leader = *Registry.leader();
  const std::size_t Ended = Leader.EndedCalls.size();
  Registry.step(Leader, command_received{{1}, makeOrder("v2")});
  Registry.step(Leader, command_received{{2}, makeOrder("v3")});
  Registry.step(Leader, command_received{{3}, makeOrder("v2")});
  CHECK(Leader.EndedCalls.size() == Ended);
  Registry.run(100);
  REQUIRE(Leader.EndedCalls.size() == Ended + 3);
  for (std::size_t I = Ended; I < Ended + 3; ++I) {
    const call_ended &Call = Leader.EndedCalls[I];
    const bool IsRefused = Call.Call == call_id{2};
    CHECK(Call.End == (IsRefused ? call_end::conflict : call_end::done));
    CHECK(Call.Running.Value == (IsRefused ? "v2" : ""));
  }
  CHECK(Registry.rollout().Target.Value == "v2");
}

TEST_CASE("an order is acknowledged once relays have applied it",
          "[registry][rollout]") {
  // Guards against an acknowledged order that relays in touch do not know, and
  // against one that waits for a silent relay without end.
  rollout_group Registry;
  auto &Leader = *Registry.leader();
  Registry.step(Leader, subscriber_joined{{1}});
  CHECK(!Registry.submitCommand(1, makeOrder("v2")));
  const revision Revision = Leader.Node->state().Revision;
  CHECK(Revision.Value == Registry.rollout().Id.Value);
  Registry.step(Leader, subscriber_applied{{1}, Revision});
  CHECK(Leader.EndedCalls.back().Call == call_id{1});
  CHECK(Leader.EndedCalls.back().End == call_end::done);
  Registry.endRollout(relay::rollout_state::complete);
  CHECK(!Registry.submitCommand(2, makeOrder("v3")));
  Registry.run(800);
  CHECK(Leader.EndedCalls.back().Call == call_id{2});
  CHECK(Leader.EndedCalls.back().End == call_end::done);
}

TEST_CASE("a rollout and its time survive a change of leader",
          "[registry][rollout]") {
  // Guards against an order that is lost with the leader, against a deadline
  // that starts anew, and against a resend that the next leader refuses.
  rollout_group Registry;
  REQUIRE(Registry.submitCommand(1, makeOrder("v2")) == call_end::done);
  const control::rollout Ordered = Registry.rollout();
  Registry.run(3000);
  Registry.leader()->IsUp = false;
  Registry.run(2000);
  REQUIRE(Registry.leader());
  CHECK(Registry.rollout() == Ordered);
  CHECK(Registry.elapsed() >= millis{4900});
  CHECK(Registry.elapsed() <= millis{5100});
  CHECK(Registry.submitCommand(2, makeOrder("v2")) == call_end::done);
  CHECK(Registry.submitCommand(3, makeOrder("v3")) == call_end::conflict);
  CHECK(Registry.rollout() == Ordered);
}

TEST_CASE("the time of a rollout includes the election after its order",
          "[registry][rollout]") {
  // Guards against a deadline that is late by the time without a leader: voters
  // learn from the next leader only that the order is committed.
  rollout_group Registry;
  REQUIRE(Registry.submitCommand(1, makeOrder("v2")) == call_end::done);
  Registry.leader()->IsUp = false;
  Registry.run(2000);
  CHECK(Registry.elapsed() >= millis{1990});
  CHECK(Registry.elapsed() <= millis{2010});
}

TEST_CASE("a resend at the next leader after a rollback starts nothing",
          "[registry][rollout]") {
  // Guards against a bad version that gets requests again because the resend of
  // its order reaches another voter after the rollback.
  rollout_group Registry;
  REQUIRE(Registry.submitCommand(1, makeOrder("v2")) == call_end::done);
  Registry.run(1500);
  Registry.endRollout(relay::rollout_state::rolled_back);
  Registry.leader()->IsUp = false;
  Registry.run(2000);
  REQUIRE(Registry.leader());
  const control::rollout Ended = Registry.rollout();
  CHECK(Registry.submitCommand(2, makeOrder("v2")) == call_end::done);
  CHECK(Registry.rollout() == Ended);
  // The same order after the time for resends is a new one.
  Registry.run(7000);
  CHECK(Registry.submitCommand(3, makeOrder("v2")) == call_end::done);
  CHECK(Registry.rollout().State == relay::rollout_state::in_progress);
}

TEST_CASE("a rollout survives a power loss of all voters",
          "[registry][rollout]") {
  // Guards against a rollout that is forgotten or whose recorded time is.
  rollout_group Registry;
  REQUIRE(Registry.submitCommand(1, makeOrder("v2")) == call_end::done);
  Registry.run(4000);
  Registry.step(*Registry.leader(),
                rollout_decided{control::advance_rollout{
                    {"a"}, Registry.rollout().Id, Registry.elapsed()}});
  Registry.run(200);
  const control::rollout Before = Registry.rollout();
  CHECK(Before.Elapsed >= millis{3900});
  restartAll(Registry, 0, 0);
  Registry.run(500);
  REQUIRE(Registry.leader());
  CHECK(Registry.rollout() == Before);
  CHECK(Registry.elapsed() >= Before.Elapsed);
  CHECK(Registry.elapsed() <= Before.Elapsed + millis{500});
}

TEST_CASE("an accepted order survives the loss of two disks",
          "[registry][rollout]") {
  // Guards against an order that is acknowledged with fewer copies than disks
  // that may be lost: only three voters are in touch, and two of them are lost.
  for (std::uint64_t Seed = 0; Seed < 20; ++Seed) {
    rollout_group Registry;
    while (Registry.leaderIndex() > 2) {
      Registry.step(*Registry.leader(),
                    control::event(control::transfer_leadership{}));
      Registry.run(1000);
      REQUIRE(Registry.leader());
    }
    Registry.Voters[3].IsUp = Registry.Voters[4].IsUp = false;
    REQUIRE(Registry.submitCommand(1, makeOrder("v2")) == call_end::done);
    Registry.run(200);
    REQUIRE(!Registry.rolloutAt(Registry.Voters[3]));
    const control::rollout Before = Registry.rollout();
    restartAll(Registry, 2, Seed);
    Registry.run(3000);
    REQUIRE(Registry.leader());
    CHECK(Registry.rollout() == Before);
  }
}

TEST_CASE("a voter with an empty disk gets the rollouts",
          "[registry][rollout]") {
  // Guards against a replaced voter that leads without the rollouts.
  rollout_group Registry;
  REQUIRE(Registry.submitCommand(1, makeOrder("v2")) == call_end::done);
  Registry.run(2000);
  const std::uint32_t Lost = Registry.leaderIndex() == 4 ? 3 : 4;
  Registry.start(Lost, 3, false, 900);
  Registry.run(2000);
  CHECK(Registry.rolloutAt(Registry.Voters[Lost]) == Registry.rollout());
}

TEST_CASE("a rollout is complete only once its end is committed",
          "[registry][rollout]") {
  // Guards against old endpoints that are stopped although the end may be lost.
  rollout_group Registry;
  REQUIRE(Registry.submitCommand(1, makeOrder("v2")) == call_end::done);
  auto &Leader = *Registry.leader();
  for (auto &Each : Registry.Voters)
    if (&Each != &Leader)
      Each.IsUp = false;
  Registry.step(
      Leader,
      rollout_decided{control::end_rollout{
          {"a"}, Registry.rollout().Id, relay::rollout_state::complete, {}}});
  Registry.run(100);
  CHECK(Registry.rolloutAt(Leader)->State == relay::rollout_state::in_progress);
  for (auto &Each : Registry.Voters)
    Each.IsUp = true;
  Registry.run(3000);
  const auto State = Registry.rollout().State;
  for (const auto &Each : Registry.Voters)
    CHECK(Registry.rolloutAt(Each)->State == State);
}
