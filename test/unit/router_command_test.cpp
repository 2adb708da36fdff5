#include "query_fixture.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::query;
using namespace bulrush::query::test;

namespace {

const idempotency_key Key{"k1"};

struct command_harness : router_harness {
  command_harness() : router_harness(3) {
    step(command_arrived{
        {1}, {0}, "book", std::make_shared<std::string>("q"), "r1", Key});
  }

  void replyFromLedger(ledger_verdict Verdict) {
    ledger_replied LedgerReply;
    LedgerReply.Query = {1};
    LedgerReply.Key = {{0}, Key};
    LedgerReply.Verdict = Verdict;
    LedgerReply.Reason = refusal::no_quorum;
    step(LedgerReply);
  }
};

} // namespace

TEST_CASE("a command is sent once, after its start is durable", "[router]") {
  command_harness Harness;
  CHECK(Harness.takeActions<ledger_start>().size() == 1);
  CHECK(Harness.takeRequests().empty());
  Harness.replyFromLedger(ledger_verdict::granted);
  const std::vector<sub_request> Requests = Harness.takeRequests();
  REQUIRE(Requests.size() == 1);
  CHECK(Requests[0].IsCommand);
  CHECK(Requests[0].Key == Key);
  Harness.replyFromLedger(ledger_verdict::granted);
  Harness.advance(millis{40});
  CHECK(Harness.takeRequests().empty());
  Harness.reply(Harness.answerTo(Requests[0]));
  const auto Recorded = Harness.takeActions<ledger_record>();
  REQUIRE(Recorded.size() == 1);
  CHECK(Recorded[0].Outcome == outcome::answered);
  CHECK(Harness.takeAnswers()[0].Outcome == outcome::answered);
}

TEST_CASE("a command that an endpoint refused is not retried", "[router]") {
  command_harness Harness;
  Harness.replyFromLedger(ledger_verdict::granted);
  const std::vector<sub_request> Requests = Harness.takeRequests();
  Harness.reply(Harness.refusalOf(Requests[0], refusal::endpoint_shed));
  CHECK(Harness.takeRequests().empty());
  CHECK(Harness.takeActions<ledger_record>()[0].Outcome == outcome::not_run);
  CHECK(Harness.takeAnswers()[0].Outcome == outcome::not_run);
}

TEST_CASE("a command without a reply has an unknown outcome, and a late reply "
          "is recorded",
          "[router]") {
  command_harness Harness;
  Harness.replyFromLedger(ledger_verdict::granted);
  const std::vector<sub_request> Requests = Harness.takeRequests();
  SECTION("at the deadline") { Harness.advance(millis{50}); }
  SECTION("with its owner lost") {
    Harness.step(vm_suspected{Harness.ownerOf(Requests[0].Endpoint.Value)});
  }
  CHECK(Harness.takeAnswers()[0].Outcome == outcome::unknown);
  CHECK(Harness.takeActions<ledger_record>().empty());
  CHECK(Harness.takeActions<send_cancel>().empty());
  Harness.reply(Harness.answerTo(Requests[0]));
  CHECK(Harness.takeActions<ledger_record>()[0].Outcome == outcome::answered);
  CHECK(Harness.takeAnswers().empty());
}

TEST_CASE("a command granted after the deadline is recorded as not run",
          "[router]") {
  command_harness Harness;
  Harness.advance(millis{50});
  CHECK(Harness.takeAnswers()[0].Outcome == outcome::unknown);
  Harness.replyFromLedger(ledger_verdict::granted);
  CHECK(Harness.takeRequests().empty());
  CHECK(Harness.takeActions<ledger_record>()[0].Outcome == outcome::not_run);
}

TEST_CASE("a command refused by the ledger is not sent", "[router]") {
  command_harness Harness;
  Harness.replyFromLedger(ledger_verdict::refused);
  const std::vector<answer> Answers = Harness.takeAnswers();
  CHECK(Answers[0].Outcome == outcome::not_run);
  CHECK(Answers[0].Reason == refusal::no_quorum);
  CHECK(Harness.takeRequests().empty());
}

TEST_CASE("a key that was started before has an unknown outcome", "[router]") {
  command_harness Harness;
  Harness.replyFromLedger(ledger_verdict::started);
  CHECK(Harness.takeAnswers()[0].Outcome == outcome::unknown);
  CHECK(Harness.takeRequests().empty());
}

TEST_CASE("a command refused before the ledger replies has an unknown outcome",
          "[router]") {
  command_harness Harness;
  Harness.takeAnswers();
  Harness.step(readiness_changed{false});
  Harness.step(command_arrived{
      {2}, {0}, "book", std::make_shared<std::string>("q"), "r2", Key});
  const std::vector<answer> Answers = Harness.takeAnswers();
  REQUIRE(Answers.size() == 1);
  CHECK(Answers[0].Outcome == outcome::unknown);
  CHECK(Answers[0].Reason == refusal::not_ready);
}
