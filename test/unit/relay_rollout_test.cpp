// Rollouts at one relay: which endpoints get attempts, and what is reported.
#include "relay_fixture.h"

#include <cmath>
#include <functional>
#include <random>
#include <set>

using namespace bulrush;
using namespace bulrush::test;

namespace {

/// The service "one": "one-0" and "one-1" run v1, "one-2" and "one-3" run v2;
/// even ones are in the zone of the relay.
struct rollout_fixture : relay_fixture {
  explicit rollout_fixture(std::uint64_t Seed = 7)
      : relay_fixture(settings(), Seed) {
    addService("one", 4, 100000);
    for (listed_endpoint &Each : Directory.Endpoints)
      Each.Version = {"v1"};
    listedEntry("one-2").Version = {"v2"};
    listedEntry("one-3").Version = {"v2"};
    addPlainRoute("/one/", "one");
  }

  std::uint64_t Rollout = 9; ///< id of the latest one
  bool HasEnded = false;

  void setPolicy(rollout_state State, double Share = 0,
                 const std::string &Established = {}, bool IsFull = false) {
    // A rollout that has ended is never in progress again.
    if (State == rollout_state::in_progress && HasEnded)
      ++Rollout;
    HasEnded =
        State == rollout_state::complete || State == rollout_state::rolled_back;
    version_policy Policy;
    Policy.Service = {"one"};
    Policy.Rollout = {State == rollout_state::none ? 0U : Rollout};
    Policy.State = State;
    if (State != rollout_state::none)
      Policy.Target = {"v2"};
    Policy.Share = Share;
    Policy.Established = {Established};
    step(version_policies_arrived{{Policy}, IsFull});
  }
  void startRollout(double Share) {
    setPolicy(rollout_state::in_progress, Share);
  }
  void heartbeat() { step(peer_count_changed{1}); }

  static bool isTarget(const std::string &Instance) {
    return Instance == "one-2" || Instance == "one-3";
  }
  /// Attempts in flight at the target version.
  std::size_t sentToTarget() const {
    return static_cast<std::size_t>(
        std::count_if(Sent.begin(), Sent.end(), [&](const auto &Each) {
          return isTarget(instanceOf(Each.second));
        }));
  }
  /// Sends requests, each of which gets its reply after 5 ms; returns how many
  /// attempts went to the target.
  std::size_t sendAndReply(int Requests) {
    std::size_t ToTarget = 0;
    for (int I = 0; I < Requests; ++I) {
      sendRequest("/one/");
      ToTarget += sentToTarget();
      advance(5);
      replyAll();
      heartbeat();
    }
    return ToTarget;
  }
  /// Sends requests until an attempt at the target is in flight; returns the
  /// request.
  query_id sendToTarget(const std::string &Path = "/one/") {
    for (int I = 0; I < 100; ++I) {
      const query_id Request = sendRequest(Path);
      if (sentToTarget() > 0)
        return Request;
      advance(5);
      replyAll();
      heartbeat();
    }
    FAIL("no attempt went to the target");
    return {};
  }
  void change(const std::string &Instance,
              const std::function<void(listed_endpoint &)> &Change) {
    Change(listedEntry(Instance));
    publishDirectory();
  }
  void forEachOf(bool IsTarget,
                 const std::function<void(listed_endpoint &)> &Change) {
    for (listed_endpoint &Each : Directory.Endpoints)
      if (isTarget(Each.Identity.Instance) == IsTarget)
        Change(Each);
    publishDirectory();
  }
  /// Removes the endpoints of the target, or all others, from the list.
  void unlist(bool IsTarget) {
    std::erase_if(Directory.Endpoints, [&](const listed_endpoint &Each) {
      return isTarget(Each.Identity.Instance) == IsTarget;
    });
    publishDirectory();
  }

