/// Simulates members of the replicated log, connected by a network that delays,
/// reorders, duplicates and drops messages and whose links can be cut. Collects
/// the names of violated invariants.
#pragma once

#include "control/replica.h"
#include "fake_disk.h"
#include "store/durable_log.h"

#include <deque>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace bulrush::test {

using namespace bulrush::control;

struct group_settings {
  std::size_t Members = 3;
  std::uint64_t Seed = 1;
  double Drop = 0;      ///< fraction of messages dropped
  double Duplicate = 0; ///< fraction of messages duplicated
  double MaxDelay = 2;  ///< maximum message delay in milliseconds
  double MaxSync = 1;   ///< maximum duration of a sync in milliseconds
  std::size_t SnapshotEvery = 16;
  std::size_t CatchUpEntries = 4;
  std::size_t SnapshotBytes = replica_options{}.SnapshotBytes;
  std::size_t CatchUpBytes = replica_options{}.CatchUpBytes;
  std::size_t ChunkBytes = 64;
};

class replica_group {
public:
  struct node {
    vm_id Vm;
    fake_disk Disk;
    std::optional<store::durable_log> Folder;
    std::optional<replica> Replica;
    std::vector<std::pair<std::uint64_t, std::string>> State;
    std::uint64_t StartCount = 0;
    bool Up = false;
    bool Paused = false;
    bool SyncPlanned = false;
    /// Whether the node transferred its leadership, after which the new leader
    /// may be confirmed at the same time.
    bool HasTransferred = false;
    std::map<std::string, fake_disk::content> Backup;
  };

  explicit replica_group(const group_settings &Settings)
      : Settings(Settings), Random(Settings.Seed) {
    for (std::uint32_t I = 0; I < Settings.Members; ++I) {
      Nodes.push_back(std::make_unique<node>());
      Nodes.back()->Vm = vm_id{I};
    }
    for (auto &Node : Nodes)
      start(*Node);
  }

  group_settings Settings;
  std::mt19937_64 Random;
  instant Now{1000};
  std::vector<std::unique_ptr<node>> Nodes;
  std::set<std::pair<std::uint32_t, std::uint32_t>> CutLinks;
  std::map<std::uint64_t, std::pair<voter_id, instant>> Leaders; ///< by term
  std::map<std::uint64_t, std::string> Applied;                  ///< by index
  std::map<std::uint64_t, std::string> Confirmed;                ///< by index
  std::map<std::uint64_t, outcome> Results; ///< by proposal
  std::set<std::string> Violations;         ///< names of violated invariants
  std::size_t IdentitiesLost = 0;
  std::uint64_t Proposed = 0;

  void start(node &Node) {
    if (Node.Up)
      return;
    auto Folder = store::durable_log::open(
        Node.Disk, {Node.Vm, Random() | 1, std::uint64_t(Now.Ms)});
    if (!Folder) {
      Violations.insert("a data folder survives a crash: " +
                        Folder.error().Message);
      return;
    }
    Node.Folder.emplace(std::move(*Folder));
    replica_options Options;
    for (auto &Other : Nodes)
      Options.Vms.push_back(Other->Vm);
    Options.FleetSize = static_cast<std::uint32_t>(Nodes.size());
    Options.SnapshotEvery = Settings.SnapshotEvery;
    Options.CatchUpEntries = Settings.CatchUpEntries;
    Options.SnapshotBytes = Settings.SnapshotBytes;
    Options.CatchUpBytes = Settings.CatchUpBytes;
    Options.ChunkBytes = Settings.ChunkBytes;
    Node.Replica.emplace(Options, Node.Folder->state(), Random());
    Node.State.clear();
    Node.Up = true;
    Node.Paused = Node.SyncPlanned = false;
    ++Node.StartCount;
    step(Node, tick{});
    schedule(Node, 1 + randomFraction() * 10,
             [this, &Node] { tickPeriodically(Node); });
  }

  void crash(node &Node) {
    if (!Node.Up)
      return;
    Node.Up = false;
    Node.Replica.reset();
    Node.Folder.reset();
    Node.Disk.crash(Random);
  }

  void proposeAt(node &Node, std::string Payload) {
    Payloads[++Proposed] = Payload;
    step(Node, propose{proposal_id{Proposed}, shareBytes(std::move(Payload))});
  }
  /// Proposes a unique payload at the current leader, if there is one.
  void proposeAtLeader() {
    node *Best = leader();
    if (Best)
      proposeAt(*Best, "change " + std::to_string(Proposed + 1));
  }

