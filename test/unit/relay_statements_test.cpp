// What endpoints say of themselves: that they stop soon, or that they want no
// requests for a while.
#include "relay_fixture.h"

using namespace bulrush;
using namespace bulrush::test;

namespace {

/// A route to one service with endpoints "one-0" (near) and "one-1" (far).
struct statement_fixture : relay_fixture {
  explicit statement_fixture(int Endpoints = 2) {
    addService("one", Endpoints);
    addPlainRoute("/one/", "one");
    install();
  }

  /// Replies 200 and that the endpoint stops soon.
  void replyLeaving(std::uint64_t Attempt) {
    endpoint_reply Reply;
    Reply.Status = 200;
    Reply.Signature = "s";
    Reply.IsLeaving = true;
    end(Attempt, attempt_end::replied, Reply);
  }
  /// Replies 503, not run, and a retry delay.
  void replyPause(std::uint64_t Attempt, millis Pause) {
    endpoint_reply Reply;
    Reply.Status = 503;
    Reply.IsNotRun = true;
    Reply.RetryAfter = Pause;
    end(Attempt, attempt_end::replied, Reply);
  }
  endpoint_no numberOf(const std::string &Instance) const {
    endpoint_no Out;
    for (const auto &[Number, Name] : Names)
      if (Name == Instance)
        Out = {Number};
    return Out;
  }
  /// Requests that "one-0" gets out of `Count`, each answered at once.
  int requestsAtFirst(int Count) {
    int Out = 0;
    for (int I = 0; I < Count; ++I) {
      sendRequest("/one/");
      Out += attemptAt("one-0") != 0 ? 1 : 0;
      replyAll();
    }
    return Out;
  }
};

const endpoint_log_event *findLogEvent(const relay_actions &Actions,
                                       endpoint_state_change Change) {
  for (const relay_action &Each : Actions)
    if (const auto *LogEvent = std::get_if<endpoint_log_event>(&Each))
      if (LogEvent->Change == Change)
        return LogEvent;
  return nullptr;
}

} // namespace

TEST_CASE("an endpoint that says it leaves gets no further request",
          "[relay][statements]") {
  statement_fixture Relay;
  Relay.sendRequest("/one/");
  REQUIRE(Relay.attemptAt("one-0") != 0);
  Relay.replyLeaving(Relay.attemptAt("one-0"));
  CHECK(Relay.requestsAtFirst(20) == 0);
  CHECK(Relay.count<withdraw_attempts>() == 1);
  const auto *LogEvent =
      findLogEvent(Relay.Actions, endpoint_state_change::announced_leaving);
  REQUIRE(LogEvent);
  CHECK(LogEvent->Instance == "one-0");
  CHECK(!LogEvent->IsLastOfService);
}

TEST_CASE("a rate limit that an endpoint states is logged until it is lifted",
          "[relay][statements]") {
  statement_fixture Relay(1);
  const auto Reply = [&](std::optional<request_rate> Limit) {
    Relay.advance(200);
    Relay.sendRequest("/one/");
    Relay.advance(50); // no leader replies
    endpoint_reply Out;
    Out.Status = 200;
    Out.Signature = "s";
    Out.RateLimit = Limit;
    Relay.end(Relay.attemptAt("one-0"), attempt_end::replied, Out);
  };
  Reply(request_rate{20});
  const auto *Named =
      findLogEvent(Relay.Actions, endpoint_state_change::rate_limited);
  REQUIRE(Named);
  CHECK(Named->RateLimit == request_rate{20});
  Reply(request_rate{20});
  Reply(request_rate{10});
  const auto *Changed =
      findLogEvent(Relay.Actions, endpoint_state_change::rate_limit_changed);
  REQUIRE(Changed);
  CHECK(Changed->RateLimit == request_rate{10});
  Reply({});
  const auto *Lifted =
      findLogEvent(Relay.Actions, endpoint_state_change::rate_limit_lifted);
  REQUIRE(Lifted);
  CHECK(Lifted->SentUnderLimit == 3);
}