  std::vector<rollout_report> reports() const {
    std::vector<rollout_report> Out;
    for (const relay_action &Each : Actions)
      if (const auto *Sent = std::get_if<send_rollout_reports>(&Each))
        Out.insert(Out.end(), Sent->Reports.begin(), Sent->Reports.end());
    return Out;
  }
  /// The report that contains all that happened so far.
  rollout_report lastReport() {
    advance(300);
    REQUIRE_FALSE(reports().empty());
    return reports().back();
  }
  void replyAs(std::uint64_t Attempt, unsigned Status, bool IsNotRun = false) {
    endpoint_reply Reply;
    Reply.Status = Status;
    Reply.IsNotRun = IsNotRun;
    end(Attempt, attempt_end::replied, Reply);
  }
};

version_counts sum(const rollout_report &Report, bool IsTarget) {
  version_counts Out;
  for (const route_counts &Each : Report.Routes) {
    const version_counts &From = IsTarget ? Each.New : Each.Old;
    Out.Sent += From.Sent;
    Out.Answers += From.Answers;
    Out.Failures += From.Failures;
    Out.Unreachable += From.Unreachable;
    for (std::size_t I = 0; I < LatencyBins; ++I)
      Out.Latency[I] += From.Latency[I];
  }
  return Out;
}

} // namespace

TEST_CASE("without a policy all versions get requests", "[relay][rollout]") {
  rollout_fixture Relay;
  Relay.install();
  std::set<std::string> Used;
  for (int I = 0; I < 4; ++I)
    Relay.sendRequest("/one/");
  for (const auto &[No, Each] : Relay.Sent)
    Used.insert(Relay.instanceOf(Each));
  CHECK(Used.count("one-0") + Used.count("one-2") == 2);
  CHECK(Relay.reports().empty());
}

TEST_CASE("the target gets the share of the first attempts",
          "[relay][rollout]") {
  rollout_fixture Relay;
  Relay.install();
  Relay.startRollout(0.1);
  const std::size_t ToTarget = Relay.sendAndReply(200);
  CHECK(ToTarget >= 19);
  CHECK(ToTarget <= 21);
  Relay.startRollout(1);
  CHECK(Relay.sendAndReply(50) == 50);
  Relay.startRollout(0);
  CHECK(Relay.sendAndReply(50) == 0);
}

TEST_CASE("relays that see three requests each send the share of them to the "
          "target",
          "[relay][rollout]") {
  for (const std::uint64_t Relays : {8U, 69U, 300U}) {
    std::size_t ToTarget = 0;
    for (std::uint64_t I = 0; I < Relays; ++I) {
      rollout_fixture Relay(I + 1);
      Relay.install(static_cast<std::uint32_t>(Relays));
      Relay.startRollout(0.08);
      ToTarget += Relay.sendAndReply(3);
    }
    const double Expected = 0.24 * static_cast<double>(Relays);
    const double Deviation =
        std::sqrt(static_cast<double>(Relays) * 0.24 * 0.76);
    INFO(Relays << " relays: " << ToTarget << ", expected " << Expected);
    CHECK(std::abs(static_cast<double>(ToTarget) - Expected) <= 3 * Deviation);
  }
}

TEST_CASE("a restarted relay sends no more than the share to the target",
          "[relay][rollout]") {
  // Guards against a start that makes an attempt due at each restart.
  std::size_t ToTarget = 0;
  constexpr int Restarts = 200;
  for (int I = 0; I < Restarts; ++I) {
    rollout_fixture Relay(static_cast<std::uint64_t>(I) * 7919 + 1);
    Relay.install();
    Relay.startRollout(0.08);
    ToTarget += Relay.sendAndReply(1);
  }
  CHECK(ToTarget <= 0.08 * Restarts + 4 * std::sqrt(0.08 * 0.92 * Restarts));
}

TEST_CASE("a bad reply of the canary is retried on the old version",
          "[relay][rollout]") {
  rollout_fixture Relay;
  Relay.install();
  Relay.startRollout(0.2);
  Relay.sendAndReply(50); // fills the retry budget
  const query_id Request = Relay.sendToTarget();
  Relay.replyAs(Relay.Sent.begin()->first, 500);
  REQUIRE(Relay.Sent.size() == 1);
  CHECK(Relay.sentToTarget() == 0);
  Relay.replyAll();
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Status == 200);
}

