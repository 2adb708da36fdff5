#include "query_fixture.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::query;
using namespace bulrush::query::test;

namespace {

const idempotency_key Key{"k1"};

struct driven_command : driven_router {
  driven_command() : driven_router(3) {
    step(command_arrived{
        {1}, {0}, "book", std::make_shared<std::string>("q"), "r1", Key});
  }

  void grant(ledger_verdict Verdict) {
    ledger_replied Granted;
    Granted.Query = {1};
    Granted.Key = {{0}, Key};
    Granted.Verdict = Verdict;
    Granted.Reason = refusal::no_quorum;
    step(Granted);
  }
};

} // namespace

TEST_CASE("a command is sent once, after its start is durable", "[router]") {
  driven_command Driven;
  CHECK(Driven.take<ledger_start>().size() == 1);
  CHECK(Driven.takeRequests().empty());
  Driven.grant(ledger_verdict::granted);
  const std::vector<sub_request> Requests = Driven.takeRequests();
  REQUIRE(Requests.size() == 1);
  CHECK(Requests[0].IsCommand);
  CHECK(Requests[0].Key == Key);
  Driven.grant(ledger_verdict::granted);
  Driven.pass(millis{40});
  CHECK(Driven.takeRequests().empty());
  Driven.reply(Driven.answerTo(Requests[0]));
  const auto Recorded = Driven.take<ledger_record>();
  REQUIRE(Recorded.size() == 1);
  CHECK(Recorded[0].Outcome == outcome::answered);
  CHECK(Driven.takeAnswers()[0].Outcome == outcome::answered);
}

TEST_CASE("a command that an endpoint refused is not sent again", "[router]") {
  driven_command Driven;
  Driven.grant(ledger_verdict::granted);
  const std::vector<sub_request> Requests = Driven.takeRequests();
  Driven.reply(Driven.refusalOf(Requests[0], refusal::endpoint_shed));
  CHECK(Driven.takeRequests().empty());
  CHECK(Driven.take<ledger_record>()[0].Outcome == outcome::not_run);
  CHECK(Driven.takeAnswers()[0].Outcome == outcome::not_run);
}

TEST_CASE("a command without a reply is unknown, and a late reply is recorded",
          "[router]") {
  driven_command Driven;
  Driven.grant(ledger_verdict::granted);
  const std::vector<sub_request> Requests = Driven.takeRequests();
  SECTION("at the deadline") { Driven.pass(millis{50}); }
  SECTION("with its owner lost") {
    Driven.step(vm_suspected{Driven.ownerOf(Requests[0].Endpoint.Value)});
  }
  CHECK(Driven.takeAnswers()[0].Outcome == outcome::unknown);
  CHECK(Driven.take<ledger_record>().empty());
  CHECK(Driven.take<send_cancel>().empty());
  Driven.reply(Driven.answerTo(Requests[0]));
  CHECK(Driven.take<ledger_record>()[0].Outcome == outcome::answered);
  CHECK(Driven.takeAnswers().empty());
}

TEST_CASE("a grant after the deadline sends nothing and frees the key",
          "[router]") {
  driven_command Driven;
  Driven.pass(millis{50});
  CHECK(Driven.takeAnswers()[0].Outcome == outcome::unknown);
  Driven.grant(ledger_verdict::granted);
  CHECK(Driven.takeRequests().empty());
  CHECK(Driven.take<ledger_record>()[0].Outcome == outcome::not_run);
}

TEST_CASE("the ledger's refusal is the answer", "[router]") {
  driven_command Driven;
  Driven.grant(ledger_verdict::refused);
  const std::vector<answer> Answers = Driven.takeAnswers();
  CHECK(Answers[0].Outcome == outcome::not_run);
  CHECK(Answers[0].Reason == refusal::no_quorum);
  CHECK(Driven.takeRequests().empty());
}

TEST_CASE("a key that was started before has an unknown outcome", "[router]") {
  driven_command Driven;
  Driven.grant(ledger_verdict::started);
  CHECK(Driven.takeAnswers()[0].Outcome == outcome::unknown);
  CHECK(Driven.takeRequests().empty());
}

TEST_CASE("a command refused before the ledger speaks is unknown", "[router]") {
  driven_command Driven;
  Driven.takeAnswers();
  Driven.step(readiness_changed{false});
  Driven.step(command_arrived{
      {2}, {0}, "book", std::make_shared<std::string>("q"), "r2", Key});
  const std::vector<answer> Answers = Driven.takeAnswers();
  REQUIRE(Answers.size() == 1);
  CHECK(Answers[0].Outcome == outcome::unknown);
  CHECK(Answers[0].Reason == refusal::not_ready);
}
