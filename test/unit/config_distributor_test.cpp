#include "control/config_distributor.h"
#include "small_deployment.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::control;

namespace {

/// A state machine after `Count` accepted changes.
state_machine machineAfter(std::uint64_t Count, retention_limits Limits = {}) {
  state_machine Machine(test::smallDeployment(), Limits);
  for (std::uint64_t I = 0; I < Count; ++I) {
    const zone_id Zone{static_cast<std::uint16_t>(I % 3)};
    Machine.apply(
        operator_command{
            {"anna"}, {std::to_string(I)}, {I}, zone_out{Zone}, {}},
        {I + 1});
  }
  return Machine;
}

} // namespace

TEST_CASE(
    "a daemon gets the changes since its revision if history covers them") {
  retention_limits Limits;
  Limits.MaxHistory = 2;
  const state_machine Machine = machineAfter(5, Limits);
  CHECK(updateSince({4}, Machine).Changes.size() == 1);
  CHECK(updateSince({3}, Machine).Changes.size() == 2);
  CHECK(updateSince({2}, Machine).FullConfig == Machine.config());
  CHECK(updateSince({0}, Machine).FullConfig == Machine.config());
}

TEST_CASE("changes and a full update result in the same configuration") {
  config_replica Replica;
  CHECK(Replica.applied() == revision{0});
  CHECK(Replica.apply(updateSince({0}, machineAfter(1))));
  const state_machine Later = machineAfter(4);
  CHECK(Replica.apply(updateSince(Replica.applied(), Later)));
  CHECK(Replica.config() == Later.config());
}

TEST_CASE("a digest mismatch is repaired by a full configuration") {
  config_replica Replica;
  Replica.apply(updateSince({0}, machineAfter(2)));
  const state_machine Later = machineAfter(3);
  config_update Wrong = updateSince({2}, Later);
  Wrong.Changes = {zone_in{zone_id{0}}};
  CHECK_FALSE(Replica.apply(Wrong));
  CHECK(Replica.applied() == revision{0});
  CHECK(Replica.config().Revision == revision{2});
  CHECK(Replica.apply(updateSince(Replica.applied(), Later)));
  CHECK(Replica.config() == Later.config());
}

TEST_CASE("a replica ignores older updates and updates from another base") {
  config_replica Replica;
  Replica.apply(updateSince({0}, machineAfter(3)));
  CHECK_FALSE(Replica.apply(updateSince({0}, machineAfter(2))));
  CHECK_FALSE(Replica.apply(updateSince({4}, machineAfter(5))));
  CHECK(Replica.applied() == revision{3});
}

TEST_CASE(
    "a silent daemon is behind while its lease may be valid, then suspended") {
  const deployment D = test::smallDeployment();
  const state_machine Machine = machineAfter(1);
  config_distributor Distributor(D, {-10'000});
  const daemon_id Daemon{vm_id{4}, incarnation_id{1}};
  const heartbeat Heartbeat;
  heartbeat_reply Reply;
  Distributor.onHeartbeat(Daemon, Heartbeat);
  Distributor.renewLease(Daemon, {0}, Heartbeat, Machine, Reply);
  CHECK(Reply.Config.has_value());
  const double End = withMaxDrift(FreshnessLease).Count;
  CHECK(Distributor.status({1}, {End - 1}).Behind == std::vector<vm_id>{{4}});
  CHECK_FALSE(Distributor.status({1}, {End - 1}).IsInForce);
  CHECK(Distributor.status({1}, {End}).IsInForce);
  CHECK(Distributor.status({1}, {End}).Suspended == std::vector<vm_id>{{4}});
}
