#include "query/admission_gate.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <xxhash.h>

namespace bulrush::query {

namespace {

/// Classes with a lower offered rate, in requests per millisecond, are erased.
constexpr double MinRatePerMs = 1e-4;

} // namespace

double admissionRank(vm_id From, query_id Query) {
  const std::array<std::uint64_t, 2> Key = {From.Value, Query.Value};
  constexpr double RankCount = 18446744073709551616.0; // 2^64
  return static_cast<double>(XXH64(Key.data(), sizeof(Key), 0)) / RankCount;
}

bool admission_gate::admit(caller_id Caller, double Weight, double Rank,
                           double CapacityPerMs, instant Now) {
  if (!HasStarted) {
    HasStarted = true;
    WindowStart = Now;
  }
  const millis WindowLength = Now - WindowStart;
  if (WindowLength >= Settings.GateWindow) {
    endWindow(WindowLength, CapacityPerMs);
    WindowStart = Now;
  }
  traffic_class &Class = findOrAddClass(Caller, Weight);
  ++Class.Count;
  return Rank < Class.AdmittedShare;
}

admission_gate::traffic_class &admission_gate::findOrAddClass(caller_id Caller,
                                                              double Weight) {
  for (traffic_class &Class : Classes)
    if (Class.Caller == Caller && Class.Weight == Weight)
      return Class;
  Classes.push_back({Caller, Weight, 0, 0, 0, 1});
  return Classes.back();
}

void admission_gate::endWindow(millis WindowLength, double CapacityPerMs) {
  const double Decay = std::exp(-(WindowLength / Settings.GateTimeConstant));
  for (traffic_class &Class : Classes) {
    const double Rate = Class.Count / WindowLength.Count;
    Class.OfferedPerMs = Class.OfferedPerMs * Decay + Rate * (1 - Decay);
    Class.Count = 0;
  }
  std::erase_if(Classes, [](const traffic_class &Class) {
    return Class.OfferedPerMs < MinRatePerMs;
  });
  allocateCapacity(CapacityPerMs * Settings.GateUtilization);
}

/// Progressive filling, in ascending order of offered rate per weight.
void admission_gate::allocateCapacity(double CapacityPerMs) {
  std::sort(Classes.begin(), Classes.end(),
            [](const traffic_class &A, const traffic_class &B) {
              return A.OfferedPerMs / A.Weight < B.OfferedPerMs / B.Weight;
            });
  double RemainingWeight = 0;
  for (const traffic_class &Class : Classes)
    RemainingWeight += Class.Weight;
  double Remaining = CapacityPerMs;
  for (traffic_class &Class : Classes) {
    Class.AllocatedPerMs = std::min(Class.OfferedPerMs,
                                    Remaining * Class.Weight / RemainingWeight);
    Class.AdmittedShare =
        std::min(1.0, Class.AllocatedPerMs / Class.OfferedPerMs);
    Remaining -= Class.AllocatedPerMs;
    RemainingWeight -= Class.Weight;
  }
}

} // namespace bulrush::query
