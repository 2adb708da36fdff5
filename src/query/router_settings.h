/// Settings of the router, including the baselines that benchmarks compare it
/// with.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/ids.h"

#include <cstdint>

namespace bulrush::query {

/// Selects the snapshot that new queries are pinned to.
enum class snapshot_policy : std::uint8_t {
  most_coverage, ///< highest coverage; the newer one on a tie, subject to
                 ///< MinCapacityShare
  newest         ///< baseline: the newest snapshot that any endpoint holds
};

/// Settings of hedges. A hedge is a second attempt for a shard that is sent
/// while the first one is still pending.
struct hedge_settings {
  bool Enabled = true;    ///< false: baseline without hedges
  double Quantile = 0.96; ///< latency quantile after which a hedge is due
  millis MinDelay{1};     ///< lower bound of the hedge delay
  /// Hedge delay as a share of the deadline, until enough latencies were
  /// measured.
  double InitialDeadlineShare = 0.4;
  double MaxEndpointRatio = 1.1; ///< upper bound of an endpoint's hedge delay,
                                 ///< relative to that of its pool
  double MaxLateShare = 0.25;    ///< hedging stops above this share of replies
                                 ///< slower than the quantile
  double MaxOpenShare = 0.25;    ///< no hedges while more than this share of a
                                 ///< query's shards is open
};

/// Settings of the budget for additional sub-requests, which the hedges and
/// retries of one intent share, and of the retry backoff.
struct retry_settings {
  double InitialTokens = 10;
  double MaxTokens = 50;
  double HedgeReserve = 3; ///< tokens that only retries may spend
  millis BaseBackoff{2};   ///< doubled with each retry, with full jitter
  millis MaxBackoff{50};
};

/// Settings of the snapshot selection.
struct snapshot_settings {
  snapshot_policy Policy = snapshot_policy::most_coverage;
  /// Minimum capacity of a newer snapshot with equal coverage, relative to the
  /// current one, before queries move to it.
  double MinCapacityShare = 0.5;
  millis CoverageWait{10}; ///< maximum wait of a query until a snapshot meets
                           ///< its minimum coverage
};

/// Settings of the replica selection.
struct replica_settings {
  double ColdShare = 0.05;     ///< minimum share of the selections that a cold
                               ///< endpoint with a free slot wins
  double ExploreShare = 0.004; ///< share of the comparisons in which a random
                               ///< candidate is taken regardless of its score
  millis InitialLatency{5};
};

/// Settings of the throttle, which refuses whole queries because some of their
/// sub-requests would be refused under load.
struct throttle_settings {
  bool Enabled = true;    ///< false: baseline, every query is admitted
  double Headroom = 1.15; ///< queries admitted for each recently successful one
  double MaxRefusedShare = 0.95; ///< upper bound of the refused share; the
                                 ///< admitted rest detects a recovery
  double PriorArrivals = 3; ///< added to the arrivals, so that failures among
                            ///< few arrivals do not cause refusals
  millis HalfLife{500};     ///< of the counts of arrivals and successes
};

/// Settings of a router.
struct router_settings {
  hedge_settings Hedge;
  retry_settings Retry;
  snapshot_settings Snapshot;
  replica_settings Replica;
  throttle_settings Throttle;
  /// An answer is sent this long before the deadline of the intent, or a tenth
  /// of the deadline before it if that is shorter.
  millis AnswerMargin{3};
  millis RetryAfter{250}; ///< delay suggested to a refused caller if no
                          ///< endpoint suggested one
  std::uint32_t ExplainQueries = 512; ///< capacity of the log of recent queries
  /// Minimum interval between recorded queries that were fully covered without
  /// a hedge, retry or refusal.
  millis ExplainUneventfulInterval{20};
  std::uint64_t Seed = 1;
};

} // namespace bulrush::query