TEST_CASE("neither hedges nor retries go to the canary", "[relay][rollout]") {
  rollout_fixture Relay;
  Relay.Catalog.Routes.front().MaxAttempts = 4;
  Relay.install();
  Relay.startRollout(0.2);
  Relay.sendAndReply(100);
  int Further = 0;
  for (int I = 0; I < 40; ++I) {
    Relay.sendRequest("/one/");
    std::set<std::uint64_t> Known;
    for (const auto &[No, Each] : Relay.Sent)
      Known.insert(No);
    if (I % 2 == 0)
      Relay.replyAs(*Known.begin(), 500);
    for (int Ms = 0; Ms < 40; ++Ms) {
      Relay.advance(1);
      for (const auto &[No, Each] : Relay.Sent)
        if (Known.insert(No).second) {
          ++Further;
          CHECK_FALSE(Relay.isTarget(Relay.instanceOf(Each)));
        }
    }
    Relay.replyAll();
    Relay.heartbeat();
  }
  CHECK(Further >= 20);
}

TEST_CASE("at a share of 1 retries go to the target", "[relay][rollout]") {
  rollout_fixture Relay;
  Relay.install();
  Relay.startRollout(1);
  Relay.sendAndReply(50);
  Relay.sendRequest("/one/");
  Relay.replyAs(Relay.Sent.begin()->first, 500);
  CHECK(Relay.sentToTarget() == 1);
}

TEST_CASE("a target that cannot take requests leaves them to the old version",
          "[relay][rollout]") {
  const double Share = GENERATE(0.2, 1.0);
  rollout_fixture Relay;
  Relay.install();
  SECTION("cold") {
    Relay.forEachOf(true, [](listed_endpoint &Each) { Each.ColdFor = {1e6}; });
  }
  SECTION("leaving") {
    Relay.forEachOf(true, [](listed_endpoint &Each) { Each.IsLeaving = true; });
  }
  SECTION("not listed") { Relay.unlist(true); }
  SECTION("zone out") {
    Relay.forEachOf(true, [](listed_endpoint &Each) { Each.Zone = "third"; });
    Relay.step(zones_out_changed{{"third"}});
  }
  SECTION("paused") {
    for (const auto &[No, Name] : Relay.Names)
      if (Relay.isTarget(Name)) {
        probe_ended Probe{{No}, true, "", {}, false, {5000}, {}, true};
        Relay.step(Probe);
      }
  }
  Relay.startRollout(Share);
  for (int I = 0; I < 50; ++I) {
    const query_id Request = Relay.sendRequest("/one/");
    CHECK(Relay.sentToTarget() == 0);
    CHECK(Relay.Sent.size() == 1);
    Relay.advance(5);
    Relay.replyAll();
    Relay.heartbeat();
    CHECK(Relay.answerTo(Request));
  }
}

TEST_CASE("the canary replaces an old version that cannot take requests, "
          "within its exposure",
          "[relay][rollout]") {
  rollout_fixture Relay;
  Relay.install(60); // the slack of 15 for 60 relays is a quarter each
  Relay.startRollout(0.2);
  Relay.forEachOf(false, [](listed_endpoint &Each) { Each.ColdFor = {1e6}; });
  std::size_t ToTarget = 0;
  std::size_t Refused = 0;
  for (int I = 0; I < 100; ++I) {
    const query_id Request = Relay.sendRequest("/one/");
    ToTarget += Relay.sentToTarget();
    Refused += Relay.answerTo(Request) ? 1 : 0;
    Relay.advance(5);
    Relay.replyAll();
    Relay.step(peer_count_changed{60});
  }
  CHECK(ToTarget <= 2);
  CHECK(ToTarget + Refused == 100);
  // Its exposure is in the reports.
  CHECK(sum(Relay.lastReport(), true).Sent == ToTarget);
}

TEST_CASE("a pause of the old version that ends in time does not send requests "
          "to the canary",
          "[relay][rollout]") {
  rollout_fixture Relay;
  Relay.install();
  Relay.startRollout(0.001);
  for (const auto &[No, Name] : Relay.Names)
    if (!Relay.isTarget(Name))
      Relay.step(probe_ended{{No}, true, "", {}, false, {40}, {}, true});
  Relay.sendRequest("/one/");
  CHECK(Relay.Sent.empty());
  Relay.advance(41);
  CHECK(Relay.Sent.size() >= 1); // and a hedge
  CHECK(Relay.sentToTarget() == 0);
}

