#include "relay/reach_monitor.h"
#include "relay_fixture.h"

#include <set>

using namespace bulrush;
using namespace bulrush::test;

namespace {

/// A query over twelve shards with two endpoints each.
struct reach_fixture : relay_fixture {
  reach_fixture() {
    std::vector<std::string> Names;
    for (char Name = 'a'; Name < 'm'; ++Name) {
      Names.emplace_back(1, Name);
      addService(Names.back(), 2);
    }
    addRoute("/all/", Names);
    install();
  }

  std::vector<reach_log_event> reachEvents() const {
    std::vector<reach_log_event> Out;
    for (const relay_action &Each : Actions)
      if (const auto *Found = std::get_if<reach_log_event>(&Each))
        Out.push_back(*Found);
    return Out;
  }

  /// Answers the probes sent since the last call, healthy unless the endpoint
  /// is in `Down`; returns their number.
  std::size_t answerProbes(const std::set<endpoint_no> &Down) {
    std::size_t Count = 0;
    const std::size_t End = Actions.size();
    for (; Handled < End; ++Handled)
      if (const auto *Probe = std::get_if<probe_endpoint>(&Actions[Handled])) {
        const endpoint_no No = Probe->Endpoint;
        step(probe_ended{No, Down.count(No) == 0, {}, {}, false, {}});
        ++Count;
      }
    return Count;
  }
  std::set<endpoint_no> allEndpoints() const {
    std::set<endpoint_no> Out;
    for (const auto &[No, Name] : Names)
      Out.insert({No});
    return Out;
  }

  std::size_t Handled = 0;
};

} // namespace

TEST_CASE("a relay whose endpoints all fall silent reports the loss of reach "
          "once, and its return",
          "[reach]") {
  reach_fixture Relay;
  Relay.sendRequest("/all/x");
  // Overdue 250 ms after the objective of 100 ms, confirmed 300 ms later.
  for (int I = 0; I < 40; ++I)
    Relay.advance(20);
  REQUIRE(Relay.reachEvents().size() == 1);
  CHECK(Relay.reachEvents().front().IsLost);
  CHECK(Relay.Relay.gauges(Relay.Now).IsReachLost);
  Relay.answerProbes(Relay.allEndpoints());
  CHECK(Relay.reachEvents().size() == 1);
  Relay.advance(2000);
  Relay.answerProbes({});
  REQUIRE(Relay.reachEvents().size() == 2);
  CHECK(!Relay.reachEvents().back().IsLost);
}

// Guards against a mass crash being taken for a lost network path.
TEST_CASE("endpoints that crash beside others that reply do not lose reach",
          "[reach]") {
  reach_fixture Relay;
  Relay.sendRequest("/all/x");
  std::set<endpoint_no> Down;
  std::vector<std::uint64_t> Broken;
  for (const auto &[Number, Each] : Relay.Sent)
    if (Broken.size() < 8) {
      Broken.push_back(Number);
      Down.insert(Each.Endpoint);
    }
  for (const std::uint64_t Each : Broken)
    Relay.breakConnection(Each);
  const std::size_t Probed = Relay.answerProbes(Down);
  CHECK(Probed > Down.size()); // others are probed beside those that crashed
  Relay.replyAll();
  for (int I = 0; I < 40; ++I) {
    Relay.advance(20);
    Relay.answerProbes(Down);
  }
  CHECK(Relay.reachEvents().empty());
}

TEST_CASE("one endpoint without a reply says nothing of the others",
          "[reach]") {
  reach_monitor Reach;
  for (int I = 0; I < 10; ++I)
    Reach.onUnheard({1}, instant{I * 100.0});
  CHECK(!Reach.takeProbesDue(instant{5000}));
  CHECK(!Reach.update(instant{5000}));
}

// Guards against relays that wait for endpoints which are gone for good, while
// those that replaced them get no request.
TEST_CASE("reach returns once other endpoints have replaced those that were "
          "lost",
          "[reach]") {
  reach_fixture Relay;
  Relay.sendRequest("/all/x");
  for (int I = 0; I < 40; ++I)
    Relay.advance(20);
  REQUIRE(Relay.Relay.gauges(Relay.Now).IsReachLost);
  const std::set<endpoint_no> Gone = Relay.allEndpoints();
  Relay.answerProbes(Gone);
  for (listed_endpoint &Each : Relay.Directory.Endpoints)
    Each.Identity.StartTimeMs = 2; // another incarnation
  Relay.publishDirectory();
  for (int I = 0; I < 100; ++I) {
    Relay.advance(20);
    Relay.answerProbes(Gone);
  }
  CHECK(!Relay.Relay.gauges(Relay.Now).IsReachLost);
}

// Guards against harmless requests that are quarantined because a relay lost
// its path while endpoints ran them.
TEST_CASE("endpoints that a relay loses all at once have not crashed",
          "[reach]") {
  for (const bool IsOwnPath : {true, false}) {
    reach_fixture Relay;
    Relay.sendRequest("/all/x");
    std::set<endpoint_no> Down = Relay.allEndpoints();
    if (!IsOwnPath) {
      Down.clear();
      for (const auto &[Number, Each] : Relay.Sent)
        Down.insert(Each.Endpoint);
    }
    while (!Relay.Sent.empty())
      Relay.breakConnection(Relay.Sent.begin()->first);
    for (int I = 0; I < 40; ++I) {
      Relay.answerProbes(Down);
      Relay.advance(20);
    }
    CHECK((Relay.count<send_crash_reports>() == 0) == IsOwnPath);
    CHECK((Relay.count<crash_log_event>() == 0) == IsOwnPath);
  }
}
