/// Several members of the replicated log, joined by a small message queue that
/// delays, reorders, duplicates, drops and cuts. Broken promises are collected
/// by name.
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
  double Drop = 0;      ///< share of messages
  double Duplicate = 0; ///< share of messages
  double MaxDelay = 2;  ///< ms
  double MaxSync = 1;   ///< ms that a write takes
  std::size_t SnapshotEvery = 16;
  std::size_t CatchUpEntries = 4;
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
    std::uint64_t Life = 0;
    bool Up = false;
    bool Paused = false;
    bool SyncPlanned = false;
    bool TookOver = false; ///< planned transfers end earlier promises
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
  std::set<std::pair<std::uint32_t, std::uint32_t>> Cut;
  std::map<std::uint64_t, std::pair<voter_id, instant>> Leaders; ///< by term
  std::map<std::uint64_t, std::string> Applied;                  ///< by index
  std::map<std::uint64_t, std::string> Confirmed;                ///< by index
  std::map<std::uint64_t, outcome> Results; ///< by proposal
  std::set<std::string> Broken;             ///< names of broken promises
  std::size_t IdentitiesLost = 0;
  std::uint64_t Proposed = 0;

  void start(node &Node) {
    if (Node.Up)
      return;
    auto Folder = store::durable_log::open(
        Node.Disk, {Node.Vm, Random() | 1, std::uint64_t(Now.Ms)});
    if (!Folder) {
      Broken.insert("a crash damages no folder: " + Folder.error().Message);
      return;
    }
    Node.Folder.emplace(std::move(*Folder));
    replica_options Options;
    for (auto &Other : Nodes)
      Options.Vms.push_back(Other->Vm);
    Options.SnapshotEvery = Settings.SnapshotEvery;
    Options.CatchUpEntries = Settings.CatchUpEntries;
    Options.ChunkBytes = Settings.ChunkBytes;
    Node.Replica.emplace(Options, Node.Folder->state(), Random());
    Node.State.clear();
    Node.Up = true;
    Node.Paused = Node.SyncPlanned = false;
    ++Node.Life;
    step(Node, tick{});
    plan(Node, 1 + real() * 10, [this, &Node] { tickAgain(Node); });
  }

  void crash(node &Node) {
    if (!Node.Up)
      return;
    Node.Up = false;
    Node.Replica.reset();
    Node.Folder.reset();
    Node.Disk.crash(Random);
  }

  void propose_(node &Node, std::string Payload) {
    Texts[++Proposed] = Payload;
    step(Node, propose{proposal_id{Proposed}, shareBytes(std::move(Payload))});
  }
  /// One proposal with a text of its own, at the member that leads last.
  void proposeAtLeader() {
    node *Best = leader();
    if (Best)
      propose_(*Best, "change " + std::to_string(Proposed + 1));
  }

  /// The leader with the highest term, or null.
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

  /// Runs until `Done` or for `Ms`; returns whether it was done.
  bool runUntil(double Ms, const std::function<bool()> &Done) {
    for (double Used = 0; Used < Ms; Used += 10) {
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

  /// All links and processes work again.
  void heal() {
    Cut.clear();
    Settings.Drop = Settings.Duplicate = 0;
    Settings.MaxDelay = group_settings{}.MaxDelay;
    Settings.MaxSync = group_settings{}.MaxSync;
    for (auto &Node : Nodes) {
      resume(*Node);
      start(*Node);
    }
  }
  void resume(node &Node) { Node.Paused = false; }

  /// Whether all live members hold every applied entry.
  bool converged() {
    for (auto &Node : Nodes)
      if (!Node->Up || textsOf(*Node) != textsOf(*Nodes.front()))
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

  /// Two logs with an equal entry are equal before it.
  void checkLogMatching() {
    for (auto &A : Nodes)
      for (auto &B : Nodes)
        if (A->Up && B->Up && A != B && !logsMatch(*A, *B))
          Broken.insert("log matching");
  }

  void step(node &Node, const event &Event) {
    if (!Node.Up)
      return;
    std::vector<action> Out;
    Node.Replica->step(Event, Now, Out);
    const std::uint64_t Life = Node.Life;
    for (action &Action : Out)
      if (Node.Up && Node.Life == Life)
        std::visit([&](auto &A) { perform(Node, A); }, Action);
    checkConfirmed(Node);
  }

private:
  std::multimap<double, std::function<void()>> Queue;
  std::map<std::uint64_t, std::string> Texts;

  double real() { return double(Random() % 1000000) / 1e6; }

  /// Runs in this life of the node only; waits while the node is paused.
  void plan(node &Node, double Ms, std::function<void()> What) {
    const std::uint64_t Life = Node.Life;
    Queue.emplace(Now.Ms + Ms, [this, &Node, Life, What] {
      if (!Node.Up || Node.Life != Life)
        return;
      if (Node.Paused)
        plan(Node, 5, What);
      else
        What();
    });
  }

  void tickAgain(node &Node) {
    const std::uint64_t Life = Node.Life;
    step(Node, tick{});
    if (Node.Up && Node.Life == Life)
      plan(Node, 10, [this, &Node] { tickAgain(Node); });
  }

  void deliver(const send &Send) {
    const double Delay = real() * Settings.MaxDelay;
    Queue.emplace(Now.Ms + Delay, [this, Send] {
      node &To = *Nodes.at(Send.Vm.Value);
      const std::uint32_t From = Send.Message.Vm.Value;
      if (Cut.count({From, Send.Vm.Value}) || !To.Up)
        return;
      plan(To, 0,
           [this, Send, &To] { step(To, message_received{Send.Message}); });
    });
  }

  void perform(node &Node, persist &Action) {
    Node.Folder->write(Action);
    if (Node.SyncPlanned)
      return;
    Node.SyncPlanned = true;
    plan(Node, real() * Settings.MaxSync, [this, &Node] {
      Node.SyncPlanned = false;
      auto Written = Node.Folder->sync();
      if (Written)
        step(Node, persisted{*Written});
      else
        crash(Node);
    });
  }
  void perform(node &, send &Action) {
    if (real() >= Settings.Drop)
      deliver(Action);
    if (real() < Settings.Duplicate)
      deliver(Action);
  }
  void perform(node &Node, apply &Action) {
    const std::string Text =
        std::to_string(Action.Term.Value) + ":" + *Action.Payload;
    if (Applied.emplace(Action.Index.Value, Text).first->second != Text)
      Broken.insert("state machine safety");
    if (!Node.State.empty() && Node.State.back().first >= Action.Index.Value)
      Broken.insert("applied once and in order");
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
    plan(Node, 0, [this, &Node, Index, Bytes] {
      step(Node, snapshot_taken{Index, Bytes});
    });
  }
  void perform(node &Node, became_leader &Action) {
    const voter_id Self = Node.Replica->status().Self;
    const auto Known = Leaders.emplace(Action.Term.Value, std::pair(Self, Now));
    if (Known.first->second.first != Self)
      Broken.insert("one leader a term");
  }
  /// Two members never count as confirmed leaders at the same time.
  void checkConfirmed(const node &Node) {
    if (!isConfirmed(Node))
      return;
    for (auto &Other : Nodes)
      if (Other.get() != &Node && isConfirmed(*Other))
        Broken.insert("confirmed leader stands alone");
  }
  bool isConfirmed(const node &Node) const {
    if (!Node.Up || Node.TookOver)
      return false;
    const replica_status Status = Node.Replica->status();
    return Status.Role == replica_role::leader &&
           Status.ConfirmedAt + replica_options{}.ElectionMin > Now;
  }
  void perform(node &Node, leader_ready &) {
    if (!holdsConfirmed(Node))
      Broken.insert("committed is never lost");
  }
  void perform(node &, lost_leadership &) {}
  void perform(node &, proposal_result &Action) {
    const std::uint64_t Proposal = Action.Proposal.Value;
    if (!Results.emplace(Proposal, Action.Outcome).second)
      Broken.insert("one result a proposal");
    if (Action.Outcome == outcome::answered)
      Confirmed[Action.Index.Value] = Texts[Proposal];
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

  static std::vector<std::string> textsOf(const node &Node) {
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