TEST_CASE("at a share of 1 a pause of the target that ends in time is waited "
          "for",
          "[relay][rollout]") {
  // Guards against a part that fails because an endpoint of the old version is
  // open, which it is not sent to.
  rollout_fixture Relay;
  Relay.install();
  Relay.startRollout(1);
  for (const auto &[No, Name] : Relay.Names)
    if (Relay.isTarget(Name))
      Relay.step(probe_ended{{No}, true, "", {}, false, {40}, {}, true});
  const query_id Request = Relay.sendRequest("/one/");
  CHECK(Relay.Sent.empty());
  CHECK_FALSE(Relay.answerTo(Request));
  Relay.advance(41);
  CHECK(Relay.sentToTarget() >= 1);
  CHECK(Relay.sentToTarget() == Relay.Sent.size());
}

TEST_CASE("requests that the old version does not accept do not raise the "
          "share of the canary",
          "[relay][rollout]") {
  // Guards against an overload in which the canary gets its share of all
  // requests that arrive, while few of them reach the old version.
  rollout_fixture Relay;
  Relay.install();
  Relay.startRollout(0.1);
  for (int I = 0; I < 1000; ++I) {
    for (int J = 0; J < 5; ++J)
      Relay.sendRequest("/one/");
    Relay.advance(20);
    Relay.heartbeat();
    for (const auto &[No, Each] : std::map(Relay.Sent))
      if (Relay.isTarget(Relay.instanceOf(Each)))
        Relay.reply(No);
    // The old version is busy for 200 ms with each of its requests.
    if (I % 10 == 0)
      Relay.replyAll();
  }
  Relay.replyAll();
  const rollout_report Report = Relay.lastReport();
  const version_counts Old = sum(Report, false);
  const version_counts New = sum(Report, true);
  CHECK(Old.Sent < 2500);
  CHECK(static_cast<double>(New.Sent) <=
        0.1 * static_cast<double>(Old.Sent + New.Sent) + 1);
}

TEST_CASE("a relay without a message of the leader for 1 s sends the canary "
          "nothing",
          "[relay][rollout]") {
  for (const double Share : {0.5, 1.0}) {
    rollout_fixture Relay;
    Relay.install();
    Relay.startRollout(Share);
    CHECK(Relay.sendAndReply(10) >= 4);
    Relay.advance(1001);
    for (int I = 0; I < 20; ++I) {
      Relay.sendRequest("/one/");
      CHECK(Relay.sentToTarget() == 0);
      Relay.advance(5);
      Relay.replyAll();
    }
    CHECK(Relay.lastReport().Share == 0);
    Relay.heartbeat();
    CHECK(Relay.reports().back().Share == Share);
    CHECK(Relay.sendAndReply(10) >= 4);
    // Callers take precedence if only the target is listed.
    Relay.unlist(false);
    Relay.advance(2000);
    Relay.sendRequest("/one/");
    CHECK(Relay.sentToTarget() == 1);
  }
}

TEST_CASE("policies may arrive before the directory", "[relay][rollout]") {
  rollout_fixture Relay;
  Relay.setPolicy(rollout_state::rolled_back, 0, {}, true);
  Relay.install();
  CHECK(Relay.sendAndReply(30) == 0);
  rollout_fixture Second;
  Second.setPolicy(rollout_state::in_progress, 1, {}, true);
  Second.install();
  CHECK(Second.sendAndReply(30) == 30);
  // New endpoints of the directory follow the policy too.
  Second.setPolicy(rollout_state::complete);
  listed_endpoint Added = Second.Directory.Endpoints.front();
  Added.Identity = {"one-4", 1};
  Second.Directory.Endpoints.push_back(Added);
  Second.publishDirectory();
  CHECK(Second.sendAndReply(30) == 30);
}

