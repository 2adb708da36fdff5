/// The JSON report and the SVG plot of one run.
#pragma once

#include "generator.h"

#include <string>

namespace bulrush::bench {

/// Formats `Results` as JSON; reorders the latencies in it. `WrongTotals` is
/// the number of answers whose total is not that of the published snapshot.
std::string reportJson(const load_settings &Settings, load_results &Results,
                       std::uint64_t WrongTotals);

/// Draws an SVG plot: for each class and second the number of answers, the
/// number of requests not answered and the p99 latency. Reorders the latencies
/// in `Results`.
std::string plotSvg(const load_settings &Settings, load_results &Results);

} // namespace bulrush::bench
