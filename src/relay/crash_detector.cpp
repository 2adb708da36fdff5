#include "relay/crash_detector.h"

namespace bulrush::relay {

namespace {

/// Requests that were lost longer before a failed probe have another cause.
constexpr millis LossLifetime{2000};
/// A probe that fails within this time was refused; longer than any round trip
/// inside a region, and shorter than the time-out of a connection.
constexpr millis MaxRefusalTime{200};
/// Requests kept for one endpoint.
constexpr std::size_t MaxLost = 32;

} // namespace

void crash_detector::onLost(endpoint_no Endpoint, crash Lost) {
  std::erase_if(Endpoints, [&](const auto &Each) {
    return Lost.At - Each.second.Lost.back().At > LossLifetime;
  });
  std::vector<crash> &Known = Endpoints[Endpoint].Lost;
  if (Known.size() < MaxLost)
    Known.push_back(std::move(Lost));
}

void crash_detector::onProbeSent(endpoint_no Endpoint, instant Now) {
  const auto Found = Endpoints.find(Endpoint);
  if (Found != Endpoints.end())
    Found->second.ProbedAt = Now;
}

std::vector<crash> crash_detector::onProbeEnded(endpoint_no Endpoint,
                                                bool IsHealthy, instant Now) {
  const auto Found = Endpoints.find(Endpoint);
  // A probe that was sent before the first loss is followed by another one.
  if (Found == Endpoints.end() || Found->second.ProbedAt == Never)
    return {};
  endpoint_losses Losses = std::move(Found->second);
  Endpoints.erase(Found);
  const bool IsRefused = !IsHealthy && Now - Losses.ProbedAt <= MaxRefusalTime;
  if (!IsRefused)
    return {};
  std::erase_if(Losses.Lost, [&](const crash &Each) {
    return Now - Each.At > LossLifetime;
  });
  return std::move(Losses.Lost);
}

} // namespace bulrush::relay