TEST_CASE("a version that appears later in the list counts",
          "[relay][rollout]") {
  rollout_fixture Relay;
  Relay.listedEntry("one-2").Version = {};
  Relay.listedEntry("one-3").Version = {};
  Relay.install();
  Relay.startRollout(1);
  Relay.sendAndReply(5);
  CHECK(sum(Relay.lastReport(), true).Sent == 0);
  Relay.heartbeat();
  Relay.forEachOf(true, [](listed_endpoint &Each) { Each.Version = {"v2"}; });
  CHECK(Relay.sendAndReply(5) == 5);
  CHECK(sum(Relay.lastReport(), true).Sent == 5);
}

TEST_CASE("a full set of policies ends those it does not contain",
          "[relay][rollout]") {
  rollout_fixture Relay;
  Relay.install();
  Relay.setPolicy(rollout_state::rolled_back);
  CHECK(Relay.sendAndReply(10) == 0);
  Relay.step(version_policies_arrived{{}, false});
  CHECK(Relay.sendAndReply(10) == 0);
  Relay.step(version_policies_arrived{{}, true});
  for (int I = 0; I < 4; ++I)
    Relay.sendRequest("/one/");
  CHECK(Relay.sentToTarget() > 0);
}

TEST_CASE("without an order another version than the established one gets "
          "nothing while that one is listed",
          "[relay][rollout]") {
  rollout_fixture Relay;
  Relay.install();
  Relay.setPolicy(rollout_state::none, 0, "v1");
  // Not even if the established version cannot take requests.
  Relay.forEachOf(false, [](listed_endpoint &Each) { Each.ColdFor = {1e6}; });
  const query_id Request = Relay.sendRequest("/one/");
  CHECK(Relay.Sent.empty());
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Status == 503);
  Relay.unlist(false);
  Relay.sendRequest("/one/");
  CHECK(Relay.sentToTarget() == 1);
}

TEST_CASE("complete takes the old version out at once while its attempts run "
          "to their end",
          "[relay][rollout]") {
  rollout_fixture Relay;
  Relay.install();
  Relay.startRollout(0.001);
  const query_id Request = Relay.sendRequest("/one/");
  REQUIRE(Relay.sentToTarget() == 0);
  REQUIRE(Relay.Sent.size() == 1);
  const endpoint_no Used = Relay.Sent.begin()->second.Endpoint;
  Relay.setPolicy(rollout_state::complete);
  CHECK(Relay.Sent.size() == 1); // not cancelled
  // Attempts that wait for a connection would be sent later.
  CHECK(std::any_of(Relay.Actions.begin(), Relay.Actions.end(),
                    [&](const relay_action &Each) {
                      const auto *Action =
                          std::get_if<withdraw_attempts>(&Each);
                      return Action && Action->Endpoint == Used;
                    }));
  Relay.reply(Relay.Sent.begin()->first);
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Status == 200);
  CHECK(Relay.sendAndReply(20) == 20);
  // Without any endpoint of the target, callers get the old version.
  Relay.unlist(true);
  CHECK(Relay.sendAndReply(3) == 0);
}

TEST_CASE("a version that was rolled back gets nothing, even if it is the only "
          "one listed",
          "[relay][rollout]") {
  rollout_fixture Relay;
  Relay.install();
  Relay.startRollout(1);
  Relay.sendAndReply(3);
  Relay.setPolicy(rollout_state::rolled_back);
  CHECK(Relay.sendAndReply(20) == 0);
  Relay.unlist(false);
  Relay.sendRequest("/one/");
  CHECK(Relay.Sent.empty());
}

