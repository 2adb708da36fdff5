/// Counters and latency statistics of one process, and their text form for
/// `/metrics`.
#pragma once

#include "bulrushtray/clock.h"
#include "bulrushtray/outcome.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace bulrush::telemetry {

/// Latency figures of one series, in milliseconds.
struct latency_summary {
  std::uint64_t Count = 0;
  millis Mean;
  millis Median;
  millis P99;
};

/// All counters and latencies of one process. Safe to use from several threads.
class metrics {
public:
  metrics();
  ~metrics();
  metrics(const metrics &) = delete;
  metrics &operator=(const metrics &) = delete;

  /// Adds to a counter. `Label` is the value after the name, such as a refusal
  /// reason.
  void add(std::string_view Name, std::string_view Label = {},
           std::uint64_t Amount = 1);
  void countRefusal(refusal Reason) { add("refused", toString(Reason)); }
  void countRetry(retry_reason Reason) { add("retried", toString(Reason)); }
  /// Sets a value that goes up and down.
  void set(std::string_view Name, std::string_view Label, double Value);
  /// Adds one latency to a series.
  void observe(std::string_view Name, std::string_view Label, millis Latency);

  std::uint64_t count(std::string_view Name, std::string_view Label = {}) const;
  latency_summary latency(std::string_view Name,
                          std::string_view Label = {}) const;

  /// The text exposition format: one line `name{label="x"} value` for each
  /// figure, sorted; latencies as histograms in milliseconds.
  std::string text() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace bulrush::telemetry
