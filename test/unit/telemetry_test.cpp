#include "telemetry/log.h"
#include "telemetry/metrics.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::telemetry;

TEST_CASE("a log line quotes values that would break it") {
  CHECK(formatLine("zone_out",
                   {{"zone", "linz"}, {"why", "power \"test\"\nnow"}}) ==
        "event=zone_out zone=linz why=\"power \\\"test\\\" now\"");
}

TEST_CASE("each refusal reason is counted on its own") {
  metrics Metrics;
  Metrics.countRefusal(refusal::queue_full);
  Metrics.countRefusal(refusal::queue_full);
  Metrics.countRefusal(refusal::zone_out);
  CHECK(Metrics.count("refused", "queue_full") == 2);
  CHECK(Metrics.text().find("bulrush_refused_total{label=\"zone_out\"} 1") !=
        std::string::npos);
}

TEST_CASE("a latency series gives its mean") {
  metrics Metrics;
  Metrics.observe("search", "driver", millis{10});
  Metrics.observe("search", "driver", millis{20});
  CHECK(Metrics.latency("search", "driver").Mean == millis{15});
  CHECK(Metrics.latency("search", "driver").Count == 2);
}