TEST_CASE("a report counts attempts by route and version", "[relay][rollout]") {
  rollout_fixture Relay;
  Relay.addPlainRoute("/two/", "one");
  Relay.install();
  Relay.startRollout(0.5);
  REQUIRE(Relay.reports().size() == 1); // confirms the share at once
  CHECK(Relay.reports().back().Share == 0.5);
  CHECK(Relay.reports().back().Rollout == rollout_id{9});
  const std::size_t ToTarget = Relay.sendAndReply(20);
  Relay.sendToTarget("/two/");
  Relay.advance(20);
  Relay.replyAs(Relay.Sent.begin()->first, 500);
  Relay.replyAll();
  const rollout_report Report = Relay.lastReport();
  REQUIRE(Report.Routes.size() == 2);
  const route_counts &One = Report.Routes[0];
  CHECK(One.RouteKey == "shop.example/one/");
  CHECK(One.New.Sent == ToTarget);
  CHECK(One.New.Answers == ToTarget);
  CHECK(One.New.Failures == 0);
  CHECK(One.Old.Sent == 20 - ToTarget);
  CHECK(One.Old.Latency[latencyBin(millis{5})] == 20 - ToTarget);
  const route_counts &Two = Report.Routes[1];
  CHECK(Two.RouteKey == "shop.example/two/");
  CHECK(Two.New.Sent == 1);
  CHECK(Two.New.Failures == 1);
  CHECK(Two.New.Latency[latencyBin(millis{20})] == 1);
  CHECK(Two.Old.Failures == 0);
  CHECK(Two.Old.Sent >= 1); // the retry
  CHECK(Report.OldInFlight + Report.NewInFlight == 0);
}

TEST_CASE("reports are sent every 300 ms if there is news, and at once for a "
          "new share or leader",
          "[relay][rollout]") {
  rollout_fixture Relay;
  Relay.install();
  Relay.startRollout(0.5);
  CHECK(Relay.reports().size() == 1);
  Relay.heartbeat();
  for (int I = 0; I < 90; ++I) {
    Relay.advance(10);
    Relay.heartbeat();
  }
  CHECK(Relay.reports().size() == 1); // nothing new
  for (int I = 0; I < 90; ++I) {
    Relay.sendAndReply(1);
    Relay.advance(5);
  }
  CHECK(Relay.reports().size() >= 4);
  CHECK(Relay.reports().size() <= 5);
  std::size_t Before = Relay.reports().size();
  Relay.startRollout(0.7);
  CHECK(Relay.reports().size() == Before + 1);
  Relay.step(leader_found{});
  CHECK(Relay.reports().size() == Before + 2);
  CHECK(sum(Relay.reports().back(), false).Sent > 0);
  Before = Relay.reports().size();
  Relay.setPolicy(rollout_state::complete);
  Relay.sendAndReply(100);
  CHECK(Relay.reports().size() == Before);
}

TEST_CASE("attempts in flight include those that were sent before the rollout",
          "[relay][rollout]") {
  // Guards against completing a rollout, which stops the old endpoints, while
  // they still work on requests.
  rollout_fixture Relay;
  Relay.unlist(true);
  Relay.install();
  Relay.sendRequest("/one/");
  REQUIRE(Relay.Sent.size() == 1);
  Relay.startRollout(1);
  CHECK(Relay.reports().back().OldInFlight == 1);
  const std::uint64_t Attempt = Relay.Sent.begin()->first;
  Relay.unlist(false); // also while its endpoint is not listed any more
  Relay.startRollout(0.9);
  CHECK(Relay.reports().back().OldInFlight == 1);
  Relay.reply(Attempt);
  CHECK(Relay.lastReport().OldInFlight == 0);
  // It was not sent during the rollout, so its answer does not count.
  CHECK(Relay.reports().back().Routes.empty());
}

TEST_CASE("attempts that say nothing about the version are no failures",
          "[relay][rollout]") {
  rollout_fixture Relay;
  Relay.install();
  Relay.startRollout(0.5);
  Relay.sendAndReply(40);
  const version_counts Before = sum(Relay.lastReport(), true);
  SECTION("the endpoint sheds") {
    Relay.sendToTarget();
    Relay.replyNotRun(Relay.Sent.begin()->first);
  }
  SECTION("the endpoint is cold") {
    Relay.sendToTarget();
    Relay.forEachOf(true, [](listed_endpoint &Each) { Each.ColdFor = {1e6}; });
    Relay.replyAs(Relay.Sent.begin()->first, 500);
  }
  SECTION("the client left") {
    const query_id Request = Relay.sendToTarget();
    Relay.step(client_disconnected{Request});
  }
  SECTION("the connection failed") {
    Relay.sendToTarget();
    Relay.end(Relay.Sent.begin()->first, attempt_end::connect_failed, {});
  }
  Relay.replyAll();
  Relay.heartbeat();
  const version_counts After = sum(Relay.lastReport(), true);
  CHECK(After.Sent > Before.Sent);
  CHECK(After.Failures == 0);
  CHECK(After.Answers + 1 == After.Sent);
}

