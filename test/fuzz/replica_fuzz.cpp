// Stateful fuzzing of the replicated log over data folders that lose what was
// not synced. The promises are named in test/replica_group.h.
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

/// What the next command may be.
struct group_model {
  std::array<bool, Members> Up{true, true, true};
  std::array<bool, Members> Paused{};
  std::array<bool, Members> HasBackup{};
};

using group_command = rc::state::Command<group_model, replica_group>;

void checkPromises(replica_group &Group) {
  Group.checkLogMatching();
  if (!Group.Broken.empty())
    RC_FAIL(*Group.Broken.begin());
}

/// Whether all machines are voters: a second disk may only go after that.
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

/// A command at one member; `Run` does it.
class at_member : public group_command {
public:
  std::size_t Member = *rc::gen::inRange<std::size_t>(0, Members);

  void run(const group_model &, replica_group &Group) const override {
    act(Group, *Group.Nodes[Member]);
    checkPromises(Group);
  }
  void show(std::ostream &Out) const override {
    Out << name() << " " << Member;
  }
  virtual const char *name() const = 0;
  virtual void act(replica_group &Group, replica_group::node &Node) const = 0;
};

class crash_member final : public at_member {
  void checkPreconditions(const group_model &Model) const override {
    RC_PRE(Model.Up[Member]);
  }
  void apply(group_model &Model) const override {
    Model.Up[Member] = Model.Paused[Member] = false;
  }
  const char *name() const override { return "crash"; }
  void act(replica_group &Group, replica_group::node &Node) const override {
    Group.crash(Node);
  }
};

class start_member final : public at_member {
  void checkPreconditions(const group_model &Model) const override {
    RC_PRE(!Model.Up[Member]);
  }
  void apply(group_model &Model) const override { Model.Up[Member] = true; }
  const char *name() const override { return "start"; }
  void act(replica_group &Group, replica_group::node &Node) const override {
    Group.start(Node);
  }
};

class pause_member final : public at_member {
  void checkPreconditions(const group_model &Model) const override {
    RC_PRE(Model.Up[Member]);
  }
  void apply(group_model &Model) const override {
    Model.Paused[Member] = !Model.Paused[Member];
  }
  const char *name() const override { return "pause or resume"; }
  void act(replica_group &, replica_group::node &Node) const override {
    Node.Paused = !Node.Paused;
  }
};

/// A power failure of all machines at the same moment.
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
    checkPromises(Group);
  }
  void show(std::ostream &Out) const override { Out << "crash all"; }
};

class cut_links final : public at_member {
public:
  bool Send = *rc::gen::arbitrary<bool>();
  bool Receive = *rc::gen::arbitrary<bool>();

private:
  const char *name() const override { return "cut"; }
  void act(replica_group &Group, replica_group::node &Node) const override {
    for (std::uint32_t Other = 0; Other < Members; ++Other) {
      if (Send)
        Group.Cut.insert({Node.Vm.Value, Other});
      if (Receive)
        Group.Cut.insert({Other, Node.Vm.Value});
    }
  }
};

/// Changes what the network does from now on.
class set_network final : public group_command {
public:
  int Drop = *rc::gen::element(0, 0, 10, 40);
  int Duplicate = *rc::gen::element(0, 20);
  int Delay = *rc::gen::element(1, 5, 100, 400);
  int Sync = *rc::gen::element(1, 20, 200);

private:
  void run(const group_model &, replica_group &Group) const override {
    Group.Cut.clear();
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
  int EachMs = *rc::gen::element(0, 5, 60);
  bool Settle = *rc::gen::arbitrary<bool>();

private:
  void run(const group_model &, replica_group &Group) const override {
    if (Settle)
      Group.elect();
    for (int I = 0; I < Count; ++I) {
      Group.proposeAtLeader();
      Group.run(EachMs);
    }
    checkPromises(Group);
  }
  void show(std::ostream &Out) const override {
    Out << "propose " << Count << " each " << EachMs << "ms settle=" << Settle;
  }
};

class pass_time final : public group_command {
public:
  int Ms = *rc::gen::element(1, 30, 300, 2000);

private:
  void run(const group_model &, replica_group &Group) const override {
    Group.run(Ms);
    checkPromises(Group);
  }
  void show(std::ostream &Out) const override { Out << "run " << Ms << "ms"; }
};

class back_up_disk final : public at_member {
  void apply(group_model &Model) const override {
    Model.HasBackup[Member] = true;
  }
  const char *name() const override { return "back up disk"; }
  void act(replica_group &, replica_group::node &Node) const override {
    Node.Backup = Node.Disk.backup();
  }
};

/// The disk of one member comes back empty, as copied files or as an old image,
/// once the group has got over the last loss.
class lose_disk final : public at_member {
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
  void act(replica_group &Group, replica_group::node &Node) const override {
    Group.heal();
    if (!Group.runUntil(SettleMs, [&] { return isRepaired(Group); }))
      RC_FAIL("a healed group repairs itself");
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
      RC_FAIL("an old copy or an empty disk is not its former self");
  }
};

void finish(replica_group &Group) {
  Group.heal();
  if (!Group.elect())
    RC_FAIL("a healed group elects a leader");
  Group.proposeAtLeader();
  if (!Group.runUntil(SettleMs, [&] { return Group.converged(); }))
    RC_FAIL("a healed group converges with every confirmed change");
  checkPromises(Group);
}

template <class... Commands>
void fuzzGroup(std::uint64_t Seed, int Runs, int Size) {
  const auto Property = [] {
    group_settings Settings;
    Settings.Seed = *rc::gen::arbitrary<std::uint64_t>();
    Settings.SnapshotEvery = *rc::gen::element<std::size_t>(5, 16, 1000);
    Settings.CatchUpEntries = *rc::gen::element<std::size_t>(0, 3, 100);
    replica_group Group(Settings);
    if (!Group.elect())
      RC_FAIL("empty folders form a group");
    rc::state::check(group_model{}, Group,
                     rc::state::gen::execOneOfWithArgs<Commands...>());
    finish(Group);
  };
  checkProperty("replica", Runs, Size, Property, Seed);
}

} // namespace

TEST_CASE("crashes, pauses and cuts lose no confirmed change",
          "[fuzz][replica]") {
  fuzzGroup<crash_member, start_member, pause_member, cut_links, set_network,
            propose_changes, pass_time, crash_all>(1, 150, 60);
}

TEST_CASE("lost and old disks lose no confirmed change", "[fuzz][replica]") {
  fuzzGroup<crash_member, start_member, cut_links, set_network, propose_changes,
            pass_time, back_up_disk, lose_disk>(2, 100, 40);
}

TEST_CASE("slow links and duplicates lose no confirmed change",
          "[fuzz][replica]") {
  fuzzGroup<crash_member, start_member, set_network, propose_changes,
            crash_all>(3, 100, 60);
}
