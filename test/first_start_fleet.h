/// Simulates registries that start for the first time: their disks, links that
/// can be cut, and processes that end and come back. A message is lost with the
/// process that it was sent to, as on a connection.
#pragma once

#include "control/replica.h"
#include "fake_disk.h"
#include "store/durable_log.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace bulrush::test {

using namespace bulrush::control;

class first_start_fleet {
public:
  struct machine {
    vm_id Vm;
    fake_disk Disk;
    std::optional<store::durable_log> Folder;
    std::optional<replica> Replica;
    std::vector<vm_id> Seeds;
    std::uint32_t FleetSize = 0; ///< that it is told
    std::uint64_t Runs = 0;
    bool IsUp = false;
    bool HasStarted = false; ///< told of the first start, or too late for it
    bool IsDiskStuck = false;
    bool IsDamaged = false; ///< its files were damaged at least once
    bool IsSyncPlanned = false;
  };

  static constexpr std::size_t Losses = 2;
  static constexpr std::size_t InitialSize = 2 * Losses + 1;

  explicit first_start_fleet(std::uint64_t Seed,
                             std::size_t Machines = InitialSize,
                             std::size_t Seeds = 3)
      : Random(Seed) {
    for (std::uint32_t I = 0; I < Machines; ++I) {
      All.push_back(std::make_unique<machine>());
      All.back()->Vm = {I + 1};
    }
    for (auto &Each : All)
      for (std::uint32_t I = 0; I < Seeds; ++I)
        Each->Seeds.push_back({I + 1});
  }

  std::mt19937_64 Random;
  instant Now{1000};
  std::vector<std::unique_ptr<machine>> All;
  std::set<std::pair<std::uint32_t, std::uint32_t>> CutLinks; ///< directed
  double MaxDelay = 2;             ///< of a message, in milliseconds
  double MaxSync = 2;              ///< duration of a sync, in milliseconds
  std::vector<voter_group> Formed; ///< different first groups

  machine &at(std::size_t Index) { return *All[Index]; }
  double fraction() { return static_cast<double>(Random() % 1'000'000) / 1e6; }

  void start(machine &Machine) {
    if (Machine.IsUp)
      return;
    auto Folder = store::durable_log::openRepaired(
        Machine.Disk,
        {Machine.Vm, Random() | 1, static_cast<std::uint64_t>(Now.Ms), false});
    if (!Folder)
      return;
    Machine.Folder.emplace(std::move(*Folder));
    replica_options Options;
    Options.Vms = Machine.Seeds;
    Options.IsFirstStart = !std::exchange(Machine.HasStarted, true);
    Options.FleetSize = Machine.FleetSize;
    Options.InitialSize = InitialSize;
    Options.UnrecordedDelay = {1000};
    Options.MinCommitCopies = Losses + 1;
    Options.Heartbeat = {100};
    Options.ElectionMin = {400};
    Options.ElectionMax = {800};
    Options.FirstElectionMax = millis{120};
    Options.HasLeases = false;
    Options.CheckInTimeout = {150};
    Machine.Replica.emplace(Options, Machine.Folder->state(), Random());
    ++Machine.Runs;
    Machine.IsUp = true;
    Machine.IsSyncPlanned = false;
    tickPeriodically(Machine);
  }
  void startAll() {
    for (auto &Each : All)
      start(*Each);
  }

  /// Ends the process; the files stay.
  void kill(machine &Machine) {
    Machine.IsUp = false;
    Machine.Replica.reset();
    Machine.Folder.reset();
  }
  void losePower(machine &Machine) {
    kill(Machine);
    Machine.Disk.crash(Random);
  }
  void loseDisk(machine &Machine) {
    kill(Machine);
    Machine.Disk.wipe();
  }
  /// Ends the process and damages its files in one of several ways.
  void damageDisk(machine &Machine) {
    kill(Machine);
    const std::uint64_t Way = Random() % 4;
    for (const auto &[Name, File] : Machine.Disk.backup()) {
      if (Name != "log" && Name != "snapshot" && Name != "bootstrap")
        continue;
      std::string &Bytes = Machine.Disk.bytes(Name);
      if (Way == 0)
        Bytes.clear();
      else if (Way == 1)
        Bytes.assign(Bytes.size(), '\0');
      else if (Way == 2)
        Bytes.front() ^= 0x55;
      else
        Machine.Disk.makeFolder(Name);
      Machine.IsDamaged = true;
    }
    Machine.Disk.syncAll();
  }
  void cut(std::uint32_t From, std::uint32_t To) {
    CutLinks.insert({From, To});
  }
  void cutBoth(std::uint32_t A, std::uint32_t B) {
    cut(A, B);
    cut(B, A);
  }

  void run(double Ms) {
    const instant End = Now + millis{Ms};
    while (!Queue.empty() && Queue.begin()->first <= End.Ms) {
      auto Next = Queue.extract(Queue.begin());
      Now = {std::max(Now.Ms, Next.key())};
      Next.mapped()();
    }
    Now = End;
  }

