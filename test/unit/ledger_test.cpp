#include "control/ledger.h"
#include "control/ledger_client.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::control;

namespace {

const daemon_id Anna{vm_id{1}, incarnation_id{1}};
const run_id First{Anna, 1};
const run_id Second{{vm_id{2}, incarnation_id{1}}, 1};
const ledger_key Key{caller_id{0}, {"1000-a"}};
constexpr std::uint64_t Body = 77;

ledger_verdict start(ledger &Ledger, const run_id &Run, std::int64_t Now = 1000,
                     const ledger_key &Of = Key) {
  return Ledger.start({Run, Of, Body, {}}, wall_time{Now}).Verdict;
}

template <class Action>
const Action *only(const std::vector<client_action> &Actions) {
  return Actions.size() == 1 ? std::get_if<Action>(&Actions[0]) : nullptr;
}

} // namespace

TEST_CASE("a key is granted once, and again only to the same run") {
  ledger Ledger;
  CHECK(start(Ledger, First) == ledger_verdict::granted);
  CHECK(start(Ledger, First) == ledger_verdict::granted);
  CHECK(start(Ledger, Second) == ledger_verdict::started);
}

TEST_CASE("a resend gets the recorded outcome") {
  ledger Ledger;
  start(Ledger, First);
  Ledger.finish({First, Key, outcome::answered, refusal::none, "ok", {}});
  const ledger_answer Answer = Ledger.start({Second, Key, Body, {}}, {1000});
  CHECK(Answer == ledger_answer{Second, ledger_verdict::finished,
                                outcome::answered, refusal::none, "ok"});
}

TEST_CASE("only the granted run records, and only once") {
  ledger Ledger;
  start(Ledger, First);
  Ledger.finish({Second, Key, outcome::not_run, refusal::none, {}, {}});
  CHECK(start(Ledger, Second) == ledger_verdict::started);
  Ledger.finish({First, Key, outcome::answered, refusal::none, "ok", {}});
  Ledger.finish({First, Key, outcome::not_run, refusal::none, {}, {}});
  CHECK(start(Ledger, Second) == ledger_verdict::finished);
}

TEST_CASE("a key that is proved not to have run may run") {
  ledger Ledger;
  start(Ledger, First);
  Ledger.finish({First, Key, outcome::not_run, refusal::endpoint_shed, {}, {}});
  CHECK(start(Ledger, Second) == ledger_verdict::granted);
  CHECK(start(Ledger, First) == ledger_verdict::started);
}

TEST_CASE(
    "keys without a time, from the future, too old or reused are refused") {
  ledger_limits Limits;
  Limits.Window = millis{10'000};
  Limits.MaxAhead = millis{500};
  ledger Ledger(Limits);
  const caller_id Caller{0};
  CHECK(start(Ledger, First, 1000, {Caller, {"abc"}}) ==
        ledger_verdict::bad_key);
  CHECK(start(Ledger, First, 1000, {Caller, {"1501-a"}}) ==
        ledger_verdict::bad_key);
  CHECK(start(Ledger, First, 11'001) == ledger_verdict::expired);
  CHECK(start(Ledger, First, 11'000) == ledger_verdict::granted);
  CHECK(Ledger.start({Second, Key, Body + 1, {}}, {11'000}).Verdict ==
        ledger_verdict::reused);
}

TEST_CASE("a full ledger refuses new keys and forgets only expired ones") {
  ledger_limits Limits;
  Limits.Window = millis{10'000};
  Limits.MaxRecords = 2;
  ledger Ledger(Limits);
  const caller_id Caller{0};
  start(Ledger, First, 1000);
  start(Ledger, First, 1000, {Caller, {"5000-b"}});
  CHECK(start(Ledger, First, 9000, {Caller, {"9000-c"}}) ==
        ledger_verdict::full);
  CHECK(start(Ledger, First, 11'001, {Caller, {"9000-c"}}) ==
        ledger_verdict::granted);
  CHECK(start(Ledger, Second, 11'001) == ledger_verdict::expired);
  CHECK(Ledger.size() == 2);
}

TEST_CASE("the time of a version 7 UUID is read") {
  const auto Time = issueTime({"019ae2f4-6c00-7abc-8def-0123456789ab"});
  REQUIRE(Time);
  CHECK(Time->Ms == 0x019ae2f46c00);
  CHECK_FALSE(issueTime({"019ae2f4-6c00-4abc-8def-0123456789ab"}));
}

TEST_CASE("a client asks until it is answered and passes on one decision") {
  ledger_client Client(Anna);
  std::vector<client_action> Out;
  Client.step(start_wanted{1, Key, Body}, {0}, Out);
  REQUIRE(only<ask_ledger>(Out));
  CHECK_FALSE(only<ask_ledger>(Out)->IsRetry);
  Out.clear();
  Client.step(client_tick{}, {200}, Out);
  REQUIRE(only<ask_ledger>(Out));
  CHECK(only<ask_ledger>(Out)->IsRetry);
  Out.clear();
  const ledger_answered Granted{{First, ledger_verdict::granted, {}, {}, {}}};
  Client.step(Granted, {250}, Out);
  REQUIRE(only<start_decided>(Out));
  CHECK(only<start_decided>(Out)->Verdict == start_verdict::granted);
  Out.clear();
  Client.step(Granted, {260}, Out);
  CHECK(Out.empty());
}

TEST_CASE("a client records only for the run that was granted") {
  ledger_client Client(Anna);
  std::vector<client_action> Out;
  const record_wanted Done{Key, outcome::answered, refusal::none, "ok"};
  Client.step(Done, {0}, Out);
  CHECK(Out.empty());
  Client.step(start_wanted{1, Key, Body}, {0}, Out);
  Client.step(ledger_answered{{First, ledger_verdict::granted, {}, {}, {}}},
              {10}, Out);
  Out.clear();
  Client.step(Done, {20}, Out);
  REQUIRE(only<ask_ledger>(Out));
  CHECK(std::get<ledger_finish>(only<ask_ledger>(Out)->Request).Run == First);
  Out.clear();
  Client.step(ledger_answered{{First, ledger_verdict::recorded, {}, {}, {}}},
              {30}, Out);
  CHECK(only<outcome_recorded>(Out));
  CHECK(Client.waiting() == 0);
}

TEST_CASE("a key that is too old has an unknown outcome, never not_run") {
  ledger_client Client(Anna);
  std::vector<client_action> Out;
  Client.step(start_wanted{1, Key, Body}, {0}, Out);
  Out.clear();
  Client.step(ledger_answered{{First, ledger_verdict::expired, {}, {}, {}}},
              {10}, Out);
  REQUIRE(only<start_decided>(Out));
  CHECK(only<start_decided>(Out)->Verdict == start_verdict::finished);
  CHECK(only<start_decided>(Out)->Outcome == outcome::unknown);
  CHECK(only<start_decided>(Out)->Reason == refusal::key_expired);
}
