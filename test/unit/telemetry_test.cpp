#include "telemetry/bounded_output.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

#include <catch2/catch.hpp>
#include <unistd.h>

using namespace bulrush;
using namespace bulrush::telemetry;

TEST_CASE("values with spaces, quotes or newlines are quoted") {
  CHECK(formatLine("zone_out",
                   {{"zone", "linz"}, {"why", "power \"test\"\nnow"}}) ==
        "event=zone_out zone=linz why=\"power \\\"test\\\" now\"");
}

TEST_CASE("each refusal reason has its own counter") {
  metrics Metrics;
  Metrics.countRefusal(refusal::queue_full);
  Metrics.countRefusal(refusal::queue_full);
  Metrics.countRefusal(refusal::zone_out);
  CHECK(Metrics.count("refused", "queue_full") == 2);
  Metrics.add("named", "a\"b\\c");
  CHECK(Metrics.text().find(R"(bulrush_named_total{label="a\"b\\c"} 1)") !=
        std::string::npos);
  CHECK(Metrics.text().find("bulrush_refused_total{label=\"zone_out\"} 1") !=
        std::string::npos);
}

TEST_CASE("the mean of a latency series is computed") {
  metrics Metrics;
  Metrics.observe("search", "driver", millis{10});
  Metrics.observe("search", "driver", millis{20});
  CHECK(Metrics.latency("search", "driver").Mean == millis{15});
  CHECK(Metrics.latency("search", "driver").Count == 2);
}

TEST_CASE("a latency series is written as a histogram") {
  metrics Metrics;
  for (const double Each : {0.5, 3.0, 3.5, 70.0, 9000.0})
    Metrics.observe("request", "search", millis{Each});
  const std::string Text = Metrics.text();
  const auto Has = [&](const std::string &Line) {
    return Text.find(Line + '\n') != std::string::npos;
  };
  CHECK(Has("# TYPE bulrush_request_ms histogram"));
  CHECK(Has("bulrush_request_ms_bucket{label=\"search\",le=\"1\"} 1"));
  CHECK(Has("bulrush_request_ms_bucket{label=\"search\",le=\"5\"} 3"));
  CHECK(Has("bulrush_request_ms_bucket{label=\"search\",le=\"100\"} 4"));
  CHECK(Has("bulrush_request_ms_bucket{label=\"search\",le=\"5000\"} 4"));
  CHECK(Has("bulrush_request_ms_bucket{label=\"search\",le=\"+Inf\"} 5"));
  CHECK(Has("bulrush_request_ms_sum{label=\"search\"} 9077"));
  CHECK(Has("bulrush_request_ms_count{label=\"search\"} 5"));
}

TEST_CASE("the type of a metric is written once") {
  metrics Metrics;
  Metrics.add("requests", "200");
  Metrics.add("requests", "503");
  Metrics.set("in_flight", "", 3);
  const std::string Text = Metrics.text();
  CHECK(Text.find("# TYPE bulrush_requests_total counter\n") ==
        Text.rfind("# TYPE bulrush_requests_total counter\n"));
  CHECK(Text.find("# TYPE bulrush_in_flight gauge\nbulrush_in_flight 3\n") !=
        std::string::npos);
}

TEST_CASE("lines for a pipe that is not read are dropped and reported later") {
  int Pipe[2] = {};
  REQUIRE(::pipe(Pipe) == 0);
  constexpr std::size_t Bound = 4096;
  bounded_output Output(Pipe[1], Bound);
  const std::string Line(100, 'x');
  constexpr int Lines = 5000;
  for (int I = 0; I < Lines; ++I) {
    Output.append(Line);
    Output.flush(); // must not block
  }
  CHECK(Output.dropped() > 0);
  CHECK(Output.bufferedBytes() <= Bound);
  std::string Received;
  char Buffer[65536];
  for (int I = 0; I < 3; ++I) {
    const ssize_t Count = ::read(Pipe[0], Buffer, sizeof Buffer);
    REQUIRE(Count > 0);
    Received.append(Buffer, static_cast<std::size_t>(Count));
    Output.append("last");
    Output.flush();
  }
  CHECK(Received.find("event=lines_dropped count=") != std::string::npos);
  CHECK(Received.find("last") != std::string::npos);
  ::close(Pipe[0]);
  ::close(Pipe[1]);
}

TEST_CASE("a gauge shows all digits of a whole number", "[telemetry]") {
  // Guards against versions that differ and read the same in a graph.
  metrics Metrics;
  Metrics.set("version", "", std::uint64_t{18446744073709551614U});
  Metrics.set("share", "", 0.1234567);
  Metrics.set("offset", "", -3);
  const std::string Text = Metrics.text();
  CHECK(Text.find("bulrush_version 18446744073709551614\n") !=
        std::string::npos);
  CHECK(Text.find("bulrush_share 0.1234567\n") != std::string::npos);
  CHECK(Text.find("bulrush_offset -3\n") != std::string::npos);
}
