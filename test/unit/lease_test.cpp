#include "control/lease_holder.h"
#include "control/lease_table.h"
#include "control/membership_tracker.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::control;

namespace {

const daemon_id DaemonA{vm_id{1}, incarnation_id{1}};
const daemon_id DaemonB{vm_id{2}, incarnation_id{1}};
const endpoint_id Endpoint{7};
constexpr millis MaxInFlight{600};

/// Exchanges one heartbeat and its reply, each delayed by `Delay`.
bool exchange(lease_table &Table, const daemon_id &Daemon, lease_holder &Holder,
              instant SentAt, millis Delay = {}) {
  const heartbeat Heartbeat = Holder.nextHeartbeat(SentAt, {}, 0);
  const instant ReceivedAt = SentAt + Delay;
  Table.onHeartbeat(Daemon, Heartbeat);
  heartbeat_reply Reply;
  Reply.Sequence = Heartbeat.Sequence;
  Reply.Term = term_id{1};
  Reply.Freshness = FreshnessLease;
  Table.renewLease(Daemon, ReceivedAt, ReceivedAt, Reply);
  return Holder.applyReply(Reply, {}, ReceivedAt + Delay);
}

} // namespace

TEST_CASE("a lease is measured from the time the heartbeat was sent") {
  lease_table Table({1}, {0}, MaxInFlight, {{Endpoint, DaemonA}});
  lease_holder Holder;
  const instant SentAt{1000};
  exchange(Table, DaemonA, Holder, SentAt, millis{800});
  CHECK(Holder.owns(Endpoint, SentAt + OwnerLease - millis{1}));
  CHECK_FALSE(Holder.owns(Endpoint, SentAt + OwnerLease));
  CHECK(Holder.isFresh(SentAt + FreshnessLease - millis{1}));
  CHECK_FALSE(Holder.isFresh(SentAt + FreshnessLease));
  CHECK_FALSE(Holder.owns(endpoint_id{8}, instant{1700}));
}

TEST_CASE("an endpoint moves after the old holder acknowledged losing it") {
  lease_table Table({1}, {0}, MaxInFlight, {{Endpoint, DaemonA}});
  lease_holder Old, New;
  exchange(Table, DaemonA, Old, {0});
  exchange(Table, DaemonB, New, {0});
  Table.setTargets({{Endpoint, DaemonB}});
  CHECK(Table.readyMoves({100}).empty());
  CHECK(exchange(Table, DaemonA, Old, {100}));
  CHECK_FALSE(Old.owns(Endpoint, {101}));
  CHECK(Table.readyMoves({150}).empty());
  exchange(Table, DaemonA, Old, {200});
  REQUIRE(Table.readyMoves({200}) ==
          std::vector<assignment>{{Endpoint, DaemonB}});
  CHECK(Table.readyMoves({200}).empty());
  exchange(Table, DaemonB, New, {250});
  CHECK_FALSE(New.owns(Endpoint, {251}));
  Table.onMoveCommitted({Endpoint, DaemonB}, {300}, MaxInFlight);
  exchange(Table, DaemonB, New, {400});
  CHECK(New.owns(Endpoint, {401}));
  CHECK(New.granted().at(Endpoint) >= instant{900});
}

TEST_CASE("a silent holder's endpoint moves only after its lease expired") {
  lease_table Table({1}, {0}, MaxInFlight, {{Endpoint, DaemonA}});
  lease_holder Holder;
  exchange(Table, DaemonA, Holder, {5000}, millis{10});
  Table.setTargets({{Endpoint, DaemonB}});
  CHECK(Table.readyMoves(Holder.ownedUntil()).empty());
  CHECK(Table.readyMoves({5010 + withMaxDrift(OwnerLease).Count}).size() == 1);
}

TEST_CASE("heartbeats with lost replies do not extend a revoked lease") {
  lease_table Table({1}, {0}, MaxInFlight, {{Endpoint, DaemonA}});
  lease_holder Holder;
  exchange(Table, DaemonA, Holder, {0});
  Table.setTargets({{Endpoint, DaemonB}});
  for (double At = 500; At < 3500; At += 500) {
    heartbeat_reply Lost;
    Table.onHeartbeat(DaemonA, Holder.nextHeartbeat({At}, {}, 0));
    Table.renewLease(DaemonA, {At}, {At}, Lost);
  }
  CHECK(Table.readyMoves({3500}).size() == 1);
}

