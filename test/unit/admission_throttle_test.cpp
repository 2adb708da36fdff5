#include "query/admission_throttle.h"

#include <catch2/catch.hpp>
#include <random>

using namespace bulrush;
using namespace bulrush::query;

namespace {

/// Offers `Rate` queries per second for `Seconds` to a back end that completes
/// `Capacity` of them per second and fails those beyond a backlog of 5. Returns
/// the share of queries admitted in the last second.
double admittedShare(admission_throttle &Throttle, instant &Now, int Seconds,
                     double Rate, double Capacity) {
  const throttle_settings Settings;
  std::minstd_rand Random(7);
  std::uniform_real_distribution<double> Draw(0, 1);
  double Backlog = 0;
  int Admitted = 0;
  int Offered = 0;
  const int Queries = static_cast<int>(Seconds * Rate);
  for (int Query = 0; Query < Queries; ++Query) {
    Now = Now + millis{1000 / Rate};
    Backlog = std::max(0.0, Backlog - Capacity / Rate);
    const bool IsLast = Query >= Queries - Rate;
    Offered += IsLast ? 1 : 0;
    if (!Throttle.admit(Settings, Now, Draw(Random)))
      continue;
    Admitted += IsLast ? 1 : 0;
    const bool Failed = Backlog > 5;
    Backlog += 1;
    Throttle.onQueryEnded(Settings, Now, Failed);
  }
  return static_cast<double>(Admitted) / Offered;
}

} // namespace

TEST_CASE("all queries are admitted while they succeed", "[router]") {
  admission_throttle Throttle;
  instant Now{1000};
  CHECK(admittedShare(Throttle, Now, 5, 100, 200) == 1);
}

TEST_CASE("under overload slightly more queries are admitted than can succeed",
          "[router]") {
  admission_throttle Throttle;
  instant Now{1000};
  const double Share = admittedShare(Throttle, Now, 10, 300, 100);
  CHECK(Share > 1.0 / 3);
  CHECK(Share < 1.25 / 3);
}

TEST_CASE("all queries are admitted again after an overload", "[router]") {
  admission_throttle Throttle;
  instant Now{1000};
  admittedShare(Throttle, Now, 10, 300, 100);
  CHECK(admittedShare(Throttle, Now, 10, 100, 200) == 1);
}

TEST_CASE("the throttle can be disabled", "[router]") {
  admission_throttle Throttle;
  throttle_settings Settings;
  Settings.Enabled = false;
  for (int Query = 0; Query < 100; ++Query) {
    CHECK(Throttle.admit(Settings, {1000}, 0));
    Throttle.onQueryEnded(Settings, {1000}, true);
  }
}

TEST_CASE("a query whose caller leaves counts neither as a success nor as a "
          "failure",
          "[router]") {
  const throttle_settings Settings;
  admission_throttle WithLeavers;
  admission_throttle Without;
  for (int Query = 0; Query < 200; ++Query) {
    const instant Now{1000.0 + Query * 10};
    for (admission_throttle *Each : {&WithLeavers, &Without}) {
      Each->admit(Settings, Now, 0.999);
      Each->onQueryEnded(Settings, Now, Query % 2 == 0);
    }
    WithLeavers.admit(Settings, Now, 0.999);
    WithLeavers.onQueryAbandoned(Settings, Now, Now);
  }
  // The share refused decides at which draw a query is admitted.
  for (const double Draw : {0.0, 0.1, 0.2, 0.3, 0.4, 0.5}) {
    admission_throttle A = WithLeavers;
    admission_throttle B = Without;
    CHECK(A.admit(Settings, {3000}, Draw) == B.admit(Settings, {3000}, Draw));
  }
}
