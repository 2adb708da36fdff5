#include "ownership_world.h"

#include "ownership_tally.h"

#include <cmath>
#include <random>

namespace bulrush::bench {

std::vector<ownership_arrival> makeArrivals(const ownership_case &Case) {
  constexpr double Sigma = 0.5;
  std::mt19937_64 Random(Case.Seed);
  const double ArrivalsPerMs = Case.Load * Case.Slots / Case.MeanService.Count;
  std::exponential_distribution<double> Interarrival(ArrivalsPerMs);
  std::lognormal_distribution<double> Service(
      std::log(Case.MeanService.Count) - Sigma * Sigma / 2, Sigma);
  std::vector<ownership_arrival> Arrivals(Case.Queries);
  instant At;
  for (ownership_arrival &Arrival : Arrivals) {
    At = At + millis{Interarrival(Random)};
    Arrival.At = At;
    Arrival.Daemon = static_cast<std::uint32_t>(Random() % Case.Daemons);
    for (std::uint32_t I = 0; I < Case.Endpoints; ++I)
      Arrival.ServiceTimes.push_back({Service(Random)});
  }
  return Arrivals;
}

ownership_result runSharing(sharing_policy Policy, const ownership_case &Case,
                            const std::vector<ownership_arrival> &Arrivals) {
  if (Policy == sharing_policy::credits)
    return runCredits(Case, Arrivals);
  return runHolders(Case, Policy == sharing_policy::split, Arrivals);
}

} // namespace bulrush::bench
