/// Statistics of results as clients see them, by class and by second.
#pragma once

#include "answer_check.h"
#include "bulrushtray/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bulrush::bench {

/// The result of one request as its client sees it.
struct caller_result {
  millis Offset;  ///< scheduled send time, relative to the start of measuring
  millis Latency; ///< from the scheduled send time to the answer, with the
                  ///< simulated client link
  checked_answer Answer;
};

/// Requests of one class that were scheduled in the same second.
struct class_second {
  std::uint32_t Sent = 0;
  std::uint32_t Answered = 0;
  std::uint32_t NotRun = 0;
  std::uint32_t Unknown = 0;
  double CoverageSum = 0;       ///< sum of covered / total over the answers
  std::vector<float> Latencies; ///< latencies of answers, in milliseconds
};

/// Requests to one entry daemon that were scheduled in the same second, each
/// counted with the weight of its class.
struct entry_second {
  double Sent = 0;
  double Answered = 0;
};
using entry_series = std::vector<entry_second>;
/// Adds `Result`, a request whose class has the weight `Weight`.
void addResult(entry_series &Series, const caller_result &Result,
               double Weight);

/// Statistics of one class of requests.
struct class_statistics {
  std::uint64_t Sent = 0;
  std::uint64_t Answered = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Complete = 0; ///< answers that cover every shard
  double CoverageSum = 0;     ///< sum of covered / total over the answers
  std::map<std::string, std::uint64_t>
      Reasons; ///< requests without answer, by "outcome:reason"
  std::vector<float> Latencies;        ///< latencies of answers, in ms
  std::vector<float> RefusalLatencies; ///< latencies of all others, in ms
  std::vector<class_second> Seconds;

  void add(const caller_result &Result);
};

/// The `Share` quantile of `Values` by nearest rank; 0 if `Values` is empty.
/// Reorders `Values`. Example: `quantile(Latencies, 0.99)`.
double quantile(std::vector<float> &Values, double Share);

} // namespace bulrush::bench
