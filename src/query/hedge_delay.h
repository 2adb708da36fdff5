/// How long to wait for an attempt before a hedge is due.
#pragma once

#include "query/endpoint_table.h"
#include "query/intent_match.h"
#include "query/router_settings.h"

namespace bulrush::query {

/// Follows one quantile of a stream in constant memory: each sample moves the
/// estimate by a small factor, up or down in the ratio that holds it there.
class quantile_tracker {
public:
  /// Takes a sample; `Step` is the factor's size once it has settled.
  void observe(double Sample, double Quantile, double Step);

  double value() const { return Value; }
  std::uint32_t count() const { return Count; }

  /// Whether the step has fallen to its settled size.
  bool isSettled() const { return Count >= SettledSamples; }

private:
  static constexpr std::uint32_t SettledSamples = 100;

  float Value = 0;
  std::uint32_t Count = 0; ///< stops at the settled number
};

/// Latency quantiles for each endpoint and class, and for each class over its
/// whole pool; tells when a distribution has shifted, because hedges against a
/// general slowness only add to it.
class hedge_delay {
public:
  hedge_delay(const endpoint_table &Endpoints, const hedge_settings &Settings);

  /// Takes the time an attempt took, or that it has taken without a reply.
  void observe(endpoint_id Endpoint, intent_class Class, millis Latency);

  /// How long to wait for `Endpoint` before a hedge is due.
  millis delay(endpoint_id Endpoint, intent_class Class, millis Deadline) const;

  /// Whether so many replies are late that the whole pool has become slower.
  bool isShifted(pool_id Pool, intent_class Class) const;

  /// Whether a zone's endpoints have become slower; hedges do not go there.
  bool isZoneShifted(zone_id Zone, intent_class Class) const;

private:
  /// How many replies are later than the quantile, over the recent ones.
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
  table<quantile_tracker> PerEndpoint; ///< by endpoint, then class
  table<class_state> PerPool;          ///< by pool, then class
  table<late_share> PerZone;           ///< by zone, then class
};

} // namespace bulrush::query
