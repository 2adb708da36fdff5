#include "replica_group.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::control;
using bulrush::test::group_settings;
using bulrush::test::replica_group;

namespace {

void proposeChanges(replica_group &Group, std::size_t Changes) {
  for (std::size_t I = 0; I < Changes; ++I) {
    Group.proposeAtLeader();
    Group.run(10);
  }
}

} // namespace

TEST_CASE("empty folders bootstrap one group and elect a leader", "[replica]") {
  replica_group Group({});
  REQUIRE(Group.elect());
  CHECK(Group.leader()->Replica->status().Group.voterCount() == 3);
  proposeChanges(Group, 20);
  CHECK(Group.Confirmed.size() == 20);
  Group.run(200);
  CHECK(Group.converged());
  CHECK(Group.Violations.empty());
}

TEST_CASE("the group doesn't bootstrap while a machine is missing",
          "[replica]") {
  replica_group Group({});
  Group.crash(*Group.Nodes[2]);
  Group.run(1);
  CHECK_FALSE(Group.elect());
}

TEST_CASE("a confirmed change survives the crash of all members", "[replica]") {
  replica_group Group({});
  REQUIRE(Group.elect());
  for (int Round = 0; Round < 10; ++Round) {
    proposeChanges(Group, 5);
    for (auto &Node : Group.Nodes)
      Group.crash(*Node);
    for (auto &Node : Group.Nodes)
      Group.start(*Node);
    const instant Before = Group.Now;
    REQUIRE(Group.elect());
    CHECK(Group.Now - Before < millis{2000});
  }
  CHECK(Group.Confirmed.size() == 50);
  Group.run(500);
  CHECK(Group.converged());
  CHECK(Group.Violations.empty());
}

TEST_CASE("an isolated leader steps down and its proposals end as unknown",
          "[replica]") {
  replica_group Group({});
  REQUIRE(Group.elect());
  auto *Old = Group.leader();
  const term_id Term = Old->Replica->status().Term;
  for (std::uint32_t I = 0; I < 3; ++I) {
    Group.CutLinks.insert({Old->Vm.Value, I});
    Group.CutLinks.insert({I, Old->Vm.Value});
  }
  Group.proposeAt(*Old, "lost");
  Group.run(2000);
  CHECK(Old->Replica->status().Role != replica_role::leader);
  CHECK(Group.Results[1] == outcome::unknown);
  REQUIRE(Group.leader());
  CHECK(Group.leader() != Old);
  const term_id After = Group.leader()->Replica->status().Term;
  Group.run(60000);
  CHECK(Old->Replica->status().Term == Term);
  Group.heal();
  Group.run(1000);
  CHECK(Group.leader()->Replica->status().Term == After);
  CHECK(Group.converged());
}

TEST_CASE("a follower rejects proposals as not run", "[replica]") {
  replica_group Group({});
  REQUIRE(Group.elect());
  for (auto &Node : Group.Nodes)
    if (Node.get() != Group.leader()) {
      Group.proposeAt(*Node, "x");
      CHECK(Group.Results[Group.Proposed] == outcome::not_run);
    }
}

TEST_CASE("a member with a wiped disk replaces its former identity",
          "[replica]") {
  replica_group Group({});
  REQUIRE(Group.elect());
  proposeChanges(Group, 60);
  auto &Lost = *Group.Nodes[(Group.leader()->Vm.Value + 1) % 3];
  const voter_id Former = Lost.Replica->status().Self;
  Group.crash(Lost);
  Lost.Disk.wipe();
  proposeChanges(Group, 40);
  Group.start(Lost);
  Group.run(3000);
  const replica_status Status = Group.leader()->Replica->status();
  CHECK(Status.Group.find(Former) == nullptr);
  CHECK(Status.Group.hasVoter(Lost.Replica->status().Self));
  CHECK(Status.Group.voterCount() == 3);
  CHECK(Group.converged());
  CHECK(Group.Violations.empty());
}

TEST_CASE("a member on an outdated disk image is refused and rejoins as new",
          "[replica]") {
  replica_group Group({});
  REQUIRE(Group.elect());
  proposeChanges(Group, 10);
  auto &Old = *Group.Nodes[(Group.leader()->Vm.Value + 1) % 3];
  Group.run(200);
  Old.Backup = Old.Disk.backup();
  proposeChanges(Group, 10);
  Group.run(200);
  Group.crash(Old);
  Old.Disk.restore(Old.Backup, true);
  Group.start(Old);
  Group.run(3000);
  CHECK(Group.IdentitiesLost == 1);
  CHECK(Group.leader()->Replica->status().Group.voterCount() == 3);
  CHECK(Group.converged());
  CHECK(Group.Violations.empty());
}

