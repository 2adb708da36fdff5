#include "control/ledger.h"
#include "control/ledger_client.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::control;

namespace {

const daemon_id DaemonA{vm_id{1}, incarnation_id{1}};
const run_id FirstRun{DaemonA, 1};
const run_id SecondRun{{vm_id{2}, incarnation_id{1}}, 1};
const ledger_key Key{caller_id{0}, {"1000-a"}};
constexpr std::uint64_t Fingerprint = 77;

ledger_verdict start(ledger &Ledger, const run_id &Run, std::int64_t Now = 1000,
                     const ledger_key &LedgerKey = Key) {
  return Ledger.start({Run, LedgerKey, Fingerprint, {}}, wall_time{Now})
      .Verdict;
}

/// Returns the only action if it has the type `Action`, otherwise null.
template <class Action>
const Action *onlyAction(const std::vector<client_action> &Actions) {
  return Actions.size() == 1 ? std::get_if<Action>(&Actions[0]) : nullptr;
}

} // namespace

TEST_CASE("a key is granted once, and again only to the same run") {
  ledger Ledger;
  CHECK(start(Ledger, FirstRun) == ledger_verdict::granted);
  CHECK(start(Ledger, FirstRun) == ledger_verdict::granted);
  CHECK(start(Ledger, SecondRun) == ledger_verdict::started);
}

TEST_CASE("a resend gets the recorded outcome") {
  ledger Ledger;
  start(Ledger, FirstRun);
  Ledger.finish({FirstRun, Key, outcome::answered, refusal::none, "ok", {}});
  const ledger_answer Answer =
      Ledger.start({SecondRun, Key, Fingerprint, {}}, {1000});
  CHECK(Answer == ledger_answer{SecondRun, ledger_verdict::finished,
                                outcome::answered, refusal::none, "ok"});
}

TEST_CASE("only the granted run can record an outcome, and only once") {
  ledger Ledger;
  start(Ledger, FirstRun);
  Ledger.finish({SecondRun, Key, outcome::not_run, refusal::none, {}, {}});
  CHECK(start(Ledger, SecondRun) == ledger_verdict::started);
  Ledger.finish({FirstRun, Key, outcome::answered, refusal::none, "ok", {}});
  Ledger.finish({FirstRun, Key, outcome::not_run, refusal::none, {}, {}});
  CHECK(start(Ledger, SecondRun) == ledger_verdict::finished);
}

TEST_CASE("a key that is proven not to have run is granted again") {
  ledger Ledger;
  start(Ledger, FirstRun);
  Ledger.finish(
      {FirstRun, Key, outcome::not_run, refusal::endpoint_shed, {}, {}});
  CHECK(start(Ledger, SecondRun) == ledger_verdict::granted);
  CHECK(start(Ledger, FirstRun) == ledger_verdict::started);
}

