#include "query_fixture.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>
#include <rapidcheck/state.h>
#include <set>
#include <sstream>

using namespace bulrush;
using namespace bulrush::query;
using namespace bulrush::query::test;

namespace {

constexpr std::uint32_t Shards = 4;
constexpr std::uint32_t EndpointCount = 2 * Shards;
constexpr percent ExtraLoad{10};
constexpr std::size_t IntentCount = 2;

/// Snapshot 8 has twice as many shards as the others.
std::uint32_t totalOf(snapshot_id Snapshot) {
  return Snapshot.Value == 8 ? 2 * Shards : Shards;
}

struct query_oracle {
  bool IsCommand = false;
  bool NeedsFullCoverage = false;
  bool IsDisconnected = false;
  bool Executed = false;
  instant Arrived = Never; ///< when its first attempt was sent
  std::uint32_t Answers = 0;
  std::uint32_t CommandSends = 0;
  outcome Outcome = outcome::unknown;
};

struct result_body {
  std::uint64_t Query, Snapshot;
  std::uint32_t Shard;
};

/// A simulation of the router and its messages in flight, with an oracle that
/// checks every action.
class router_simulation {
public:
  router_simulation() : Harness(Shards, settings()) {
    Harness.step(config_changed{{{1}, makeIntents(ExtraLoad), {}, {}}});
  }

  void search(std::uint32_t Choice) {
    const query_id Id{++LastQuery};
    Queries[Id].NeedsFullCoverage = Choice % 2 == 1;
    Harness.search(Id.Value, Choice % 2);
    checkActions();
  }

  void command() {
    const query_id Id{++LastQuery};
    Queries[Id].IsCommand = true;
    Harness.step(command_arrived{Id,
                                 {0},
                                 "book",
                                 std::make_shared<std::string>("q"),
                                 "r" + std::to_string(Id.Value),
                                 {"k" + std::to_string(Id.Value)}});
    checkActions();
  }

  void replyFromLedger(std::uint32_t Choice, std::uint32_t Verdict) {
    if (Starts.empty())
      return;
    const ledger_start Start = Starts[Choice % Starts.size()];
    std::erase_if(Starts, [&](auto &One) { return One.Key == Start.Key; });
    ledger_replied LedgerReply;
    LedgerReply.Query = Start.Query;
    LedgerReply.Key = Start.Key;
    LedgerReply.Verdict = static_cast<ledger_verdict>(Verdict % 4);
    LedgerReply.Outcome = outcome::answered;
    LedgerReply.Body = std::make_shared<std::string>("recorded");
    Harness.step(LedgerReply);
    Harness.step(LedgerReply);
    checkActions();
  }

  /// Removes a request in flight and creates the reply of its endpoint: an
  /// answer, a refusal, a result of the wrong snapshot, a failure with unknown
  /// outcome, or no reply.
  void serve(std::uint32_t Choice, std::uint32_t Behaviour) {
    if (Requests.empty())
      return;
    const std::size_t Index = Choice % Requests.size();
    const sub_request Request = Requests[Index];
    Requests.erase(Requests.begin() + Index);
    sub_reply Reply = router_harness::answerTo(Request);
    switch (Behaviour % 8) {
    case 0:
      return;
    case 1:
      Reply = router_harness::refusalOf(Request, refusal::endpoint_shed);
      break;
    case 2:
      Reply = router_harness::refusalOf(Request, refusal::snapshot_missing);
      break;
    case 3:
      Reply.Snapshot = {Request.Snapshot.Value + 1};
      break;
    case 4:
      Reply.Outcome = outcome::unknown;
      Reply.Reason = refusal::endpoint_lost;
      break;
    default:
      break;
    }
    if (Reply.Outcome != outcome::not_run)
      onExecuted(Request.Query);
    Reply.Body =
        std::make_shared<std::string>(std::to_string(Reply.Query.Value) + " " +
                                      std::to_string(Reply.Snapshot.Value) +
                                      " " + std::to_string(Reply.Shard.Value));
    Replies.push_back(Reply);
  }

  /// Delivers a reply; a duplicated one stays in flight and may be delivered
  /// again.
  void deliver(std::uint32_t Choice, bool IsDuplicated) {
    if (Replies.empty())
      return;
    const std::size_t Index = Choice % Replies.size();
    const sub_reply Reply = Replies[Index];
    if (!IsDuplicated)
      Replies.erase(Replies.begin() + Index);
    Attempts.erase(Reply.Sub);
    Harness.reply(Reply);
    checkActions();
  }

