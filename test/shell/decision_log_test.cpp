#include "fleet/decision_log.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::fleet;

namespace {

relay::request_log_event makeEvent(const std::string &Account,
                                   std::uint32_t Attempts) {
  relay::request_log_event Out;
  Out.RequestId = "id";
  Out.Account = {Account};
  Out.Status = 200;
  Out.Attempts = Attempts;
  return Out;
}

} // namespace

TEST_CASE("requests and attempts are counted by account", "[fleet]") {
  telemetry::metrics Metrics;
  decision_log Log(Metrics);
  Log.write(makeEvent("left", 2), {0});
  relay::request_log_event Refused = makeEvent("left", 1);
  Refused.Status = 503;
  Refused.Reason = relay::relay_refusal::no_endpoint;
  Log.write(Refused, {0});
  relay::request_log_event FromPeer = makeEvent("left", 5);
  FromPeer.IsFromPeer = true;
  Log.write(FromPeer, {0});
  Log.write(makeEvent("", 1), {0});
  CHECK(Metrics.count("account_requests", "left") == 2);
  CHECK(Metrics.count("account_attempts", "left") == 8);
  CHECK(Metrics.count("account_refusals", "left no_endpoint") == 1);
  CHECK(Metrics.text().find("account_requests_total{label=\"\"}") ==
        std::string::npos);
}

// Guards against a metrics page that grows with the number of accounts.
TEST_CASE("only the first 100 accounts have metrics of their own", "[fleet]") {
  telemetry::metrics Metrics;
  decision_log Log(Metrics);
  for (int Round = 0; Round < 2; ++Round)
    for (int I = 0; I < 150; ++I)
      Log.write(makeEvent("account-" + std::to_string(I), 1), {0});
  CHECK(Metrics.count("account_requests", "account-99") == 2);
  CHECK(Metrics.count("account_requests", "account-100") == 0);
  CHECK(Metrics.count("account_requests", "(others)") == 100);
}

// Guards against further attempts whose reason and sender no page tells.
TEST_CASE("repeats and their denials are counted by reason", "[fleet]") {
  telemetry::metrics Metrics;
  decision_log Log(Metrics);
  relay::request_log_event Event = makeEvent("", 3);
  const auto CountOf = [&](relay::repeat_reason Reason) -> auto & {
    return Event.Repeats[static_cast<std::size_t>(Reason)];
  };
  CountOf(relay::repeat_reason::hedge) = {2, 1};
  CountOf(relay::repeat_reason::peer) = {0, 4};
  Log.write(Event, {0});
  Event.IsFromPeer = true;
  Log.write(Event, {0});
  CHECK(Metrics.count("repeats_sent", "hedge") == 4);
  CHECK(Metrics.count("repeats_denied", "hedge") == 2);
  CHECK(Metrics.count("repeats_sent", "peer") == 0);
  CHECK(Metrics.count("repeats_denied", "peer") == 8);
}
