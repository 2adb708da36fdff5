/// Counters, gauges and latency histograms of one process, and their text form
/// for `/metrics`.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/outcome.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <type_traits>

namespace bulrush::telemetry {

/// Number of observations of one series and their latency statistics.
struct latency_summary {
  std::uint64_t Count = 0;
  millis Mean;
  millis Median;
  millis P99;
};

/// All metrics of one process. Thread-safe.
class metrics {
public:
  metrics();
  ~metrics();
  metrics(const metrics &) = delete;
  metrics &operator=(const metrics &) = delete;

  /// Adds `Amount` to a counter. `Label` is the value of the key `label`, such
  /// as a refusal reason; empty: the series has no label.
  void add(std::string_view Name, std::string_view Label = {},
           std::uint64_t Amount = 1);
  void countRefusal(refusal Reason) { add("refused", toString(Reason)); }
  void countRetry(retry_reason Reason) { add("retried", toString(Reason)); }
  /// Sets a gauge. Whole numbers are kept exactly, as versions need all of
  /// their digits.
  template <class Number>
  requires std::is_arithmetic_v<Number>
  void set(std::string_view Name, std::string_view Label, Number Value) {
    if constexpr (std::is_integral_v<Number>)
      setGauge(Name, Label, std::to_string(Value));
    else
      setGauge(Name, Label, toText(Value));
  }
  /// Adds one observation to a latency histogram.
  void observe(std::string_view Name, std::string_view Label, millis Latency);

  std::uint64_t count(std::string_view Name, std::string_view Label = {}) const;
  latency_summary latency(std::string_view Name,
                          std::string_view Label = {}) const;

  /// Returns all metrics in the Prometheus text format: a line
  /// `name{label="x"} value` per series, sorted by name within counters, gauges
  /// and latencies. Latencies are histograms in milliseconds.
  std::string text() const;

private:
  void setGauge(std::string_view Name, std::string_view Label,
                std::string Value);
  static std::string toText(double Value);

  struct state;
  std::unique_ptr<state> State;
};

} // namespace bulrush::telemetry