  void advance(std::uint32_t Time) {
    Harness.advance(millis{Time % 12 + 0.5});
    checkActions();
  }

  void report(std::uint32_t Endpoint, std::uint32_t Bits) {
    Endpoint %= EndpointCount;
    endpoint_report Report{{Endpoint}, {}, 1 + Bits % 2, Bits % 3, {}};
    Report.Condition = static_cast<endpoint_condition>(Bits / 8 % 6);
    Conditions[Endpoint] = Report.Condition;
    for (std::uint64_t Number = 7; Number < 10; ++Number)
      if (Bits >> (Number - 7) & 1)
        Report.Held.push_back(held(Endpoint, {Number}));
    Harness.step(reports_arrived{Harness.ownerOf(Endpoint), {Report}});
    checkActions();
  }

  void setSuspected(std::uint32_t Choice) {
    const vm_id Vm{Choice / 2 % 3};
    if (Choice % 2 == 0) {
      Suspected.insert(Vm);
      Harness.step(vm_suspected{Vm});
    } else {
      Suspected.erase(Vm);
      Harness.step(vm_recovered{Vm});
    }
    checkActions();
  }

  void configure(std::uint32_t Choice) {
    fleet_config Config{{++Revision}, makeIntents(ExtraLoad), {}, {}};
    if (Choice % 3 < 2)
      Config.ZonesOut.push_back({static_cast<std::uint16_t>(Choice % 3)});
    if (Choice % 2 == 1)
      Config.Leaving.push_back({Choice / 4 % EndpointCount});
    CurrentConfig = Config;
    Harness.step(config_changed{Config});
    checkActions();
  }

  void setReady(std::uint32_t Choice) {
    IsReady = Choice % 4 != 0;
    Harness.step(readiness_changed{IsReady});
    checkActions();
  }

  void disconnectCaller(std::uint32_t Choice) {
    if (LastQuery == 0)
      return;
    const query_id Id{1 + Choice % LastQuery};
    if (!Queries[Id].IsCommand && Queries[Id].Answers == 0)
      Queries[Id].IsDisconnected = true;
    Harness.step(caller_disconnected{Id});
    checkActions();
  }

  /// Lets all deadlines pass and checks that every query was answered.
  void finish() {
    for (int Step = 0; Step < 60; ++Step) {
      Harness.advance(millis{1});
      checkActions();
    }
    RC_ASSERT(Harness.Router.active() == 0U);
    for (const auto &[Id, Query] : Queries)
      RC_ASSERT(Query.Answers == (Query.IsDisconnected ? 0U : 1U));
  }

private:
  static router_settings settings() {
    router_settings Settings;
    Settings.Hedge.MaxOpenShare = 1;
    Settings.Retry.InitialTokens = 5;
    Settings.Hedge.InitialDeadlineShare = 0.1;
    return Settings;
  }

  static held_snapshot held(std::uint32_t Endpoint, snapshot_id Snapshot) {
    const std::uint32_t Shard = Endpoint % Shards;
    if (totalOf(Snapshot) == Shards)
      return {Snapshot, Shards, {{Shard}}};
    return {Snapshot, 2 * Shards, {{2 * Shard}, {2 * Shard + 1}}};
  }

  void onExecuted(query_id Id) {
    query_oracle &Query = Queries[Id];
    Query.Executed = true;
    // A query answered as not run must not be executed, not even later.
    if (Query.Answers > 0)
      RC_ASSERT(Query.Outcome != outcome::not_run);
  }

  /// Checks all actions of the router since the last call.
  void checkActions() {
    Cancelled.clear();
    for (const router_action &Action : Harness.Out) {
      if (const auto *Sent = std::get_if<send_batch>(&Action))
        for (const sub_request &Request : Sent->Batch.Items)
          checkRequest(Request);
      if (const auto *Cancel = std::get_if<send_cancel>(&Action))
        cancel(*Cancel);
    }
    for (const ledger_start &Start : Harness.takeActions<ledger_start>())
      Starts.push_back(Start);
    for (const send_answer &Sent : Harness.takeActions<send_answer>())
      checkAnswer(Queries[Sent.Query], Sent.Query, Sent.Answer);
    for (const count_retry &Retry : Harness.takeActions<count_retry>())
      CountedExtra += Retry.Count;
    RC_ASSERT(CountedExtra == Extra);
    const double Tokens = settings().Retry.InitialTokens * IntentCount;
    RC_ASSERT(Extra <= ExtraLoad.share() * Primaries + Tokens);
    Harness.Out.clear();
  }

