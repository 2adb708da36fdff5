#include "telemetry/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <map>
#include <mutex>
#include <sstream>

namespace bulrush::telemetry {

namespace {

namespace acc = boost::accumulators;

using mean_accumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean>>;
using quantile_accumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

struct latency_series {
  mean_accumulator Mean;
  quantile_accumulator Median{acc::quantile_probability = 0.5};
  quantile_accumulator P99{acc::quantile_probability = 0.99};

  latency_summary summary() const {
    return {acc::count(Mean),
            {acc::mean(Mean)},
            {acc::p_square_quantile(Median)},
            {acc::p_square_quantile(P99)}};
  }
};

/// Name and label of one figure.
struct series_key {
  std::string Name;
  std::string Label;
};

/// The same without copies, for look-ups.
struct series_view {
  std::string_view Name;
  std::string_view Label;
};

struct series_less {
  using is_transparent = void;

  template <class Left, class Right>
  bool operator()(const Left &L, const Right &R) const {
    const int Order =
        std::string_view(L.Name).compare(std::string_view(R.Name));
    if (Order != 0)
      return Order < 0;
    return std::string_view(L.Label) < std::string_view(R.Label);
  }
};

template <class Value>
using series_map = std::map<series_key, Value, series_less>;

/// The entry of a series; made when it is new.
template <class Value>
Value &entryOf(series_map<Value> &Map, std::string_view Name,
               std::string_view Label) {
  const auto Found = Map.find(series_view{Name, Label});
  if (Found != Map.end())
    return Found->second;
  return Map[{std::string(Name), std::string(Label)}];
}

std::string nameOf(const series_key &Key, std::string_view Suffix = {}) {
  std::string Out = "bulrush_" + Key.Name + std::string(Suffix);
  if (!Key.Label.empty())
    Out += "{label=\"" + Key.Label + "\"}";
  return Out;
}

} // namespace

struct metrics::state {
  mutable std::mutex Mutex;
  series_map<std::uint64_t> Counters;
  series_map<double> Gauges;
  series_map<latency_series> Latencies;
};

metrics::metrics() : State(std::make_unique<state>()) {}
metrics::~metrics() = default;

void metrics::add(std::string_view Name, std::string_view Label,
                  std::uint64_t Amount) {
  const std::lock_guard Lock(State->Mutex);
  entryOf(State->Counters, Name, Label) += Amount;
}

void metrics::set(std::string_view Name, std::string_view Label, double Value) {
  const std::lock_guard Lock(State->Mutex);
  entryOf(State->Gauges, Name, Label) = Value;
}

void metrics::observe(std::string_view Name, std::string_view Label,
                      millis Latency) {
  const std::lock_guard Lock(State->Mutex);
  latency_series &Series = entryOf(State->Latencies, Name, Label);
  Series.Mean(Latency.Count);
  Series.Median(Latency.Count);
  Series.P99(Latency.Count);
}

std::uint64_t metrics::count(std::string_view Name,
                             std::string_view Label) const {
  const std::lock_guard Lock(State->Mutex);
  const auto Found = State->Counters.find(series_view{Name, Label});
  return Found == State->Counters.end() ? 0 : Found->second;
}

latency_summary metrics::latency(std::string_view Name,
                                 std::string_view Label) const {
  const std::lock_guard Lock(State->Mutex);
  const auto Found = State->Latencies.find(series_view{Name, Label});
  return Found == State->Latencies.end() ? latency_summary{}
                                         : Found->second.summary();
}

std::string metrics::text() const {
  const std::lock_guard Lock(State->Mutex);
  std::ostringstream Out;
  for (const auto &[Key, Value] : State->Counters)
    Out << nameOf(Key, "_total") << ' ' << Value << '\n';
  for (const auto &[Key, Value] : State->Gauges)
    Out << nameOf(Key) << ' ' << Value << '\n';
  for (const auto &[Key, Series] : State->Latencies) {
    const latency_summary Summary = Series.summary();
    Out << nameOf(Key, "_ms_count") << ' ' << Summary.Count << '\n';
    Out << nameOf(Key, "_ms_mean") << ' ' << Summary.Mean.Count << '\n';
    Out << nameOf(Key, "_ms_p50") << ' ' << Summary.Median.Count << '\n';
    Out << nameOf(Key, "_ms_p99") << ' ' << Summary.P99.Count << '\n';
  }
  return Out.str();
}

} // namespace bulrush::telemetry
