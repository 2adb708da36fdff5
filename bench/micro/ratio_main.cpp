#include "ratio_main.h"

#include "bounds.h"

#include <cstdint>
#include <cstdio>
#include <map>

namespace bulrush::bench {

namespace {

/// Console reporter that also records the shortest CPU time of each benchmark.
class best_time_reporter final : public benchmark::ConsoleReporter {
public:
  void ReportRuns(const std::vector<Run> &Runs) override {
    for (const Run &Result : Runs) {
      if (Result.run_type != Run::RT_Iteration)
        continue;
      const double Ns = Result.GetAdjustedCPUTime();
      const auto [It, IsNew] =
          BestNs.try_emplace(Result.run_name.function_name, Ns);
      if (!IsNew && Ns < It->second)
        It->second = Ns;
    }
    ConsoleReporter::ReportRuns(Runs);
  }

  std::map<std::string, double> BestNs;
};

bool checkBound(const ratio_bound &Bound,
                const std::map<std::string, double> &Ns, double ReferenceNs) {
  const auto It = Ns.find(Bound.Name);
  if (It == Ns.end()) {
    std::printf("%-28s did not run\n", Bound.Name.c_str());
    return false;
  }
  const double ItemNs = It->second / Bound.PerItem;
  const bool Holds = ItemNs / ReferenceNs <= Bound.MaxRatio;
  std::printf(
      "%-28s %8.1f ns per item, %6.1f x reference, bound %6.1f %s (%s)\n",
      Bound.Name.c_str(), ItemNs, ItemNs / ReferenceNs, Bound.MaxRatio,
      Holds ? "holds" : "BROKEN", Bound.Reason.c_str());
  return Holds;
}

} // namespace

void reference(benchmark::State &State) {
  constexpr std::uint64_t Keys = 1024;
  constexpr std::uint64_t HashMultiplier = 0x9e3779b97f4a7c15;
  std::map<std::uint64_t, std::uint64_t> Map;
  for (std::uint64_t Key = 0; Key < Keys; ++Key)
    Map[Key * HashMultiplier] = Key;
  std::uint64_t Next = Keys;
  for (auto _ : State) {
    Map[Next * HashMultiplier] = Next;
    Map.erase((Next - Keys) * HashMultiplier);
    ++Next;
  }
}

int runWithBounds(int Count, char **Arguments,
                  const std::vector<ratio_bound> &Bounds) {
  const bool IsListing = micro::isListing(Count, Arguments);
  benchmark::Initialize(&Count, Arguments);
  best_time_reporter Reporter;
  benchmark::RunSpecifiedBenchmarks(&Reporter);
  if (IsListing)
    return 0;
  const auto Reference = Reporter.BestNs.find("reference");
  if (Reference == Reporter.BestNs.end()) {
    std::printf("the reference benchmark did not run\n");
    return 1;
  }
  bool AllHold = true;
  for (const ratio_bound &Bound : Bounds)
    AllHold = checkBound(Bound, Reporter.BestNs, Reference->second) && AllHold;
  return AllHold ? 0 : 1;
}

} // namespace bulrush::bench
