#include "query/admission_gate.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <xxhash.h>

namespace bulrush::query {

namespace {

/// A class below this rate, in requests per ms, is forgotten.
constexpr double LeastPerMs = 1e-4;

} // namespace

double admissionRank(vm_id From, query_id Query) {
  const std::array<std::uint64_t, 2> Key = {From.Value, Query.Value};
  constexpr double Span = 18446744073709551616.0; // 2^64
  return static_cast<double>(XXH64(Key.data(), sizeof(Key), 0)) / Span;
}

bool admission_gate::admit(caller_id Caller, double Weight, double Rank,
                           double PerMs, instant Now) {
  if (!Began) {
    Began = true;
    WindowBegan = Now;
  }
  const millis Length = Now - WindowBegan;
  if (Length >= Settings.GateWindow) {
    closeWindow(Length, PerMs);
    WindowBegan = Now;
  }
  offered_class &Class = classOf(Caller, Weight);
  ++Class.Count;
  return Rank < Class.Share;
}

admission_gate::offered_class &admission_gate::classOf(caller_id Caller,
                                                       double Weight) {
  for (offered_class &Class : Classes)
    if (Class.Caller == Caller && Class.Weight == Weight)
      return Class;
  Classes.push_back({Caller, Weight, 0, 0, 0, 1});
  return Classes.back();
}

void admission_gate::closeWindow(millis Length, double PerMs) {
  const double Kept = std::exp(-(Length / Settings.GateMemory));
  for (offered_class &Class : Classes) {
    const double Rate = Class.Count / Length.Count;
    Class.PerMs = Class.PerMs * Kept + Rate * (1 - Kept);
    Class.Count = 0;
  }
  std::erase_if(Classes, [](const offered_class &Class) {
    return Class.PerMs < LeastPerMs;
  });
  divide(PerMs * Settings.GateUse);
}

/// Progressive filling: classes that want least for their weight first.
void admission_gate::divide(double PerMs) {
  std::sort(Classes.begin(), Classes.end(),
            [](const offered_class &A, const offered_class &B) {
              return A.PerMs / A.Weight < B.PerMs / B.Weight;
            });
  double Weights = 0;
  for (const offered_class &Class : Classes)
    Weights += Class.Weight;
  double Left = PerMs;
  for (offered_class &Class : Classes) {
    Class.Granted = std::min(Class.PerMs, Left * Class.Weight / Weights);
    Class.Share = std::min(1.0, Class.Granted / Class.PerMs);
    Left -= Class.Granted;
    Weights -= Class.Weight;
  }
}

} // namespace bulrush::query