TEST_CASE("a removed member's machine can be added again", "[replica]") {
  replica_group Group({});
  REQUIRE(Group.elect());
  const vm_id Vm{(Group.leader()->Vm.Value + 1) % 3};
  auto &Node = *Group.Nodes[Vm.Value];
  const voter_id Former = Node.Replica->status().Self;
  Group.step(*Group.leader(), remove_member{proposal_id{900}, Vm});
  Group.run(500);
  CHECK(Group.Results[900] == outcome::answered);
  Group.crash(Node);
  Group.start(Node);
  Group.run(3000);
  CHECK(Node.Replica->status().Self != Former);
  CHECK(Group.leader()->Replica->status().Group.voterCount() == 2);
  Group.step(*Group.leader(), add_member{proposal_id{901}, Vm});
  Group.run(1000);
  CHECK(Group.Results[901] == outcome::answered);
  CHECK(Group.leader()->Replica->status().Group.voterCount() == 3);
  CHECK(Group.Violations.empty());
}

TEST_CASE("a restored backup of a replaced member rejoins as a new member",
          "[replica]") {
  replica_group Group({});
  REQUIRE(Group.elect());
  auto &Node = *Group.Nodes[1];
  Node.Backup = Node.Disk.backup();
  for (bool Image : {false, true}) {
    Group.crash(Node);
    Node.Disk.restore(Node.Backup, Image);
    Group.start(Node);
    Group.run(5000);
    Group.proposeAtLeader();
    Group.run(1000);
    CHECK(Group.leader()->Replica->status().Group.voterCount() == 3);
    CHECK(Group.converged());
  }
  CHECK(Group.Violations.empty());
}

TEST_CASE("an outdated image is refused even if its last index is as large",
          "[replica]") {
  replica_group Group({});
  REQUIRE(Group.elect());
  auto &Node = *Group.leader();
  for (std::uint32_t I = 0; I < 3; ++I)
    Group.CutLinks.insert({Node.Vm.Value, I});
  for (int I = 0; I < 9; ++I)
    Group.proposeAt(Node, "never committed");
  Group.run(20);
  Group.crash(Node);
  Node.Backup = Node.Disk.backup();
  Group.heal();
  REQUIRE(Group.elect());
  proposeChanges(Group, 2);
  Group.run(200);
  Group.crash(Node);
  Node.Disk.restore(Node.Backup, true);
  Group.start(Node);
  Group.run(3000);
  CHECK(Group.IdentitiesLost == 1);
  CHECK(Group.converged());
}

TEST_CASE("append replies of an earlier term commit nothing", "[replica]") {
  replica_group Group({});
  REQUIRE(Group.elect());
  auto &Leader = *Group.leader();
  const replica_status Before = Leader.Replica->status();
  for (std::uint32_t I = 0; I < 3; ++I)
    Group.CutLinks.insert({Leader.Vm.Value, I});
  Group.proposeAt(Leader, "at one member only");
  Group.run(20);
  const log_index Last = Leader.Replica->status().LastIndex;
  for (const auto &Member : Before.Group.Members) {
    const message Old{Member.Id,
                      Member.Vm,
                      Before.Self,
                      incarnation_id{1u << 30},
                      term_id{Before.Term.Value - 1},
                      Last,
                      Before.Term,
                      append_reply{true, Last, Last, Group.Now}};
    Group.step(Leader, message_received{Old});
  }
  CHECK(Leader.Replica->status().Commit < Last);
}

TEST_CASE("a leadership transfer doesn't wait for an election timeout",
          "[replica]") {
  replica_group Group({});
  REQUIRE(Group.elect());
  auto *Old = Group.leader();
  Old->HasTransferred = true;
  const instant Before = Group.Now;
  Group.step(*Old, transfer_leadership{});
  REQUIRE(Group.runUntil(
      200, [&] { return Group.leader() && Group.leader() != Old; }));
  CHECK(Group.Now - Before < replica_options{}.ElectionMin);
  CHECK(Group.Violations.empty());
}