// Guards against LIMIT around the moment at which an endpoint raises its limit.
TEST_CASE("a higher limit is observed once no lower one was stated for a while",
          "[relay][statements]") {
  statement_fixture Relay(1);
  const auto Reply = [&](double PerSecond) {
    Relay.advance(400);
    Relay.sendRequest("/one/");
    Relay.advance(50); // no leader replies
    endpoint_reply Out;
    Out.Status = 200;
    Out.Signature = "s";
    Out.RateLimit = request_rate{PerSecond};
    Relay.end(Relay.attemptAt("one-0"), attempt_end::replied, Out);
  };
  const auto IsRaised = [&] {
    return findLogEvent(Relay.Actions,
                        endpoint_state_change::rate_limit_changed) != nullptr;
  };
  Reply(5);
  for (int I = 0; I < 7; ++I)
    Reply(20);
  CHECK(!IsRaised());
  for (int I = 0; I < 3; ++I)
    Reply(20);
  CHECK(IsRaised());
}

// Guards against a relay that ends by itself: the limit of an endpoint that was
// gone was kept and looked up.
TEST_CASE("a limit in the last reply of an endpoint that is gone is ignored",
          "[relay][statements]") {
  statement_fixture Relay;
  Relay.sendRequest("/one/");
  const std::uint64_t Attempt = Relay.attemptAt("one-0");
  REQUIRE(Attempt != 0);
  const listed_endpoint Entry = Relay.listedEntry("one-0");
  std::erase_if(Relay.Directory.Endpoints, [&](const listed_endpoint &Each) {
    return Each.Identity == Entry.Identity;
  });
  Relay.publishDirectory();
  endpoint_reply Reply;
  Reply.Status = 200;
  Reply.Signature = "s";
  Reply.RateLimit = request_rate{5};
  Relay.end(Attempt, attempt_end::replied, Reply);
  CHECK(!findLogEvent(Relay.Actions, endpoint_state_change::rate_limited));
  Relay.publishDirectory(); // forgets endpoints that are gone
  REQUIRE_NOTHROW(Relay.advance(1000));
  REQUIRE_NOTHROW(Relay.step(peer_count_changed{5}));
}

TEST_CASE("an announcement outlives directories that still list the endpoint",
          "[relay][statements]") {
  statement_fixture Relay;
  Relay.sendRequest("/one/");
  Relay.replyLeaving(Relay.attemptAt("one-0"));
  Relay.publishDirectory();
  CHECK(Relay.requestsAtFirst(10) == 0);
  // Unlisted, then listed again as the same incarnation.
  const listed_endpoint Entry = Relay.listedEntry("one-0");
  std::erase_if(Relay.Directory.Endpoints, [&](const listed_endpoint &Each) {
    return Each.Identity == Entry.Identity;
  });
  Relay.publishDirectory();
  Relay.Directory.Endpoints.push_back(Entry);
  Relay.publishDirectory();
  CHECK(Relay.requestsAtFirst(10) == 0);
  // A restart under the same id is another incarnation.
  Relay.listedEntry("one-0").Identity.StartTimeMs = 2;
  Relay.publishDirectory();
  CHECK(Relay.requestsAtFirst(10) > 0);
}

TEST_CASE("an announcement holds across catalogs and zone changes",
          "[relay][statements]") {
  statement_fixture Relay;
  Relay.sendRequest("/one/");
  Relay.replyLeaving(Relay.attemptAt("one-0"));
  Relay.install();
  Relay.step(zones_out_changed{{"near"}});
  Relay.step(zones_out_changed{{}});
  Relay.step(
      probe_ended{Relay.numberOf("one-0"), true, "one-0", {}, false, {}});
  CHECK(Relay.requestsAtFirst(10) == 0);
  CHECK(Relay.count<probe_endpoint>() == 0);
}

TEST_CASE("a probe that reports leaving ends the probes",
          "[relay][statements]") {
  statement_fixture Relay;
  Relay.sendRequest("/one/");
  Relay.breakConnection(Relay.attemptAt("one-0"));
  REQUIRE(Relay.count<probe_endpoint>() == 1);
  Relay.step(
      probe_ended{Relay.numberOf("one-0"), false, "one-0", {}, true, {}});
  Relay.advance(5000);
  CHECK(Relay.probesOf(Relay.numberOf("one-0")) == 1);
}

TEST_CASE("a shard whose last endpoint leaves is left out, and that is logged",
          "[relay][statements]") {
  statement_fixture Relay(1);
  Relay.sendRequest("/one/");
  Relay.replyLeaving(Relay.attemptAt("one-0"));
  const query_id Request = Relay.sendRequest("/one/");
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Status == 503);
  CHECK(findLogEvent(Relay.Actions, endpoint_state_change::announced_leaving)
            ->IsLastOfService);
}