TEST_CASE("an overdue attempt counts as slow only if its endpoint is up",
          "[relay][rollout]") {
  // Guards against a crash of machines, whose endpoints do not answer, that
  // counts as a slow version, and against a version that hangs unseen.
  for (const bool IsUp : {false, true}) {
    rollout_fixture Relay;
    Relay.install();
    Relay.startRollout(0.5);
    Relay.sendAndReply(20);
    Relay.sendToTarget();
    const std::uint64_t Attempt = Relay.Sent.begin()->first;
    const endpoint_no Endpoint = Relay.Sent.begin()->second.Endpoint;
    for (int I = 0; I < 90 && Relay.Sent.count(Attempt); ++I) {
      Relay.heartbeat();
      Relay.advance(10);
      for (const auto &[No, Each] : std::map(Relay.Sent))
        if (No != Attempt)
          Relay.reply(No);
    }
    REQUIRE(Relay.Sent.count(Attempt) == 0); // cancelled
    Relay.step(probe_ended{Endpoint, IsUp, "", {}, false, {}, {}, IsUp});
    const version_counts New = sum(Relay.lastReport(), true);
    CHECK(New.Unreachable == (IsUp ? 0 : 1));
    CHECK(New.Answers == (IsUp ? New.Sent : New.Sent - 1));
    CHECK(New.Failures == 0);
    std::uint64_t Slow = 0;
    for (std::size_t I = latencyBin(millis{200}); I < LatencyBins; ++I)
      Slow += New.Latency[I];
    CHECK(Slow == (IsUp ? 1 : 0));
  }
}

TEST_CASE("shard requests of other relays count under their route",
          "[relay][rollout]") {
  rollout_fixture Relay;
  Relay.install();
  Relay.startRollout(0.5);
  for (std::uint64_t I = 1; I <= 10; ++I) {
    shard_request Request;
    Request.Id = {I};
    auto Content = std::make_shared<opaque_request>();
    Content->RequestId = "p" + std::to_string(I);
    Request.Content = Content;
    Request.Shards = {{"one"}};
    Request.RouteKey = "shop.example/all/";
    Request.TopRecords = 10;
    Request.MaxAttempts = 2;
    Request.Objective = {100};
    Request.SoftTimeout = {90};
    Request.Remaining = {800};
    // The shards were requested from another relay before: no first attempts.
    Request.IsRetry = I > 8;
    Relay.step(shard_request_arrived{{5}, Request});
    if (Request.IsRetry)
      CHECK(Relay.sentToTarget() == 0);
    Relay.advance(5);
    Relay.replyAll();
  }
  const rollout_report Report = Relay.lastReport();
  REQUIRE(Report.Routes.size() == 1);
  CHECK(Report.Routes[0].RouteKey == "shop.example/all/");
  CHECK(Report.Routes[0].New.Sent == 4);
  CHECK(Report.Routes[0].New.Answers == 4);
  CHECK(Report.Routes[0].Old.Sent == 6);
}