TEST_CASE("events of one batch share a single write", "[replica]") {
  replica_group Group({});
  REQUIRE(Group.elect());
  std::vector<event> Batch;
  for (std::uint64_t I = 1; I <= 50; ++I)
    Batch.emplace_back(propose{proposal_id{1000 + I}, shareBytes("x")});
  std::vector<action> Out;
  Group.leader()->Replica->step(Batch, Group.Now, Out);
  std::size_t Writes = 0;
  REQUIRE_FALSE(Out.empty());
  CHECK(std::holds_alternative<persist>(Out.front()));
  for (const action &Action : Out)
    if (const auto *Write = std::get_if<persist>(&Action)) {
      ++Writes;
      CHECK(Write->Entries.size() == 50);
    }
  CHECK(Writes == 1);
}

TEST_CASE("a vote is sent only after it is on disk", "[replica]") {
  recovered_state State;
  State.Self = voter_id{1};
  State.Boot = {1};
  replica Replica({}, State, 1);
  std::vector<action> Out;
  const message Request{voter_id{2},       vm_id{2},      voter_id{1},
                        incarnation_id{1}, term_id{5},    log_index{0},
                        term_id{0},        vote_request{}};
  Replica.step(message_received{Request}, instant{10}, Out);
  REQUIRE(Out.size() == 1);
  const persist *Write = std::get_if<persist>(&Out[0]);
  REQUIRE(Write);
  CHECK(Write->Hard.Vote == voter_id{2});
  const write_id Number = Write->Write;
  Out.clear();
  Replica.step(persisted{Number}, instant{11}, Out);
  REQUIRE(Out.size() == 1);
  const send *Reply = std::get_if<send>(&Out[0]);
  REQUIRE(Reply);
  CHECK(std::get<vote_reply>(Reply->Message.Body).Granted);
}

TEST_CASE("a vote in the current term is persisted and granted only once",
          "[replica]") {
  recovered_state State;
  State.Self = voter_id{1};
  State.Boot = {1};
  State.Hard.Term = {5};
  replica Replica({}, State, 1);
  std::vector<action> Out;
  const instant Late{10000};
  Replica.step(tick{}, instant{10}, Out);
  Out.clear();
  for (std::uint64_t Candidate : {2, 3}) {
    const message Request{voter_id{Candidate}, vm_id{2},      voter_id{1},
                          incarnation_id{1},   term_id{5},    log_index{0},
                          term_id{0},          vote_request{}};
    Replica.step(message_received{Request}, Late, Out);
  }
  REQUIRE_FALSE(Out.empty());
  const persist *Write = std::get_if<persist>(&Out[0]);
  REQUIRE(Write);
  CHECK(Write->Hard.Vote == voter_id{2});
  const write_id Number = Write->Write;
  Out.clear();
  Replica.step(persisted{Number}, Late, Out);
  REQUIRE(Out.size() == 2);
  for (const action &Action : Out) {
    const send &Reply = std::get<send>(Action);
    CHECK(std::get<vote_reply>(Reply.Message.Body).Granted ==
          (Reply.Message.To == voter_id{2}));
  }
}

TEST_CASE("no vote is granted to a candidate with a less up-to-date log",
          "[replica]") {
  recovered_state State;
  State.Self = voter_id{1};
  State.Boot = {1};
  State.Hard.Term = {5};
  State.Entries.push_back({{1}, {4}, entry_kind::noop, shareBytes({})});
  replica Replica({}, State, 1);
  std::vector<action> Out;
  Replica.step(tick{}, instant{10}, Out);
  Out.clear();
  const message Request{voter_id{2}, vm_id{2},
                        voter_id{1}, incarnation_id{1},
                        term_id{5},  log_index{7},
                        term_id{3},  vote_request{false, false, {7}, {3}}};
  Replica.step(message_received{Request}, instant{10000}, Out);
  REQUIRE(Out.size() == 1);
  CHECK_FALSE(
      std::get<vote_reply>(std::get<send>(Out[0]).Message.Body).Granted);
}

TEST_CASE("a voter's own vote and entries count only once they are on disk",
          "[replica]") {
  recovered_state State;
  State.Self = voter_id{1};
  State.Boot = {1};
  State.Hard.Term = {1};
  const voter_group Alone{{{voter_id{1}, vm_id{1}, member_role::voter}}};
  State.Snapshot = log_snapshot{{1}, {1}, Alone, shareBytes({})};
  replica Replica({}, State, 1);
  std::vector<action> Out;
  Replica.step(tick{}, instant{10}, Out);
  Replica.step(tick{}, instant{1000}, Out);
  CHECK(Replica.status().Role == replica_role::candidate);
  Replica.step(persisted{write_id{1}}, instant{1001}, Out);
  CHECK(Replica.status().Role == replica_role::leader);
  CHECK(Replica.status().Commit == log_index{1});
  Replica.step(persisted{write_id{2}}, instant{1002}, Out);
  CHECK(Replica.status().Commit == log_index{2});
}