TEST_CASE("an attempt that was withdrawn before it was sent goes elsewhere",
          "[relay][statements]") {
  statement_fixture Relay;
  const query_id Request = Relay.sendRequest("/one/");
  Relay.end(Relay.attemptAt("one-0"), attempt_end::not_sent, {});
  REQUIRE(Relay.attemptAt("one-1") != 0);
  CHECK(Relay.count<probe_endpoint>() == 0); // no fault of the endpoint
  Relay.replyAll();
  CHECK(Relay.answerTo(Request)->Status == 200);
}

TEST_CASE("the statement of another instance at the address is ignored",
          "[relay][statements]") {
  statement_fixture Relay;
  Relay.sendRequest("/one/");
  endpoint_reply Reply;
  Reply.Status = 421;
  Reply.IsOtherInstance = true;
  Reply.IsLeaving = true;
  Relay.end(Relay.attemptAt("one-0"), attempt_end::replied, Reply);
  CHECK(!findLogEvent(Relay.Actions, endpoint_state_change::announced_leaving));
}

TEST_CASE(
    "an endpoint that asks for time gets no request, hedge or probe until "
    "it is over",
    "[relay][statements][load]") {
  statement_fixture Relay;
  const query_id Request = Relay.sendRequest("/one/");
  Relay.replyPause(Relay.attemptAt("one-0"), {2000});
  CHECK(Relay.attemptAt("one-1") != 0); // moved at once
  Relay.replyAll();
  CHECK(Relay.answerTo(Request)->Status == 200);
  for (int I = 0; I < 19; ++I) {
    Relay.advance(100);
    CHECK(Relay.requestsAtFirst(3) == 0);
  }
  Relay.advance(110);
  CHECK(Relay.requestsAtFirst(10) > 0);
  CHECK(Relay.count<probe_endpoint>() == 0);
}

TEST_CASE("after the pause an endpoint gets one request until it accepts",
          "[relay][statements][load]") {
  statement_fixture Relay(1);
  Relay.sendRequest("/one/");
  Relay.replyPause(Relay.attemptAt("one-0"), {3000});
  Relay.advance(3001);
  for (int I = 0; I < 5; ++I)
    Relay.sendRequest("/one/");
  CHECK(Relay.Sent.size() == 1);
  Relay.reply(Relay.Sent.begin()->first);
  CHECK(Relay.Sent.size() > 1);
}

TEST_CASE("a suspect that asks for time is not probed until it is over",
          "[relay][statements]") {
  statement_fixture Relay;
  Relay.sendRequest("/one/");
  Relay.breakConnection(Relay.attemptAt("one-0"));
  Relay.step(
      probe_ended{Relay.numberOf("one-0"), false, "one-0", {}, false, {2000}});
  Relay.advance(1900);
  CHECK(Relay.probesOf(Relay.numberOf("one-0")) == 1);
  Relay.advance(150);
  CHECK(Relay.probesOf(Relay.numberOf("one-0")) == 2);
}

TEST_CASE("a request that a pause would make late is refused at once, with a "
          "time to return after it",
          "[relay][statements][load]") {
  statement_fixture Relay;
  Relay.sendRequest("/one/");
  Relay.replyPause(Relay.attemptAt("one-0"), {2000});
  Relay.replyPause(Relay.attemptAt("one-1"), {1000});
  std::set<double> Delays;
  for (int I = 0; I < 20; ++I) {
    const query_id Request = Relay.sendRequest("/one/");
    const send_answer *Answer = Relay.answerTo(Request);
    REQUIRE(Answer);
    CHECK(Answer->Status == 503);
    CHECK(Answer->RetryAfter >= millis{1000});
    CHECK(Answer->RetryAfter <= millis{1500});
    Delays.insert(Answer->RetryAfter.Count);
  }
  CHECK(Delays.size() > 10); // clients do not return together
}

TEST_CASE("a request waits for a pause that ends within its objective",
          "[relay][statements][load]") {
  statement_fixture Relay(1);
  const query_id First = Relay.sendRequest("/one/");
  Relay.replyPause(Relay.attemptAt("one-0"), {40});
  CHECK(Relay.answerTo(First) == nullptr);
  Relay.advance(41);
  REQUIRE(Relay.attemptAt("one-0") != 0);
  Relay.replyAll();
  CHECK(Relay.answerTo(First)->Status == 200);
}