  machine *leader() {
    for (auto &Each : All)
      if (Each->IsUp && Each->Replica->status().Ready)
        return Each.get();
    return nullptr;
  }
  bool elects(double Ms) {
    for (double Done = 0; Done < Ms && !leader(); Done += 10)
      run(10);
    return leader() != nullptr;
  }

  /// Whether all machines are members of one group with a leader within `Ms`.
  bool isWhole(double Ms) {
    const auto HasAll = [&] {
      if (!leader())
        return false;
      const voter_group &Group = leader()->Replica->status().Group;
      for (auto &Each : All)
        if (Each->IsUp && Each->Replica->status().Group.find(
                              leader()->Replica->status().Self) == nullptr)
          return false;
      return !Group.Members.empty();
    };
    for (double Done = 0; Done < Ms && !HasAll(); Done += 50)
      run(50);
    return HasAll();
  }

  /// Whether the group has exactly the folders of all machines as voters within
  /// `Ms`.
  bool isRestored(double Ms) {
    const auto IsRestored = [&] {
      if (!leader())
        return false;
      const voter_group &Group = leader()->Replica->status().Group;
      std::size_t Voters = 0;
      for (auto &Each : All)
        if (Each->IsUp && Group.hasVoter(Each->Replica->status().Self))
          ++Voters;
      return Voters == All.size() && Group.Members.size() == Voters;
    };
    for (double Done = 0; Done < Ms && !IsRestored(); Done += 50)
      run(50);
    return IsRestored();
  }

  bootstrap_wait wait(std::size_t Index) {
    return at(Index).Replica->status().Bootstrap.Wait;
  }

private:
  std::multimap<double, std::function<void()>> Queue;
  std::uint64_t LastProposal = 0;

  void schedule(machine &Machine, double Ms, std::function<void()> Task) {
    Queue.emplace(Now.Ms + Ms,
                  [&Machine, Runs = Machine.Runs, Task = std::move(Task)] {
                    if (Machine.IsUp && Machine.Runs == Runs)
                      Task();
                  });
  }

  void tickPeriodically(machine &Machine) {
    step(Machine, tick{});
    addMembers(Machine);
    schedule(Machine, 10, [this, &Machine] { tickPeriodically(Machine); });
  }

  /// As the registry's voter manager does.
  void addMembers(machine &Machine) {
    for (auto &Each : All) {
      if (!Machine.IsUp ||
          Machine.Replica->status().Role != replica_role::leader)
        return;
      if (!Machine.Replica->status().Group.findByVm(Each->Vm))
        step(Machine, add_member{proposal_id{++LastProposal}, Each->Vm});
    }
  }

  void step(machine &Machine, const event &Event) {
    std::vector<action> Out;
    Machine.Replica->step(Event, Now, Out);
    const std::uint64_t Runs = Machine.Runs;
    for (action &Each : Out)
      if (Machine.IsUp && Machine.Runs == Runs)
        std::visit([&](auto &Action) { perform(Machine, Action); }, Each);
  }

  void perform(machine &Machine, persist &Action) {
    Machine.Folder->write(Action);
    planSync(Machine);
  }
  void planSync(machine &Machine) {
    if (std::exchange(Machine.IsSyncPlanned, true))
      return;
    schedule(Machine, fraction() * MaxSync, [this, &Machine] {
      Machine.IsSyncPlanned = false;
      if (Machine.IsDiskStuck) {
        planSync(Machine);
        return;
      }
      if (const auto Written = Machine.Folder->sync())
        step(Machine, persisted{*Written});
    });
  }
  void perform(machine &Machine, send &Action) {
    for (auto &To : All) {
      if (To->Vm != Action.Vm || !To->IsUp)
        continue;
      machine &Receiver = *To;
      schedule(Receiver, fraction() * MaxDelay,
               [this, &Receiver, &Machine, Runs = Machine.Runs,
                Message = Action.Message] {
                 if (CutLinks.count({Machine.Vm.Value, Receiver.Vm.Value}))
                   return;
                 step(Receiver, message_received{Message});
                 if (Machine.IsUp && Machine.Runs == Runs &&
                     std::holds_alternative<join_request>(Message.Body))
                   tellMembers(Receiver, Machine);
               });
    }
  }
  /// As the registry replies to a request to join.
  void tellMembers(machine &Member, machine &To) {
    if (!Member.IsUp)
      return;
    vms_discovered Known{{}, Member.Vm};
    for (const group_member &Each : Member.Replica->status().Group.Members)
      Known.Vms.push_back(Each.Vm);
    if (!Known.Vms.empty() && !CutLinks.count({Member.Vm.Value, To.Vm.Value}))
      schedule(To, fraction() * MaxDelay,
               [this, &To, Known] { step(To, Known); });
  }
  void perform(machine &, group_changed &Action) {
    if (!Action.IsFirst)
      return;
    for (const voter_group &Each : Formed)
      if (Each == Action.Group)
        return;
    Formed.push_back(Action.Group);
  }
  void perform(machine &Machine, identity_lost &) {
    kill(Machine);
    if (store::durable_log::retire(Machine.Disk))
      start(Machine);
  }
  template <class other> void perform(machine &, other &) {}
};

} // namespace bulrush::test
