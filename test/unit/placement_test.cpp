#include "query/placement.h"
#include "small_deployment.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using query::ownersOf;

namespace {

std::vector<vm_id> allBut(std::vector<vm_id> Live, vm_id Gone) {
  std::erase(Live, Gone);
  return Live;
}

} // namespace

TEST_CASE("an endpoint's owner is in its zone if that zone has a live daemon") {
  const deployment D = test::smallDeployment();
  const std::vector<vm_id> Owners = ownersOf(D, test::allVms(D));
  for (const endpoint &E : D.Endpoints)
    CHECK(D.Vms[Owners[E.Id.Value].Value].Zone == E.Zone);
}

TEST_CASE(
    "replicas of a shard have different owners, even if one zone is lost") {
  const deployment D = test::smallDeployment();
  for (const zone &Gone : D.Zones) {
    std::vector<vm_id> Live;
    for (const vm &Vm : D.Vms)
      if (Vm.Zone != Gone.Id)
        Live.push_back(Vm.Id);
    const std::vector<vm_id> Owners = ownersOf(D, Live);
    const pool &P = D.Pools[0];
    for (std::size_t Shard = 0; Shard < P.Shards; ++Shard)
      CHECK(Owners[P.Endpoints[Shard].Value] !=
            Owners[P.Endpoints[Shard + P.Shards].Value]);
  }
}

TEST_CASE("the loss of a daemon moves few endpoints of other daemons") {
  const deployment D = test::smallDeployment();
  const std::vector<vm_id> Live = test::allVms(D);
  const std::vector<vm_id> Before = ownersOf(D, Live);
  const std::vector<vm_id> After = ownersOf(D, allBut(Live, vm_id{0}));
  std::size_t NeedlessMoves = 0;
  for (std::size_t E = 0; E < Before.size(); ++E) {
    CHECK(After[E] != vm_id{0});
    NeedlessMoves += Before[E] != vm_id{0} && Before[E] != After[E];
  }
  CHECK(NeedlessMoves * 10 <= Before.size());
}

TEST_CASE("ownerOf and ownersOf agree") {
  const deployment D = test::smallDeployment();
  const std::vector<vm_id> Owners =
      ownersOf(D, {vm_id{1}, vm_id{4}, vm_id{99}});
  for (const endpoint &E : D.Endpoints)
    CHECK(query::ownerOf(D, {vm_id{4}, vm_id{1}}, E.Id) == Owners[E.Id.Value]);
  CHECK(query::ownerOf(D, {}, endpoint_id{0}) == query::NoOwner);
}

TEST_CASE("no daemon owns much more than an even share of its zone") {
  const std::uint32_t Daemons = 6;
  const std::uint32_t Endpoints = 240;
  deployment D;
  D.Zones = {{{0}, "a"}};
  D.Pools = {{{0}, "p", Endpoints, 1, {}}};
  for (std::uint32_t I = 0; I < Daemons; ++I) {
    vm Vm;
    Vm.Id = {I};
    D.Vms.push_back(Vm);
  }
  for (std::uint32_t I = 0; I < Endpoints; ++I) {
    D.Endpoints.push_back({{I}, {0}, {0}, {}, {}});
    D.Pools[0].Endpoints.push_back({I});
  }
  std::vector<std::uint32_t> Owned(Daemons);
  for (const vm_id Owner : ownersOf(D, test::allVms(D)))
    ++Owned[Owner.Value];
  const std::uint32_t Even = Endpoints / Daemons;
  for (const std::uint32_t Count : Owned)
    CHECK(Count <= Even * 5 / 4);
}
