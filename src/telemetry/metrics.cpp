#include "telemetry/metrics.h"

#include "world/number_text.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>
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

/// Upper bounds of the histogram buckets, in milliseconds.
constexpr std::array BucketBounds{1,   2,   5,   10,   20,   50,
                                  100, 200, 500, 1000, 2000, 5000};

struct latency_series {
  std::array<std::uint64_t, BucketBounds.size()> Buckets{}; ///< not cumulative
  double Sum = 0;                                           ///< milliseconds
  mean_accumulator Mean;
  quantile_accumulator Median{acc::quantile_probability = 0.5};
  quantile_accumulator P99{acc::quantile_probability = 0.99};

  void add(millis Latency) {
    const auto Bucket = std::lower_bound(BucketBounds.begin(),
                                         BucketBounds.end(), Latency.Count);
    if (Bucket != BucketBounds.end())
      ++Buckets[static_cast<std::size_t>(Bucket - BucketBounds.begin())];
    Sum += Latency.Count;
    Mean(Latency.Count);
    Median(Latency.Count);
    P99(Latency.Count);
  }

  latency_summary summary() const {
    return {acc::count(Mean),
            {acc::mean(Mean)},
            {acc::p_square_quantile(Median)},
            {acc::p_square_quantile(P99)}};
  }
};

/// Name and label of one series.
struct series_key {
  std::string Name;
  std::string Label;
};

/// A `series_key` that does not own its strings, for lookups without copies.
struct series_key_view {
  std::string_view Name;
  std::string_view Label;
};

/// Orders keys and key views by name, then label.
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

/// Returns the value of a series; creates the series if it does not exist.
template <class Value>
Value &findOrCreate(series_map<Value> &Map, std::string_view Name,
                    std::string_view Label) {
  const auto Found = Map.find(series_key_view{Name, Label});
  if (Found != Map.end())
    return Found->second;
  return Map[{std::string(Name), std::string(Label)}];
}

/// Escapes a label value as the Prometheus text format requires. Labels may be
/// names that operators choose.
std::string escapeLabel(std::string_view Value) {
  std::string Out;
  for (const char Each : Value) {
    if (Each == '"' || Each == '\\')
      Out += '\\';
    Out += Each == '\n' ? ' ' : Each;
  }
  return Out;
}

/// Returns `bulrush_<Name><Suffix>{label="<Label>",le="<Le>"}` without the
/// labels whose value is empty.
std::string nameOf(const series_key &Key, std::string_view Suffix = {},
                   std::string_view Le = {}) {
  std::string Labels;
  if (!Key.Label.empty())
    Labels = "label=\"" + escapeLabel(Key.Label) + '"';
  if (!Le.empty())
    Labels += std::string(Labels.empty() ? "" : ",") + "le=\"" +
              std::string(Le) + '"';
  const std::string Name = "bulrush_" + Key.Name + std::string(Suffix);
  return Labels.empty() ? Name : Name + '{' + Labels + '}';
}

/// Writes the `# TYPE` line of a metric once, before the first of its series.
class type_line_writer {
public:
  explicit type_line_writer(std::ostream &Out) : Out(Out) {}
  void write(const std::string &Name, const char *Type) {
    if (Name != LastName)
      Out << "# TYPE " << Name << ' ' << Type << '\n';
    LastName = Name;
  }

private:
  std::ostream &Out;
  std::string LastName;
};

void writeHistogram(std::ostream &Out, const series_key &Key,
                    const latency_series &Series) {
  std::uint64_t Count = 0;
  for (std::size_t I = 0; I < BucketBounds.size(); ++I) {
    Count += Series.Buckets[I];
    Out << nameOf(Key, "_ms_bucket", std::to_string(BucketBounds[I])) << ' '
        << Count << '\n';
  }
  const std::uint64_t Total = acc::count(Series.Mean);
  Out << nameOf(Key, "_ms_bucket", "+Inf") << ' ' << Total << '\n';
  Out << nameOf(Key, "_ms_sum") << ' ' << toShortestText(Series.Sum) << '\n';
  Out << nameOf(Key, "_ms_count") << ' ' << Total << '\n';
}

} // namespace

struct metrics::state {
  mutable std::mutex Mutex;
  series_map<std::uint64_t> Counters;
  series_map<std::string> Gauges; ///< values as they are printed
  series_map<latency_series> Latencies;
};

metrics::metrics() : State(std::make_unique<state>()) {}
metrics::~metrics() = default;

void metrics::add(std::string_view Name, std::string_view Label,
                  std::uint64_t Amount) {
  const std::lock_guard Lock(State->Mutex);
  findOrCreate(State->Counters, Name, Label) += Amount;
}

void metrics::setGauge(std::string_view Name, std::string_view Label,
                       std::string Value) {
  const std::lock_guard Lock(State->Mutex);
  findOrCreate(State->Gauges, Name, Label) = std::move(Value);
}

std::string metrics::toText(double Value) {
  if (std::isnan(Value))
    return "NaN";
  if (std::isinf(Value))
    return Value > 0 ? "+Inf" : "-Inf";
  return toShortestText(Value);
}

void metrics::observe(std::string_view Name, std::string_view Label,
                      millis Latency) {
  const std::lock_guard Lock(State->Mutex);
  findOrCreate(State->Latencies, Name, Label).add(Latency);
}

std::uint64_t metrics::count(std::string_view Name,
                             std::string_view Label) const {
  const std::lock_guard Lock(State->Mutex);
  const auto Found = State->Counters.find(series_key_view{Name, Label});
  return Found == State->Counters.end() ? 0 : Found->second;
}

latency_summary metrics::latency(std::string_view Name,
                                 std::string_view Label) const {
  const std::lock_guard Lock(State->Mutex);
  const auto Found = State->Latencies.find(series_key_view{Name, Label});
  return Found == State->Latencies.end() ? latency_summary{}
                                         : Found->second.summary();
}

std::string metrics::text() const {
  const std::lock_guard Lock(State->Mutex);
  std::ostringstream Out;
  type_line_writer Types(Out);
  for (const auto &[Key, Value] : State->Counters) {
    Types.write(nameOf({Key.Name, {}}, "_total"), "counter");
    Out << nameOf(Key, "_total") << ' ' << Value << '\n';
  }
  for (const auto &[Key, Value] : State->Gauges) {
    Types.write(nameOf({Key.Name, {}}), "gauge");
    Out << nameOf(Key) << ' ' << Value << '\n';
  }
  for (const auto &[Key, Series] : State->Latencies) {
    Types.write(nameOf({Key.Name, {}}, "_ms"), "histogram");
    writeHistogram(Out, Key, Series);
  }
  return Out.str();
}

} // namespace bulrush::telemetry
