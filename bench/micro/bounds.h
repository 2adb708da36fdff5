/// Bounds on the ratio between the times of two microbenchmarks of one run.
#pragma once

#include <algorithm>
#include <benchmark/benchmark.h>
#include <cstdint>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

namespace bulrush::micro {

/// Upper bound on the time of benchmark `Name` divided by that of `Reference`.
struct ratio_bound {
  std::string Name;
  std::string Reference;
  double MaxRatio;
  std::string Source; ///< requirement that the bound comes from
};

/// Iterations of the reference loop, which take about 1 ms on one core.
inline constexpr int ReferenceSteps = 1'000'000;

/// Reference benchmark: a chain of dependent multiplications.
inline void referenceLoop(benchmark::State &State) {
  std::uint64_t Value = 1;
  for (auto Unused : State) {
    (void)Unused;
    for (int Step = 0; Step < ReferenceSteps; ++Step)
      Value = Value * 6364136223846793005U + 1442695040888963407U;
    benchmark::DoNotOptimize(Value);
  }
}

/// Prepends default flags to the command line: short repetitions in random
/// order, so that changes in machine load affect all benchmarks equally.
inline std::vector<char *> withDefaultFlags(int Count, char **Arguments) {
  static std::string MinTime = "--benchmark_min_time=0.02";
  static std::string Order = "--benchmark_enable_random_interleaving=true";
  std::vector<char *> All{Arguments[0], MinTime.data(), Order.data()};
  All.insert(All.end(), Arguments + 1, Arguments + Count);
  return All;
}

/// Whether the command line only asks for the names of the benchmarks.
inline bool isListing(int Count, char **Arguments) {
  return std::any_of(Arguments, Arguments + Count, [](const char *Each) {
    const std::string Text = Each;
    return Text == "--benchmark_list_tests" ||
           Text == "--benchmark_list_tests=true";
  });
}

/// Records the shortest time in nanoseconds over the repetitions of each
/// benchmark.
class shortest_reporter final : public benchmark::ConsoleReporter {
public:
  void ReportRuns(const std::vector<Run> &Runs) override {
    benchmark::ConsoleReporter::ReportRuns(Runs);
    for (const Run &Result : Runs) {
      if (Result.run_type != Run::RT_Iteration)
        continue;
      const std::string Name = Result.run_name.function_name;
      const double Time = Result.run_name.time_type.empty()
                              ? Result.GetAdjustedCPUTime()
                              : Result.GetAdjustedRealTime();
      const auto It = ShortestTimes.find(Name);
      ShortestTimes[Name] =
          It == ShortestTimes.end() ? Time : std::min(It->second, Time);
    }
  }

  /// Prints the result of each bound. Returns whether all bounds hold.
  bool check(const std::vector<ratio_bound> &Bounds) const {
    bool AllHold = true;
    for (const ratio_bound &Bound : Bounds) {
      const auto Time = ShortestTimes.find(Bound.Name);
      const auto Reference = ShortestTimes.find(Bound.Reference);
      if (Time == ShortestTimes.end() || Reference == ShortestTimes.end()) {
        std::printf("%s / %s did not run\n", Bound.Name.c_str(),
                    Bound.Reference.c_str());
        AllHold = false;
        continue;
      }
      const double Ratio = Time->second / Reference->second;
      const bool Ok = Ratio <= Bound.MaxRatio;
      std::printf("%s %s / %s = %.5f, at most %.5f (%s)\n",
                  Ok ? "holds" : "BROKEN", Bound.Name.c_str(),
                  Bound.Reference.c_str(), Ratio, Bound.MaxRatio,
                  Bound.Source.c_str());
      AllHold = AllHold && Ok;
    }
    return AllHold;
  }

private:
  std::map<std::string, double> ShortestTimes;
};

} // namespace bulrush::micro
