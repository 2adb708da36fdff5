/// What a relay reports to the registry's leader about rollouts in progress.
#pragma once

#include "relay/version_policy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string>

namespace bulrush::relay {

/// Logarithmic histogram bins of the latency of replies.
inline constexpr std::size_t LatencyBins = 16;
/// Upper bound of the first bin; each further bound is `LatencyBinFactor` times
/// the one before, so that the last bin starts at about 720 ms.
inline constexpr millis FirstLatencyBin{1};
inline constexpr double LatencyBinFactor = 1.6;

/// Index of the bin of a latency.
inline std::size_t latencyBin(millis Latency) {
  if (Latency <= FirstLatencyBin)
    return 0;
  const double Bin = std::ceil(std::log(Latency.Count / FirstLatencyBin.Count) /
                               std::log(LatencyBinFactor));
  return std::min(LatencyBins - 1, static_cast<std::size_t>(Bin));
}

/// Replies of the endpoints of one software version; counted since the start of
/// the relay or of the rollout, whichever is later.
struct version_counts {
  std::uint64_t Sent = 0;
  std::uint64_t Answers = 0;     ///< complete replies, failures included
  std::uint64_t Failures = 0;    ///< replies that report or are an error
  std::uint64_t Unreachable = 0; ///< attempts without any reply
  std::array<std::uint64_t, LatencyBins> Latency{}; ///< answers by bin

  bool operator==(const version_counts &) const = default;
};

/// Replies to the requests of one route.
struct route_counts {
  std::string RouteKey; ///< key of the latency statistics
  version_counts Old;   ///< of all versions but the target
  version_counts New;   ///< of the target version

  bool operator==(const route_counts &) const = default;
};

/// Progress of one rollout at one relay.
struct rollout_report {
  service_name Service;
  rollout_id Rollout;
  double Share = 0; ///< of the target version, as the relay acts on it
  std::uint32_t OldInFlight = 0; ///< attempts without a reply yet
  std::uint32_t NewInFlight = 0;
  std::vector<route_counts> Routes;

  bool operator==(const rollout_report &) const = default;
};

} // namespace bulrush::relay
