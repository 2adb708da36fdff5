/// Compares the goodput of the owner core under overload by admission policy.
/// Usage: micro_overload [SEED]

#include "owner_world.h"

#include <cstdio>
#include <cstdlib>

using namespace bulrush;
using namespace bulrush::bench;

namespace {

struct policy {
  const char *Name;
  query::admission_policy Admission;
  query::cold_policy Cold = query::cold_policy::inferred;
};

void runPolicy(const policy &Policy, double Load, std::uint64_t Seed) {
  owner_simulation_settings Settings;
  Settings.Seed = Seed;
  Settings.Load = Load;
  Settings.Owner.Admission = Policy.Admission;
  Settings.Owner.Cold = Policy.Cold;
  Settings.Classes = {{0.8, 1, {50}, 0.95}, {0.2, 4, {50}, 0.95}};
  owner_simulation_result Result = runOwnerSimulation(Settings);
  double Weighted = 0;
  for (std::size_t I = 0; I < Result.Classes.size(); ++I)
    Weighted += static_cast<double>(Result.Classes[I].Good) *
                Settings.Classes[I].Weight;
  const auto Good = Result.Classes[0].Good + Result.Classes[1].Good;
  std::printf(
      "| %s | %.1f | %.0f | %.0f | %.2f | %.2f | %.1f | %.1f | %.2f |\n",
      Policy.Name, Load,
      static_cast<double>(Good) * 1000 / Settings.Duration.Count,
      Weighted * 1000 / Settings.Duration.Count,
      static_cast<double>(Result.Classes[0].Good) /
          static_cast<double>(Result.Classes[0].Offered),
      static_cast<double>(Result.Classes[1].Good) /
          static_cast<double>(Result.Classes[1].Offered),
      Result.Classes[0].quantile(0.99), Result.Classes[1].quantile(0.99),
      Result.BusyShare);
}

} // namespace

int main(int Count, char **Arguments) {
  const std::uint64_t Seed =
      Count > 1 ? std::strtoull(Arguments[1], nullptr, 10) : 1;
  std::printf("| policy | load | good/s | weighted good/s | good, weight 1 | "
              "good, weight 4 | p99 ms, weight 1 | p99 ms, weight 4 | busy |\n"
              "|---|---|---|---|---|---|---|---|---|\n");
  for (const policy &Policy :
       {policy{"fifo, health trusted", query::admission_policy::fifo,
               query::cold_policy::trust_health},
        policy{"fifo", query::admission_policy::fifo},
        policy{"ungated", query::admission_policy::ungated},
        policy{"weighted_deadline",
               query::admission_policy::weighted_deadline}})
    for (const double Load : {0.5, 0.8, 1.0, 1.5, 2.0, 3.0})
      runPolicy(Policy, Load, Seed);
}
