/// Runs Google Benchmark and checks each time against a reference loop of the
/// same run, so that bounds hold on slow and fast machines alike.
#pragma once

#include <benchmark/benchmark.h>
#include <string>
#include <vector>

namespace bulrush::bench {

/// One regression bound.
struct ratio_bound {
  std::string Name;     ///< of the benchmark
  double PerItem = 1;   ///< items that one iteration handles
  double MostRatio = 1; ///< time of an item over that of the reference
  std::string Reason;   ///< the target that the bound comes from
};

/// Runs all benchmarks. Returns 1 when a bound is broken or its benchmark did
/// not run. The reference is the benchmark named "reference".
int runWithBounds(int Count, char **Arguments,
                  const std::vector<ratio_bound> &Bounds);

/// The reference: one insertion and one removal in a `std::map` of 1,024 keys.
void reference(benchmark::State &State);

} // namespace bulrush::bench
