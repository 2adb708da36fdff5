// Stateful fuzzing of the replicated log on disks that lose unsynced data in a
// crash. test/replica_group.h checks the invariants.
#include "fuzz_params.h"
#include "replica_group.h"

#include <array>
#include <rapidcheck/state.h>

using namespace bulrush;
using namespace bulrush::control;
using bulrush::test::checkProperty;
using bulrush::test::group_settings;
using bulrush::test::replica_group;

namespace {

constexpr std::size_t Members = 3;
constexpr double SettleMs = 15000;

/// The model state that determines which commands are valid next.
struct group_model {
  std::array<bool, Members> Up{true, true, true};
  std::array<bool, Members> Paused{};
  std::array<bool, Members> HasBackup{};
};

using group_command = rc::state::Command<group_model, replica_group>;

void checkInvariants(replica_group &Group) {
  Group.checkLogMatching();
  if (!Group.Violations.empty())
    RC_FAIL(*Group.Violations.begin());
}

/// Whether the members on all VMs are voters and have converged. Another disk
/// may be lost only then.
bool isRepaired(replica_group &Group) {
  auto *Leader = Group.leader();
  if (!Leader || !Leader->Replica->status().Ready)
    return false;
  const voter_group &Voters = Leader->Replica->status().Group;
  for (auto &Node : Group.Nodes)
    if (!Node->Up || !Voters.hasVoter(Node->Replica->status().Self))
      return false;
  return Voters.Members.size() == Members && Group.converged();
}

/// A command at one random member, implemented by `runAt`.
class member_command : public group_command {
public:
  std::size_t Member = *rc::gen::inRange<std::size_t>(0, Members);