TEST_CASE(
    "keys that are malformed, expired, reused or from the future are refused") {
  ledger_limits Limits;
  Limits.KeyLifetime = millis{10'000};
  Limits.MaxIssuedAhead = millis{500};
  ledger Ledger(Limits);
  const caller_id Caller{0};
  CHECK(start(Ledger, FirstRun, 1000, {Caller, {"abc"}}) ==
        ledger_verdict::bad_key);
  CHECK(start(Ledger, FirstRun, 1000, {Caller, {"1501-a"}}) ==
        ledger_verdict::bad_key);
  CHECK(start(Ledger, FirstRun, 11'001) == ledger_verdict::expired);
  CHECK(start(Ledger, FirstRun, 11'000) == ledger_verdict::granted);
  CHECK(Ledger.start({SecondRun, Key, Fingerprint + 1, {}}, {11'000}).Verdict ==
        ledger_verdict::reused);
}

TEST_CASE("a full ledger refuses new keys and removes only expired ones") {
  ledger_limits Limits;
  Limits.KeyLifetime = millis{10'000};
  Limits.MaxRecords = 2;
  ledger Ledger(Limits);
  const caller_id Caller{0};
  start(Ledger, FirstRun, 1000);
  start(Ledger, FirstRun, 1000, {Caller, {"5000-b"}});
  CHECK(start(Ledger, FirstRun, 9000, {Caller, {"9000-c"}}) ==
        ledger_verdict::full);
  CHECK(start(Ledger, FirstRun, 11'001, {Caller, {"9000-c"}}) ==
        ledger_verdict::granted);
  CHECK(start(Ledger, SecondRun, 11'001) == ledger_verdict::expired);
  CHECK(Ledger.size() == 2);
}

TEST_CASE("the issue time of a version 7 UUID is parsed") {
  const auto Time = issueTime({"019ae2f4-6c00-7abc-8def-0123456789ab"});
  REQUIRE(Time);
  CHECK(Time->Ms == 0x019ae2f46c00);
  CHECK_FALSE(issueTime({"019ae2f4-6c00-4abc-8def-0123456789ab"}));
}

TEST_CASE("a client resends until it is answered and reports one decision") {
  ledger_client Client(DaemonA);
  std::vector<client_action> Out;
  Client.step(start_requested{1, Key, Fingerprint}, {0}, Out);
  REQUIRE(onlyAction<send_ledger_request>(Out));
  CHECK_FALSE(onlyAction<send_ledger_request>(Out)->IsRetry);
  Out.clear();
  Client.step(client_tick{}, {200}, Out);
  REQUIRE(onlyAction<send_ledger_request>(Out));
  CHECK(onlyAction<send_ledger_request>(Out)->IsRetry);
  Out.clear();
  const ledger_answer_received Granted{
      {FirstRun, ledger_verdict::granted, {}, {}, {}}};
  Client.step(Granted, {250}, Out);
  REQUIRE(onlyAction<start_decided>(Out));
  CHECK(onlyAction<start_decided>(Out)->Verdict == start_verdict::granted);
  Out.clear();
  Client.step(Granted, {260}, Out);
  CHECK(Out.empty());
}

TEST_CASE("a client records an outcome only for the granted run") {
  ledger_client Client(DaemonA);
  std::vector<client_action> Out;
  const record_requested Record{Key, outcome::answered, refusal::none, "ok"};
  Client.step(Record, {0}, Out);
  CHECK(Out.empty());
  Client.step(start_requested{1, Key, Fingerprint}, {0}, Out);
  Client.step(
      ledger_answer_received{{FirstRun, ledger_verdict::granted, {}, {}, {}}},
      {10}, Out);
  Out.clear();
  Client.step(Record, {20}, Out);
  REQUIRE(onlyAction<send_ledger_request>(Out));
  CHECK(std::get<ledger_finish>(onlyAction<send_ledger_request>(Out)->Request)
            .Run == FirstRun);
  Out.clear();
  Client.step(
      ledger_answer_received{{FirstRun, ledger_verdict::recorded, {}, {}, {}}},
      {30}, Out);
  CHECK(onlyAction<outcome_recorded>(Out));
  CHECK(Client.waiting() == 0);
}

TEST_CASE("an expired key has an unknown outcome, never not_run") {
  ledger_client Client(DaemonA);
  std::vector<client_action> Out;
  Client.step(start_requested{1, Key, Fingerprint}, {0}, Out);
  Out.clear();
  Client.step(
      ledger_answer_received{{FirstRun, ledger_verdict::expired, {}, {}, {}}},
      {10}, Out);
  REQUIRE(onlyAction<start_decided>(Out));
  CHECK(onlyAction<start_decided>(Out)->Verdict == start_verdict::finished);
  CHECK(onlyAction<start_decided>(Out)->Outcome == outcome::unknown);
  CHECK(onlyAction<start_decided>(Out)->Reason == refusal::key_expired);
}
