#include "query/admission_gate.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::query;

namespace {

constexpr caller_id Drivers{1};
constexpr caller_id Quotes{2};
constexpr double CapacityPerMs = 1; ///< of the endpoint

/// Shares of the offered queries that were admitted.
struct admitted_shares {
  double Drivers = 0;
  double Quotes = 0;
};

/// Offers queries of both classes for 10 s, with ranks evenly spread over [0,
/// 1). Returns the shares admitted in the last 5 s.
admitted_shares offerLoad(admission_gate &Gate, int DriversPerMs,
                          int QuotesPerMs) {
  int Count = 0;
  int DriversAdmitted = 0;
  int QuotesAdmitted = 0;
  for (int Ms = 0; Ms < 10'000; ++Ms) {
    const instant Now{static_cast<double>(Ms)};
    const bool IsMeasured = Ms >= 5'000;
    for (int I = 0; I < DriversPerMs; ++I, ++Count) {
      const bool IsAdmitted = Gate.admit(
          Drivers, 1, (Count * 37 % 1000) / 1000.0, CapacityPerMs, Now);
      DriversAdmitted += IsAdmitted && IsMeasured ? 1 : 0;
    }
    for (int I = 0; I < QuotesPerMs; ++I, ++Count) {
      const bool IsAdmitted = Gate.admit(
          Quotes, 3, (Count * 37 % 1000) / 1000.0, CapacityPerMs, Now);
      QuotesAdmitted += IsAdmitted && IsMeasured ? 1 : 0;
    }
  }
  return {DriversAdmitted / (5000.0 * std::max(DriversPerMs, 1)),
          QuotesAdmitted / (5000.0 * std::max(QuotesPerMs, 1))};
}

} // namespace

TEST_CASE("a class that overloads an endpoint is admitted up to its capacity",
          "[owner][gate]") {
  const owner_settings Settings;
  admission_gate Gate(Settings);
  const admitted_shares Shares = offerLoad(Gate, 4, 0);
  CHECK(Shares.Drivers == Approx(Settings.GateUtilization / 4).margin(0.01));
}

TEST_CASE("two overloading classes share the capacity by weight",
          "[owner][gate]") {
  const owner_settings Settings;
  admission_gate Gate(Settings);
  const admitted_shares Shares = offerLoad(Gate, 4, 4);
  CHECK(Shares.Drivers == Approx(Settings.GateUtilization / 16).margin(0.01));
  CHECK(Shares.Quotes ==
        Approx(Settings.GateUtilization * 3 / 16).margin(0.01));
}

TEST_CASE("without overload everything is admitted", "[owner][gate]") {
  const owner_settings Settings;
  admission_gate Gate(Settings);
  int Refused = 0;
  for (int Ms = 0; Ms < 5000; Ms += 2)
    Refused += Gate.admit(Drivers, 1, 0.999, CapacityPerMs, {Ms * 1.0}) ? 0 : 1;
  CHECK(Refused == 0);
}

TEST_CASE("the rank of a query is equal at all owners", "[owner][gate]") {
  CHECK(admissionRank({1}, {77}) == admissionRank({1}, {77}));
  CHECK(admissionRank({1}, {77}) != admissionRank({2}, {77}));
  double Sum = 0;
  for (std::uint64_t Query = 0; Query < 1000; ++Query)
    Sum += admissionRank({1}, {Query});
  CHECK(Sum / 1000 == Approx(0.5).margin(0.05));
}