  void run(const group_model &, replica_group &Group) const override {
    runAt(Group, *Group.Nodes[Member]);
    checkInvariants(Group);
  }
  void show(std::ostream &Out) const override {
    Out << name() << " " << Member;
  }
  virtual const char *name() const = 0;
  virtual void runAt(replica_group &Group, replica_group::node &Node) const = 0;
};

class crash_member final : public member_command {
  void checkPreconditions(const group_model &Model) const override {
    RC_PRE(Model.Up[Member]);
  }
  void apply(group_model &Model) const override {
    Model.Up[Member] = Model.Paused[Member] = false;
  }
  const char *name() const override { return "crash"; }
  void runAt(replica_group &Group, replica_group::node &Node) const override {
    Group.crash(Node);
  }
};

class start_member final : public member_command {
  void checkPreconditions(const group_model &Model) const override {
    RC_PRE(!Model.Up[Member]);
  }
  void apply(group_model &Model) const override { Model.Up[Member] = true; }
  const char *name() const override { return "start"; }
  void runAt(replica_group &Group, replica_group::node &Node) const override {
    Group.start(Node);
  }
};

class pause_member final : public member_command {
  void checkPreconditions(const group_model &Model) const override {
    RC_PRE(Model.Up[Member]);
  }
  void apply(group_model &Model) const override {
    Model.Paused[Member] = !Model.Paused[Member];
  }
  const char *name() const override { return "pause or resume"; }
  void runAt(replica_group &, replica_group::node &Node) const override {
    Node.Paused = !Node.Paused;
  }
};

/// A simultaneous power failure and restart of all VMs.
class crash_all final : public group_command {
  void apply(group_model &Model) const override {
    Model.Up.fill(true);
    Model.Paused.fill(false);
  }
  void run(const group_model &, replica_group &Group) const override {
    for (auto &Node : Group.Nodes)
      Group.crash(*Node);
    for (auto &Node : Group.Nodes)
      Group.start(*Node);
    checkInvariants(Group);
  }
  void show(std::ostream &Out) const override { Out << "crash all"; }
};

class cut_links final : public member_command {
public:
  bool Send = *rc::gen::arbitrary<bool>();
  bool Receive = *rc::gen::arbitrary<bool>();

private:
  const char *name() const override { return "cut"; }
  void runAt(replica_group &Group, replica_group::node &Node) const override {
    for (std::uint32_t Other = 0; Other < Members; ++Other) {
      if (Send)
        Group.CutLinks.insert({Node.Vm.Value, Other});
      if (Receive)
        Group.CutLinks.insert({Other, Node.Vm.Value});
    }
  }
};

/// Restores all links and sets the fault rates of the network and the disks.
class set_network final : public group_command {
public:
  int Drop = *rc::gen::element(0, 0, 10, 40);
  int Duplicate = *rc::gen::element(0, 20);
  int Delay = *rc::gen::element(1, 5, 100, 400);
  int Sync = *rc::gen::element(1, 20, 200);

private:
  void run(const group_model &, replica_group &Group) const override {
    Group.CutLinks.clear();
    Group.Settings.Drop = Drop / 100.0;
    Group.Settings.Duplicate = Duplicate / 100.0;
    Group.Settings.MaxDelay = Delay;
    Group.Settings.MaxSync = Sync;
  }
  void show(std::ostream &Out) const override {
    Out << "network drop=" << Drop << "% duplicate=" << Duplicate
        << "% delay=" << Delay << "ms sync=" << Sync << "ms";
  }
};

class propose_changes final : public group_command {
public:
  int Count = *rc::gen::inRange(1, 12);
  int IntervalMs = *rc::gen::element(0, 5, 60);
  bool WaitForLeader = *rc::gen::arbitrary<bool>();

private:
  void run(const group_model &, replica_group &Group) const override {
    if (WaitForLeader)
      Group.elect();
    for (int I = 0; I < Count; ++I) {
      Group.proposeAtLeader();
      Group.run(IntervalMs);
    }
    checkInvariants(Group);
  }
  void show(std::ostream &Out) const override {
    Out << "propose " << Count << " each " << IntervalMs
        << "ms wait for leader=" << WaitForLeader;
  }
};

class advance_time final : public group_command {
public:
  int Ms = *rc::gen::element(1, 30, 300, 2000);

private:
  void run(const group_model &, replica_group &Group) const override {
    Group.run(Ms);
    checkInvariants(Group);
  }
  void show(std::ostream &Out) const override { Out << "run " << Ms << "ms"; }
};

class back_up_disk final : public member_command {
  void apply(group_model &Model) const override {
    Model.HasBackup[Member] = true;
  }
  const char *name() const override { return "back up disk"; }
  void runAt(replica_group &, replica_group::node &Node) const override {
    Node.Backup = Node.Disk.backup();
  }
};

/// Restarts one member with an empty disk, with copied files or with an old
/// disk image, once the group has recovered from the previous loss.
class lose_disk final : public member_command {
public:
  int Kind = *rc::gen::inRange(0, 3);

private:
  void checkPreconditions(const group_model &Model) const override {
    RC_PRE(Kind == 0 || Model.HasBackup[Member]);
  }
  void apply(group_model &Model) const override {
    Model.Up.fill(true);
    Model.Paused.fill(false);
  }
  const char *name() const override {
    constexpr const char *Names[] = {"empty disk", "copied files",
                                     "old disk image"};
    return Names[Kind];
  }
  void runAt(replica_group &Group, replica_group::node &Node) const override {
    Group.heal();
    if (!Group.runUntil(SettleMs, [&] { return isRepaired(Group); }))
      RC_FAIL("the healed group did not recover");
    for (int I = 0; I < 3; ++I) {
      Group.proposeAtLeader();
      Group.run(300);
    }
    const voter_id Former = Node.Replica->status().Self;
    const log_index Held = Node.Replica->status().LastIndex;
    Group.crash(Node);
    Node.Disk.restore(Kind == 0 ? decltype(Node.Backup){} : Node.Backup,
                      Kind == 2);
    Group.start(Node);
    Group.run(300);
    const bool IsFormer = Node.Up && Node.Replica->status().Self == Former &&
                          Node.Replica->status().LastIndex < Held;
    if (IsFormer)
      RC_FAIL("an outdated or empty disk kept its former voter id");
  }
};

void finish(replica_group &Group) {
  Group.heal();
  if (!Group.elect())
    RC_FAIL("the healed group elected no leader");
  Group.proposeAtLeader();
  if (!Group.runUntil(SettleMs, [&] { return Group.converged(); }))
    RC_FAIL("the healed group did not converge on all confirmed changes");
  checkInvariants(Group);
}

template <class... Commands>
void fuzzGroup(std::uint64_t Seed, int Runs, int Size) {
  const auto Property = [] {
    group_settings Settings;
    Settings.Seed = *rc::gen::arbitrary<std::uint64_t>();
    Settings.SnapshotEvery = *rc::gen::element<std::size_t>(5, 16, 1000);
    Settings.CatchUpEntries = *rc::gen::element<std::size_t>(0, 3, 100);
    Settings.SnapshotBytes = *rc::gen::element<std::size_t>(40, 1 << 20);
    Settings.CatchUpBytes = *rc::gen::element<std::size_t>(0, 30, 1 << 20);
    replica_group Group(Settings);
    if (!Group.elect())
      RC_FAIL("empty folders bootstrapped no group");
    rc::state::check(group_model{}, Group,
                     rc::state::gen::execOneOfWithArgs<Commands...>());
    finish(Group);
  };
  checkProperty("replica", Runs, Size, Property, Seed);
}

} // namespace

TEST_CASE("crashes, pauses and cut links lose no confirmed change",
          "[fuzz][replica]") {
  fuzzGroup<crash_member, start_member, pause_member, cut_links, set_network,
            propose_changes, advance_time, crash_all>(1, 150, 60);
}

TEST_CASE("lost and outdated disks lose no confirmed change",
          "[fuzz][replica]") {
  fuzzGroup<crash_member, start_member, cut_links, set_network, propose_changes,
            advance_time, back_up_disk, lose_disk>(2, 100, 40);
}

TEST_CASE("slow links and duplicated messages lose no confirmed change",
          "[fuzz][replica]") {
  fuzzGroup<crash_member, start_member, set_network, propose_changes,
            crash_all>(3, 100, 60);
}