  /// Returns the running leader with the largest term, or null.
  node *leader() {
    node *Best = nullptr;
    for (auto &Node : Nodes) {
      if (!Node->Up || Node->Paused ||
          Node->Replica->status().Role != replica_role::leader)
        continue;
      if (!Best || Node->Replica->status().Term > Best->Replica->status().Term)
        Best = Node.get();
    }
    return Best;
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

  /// Runs until `Done` returns true, for at most about `Ms` milliseconds.
  /// Returns the last result of `Done`.
  bool runUntil(double Ms, const std::function<bool()> &Done) {
    for (double Elapsed = 0; Elapsed < Ms; Elapsed += 10) {
      if (Done())
        return true;
      run(10);
    }
    return Done();
  }
  bool elect() {
    return runUntil(20000, [this] {
      node *Node = leader();
      return Node && Node->Replica->status().Ready;
    });
  }

  /// Restores all links and restarts or resumes all nodes.
  void heal() {
    CutLinks.clear();
    Settings.Drop = Settings.Duplicate = 0;
    Settings.MaxDelay = group_settings{}.MaxDelay;
    Settings.MaxSync = group_settings{}.MaxSync;
    for (auto &Node : Nodes) {
      resume(*Node);
      start(*Node);
    }
  }
  void resume(node &Node) { Node.Paused = false; }

  /// Whether all members are up and have applied the same entries, including
  /// all confirmed ones.
  bool converged() {
    for (auto &Node : Nodes)
      if (!Node->Up || payloadsOf(*Node) != payloadsOf(*Nodes.front()))
        return false;
    return holdsConfirmed(*Nodes.front());
  }
  bool holdsConfirmed(const node &Node) const {
    std::map<std::uint64_t, std::string> Held(Node.State.begin(),
                                              Node.State.end());
    for (const auto &[Index, Text] : Confirmed) {
      const auto Found = Held.find(Index);
      if (Found == Held.end() || Found->second != Text)
        return false;
    }
    return true;
  }

  /// Checks that two logs with an entry of equal index and term hold equal
  /// entries up to it.
  void checkLogMatching() {
    for (auto &A : Nodes)
      for (auto &B : Nodes)
        if (A->Up && B->Up && A != B && !logsMatch(*A, *B))
          Violations.insert("Log Matching");
  }

  void step(node &Node, const event &Event) {
    if (!Node.Up)
      return;
    std::vector<action> Out;
    Node.Replica->step(Event, Now, Out);
    const std::uint64_t StartCount = Node.StartCount;
    for (action &Action : Out)
      if (Node.Up && Node.StartCount == StartCount)
        std::visit([&](auto &A) { perform(Node, A); }, Action);
    checkConfirmed(Node);
  }

private:
  std::multimap<double, std::function<void()>> Queue;
  std::map<std::uint64_t, std::string> Payloads;

  double randomFraction() { return double(Random() % 1000000) / 1e6; }

  /// Schedules a task that is skipped if the node crashes before, and delayed
  /// while the node is paused.
  void schedule(node &Node, double Ms, std::function<void()> Task) {
    const std::uint64_t StartCount = Node.StartCount;
    Queue.emplace(Now.Ms + Ms, [this, &Node, StartCount, Task] {
      if (!Node.Up || Node.StartCount != StartCount)
        return;
      if (Node.Paused)
        schedule(Node, 5, Task);
      else
        Task();
    });
  }

  void tickPeriodically(node &Node) {
    const std::uint64_t StartCount = Node.StartCount;
    step(Node, tick{});
    if (Node.Up && Node.StartCount == StartCount)
      schedule(Node, 10, [this, &Node] { tickPeriodically(Node); });
  }

  void deliver(const send &Send) {
    const double Delay = randomFraction() * Settings.MaxDelay;
    Queue.emplace(Now.Ms + Delay, [this, Send] {
      node &To = *Nodes.at(Send.Vm.Value);
      const std::uint32_t From = Send.Message.Vm.Value;
      if (CutLinks.count({From, Send.Vm.Value}) || !To.Up)
        return;
      schedule(To, 0,
               [this, Send, &To] { step(To, message_received{Send.Message}); });
    });
  }

  void perform(node &Node, persist &Action) {
    Node.Folder->write(Action);
    if (Node.SyncPlanned)
      return;
    Node.SyncPlanned = true;
    schedule(Node, randomFraction() * Settings.MaxSync, [this, &Node] {
      Node.SyncPlanned = false;
      auto Written = Node.Folder->sync();
      if (Written)
        step(Node, persisted{*Written});
      else
        crash(Node);
    });
  }
  void perform(node &, send &Action) {
    if (randomFraction() >= Settings.Drop)
      deliver(Action);
    if (randomFraction() < Settings.Duplicate)
      deliver(Action);
  }
  void perform(node &Node, apply &Action) {
    const std::string Text =
        std::to_string(Action.Term.Value) + ":" + *Action.Payload;
    if (Applied.emplace(Action.Index.Value, Text).first->second != Text)
      Violations.insert("State Machine Safety");
    if (!Node.State.empty() && Node.State.back().first >= Action.Index.Value)
      Violations.insert("entries are applied once and in order");
    Node.State.emplace_back(Action.Index.Value, *Action.Payload);
  }
  void perform(node &Node, install_snapshot &Action) {
    Node.State.clear();
    if (!Action.Bytes->empty())
      Node.State =
          nlohmann::json::parse(*Action.Bytes).get<decltype(Node.State)>();
  }
  void perform(node &Node, snapshot_requested &) {
    const log_index Index = Node.Replica->status().Applied;
    auto Bytes = shareBytes(nlohmann::json(Node.State).dump());
    schedule(Node, 0, [this, &Node, Index, Bytes] {
      step(Node, snapshot_taken{Index, Bytes});
    });
  }
  void perform(node &Node, became_leader &Action) {
    const voter_id Self = Node.Replica->status().Self;
    const auto Known = Leaders.emplace(Action.Term.Value, std::pair(Self, Now));
    if (Known.first->second.first != Self)
      Violations.insert("Election Safety: at most one leader per term");
  }
  /// Checks that no two members are confirmed leaders at the same time.
  void checkConfirmed(const node &Node) {
    if (!isConfirmed(Node))
      return;
    for (auto &Other : Nodes)
      if (Other.get() != &Node && isConfirmed(*Other))
        Violations.insert("at most one confirmed leader at a time");
  }
  bool isConfirmed(const node &Node) const {
    if (!Node.Up || Node.HasTransferred)
      return false;
    const replica_status Status = Node.Replica->status();
    return Status.Role == replica_role::leader &&
           Status.ConfirmedAt + replica_options{}.ElectionMin > Now;
  }
  void perform(node &Node, leader_ready &) {
    if (!holdsConfirmed(Node))
      Violations.insert("Leader Completeness: committed entries are kept");
  }
  void perform(node &, lost_leadership &) {}
  void perform(node &, proposal_result &Action) {
    const std::uint64_t Proposal = Action.Proposal.Value;
    if (!Results.emplace(Proposal, Action.Outcome).second)
      Violations.insert("one result per proposal");
    if (Action.Outcome == outcome::answered)
      Confirmed[Action.Index.Value] = Payloads[Proposal];
  }
  void perform(node &, group_changed &) {}
  void perform(node &Node, identity_lost &) {
    ++IdentitiesLost;
    Node.Up = false;
    Node.Replica.reset();
    Node.Folder.reset();
    (void)store::durable_log::retire(Node.Disk);
    start(Node);
  }

  static std::vector<std::string> payloadsOf(const node &Node) {
    std::vector<std::string> Result;
    for (const auto &[Index, Text] : Node.State)
      Result.push_back(Text);
    return Result;
  }

  static bool logsMatch(const node &A, const node &B) {
    const std::vector<log_entry> Left = A.Folder->state().Entries;
    std::map<log_index, log_entry> Right;
    for (const log_entry &Entry : B.Folder->state().Entries)
      Right[Entry.Index] = Entry;
    bool Equal = false;
    for (auto Entry = Left.rbegin(); Entry != Left.rend(); ++Entry) {
      const auto Other = Right.find(Entry->Index);
      if (Other == Right.end())
        continue;
      if (Equal && !(Other->second == *Entry))
        return false;
      if (Other->second.Term == Entry->Term && !(Other->second == *Entry))
        return false;
      Equal = Equal || Other->second.Term == Entry->Term;
    }
    return true;
  }
};

} // namespace bulrush::test
