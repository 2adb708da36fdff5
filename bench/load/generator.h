/// Open-loop load: requests are sent when they are due, however slow the
/// answers are, and latency counts from when they were due.
#pragma once

#include "balancer.h"
#include "load_settings.h"
#include "statistics.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bulrush::bench {

/// One answer that was not true, with what was received.
struct wrong_answer {
  std::string Class;
  std::string Request;
  answer_fault Fault = answer_fault::none;
  std::string Body; ///< its beginning
};

/// Everything that a run gathered.
struct load_results {
  std::vector<class_statistics> Classes; ///< in the order of the settings
  std::map<answer_fault, std::uint64_t> Faults;
  std::vector<wrong_answer> Examples;
  total_claims Totals;
  std::uint64_t Verified = 0;  ///< answers that were checked
  std::vector<float> SendLags; ///< how late the tool itself sent
  std::map<std::string, std::vector<std::string>>
      OutcomesByKey; ///< of commands, in the order of the answers
  std::vector<std::uint64_t> SentTo;
  std::vector<entry_series> Entries; ///< the last one: no entry was ready
  double FirstWallMs = 0;            ///< wall clock at the start of the figures
};

class generator {
public:
  /// What the tool tells while it runs.
  struct listener {
    std::function<void()> Measuring; ///< the warmup is over
    std::function<void()> Finished;  ///< every answer is there or given up
  };

  generator(boost::asio::io_context &Io, load_settings Settings,
            listener Listener);
  ~generator();

  void start();
  load_results &results();

private:
  struct impl;
  std::shared_ptr<impl> Impl;
};

} // namespace bulrush::bench
