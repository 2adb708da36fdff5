/// Compares the policies for sharing endpoint slots; prints the table of
/// docs/design/endpoint-ownership.md.
/// Usage: micro_ownership [SEED]

#include "ownership_world.h"

#include <cstdio>
#include <cstdlib>
#include <utility>

using namespace bulrush;
using namespace bulrush::bench;

namespace {

void runCase(std::uint32_t Slots, std::uint32_t Daemons, std::uint64_t Seed) {
  constexpr double NormalLoad = 0.7;
  constexpr double Overload = 1.5;
  ownership_case Case;
  Case.Slots = Slots;
  Case.Daemons = Daemons;
  Case.Seed = Seed;
  Case.Load = NormalLoad;
  const auto NormalArrivals = makeArrivals(Case);
  ownership_case OverloadCase = Case;
  OverloadCase.Load = Overload;
  const auto OverloadArrivals = makeArrivals(OverloadCase);
  for (const auto &[Policy, Name] :
       {std::pair{sharing_policy::owners, "owners"},
        std::pair{sharing_policy::split, "static split"},
        std::pair{sharing_policy::credits, "credits"}}) {
    const ownership_result NormalResult =
        runSharing(Policy, Case, NormalArrivals);
    const ownership_result OverloadResult =
        runSharing(Policy, OverloadCase, OverloadArrivals);
    std::printf("| %u | %u | %s | %.1f | %.1f | %.3f | %.2f | %.1f |\n", Slots,
                Daemons, Name, NormalResult.MeanWaitMs, NormalResult.P99WaitMs,
                1 - NormalResult.ServedShare, OverloadResult.BusyShare,
                NormalResult.Messages);
  }
}

} // namespace

int main(int Count, char **Arguments) {
  const std::uint64_t Seed =
      Count > 1 ? std::strtoull(Arguments[1], nullptr, 10) : 1;
  std::printf("| slots | daemons | sharing | mean wait ms | p99 wait ms | "
              "refused | slots busy at 1.5x | messages per query |\n"
              "|---|---|---|---|---|---|---|---|\n");
  for (const std::uint32_t Slots : {2U, 6U, 20U})
    for (const std::uint32_t Daemons : {8U, 30U, 300U})
      runCase(Slots, Daemons, Seed);
}
