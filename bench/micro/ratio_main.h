/// Runs Google Benchmark and compares each time with a reference benchmark of
/// the same run, so that the bounds do not depend on the speed of the machine.
#pragma once

#include <benchmark/benchmark.h>
#include <string>
#include <vector>

namespace bulrush::bench {

/// Upper bound on the time of one benchmark.
struct ratio_bound {
  std::string Name;    ///< name of the benchmark
  double PerItem = 1;  ///< items per iteration
  double MaxRatio = 1; ///< time per item divided by that of the reference
  std::string Reason;  ///< requirement that the bound comes from
};

/// Runs all benchmarks. Returns 1 if a bound does not hold, or if its
/// benchmark or the benchmark named "reference" did not run; else 0.
int runWithBounds(int Count, char **Arguments,
                  const std::vector<ratio_bound> &Bounds);

/// Reference benchmark: one insertion and one removal in a `std::map` of 1,024
/// keys.
void reference(benchmark::State &State);

} // namespace bulrush::bench