  void cancel(const send_cancel &Cancel) {
    for (const sub_id Sub : Cancel.Subs)
      if (Attempts.count(Sub) > 0)
        Cancelled.insert(Attempts.extract(Sub));
  }

  void checkRequest(const sub_request &Request) {
    query_oracle &Query = Queries[Request.Query];
    if (Request.Attempt == 0)
      Query.Arrived = std::min(Query.Arrived, Harness.Now);
    RC_ASSERT(IsReady);
    RC_ASSERT(SeenSubs.insert(Request.Sub).second);
    RC_ASSERT(Request.IsCommand == Query.IsCommand);
    RC_ASSERT(Query.Answers == 0U);
    RC_ASSERT(!Query.IsDisconnected);
    checkEndpoint(Request);
    if (Request.IsCommand)
      RC_ASSERT(++Query.CommandSends == 1U);
    const bool IsExtra = Request.Attempt > 0 || isRestart(Request);
    ++(IsExtra ? Extra : Primaries);
    Attempts[Request.Sub] = Request;
    Pinned[Request.Query] = Request.Snapshot;
    for (const auto &[Sub, Other] : Attempts)
      if (Other.Query == Request.Query)
        RC_ASSERT(Other.Snapshot == Request.Snapshot);
    Requests.push_back(Request);
  }

  bool isRestart(const sub_request &Request) const {
    const auto Before = Pinned.find(Request.Query);
    if (Restarted.count(Request.Query) > 0)
      return true;
    if (Before == Pinned.end() || Before->second == Request.Snapshot)
      return false;
    Restarted.insert(Request.Query);
    return true;
  }

  void checkEndpoint(const sub_request &Request) const {
    const std::uint32_t Endpoint = Request.Endpoint.Value;
    const zone_id Zone{static_cast<std::uint16_t>(Endpoint / Shards)};
    for (const zone_id ZoneOut : CurrentConfig.ZonesOut)
      RC_ASSERT(ZoneOut != Zone);
    for (const endpoint_id Leaving : CurrentConfig.Leaving)
      RC_ASSERT(Leaving != Request.Endpoint);
    if (!Request.IsHedge)
      return;
    RC_ASSERT(!Request.IsCommand);
    const auto Known = Conditions.find(Endpoint);
    if (Known != Conditions.end())
      RC_ASSERT(Known->second == endpoint_condition::warm);
  }

  void checkAnswer(query_oracle &Query, query_id Id, const answer &Answer) {
    RC_ASSERT(++Query.Answers == 1U);
    RC_ASSERT(!Query.IsDisconnected);
    RC_ASSERT(Answer.RequestId == "r" + std::to_string(Id.Value));
    Query.Outcome = Answer.Outcome;
    if (Answer.Outcome == outcome::not_run)
      RC_ASSERT(!Query.Executed);
    if (Query.IsCommand)
      return;
    checkNonePending(Id);
    if (Answer.Outcome != outcome::answered) {
      RC_ASSERT(Answer.Reason != refusal::none);
      RC_ASSERT(Answer.Results.empty());
      return;
    }
    const std::uint32_t Total = totalOf(Answer.Snapshot);
    RC_ASSERT(Answer.Total == Total);
    RC_ASSERT(Answer.Covered > 0U);
    RC_ASSERT(Answer.Results.size() == Answer.Covered);
    RC_ASSERT(!Query.NeedsFullCoverage || Answer.Covered == Total);
    std::set<std::uint32_t> SeenShards;
    for (const shard_id Missing : Answer.Missing)
      RC_ASSERT(SeenShards.insert(Missing.Value).second);
    for (const shared_body &Body : Answer.Results) {
      result_body Result{};
      std::istringstream(*Body) >> Result.Query >> Result.Snapshot >>
          Result.Shard;
      RC_ASSERT(Result.Query == Id.Value);
      RC_ASSERT(Result.Snapshot == Answer.Snapshot.Value);
      RC_ASSERT(SeenShards.insert(Result.Shard).second);
    }
    RC_ASSERT(SeenShards.size() == Total);
    if (Harness.Now < Query.Arrived + TimeToAnswer)
      checkMissingNotPending(Id, Answer);
  }

