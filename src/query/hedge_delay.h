/// Estimates how long to wait for an attempt before a hedge is sent.
#pragma once

#include "query/endpoint_table.h"
#include "query/intent_match.h"
#include "query/router_settings.h"

namespace bulrush::query {

/// Tracks one quantile of a stream in constant memory. Each sample multiplies
/// the estimate by a factor close to 1, up or down; the ratio of the two steps
/// makes the estimate converge to the quantile.
class quantile_tracker {
public:
  /// Adds a sample. `Step` is the step size after convergence, as a fraction of
  /// the estimate; the first samples use larger steps.
  void observe(double Sample, double Quantile, double Step);

  double value() const { return Value; }
  std::uint32_t count() const { return Count; }

  /// Returns whether the step size has reached its final value.
  bool isSettled() const { return Count >= SettledSamples; }

private:
  static constexpr std::uint32_t SettledSamples = 100;

  float Value = 0;
  std::uint32_t Count = 0; ///< saturates at SettledSamples
};

/// Latency quantiles of each intent class, per endpoint and per pool. Also
/// detects a pool or zone that has become slower as a whole: hedges would only
/// add load to it.
class hedge_delay_estimator {
public:
  hedge_delay_estimator(const endpoint_table &Endpoints,
                        const hedge_settings &Settings);

  /// Adds the duration of an attempt, or the time since it was sent if it has
  /// no reply.
  void observe(endpoint_id Endpoint, intent_class Class, millis Latency);

  /// Returns how long to wait for a reply of `Endpoint` before sending a hedge.
  millis delay(endpoint_id Endpoint, intent_class Class, millis Deadline) const;

  /// Returns whether the share of late replies shows that the pool as a whole
  /// has become slower.
  bool isPoolSlow(pool_id Pool, intent_class Class) const;

  /// Returns whether the endpoints of a zone have become slower. Such a zone
  /// gets no hedges.
  bool isZoneSlow(zone_id Zone, intent_class Class) const;

private:
  /// Moving average of the share of replies slower than the quantile.
  struct late_share {
    float Share = 0;
    void observe(bool Late);
  };
  struct class_state {
    quantile_tracker Latency;
    late_share Late;
  };
  template <class T> using table = std::vector<std::vector<T>>;

  const endpoint_table &Endpoints;
  hedge_settings Settings;
  table<quantile_tracker> PerEndpoint; ///< indexed by endpoint, then by class
  table<class_state> PerPool;          ///< indexed by pool, then by class
  table<late_share> PerZone;           ///< indexed by zone, then by class
};

} // namespace bulrush::query
