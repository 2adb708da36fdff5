/// What callers saw, by class and by second.
#pragma once

#include "answer_check.h"
#include "bulrushtray/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bulrush::bench {

/// How one request ended, as its caller saw it.
struct caller_result {
  millis Offset;  ///< scheduled send time, from the start of the figures
  millis Latency; ///< from the scheduled send time
  checked_answer Answer;
};

/// Requests that were scheduled in the same second.
struct second_of_class {
  std::uint32_t Sent = 0;
  std::uint32_t Answered = 0;
  std::uint32_t NotRun = 0;
  std::uint32_t Unknown = 0;
  double Coverage = 0;          ///< sum of the answers' shares of shards
  std::vector<float> Latencies; ///< of answers, in milliseconds
};

/// Requests of one entry daemon that were scheduled in the same second, each
/// counted with the weight of its class.
struct second_of_entry {
  double Sent = 0;
  double Answered = 0;
};
using entry_series = std::vector<second_of_entry>;
void addTo(entry_series &Series, const caller_result &Result, double Weight);

struct class_statistics {
  std::uint64_t Sent = 0;
  std::uint64_t Answered = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Complete = 0; ///< answers that cover all shards
  double Coverage = 0;        ///< sum of the answers' shares of shards
  std::map<std::string, std::uint64_t> Reasons;
  std::vector<float> Latencies; ///< of answers, in milliseconds
  std::vector<float> RefusalLatencies;
  std::vector<second_of_class> Seconds;

  void add(const caller_result &Result);
};

/// The value that a share of the values does not exceed; 0 without values.
/// Reorders them. Example: `quantile(Latencies, 0.99)`.
double quantile(std::vector<float> &Values, double Share);

} // namespace bulrush::bench