  void checkNonePending(query_id Id) const {
    for (const auto &[Sub, Request] : Attempts)
      RC_ASSERT(Request.Query != Id);
  }

  /// Checks that before the deadline no shard is given up while an attempt for
  /// it is pending, unless the owner of that attempt is suspected.
  void checkMissingNotPending(query_id Id, const answer &Answer) const {
    for (const auto &[Sub, Request] : Cancelled)
      if (Request.Query == Id &&
          Suspected.count(Harness.ownerOf(Request.Endpoint.Value)) == 0)
        for (const shard_id Missing : Answer.Missing)
          RC_ASSERT(Missing != Request.Shard);
  }

  router_harness Harness;
  std::map<query_id, query_oracle> Queries;
  std::map<sub_id, sub_request> Attempts;  ///< pending and not cancelled
  std::map<sub_id, sub_request> Cancelled; ///< cancelled in the last step
  std::map<query_id, snapshot_id> Pinned;
  mutable std::set<query_id> Restarted;
  std::set<sub_id> SeenSubs;
  std::vector<sub_request> Requests;
  std::vector<sub_reply> Replies;
  std::vector<ledger_start> Starts;
  std::map<std::uint32_t, endpoint_condition> Conditions;
  std::set<vm_id> Suspected;
  fleet_config CurrentConfig;
  bool IsReady = true;
  std::uint64_t LastQuery = 0;
  std::uint64_t Revision = 1;
  std::uint64_t Primaries = 0;
  std::uint64_t Extra = 0;
  std::uint64_t CountedExtra = 0;
};

struct model {};

enum class operation : std::uint8_t {
  search,
  command,
  ledger_reply,
  serve,
  deliver,
  duplicate,
  advance,
  report,
  suspect,
  configure,
  ready,
  caller_disconnected
};

class random_step final : public rc::state::Command<model, router_simulation> {
public:
  void run(const model &, router_simulation &Simulation) const override {
    switch (Operation) {
    case operation::search:
      return Simulation.search(First);
    case operation::command:
      return Simulation.command();
    case operation::ledger_reply:
      return Simulation.replyFromLedger(First, Second % 8 < 5 ? 0 : Second);
    case operation::serve:
      return Simulation.serve(First, Second % 16 < 8 ? 7 : Second);
    case operation::deliver:
      return Simulation.deliver(First, false);
    case operation::duplicate:
      return Simulation.deliver(First, true);
    case operation::advance:
      return Simulation.advance(First);
    case operation::report:
      return Simulation.report(First, Second);
    case operation::suspect:
      return Simulation.setSuspected(First);
    case operation::configure:
      return Simulation.configure(First);
    case operation::ready:
      return Simulation.setReady(First);
    case operation::caller_disconnected:
      return Simulation.disconnectCaller(First);
    }
  }

  void show(std::ostream &Text) const override {
    Text << static_cast<int>(Operation) << "(" << First << "," << Second << ")";
  }

private:
  operation Operation = *rc::gen::weightedElement<operation>(
      {{4, operation::search},
       {2, operation::command},
       {2, operation::ledger_reply},
       {14, operation::serve},
       {12, operation::deliver},
       {2, operation::duplicate},
       {4, operation::advance},
       {3, operation::report},
       {1, operation::suspect},
       {1, operation::configure},
       {1, operation::ready},
       {1, operation::caller_disconnected}});
  std::uint32_t First = *rc::gen::inRange(0, 1000);
  std::uint32_t Second = *rc::gen::inRange(0, 1000);
};

/// Uses a fixed seed unless RC_PARAMS is set.
rc::detail::TestParams params() {
  rc::detail::TestParams Params = rc::detail::configuration().testParams;
  if (std::getenv("RC_PARAMS"))
    return Params;
  Params.seed = 20261203;
  Params.maxSuccess = 3000;
  Params.maxSize = 500;
  return Params;
}

} // namespace

TEST_CASE("router invariants hold under delays, losses and duplicates",
          "[router]") {
  const auto Property = [] {
    router_simulation Simulation;
    rc::state::check(model{}, Simulation,
                     rc::state::gen::execOneOfWithArgs<random_step>());
    Simulation.finish();
  };
  const rc::detail::TestResult Result = rc::detail::checkTestable(
      Property, rc::detail::TestMetadata{"router", "router"}, params());
  std::ostringstream Message;
  rc::detail::printResultMessage(Result, Message);
  INFO(Message.str());
  CHECK(Result.is<rc::detail::SuccessResult>());
}
