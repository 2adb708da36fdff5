/// Bounds of microbenchmarks: ratios between benchmarks of one run.
#pragma once

#include <algorithm>
#include <benchmark/benchmark.h>
#include <cstdint>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

namespace bulrush::micro {

/// At most `Most` of the time of `Reference` for `Name`.
struct ratio_bound {
  std::string Name;
  std::string Reference;
  double Most;
  std::string Source;
};

/// Dependent steps of the reference loop: about a millisecond of one core.
inline constexpr int ReferenceSteps = 1'000'000;

/// The reference loop: a chain of dependent multiplications.
inline void referenceLoop(benchmark::State &State) {
  std::uint64_t Value = 1;
  for (auto Unused : State) {
    (void)Unused;
    for (int Step = 0; Step < ReferenceSteps; ++Step)
      Value = Value * 6364136223846793005U + 1442695040888963407U;
    benchmark::DoNotOptimize(Value);
  }
}

/// Puts flags before the caller's own: short repetitions in random order, so
/// that a change of the machine's load meets all benchmarks alike.
inline std::vector<char *> withDefaults(int Count, char **Arguments) {
  static std::string MinTime = "--benchmark_min_time=0.02";
  static std::string Order = "--benchmark_enable_random_interleaving=true";
  std::vector<char *> All{Arguments[0], MinTime.data(), Order.data()};
  All.insert(All.end(), Arguments + 1, Arguments + Count);
  return All;
}

/// Keeps the shortest time of each benchmark's repetitions, in nanoseconds.
class shortest_reporter final : public benchmark::ConsoleReporter {
public:
  void ReportRuns(const std::vector<Run> &Runs) override {
    benchmark::ConsoleReporter::ReportRuns(Runs);
    for (const Run &One : Runs) {
      if (One.run_type != Run::RT_Iteration)
        continue;
      const std::string Name = One.run_name.function_name;
      const double Time = One.run_name.time_type.empty()
                              ? One.GetAdjustedCPUTime()
                              : One.GetAdjustedRealTime();
      const auto Known = Shortest.find(Name);
      Shortest[Name] =
          Known == Shortest.end() ? Time : std::min(Known->second, Time);
    }
  }

  /// Prints each bound; true when all hold.
  bool check(const std::vector<ratio_bound> &Bounds) const {
    bool Holds = true;
    for (const ratio_bound &Bound : Bounds) {
      const double Ratio =
          Shortest.at(Bound.Name) / Shortest.at(Bound.Reference);
      const bool Ok = Ratio <= Bound.Most;
      std::printf("%s %s / %s = %.5f, at most %.5f (%s)\n",
                  Ok ? "holds" : "BROKEN", Bound.Name.c_str(),
                  Bound.Reference.c_str(), Ratio, Bound.Most,
                  Bound.Source.c_str());
      Holds = Holds && Ok;
    }
    return Holds;
  }

private:
  std::map<std::string, double> Shortest;
};

} // namespace bulrush::micro