TEST_CASE("a new leader waits until leases of earlier leaders have expired") {
  lease_table Table({2}, {10'000}, MaxInFlight, {{Endpoint, DaemonA}});
  Table.setTargets({{Endpoint, DaemonB}});
  CHECK(Table.readyMoves(instant{10'000} + OwnerLease).empty());
  CHECK(Table.readyMoves({10'000 + withMaxDrift(OwnerLease).Count}).size() ==
        1);
}

TEST_CASE("grant sets that are outdated or of an older leader are ignored") {
  lease_holder Holder;
  const std::uint64_t First = Holder.nextHeartbeat({0}, {}, 0).Sequence;
  heartbeat_reply New{First, {2}, FreshnessLease, OwnerLease, {}, {}, {},
                      {},    {}};
  New.Grants = {{2}, 3};
  New.Owned.emplace();
  heartbeat_reply Old = New;
  Old.Grants = {{2}, 2};
  Old.Owned = {{Endpoint, {}}};
  Holder.applyReply(New, {}, {1});
  CHECK_FALSE(Holder.applyReply(Old, {}, {2}));
  Old.Term = {1};
  Old.Grants = {{1}, 9};
  CHECK_FALSE(Holder.applyReply(Old, {}, {2}));
  CHECK_FALSE(Holder.owns(Endpoint, {3}));
}

TEST_CASE("freshness is not renewed while the daemon is behind") {
  lease_holder Holder;
  const std::uint64_t First = Holder.nextHeartbeat({0}, {}, 0).Sequence;
  heartbeat_reply Reply;
  Reply.Sequence = First;
  Reply.Freshness = FreshnessLease;
  Reply.Revision = {5};
  Holder.applyReply(Reply, revision{4}, {1});
  CHECK_FALSE(Holder.isFresh({2}));
  Holder.applyReply(Reply, revision{5}, {3});
  CHECK(Holder.isFresh({4}));
}

TEST_CASE("a planned stop gives up all leases") {
  lease_table Table({1}, {0}, MaxInFlight, {{Endpoint, DaemonA}});
  lease_holder Holder;
  exchange(Table, DaemonA, Holder, {0});
  Holder.beginLeaving();
  Table.setTargets({{Endpoint, DaemonB}});
  CHECK_FALSE(Holder.hasLeft());
  exchange(Table, DaemonA, Holder, {100});
  CHECK(Holder.hasLeft());
}

TEST_CASE("membership follows heartbeats; the VM list only shortens timeouts") {
  membership_tracker Tracker({3}, {0});
  const instant DaemonAReceivedAt{1100 - UnlistedHeartbeatTimeout.Count};
  Tracker.onHeartbeat(DaemonA, {}, DaemonAReceivedAt);
  Tracker.onHeartbeat(DaemonB, {}, {900});
  CHECK_FALSE(Tracker.update({500}));
  CHECK(Tracker.update({1000}));
  CHECK(Tracker.members().Live == std::vector<vm_id>{{1}, {2}});
  const std::uint64_t Epoch = Tracker.members().Epoch;
  Tracker.setListedVms({vm_id{9}});
  CHECK_FALSE(Tracker.update({1050}));
  CHECK(Tracker.update({1100}));
  CHECK(Tracker.members().Live == std::vector<vm_id>{{2}});
  CHECK(Tracker.members().Epoch > Epoch);
  heartbeat Leaving;
  Leaving.Leaving = true;
  Tracker.onHeartbeat(DaemonB, Leaving, {1200});
  CHECK(Tracker.update({1200}));
  CHECK(Tracker.members().Live.empty());
  CHECK(membership_tracker({4}, {0}).update({1000}));
}

TEST_CASE("a regained endpoint may have in-flight work of another owner") {
  lease_table Table({1}, {0}, MaxInFlight, {{Endpoint, DaemonA}});
  lease_holder Holder;
  exchange(Table, DaemonA, Holder, {0});
  const instant RegainedAt = Holder.ownedUntil() + millis{500};
  Table.setTargets({{Endpoint, DaemonB}});
  REQUIRE(Table.readyMoves(RegainedAt).size() == 1);
  Table.onMoveCommitted({Endpoint, DaemonB}, RegainedAt, MaxInFlight);
  Table.setTargets({{Endpoint, DaemonA}});
  REQUIRE(Table.readyMoves(RegainedAt).size() == 1);
  Table.onMoveCommitted({Endpoint, DaemonA}, RegainedAt, MaxInFlight);
  exchange(Table, DaemonA, Holder, RegainedAt);
  CHECK(Holder.owns(Endpoint, RegainedAt));
  CHECK(Holder.granted().at(Endpoint) >= RegainedAt + MaxInFlight);
}
