#include "ownership_world.h"

#include "ownership_tally.h"

#include <cmath>
#include <random>

namespace bulrush::bench {

std::vector<ownership_arrival> makeArrivals(const ownership_case &Case) {
  constexpr double Sigma = 0.5;
  std::mt19937_64 Random(Case.Seed);
  const double PerMs = Case.Load * Case.Slots / Case.MeanService.Count;
  std::exponential_distribution<double> Gap(PerMs);
  std::lognormal_distribution<double> Service(
      std::log(Case.MeanService.Count) - Sigma * Sigma / 2, Sigma);
  std::vector<ownership_arrival> Arrivals(Case.Queries);
  instant At;
  for (ownership_arrival &Arrival : Arrivals) {
    At = At + millis{Gap(Random)};
    Arrival.At = At;
    Arrival.Daemon = static_cast<std::uint32_t>(Random() % Case.Daemons);
    for (std::uint32_t I = 0; I < Case.Endpoints; ++I)
      Arrival.Services.push_back({Service(Random)});
  }
  return Arrivals;
}

ownership_result runSharing(sharing How, const ownership_case &Case,
                            const std::vector<ownership_arrival> &Arrivals) {
  if (How == sharing::credits)
    return runCredits(Case, Arrivals);
  return runHolders(Case, How == sharing::split, Arrivals);
}

} // namespace bulrush::bench