TEST_CASE("random faults and policies: versions without permission get nothing "
          "and the counts agree with the attempts",
          "[relay][rollout]") {
  for (std::uint32_t Seed = 1; Seed <= 40; ++Seed) {
    INFO("seed " << Seed);
    std::mt19937 Random(Seed);
    const auto Draw = [&](unsigned Count) { return Random() % Count; };
    rollout_fixture Relay(Seed);
    Relay.Catalog.Routes.front().MaxAttempts = 3;
    Relay.install();
    rollout_state State = rollout_state::in_progress;
    double Share = 0;
    instant HeardAt = Relay.Now;
    Relay.startRollout(Share);
    std::size_t Seen = Relay.Actions.size();
    std::set<std::shared_ptr<const opaque_request>> Started;
    std::uint64_t ToTarget = 0;
    for (int I = 0; I < 600; ++I) {
      switch (Draw(12)) {
      case 0:
        if (Draw(4) == 0) {
          const rollout_state States[] = {rollout_state::in_progress,
                                          rollout_state::complete,
                                          rollout_state::rolled_back};
          State = Draw(2) == 0 ? rollout_state::in_progress : States[Draw(3)];
          const double Shares[] = {0, 0.08, 0.5, 1};
          Share = Shares[Draw(4)];
          Relay.setPolicy(State, Share);
          HeardAt = Relay.Now;
        }
        break;
      case 1: {
        listed_endpoint &Each = Relay.Directory.Endpoints[Draw(4)];
        Each.IsLeaving = false;
        Each.ColdFor = Draw(2) == 0 ? millis{100} : millis{0};
        Relay.publishDirectory();
        break;
      }
      case 2:
        Relay.advance(Draw(20) == 0 ? 1100 : 30);
        break;
      case 3:
      case 4:
        Relay.heartbeat();
        HeardAt = Relay.Now;
        break;
      case 5:
      case 6:
      case 7:
        Relay.sendRequest("/one/");
        break;
      default:
        if (!Relay.Sent.empty()) {
          const std::uint64_t Attempt = Relay.Sent.begin()->first;
          const unsigned How = Draw(8);
          if (How == 0)
            Relay.replyAs(Attempt, 500);
          else if (How == 1)
            Relay.replyNotRun(Attempt);
          else if (How == 2)
            Relay.end(Attempt, attempt_end::connect_failed, {});
          else
            Relay.reply(Attempt);
        }
        Relay.advance(3);
      }
      const bool IsInTouch = Relay.Now - HeardAt <= millis{1000};
      for (; Seen < Relay.Actions.size(); ++Seen) {
        const relay_action &Action = Relay.Actions[Seen];
        if (const auto *Probe = std::get_if<probe_endpoint>(&Action)) {
          const endpoint_no Probed = Probe->Endpoint;
          Relay.step(probe_ended{Probed, true, "", {}, false, {}, {}, true});
          continue;
        }
        const auto *Attempt = std::get_if<send_attempt>(&Action);
        if (!Attempt)
          continue;
        const bool IsFirst = Started.insert(Attempt->Content).second;
        const bool IsToTarget = Relay.isTarget(Relay.instanceOf(*Attempt));
        ToTarget += IsToTarget ? 1 : 0;
        if (State == rollout_state::complete)
          CHECK(IsToTarget);
        if (State == rollout_state::rolled_back)
          CHECK_FALSE(IsToTarget);
        const bool MayBeTarget =
            IsInTouch && Share > 0 && (IsFirst || Share >= 1);
        if (State == rollout_state::in_progress && IsToTarget)
          CHECK(MayBeTarget);
      }
    }
    CHECK(ToTarget > 0);
    Relay.startRollout(0.25);
    Relay.replyAll();
    const rollout_report Report = Relay.lastReport();
    CHECK(Report.OldInFlight + Report.NewInFlight == Relay.Sent.size());
    for (const bool IsTarget : {false, true}) {
      const version_counts Counts = sum(Report, IsTarget);
      CHECK(Counts.Answers <= Counts.Sent);
      CHECK(Counts.Failures <= Counts.Answers);
      std::uint64_t InBins = 0;
      for (const std::uint64_t Each : Counts.Latency)
        InBins += Each;
      CHECK(InBins == Counts.Answers);
    }
  }
}

TEST_CASE("log events name the version of the endpoint", "[relay][rollout]") {
  rollout_fixture Relay;
  Relay.install();
  Relay.startRollout(0.5);
  Relay.sendToTarget();
  Relay.replyAs(Relay.Sent.begin()->first, 500);
  bool HasAttempt = false;
  std::set<std::string> Listed;
  for (const relay_action &Each : Relay.Actions) {
    if (const auto *Attempt = std::get_if<attempt_log_event>(&Each)) {
      CHECK(Attempt->Version == software_version{"v2"});
      HasAttempt = true;
    }
    if (const auto *Endpoint = std::get_if<endpoint_log_event>(&Each))
      Listed.insert(Endpoint->Version.Value);
  }
  CHECK(HasAttempt);
  CHECK(Listed == std::set<std::string>{"v1", "v2"});
}
