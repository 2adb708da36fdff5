#include "ratio_main.h"

#include <cstdint>
#include <cstdio>
#include <map>

namespace bulrush::bench {

namespace {

/// Prints as usual and keeps the best CPU time of each benchmark.
class keeping_reporter final : public benchmark::ConsoleReporter {
public:
  void ReportRuns(const std::vector<Run> &Runs) override {
    for (const Run &One : Runs) {
      if (One.run_type != Run::RT_Iteration)
        continue;
      const double Ns = One.GetAdjustedCPUTime();
      const auto [Place, IsNew] =
          BestNs.try_emplace(One.run_name.function_name, Ns);
      if (!IsNew && Ns < Place->second)
        Place->second = Ns;
    }
    ConsoleReporter::ReportRuns(Runs);
  }

  std::map<std::string, double> BestNs;
};

bool holds(const ratio_bound &Bound, const std::map<std::string, double> &Ns,
           double ReferenceNs) {
  const auto Found = Ns.find(Bound.Name);
  if (Found == Ns.end()) {
    std::printf("%-28s did not run\n", Bound.Name.c_str());
    return false;
  }
  const double Item = Found->second / Bound.PerItem;
  const bool Holds = Item / ReferenceNs <= Bound.MostRatio;
  std::printf(
      "%-28s %8.1f ns an item, %6.1f x reference, bound %6.1f %s (%s)\n",
      Bound.Name.c_str(), Item, Item / ReferenceNs, Bound.MostRatio,
      Holds ? "holds" : "BROKEN", Bound.Reason.c_str());
  return Holds;
}

} // namespace

void reference(benchmark::State &State) {
  constexpr std::uint64_t Keys = 1024;
  constexpr std::uint64_t Odd = 0x9e3779b97f4a7c15;
  std::map<std::uint64_t, std::uint64_t> Map;
  for (std::uint64_t Key = 0; Key < Keys; ++Key)
    Map[Key * Odd] = Key;
  std::uint64_t Next = Keys;
  for (auto _ : State) {
    Map[Next * Odd] = Next;
    Map.erase((Next - Keys) * Odd);
    ++Next;
  }
}

int runWithBounds(int Count, char **Arguments,
                  const std::vector<ratio_bound> &Bounds) {
  benchmark::Initialize(&Count, Arguments);
  keeping_reporter Reporter;
  benchmark::RunSpecifiedBenchmarks(&Reporter);
  const auto Reference = Reporter.BestNs.find("reference");
  if (Reference == Reporter.BestNs.end()) {
    std::printf("the reference did not run\n");
    return 1;
  }
  bool AllHold = true;
  for (const ratio_bound &Bound : Bounds)
    AllHold = holds(Bound, Reporter.BestNs, Reference->second) && AllHold;
  return AllHold ? 0 : 1;
}

} // namespace bulrush::bench
