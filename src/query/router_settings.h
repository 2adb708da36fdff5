/// What operators may tune in the router, and the baselines that experiments
/// run beside it.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/ids.h"

#include <cstdint>

namespace bulrush::query {

/// Which snapshot a query is pinned to.
enum class snapshot_policy : std::uint8_t {
  most_coverage, ///< the one that promises most coverage, newer on a tie
  newest         ///< baseline: the newest one that any endpoint holds
};

/// When a second attempt is sent while the first one still runs.
struct hedge_settings {
  bool Enabled = true;            ///< off: baseline without hedges
  double Quantile = 0.96;         ///< of the latency, at which a hedge is due
  millis MinDelay{1};             ///< no hedge before this
  double InitialShare = 0.4;      ///< of the deadline, until latency is known
  double SlowEndpointRatio = 1.1; ///< cap of an endpoint's delay over its class
  double ShiftedShare = 0.25; ///< of late replies, above which hedging stops
  double OpenShare = 0.25;    ///< of shards open, above which a query waits
};

/// Additional sub-requests: hedges and retries of one intent together.
struct retry_settings {
  double InitialTokens = 10;
  double MaxTokens = 50;
  double HedgeReserve = 3; ///< tokens that hedges leave to retries
  millis BaseBackoff{2};   ///< doubled with each retry, with full jitter
  millis MaxBackoff{50};
};

/// How snapshots are chosen.
struct snapshot_settings {
  snapshot_policy Policy = snapshot_policy::most_coverage;
  double MoveCapacity = 0.5; ///< of the present capacity, needed to move
  millis WholeWait{10};      ///< a complete intent waits for a whole snapshot
};

/// How a replica is chosen.
struct replica_settings {
  double ColdShare = 0.05; ///< of choices that a cold endpoint takes part in
  double ExploreShare = 0.004; ///< of choices that ignore what is known
  millis InitialLatency{5};
};

/// When whole queries are refused because their parts would be.
struct throttle_settings {
  bool Enabled = true;      ///< off: baseline, every query is sent
  double Headroom = 1.15;   ///< admitted for each query that succeeds
  double MaxRefused = 0.95; ///< share; the rest finds out about recovery
  double Prior = 3;         ///< arrivals that are not evidence enough
  millis HalfLife{500};     ///< of what is remembered
};

/// Everything the router may be told when it is made.
struct router_settings {
  hedge_settings Hedge;
  retry_settings Retry;
  snapshot_settings Snapshot;
  replica_settings Replica;
  throttle_settings Throttle;
  millis AnswerMargin{3}; ///< an answer leaves so long before its deadline,
                          ///< but at most a tenth of the deadline before
  millis RetryAfter{250}; ///< told when no endpoint gave a hint
  std::uint32_t ExplainQueries = 512; ///< queries remembered
  millis ExplainPlainGap{20};         ///< between remembered queries without
                                      ///< hedge, retry, refusal or gap
  std::uint64_t Seed = 1;
};

} // namespace bulrush::query