TEST_CASE("a query counts a shard whose pause ends in time as servable",
          "[relay][statements][load]") {
  relay_fixture Relay;
  for (const char *Shard : {"a", "b"})
    Relay.addService(Shard, 1);
  Relay.addRoute("/all/", {"a", "b"}).Gather.MinCoverage = 1;
  Relay.install();
  endpoint_reply Reply;
  Reply.Status = 503;
  Reply.IsNotRun = true;
  Reply.RetryAfter = {50};
  const query_id Request = Relay.sendRequest("/all/");
  Relay.end(Relay.attemptAt("a-0"), attempt_end::replied, Reply);
  Relay.reply(Relay.attemptAt("b-0"));
  Relay.advance(51);
  REQUIRE(Relay.attemptAt("a-0") != 0);
  Relay.replyAll();
  CHECK(Relay.answerTo(Request)->Status == 200);
  CHECK(Relay.answerTo(Request)->Missing == 0);
}

TEST_CASE("a huge pause is bounded, and an invalid one is logged and ignored",
          "[relay][statements]") {
  statement_fixture Relay;
  Relay.sendRequest("/one/");
  Relay.replyPause(Relay.attemptAt("one-0"), {86'400'000});
  const auto *Paused =
      findLogEvent(Relay.Actions, endpoint_state_change::paused);
  REQUIRE(Paused);
  CHECK(Paused->PauseFor == millis{60'000});
  endpoint_reply Reply;
  Reply.Status = 503;
  Reply.IsNotRun = true;
  Reply.HasInvalidRetryAfter = true;
  Relay.end(Relay.attemptAt("one-1"), attempt_end::replied, Reply);
  CHECK(
      findLogEvent(Relay.Actions, endpoint_state_change::invalid_retry_after));
}

TEST_CASE("announcements travel with shard requests and replies",
          "[relay][statements]") {
  const endpoint_identity Leaver{"s100-0", 1};
  const auto MakeRelay = [](std::uint32_t Self) {
    relay_settings Settings = relay_fixture::settings();
    Settings.Self = {Self};
    auto Relay = std::make_unique<relay_fixture>(Settings);
    std::vector<std::string> Names;
    for (int I = 0; I < 64; ++I) {
      Names.push_back("s" + std::to_string(100 + I));
      Relay->addService(Names.back(), 2);
    }
    Relay->addRoute("/all/", Names);
    std::vector<relay_peer> Peers;
    for (std::uint32_t I = 1; I <= 12; ++I)
      Peers.push_back({{I}, "near"});
    Relay->step(peers_changed{Peers});
    Relay->install(12);
    return Relay;
  };
  const auto Requester = MakeRelay(1);
  const auto Asked = MakeRelay(2);
  shard_reply Reply;
  // A reply to a request that has ended still carries the announcement.
  Requester->sendRequest("/all/x");
  Requester->step(
      shard_reply_arrived{{2}, {{999}, {}, {}, {}, true, false, {Leaver}}});
  Requester->sendRequest("/all/x");
  bool IsPassedOn = false;
  for (const relay_action &Each : Requester->Actions) {
    const auto *Sent = std::get_if<send_shard_request>(&Each);
    if (!Sent || Sent->Request.Leaving.empty())
      continue;
    IsPassedOn = true;
    CHECK(Sent->Request.Leaving == std::vector<endpoint_identity>{Leaver});
    Asked->step(shard_request_arrived{{1}, Sent->Request});
  }
  CHECK(IsPassedOn);
  CHECK(Asked->attemptAt("s100-0") == 0);
  CHECK(Asked->attemptAt("s100-1") != 0);
}

TEST_CASE("a status that promises 'not run' is forwarded only if the endpoint "
          "states it",
          "[relay][statements]") {
  statement_fixture Relay(1);
  for (const unsigned Status : {408U, 429U, 503U}) {
    const query_id Request = Relay.sendRequest("/one/");
    Relay.reply(Relay.attemptAt("one-0"), Status);
    REQUIRE(Relay.answerTo(Request));
    CHECK(Relay.answerTo(Request)->Status == 502);
  }
}
