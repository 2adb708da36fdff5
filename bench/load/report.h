/// The JSON result and the plot of one run.
#pragma once

#include "generator.h"

#include <string>

namespace bulrush::bench {

/// Sorts and reads `Results`. `UntrueTotals` is the number of answers whose
/// total was not that of the published snapshot.
std::string reportJson(const load_settings &Settings, load_results &Results,
                       std::uint64_t UntrueTotals);

/// An SVG picture: answers, refusals and p99 of each class by second.
std::string plotSvg(const load_settings &Settings, load_results &Results);

} // namespace bulrush::bench