// Guards against a message of a peer that ends the process: another leader in
// the term of this one broke an invariant, which aborted.
TEST_CASE("a message that breaks an invariant is an exception that names it",
          "[replica]") {
  replica_group Group({});
  REQUIRE(Group.elect());
  auto &Leader = *Group.leader();
  const replica_status Status = Leader.Replica->status();
  const auto &Members = Status.Group.Members;
  const auto &Other = Members[0].Id == Status.Self ? Members[1] : Members[0];
  const message Second{
      Other.Id,    Other.Vm,         Status.Self, incarnation_id{1000},
      Status.Term, Status.LastIndex, Status.Term, append_request{}};
  std::vector<action> Out;
  CHECK_THROWS_WITH(
      Leader.Replica->step(message_received{Second}, Group.Now, Out),
      "invariant violated: two leaders in one term");
}

// Guards against a rejection that names entries this leader never had: it went
// on beyond its log, and the member stayed behind.
TEST_CASE("a rejection beyond the leader's log sends no snapshot",
          "[replica]") {
  group_settings Settings;
  Settings.SnapshotEvery = 1000;
  replica_group Group(Settings);
  REQUIRE(Group.elect());
  proposeChanges(Group, 3);
  auto &Leader = *Group.leader();
  const replica_status Status = Leader.Replica->status();
  for (const auto &Member : Status.Group.Members) {
    if (Member.Id == Status.Self)
      continue;
    const log_index Beyond{Status.LastIndex.Value + 1000};
    const message Rejection{
        Member.Id,   Member.Vm,
        Status.Self, incarnation_id{1000},
        Status.Term, Status.LastIndex,
        Status.Term, append_reply{false, Beyond, Beyond, Group.Now}};
    Group.step(Leader, message_received{Rejection});
  }
  CHECK(Leader.Replica->status().Role == replica_role::leader);
  proposeChanges(Group, 3);
  Group.run(100);
  CHECK(Group.converged());
}

// Guards against a log of few large entries that fills the memory and the disk
// of its members, as only its number of entries is bounded.
TEST_CASE("a log of large entries is compacted by bytes", "[replica]") {
  constexpr std::size_t EntryBytes = 1000;
  group_settings Settings;
  Settings.SnapshotEvery = 1000;
  Settings.CatchUpEntries = 1000;
  Settings.SnapshotBytes = 10 * EntryBytes;
  Settings.CatchUpBytes = 4 * EntryBytes;
  replica_group Group(Settings);
  REQUIRE(Group.elect());
  for (int I = 0; I < 100; ++I) {
    Group.proposeAt(*Group.leader(), std::string(EntryBytes, 'a' + I % 26));
    Group.run(10);
    for (auto &Node : Group.Nodes)
      REQUIRE(Node->Folder->state().Entries.size() <= 16);
  }
  Group.run(200);
  CHECK(Group.Confirmed.size() == 100);
  CHECK(Group.converged());
  CHECK(Group.Violations.empty());
}

// Guards against a member that stays behind for good, as the entries that it
// lacks were dropped for their bytes.
TEST_CASE("a member that lacks more bytes than are kept gets the snapshot",
          "[replica]") {
  constexpr std::size_t EntryBytes = 1000;
  group_settings Settings;
  Settings.SnapshotEvery = 1000;
  Settings.CatchUpEntries = 1000;
  Settings.SnapshotBytes = 5 * EntryBytes;
  Settings.CatchUpBytes = GENERATE(std::size_t{0}, 2 * EntryBytes);
  Settings.ChunkBytes = 4096;
  replica_group Group(Settings);
  REQUIRE(Group.elect());
  auto &Behind = *(Group.leader() == Group.Nodes[0].get() ? Group.Nodes[1]
                                                          : Group.Nodes[0]);
  Group.crash(Behind);
  for (int I = 0; I < 40; ++I) {
    Group.proposeAt(*Group.leader(), std::string(EntryBytes, 'x'));
    Group.run(10);
  }
  Group.start(Behind);
  CHECK(Group.runUntil(5000, [&] { return Group.converged(); }));
  CHECK(Group.Confirmed.size() == 40);
  CHECK(Group.Violations.empty());
}
