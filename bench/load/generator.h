/// Open-loop load generator: requests are sent at their scheduled times,
/// regardless of how fast answers arrive. Latency is measured from the
/// scheduled time.
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

/// An answer that failed its check.
struct wrong_answer {
  std::string Class;
  std::string Request;
  answer_fault Fault = answer_fault::none;
  std::string Body; ///< HTTP status and the start of the body
};

/// The results of one run.
struct load_results {
  std::vector<class_statistics> Classes; ///< one for each class of the settings
  std::map<answer_fault, std::uint64_t> Faults;
  std::vector<wrong_answer> Examples;
  reported_totals ReportedTotals;
  std::uint64_t Verified = 0;  ///< answers that were checked
  std::vector<float> SendLags; ///< delay of sending in the tool itself, in ms
  std::map<std::string, std::vector<std::string>>
      OutcomesByKey; ///< outcomes of commands, in the order of arrival
  std::vector<std::uint64_t> SentTo;
  std::vector<entry_series> Entries; ///< one for each entry daemon, and a last
                                     ///< one for requests without a ready one
  double FirstWallMs = 0; ///< wall clock at the start of measuring, in ms
};

/// Sends the load of `load_settings` and collects the results.
class generator {
public:
  /// Callbacks for the phases of a run.
  struct listener {
    std::function<void()> Measuring; ///< called when the warmup has ended
    std::function<void()> Finished;  ///< called when no request is outstanding
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
