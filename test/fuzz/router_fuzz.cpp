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

/// Snapshot 8 splits each shard in two.
std::uint32_t totalOf(snapshot_id Snapshot) {
  return Snapshot.Value == 8 ? 2 * Shards : Shards;
}

struct known_query {
  bool IsCommand = false;
  bool IsWhole = false;
  bool Gone = false;
  bool Ran = false;
  instant Arrived = Never; ///< when its first attempt was sent
  std::uint32_t Answers = 0;
  std::uint32_t CommandSends = 0;
  outcome Outcome = outcome::unknown;
};

struct result_body {
  std::uint64_t Query, Snapshot;
  std::uint32_t Shard;
};

/// The router, the messages under way and the oracle.
class world {
public:
  world() : Driven(Shards, settings()) {
    Driven.step(config_changed{{{1}, makeIntents(ExtraLoad), {}, {}}});
  }

  void search(std::uint32_t Choice) {
    const query_id Id{++LastQuery};
    Queries[Id].IsWhole = Choice % 2 == 1;
    Driven.search(Id.Value, Choice % 2);
    look();
  }

  void command() {
    const query_id Id{++LastQuery};
    Queries[Id].IsCommand = true;
    Driven.step(command_arrived{Id,
                                {0},
                                "book",
                                std::make_shared<std::string>("q"),
                                "r" + std::to_string(Id.Value),
                                {"k" + std::to_string(Id.Value)}});
    look();
  }

  void grant(std::uint32_t Choice, std::uint32_t Verdict) {
    if (Starts.empty())
      return;
    const ledger_start Start = Starts[Choice % Starts.size()];
    std::erase_if(Starts, [&](auto &One) { return One.Key == Start.Key; });
    ledger_replied Granted;
    Granted.Query = Start.Query;
    Granted.Key = Start.Key;
    Granted.Verdict = static_cast<ledger_verdict>(Verdict % 4);
    Granted.Outcome = outcome::answered;
    Granted.Body = std::make_shared<std::string>("recorded");
    Driven.step(Granted);
    Driven.step(Granted);
    look();
  }

  /// An endpoint takes a request: answers, lies, refuses, loses or swallows.
  void serve(std::uint32_t Choice, std::uint32_t Behaviour) {
    if (Requests.empty())
      return;
    const std::size_t Place = Choice % Requests.size();
    const sub_request Request = Requests[Place];
    Requests.erase(Requests.begin() + Place);
    sub_reply Reply = driven_router::answerTo(Request);
    switch (Behaviour % 8) {
    case 0:
      return;
    case 1:
      Reply = driven_router::refusalOf(Request, refusal::endpoint_shed);
      break;
    case 2:
      Reply = driven_router::refusalOf(Request, refusal::snapshot_missing);
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
      ran(Request.Query);
    Reply.Body =
        std::make_shared<std::string>(std::to_string(Reply.Query.Value) + " " +
                                      std::to_string(Reply.Snapshot.Value) +
                                      " " + std::to_string(Reply.Shard.Value));
    Replies.push_back(Reply);
  }

  void deliver(std::uint32_t Choice, bool Repeat) {
    if (Replies.empty())
      return;
    const std::size_t Place = Choice % Replies.size();
    const sub_reply Reply = Replies[Place];
    if (!Repeat)
      Replies.erase(Replies.begin() + Place);
    Attempts.erase(Reply.Sub);
    Driven.reply(Reply);
    look();
  }

  void pass(std::uint32_t Time) {
    Driven.pass(millis{Time % 12 + 0.5});
    look();
  }

  void report(std::uint32_t Endpoint, std::uint32_t What) {
    Endpoint %= EndpointCount;
    endpoint_report Report{{Endpoint}, {}, 1 + What % 2, What % 3, {}};
    Report.Condition = static_cast<endpoint_condition>(What / 8 % 6);
    Conditions[Endpoint] = Report.Condition;
    for (std::uint64_t Number = 7; Number < 10; ++Number)
      if (What >> (Number - 7) & 1)
        Report.Held.push_back(held(Endpoint, {Number}));
    Driven.step(reports_arrived{Driven.ownerOf(Endpoint), {Report}});
    look();
  }

  void suspect(std::uint32_t Choice) {
    const vm_id Vm{Choice / 2 % 3};
    if (Choice % 2 == 0) {
      Suspected.insert(Vm);
      Driven.step(vm_suspected{Vm});
    } else {
      Suspected.erase(Vm);
      Driven.step(vm_recovered{Vm});
    }
    look();
  }

  void configure(std::uint32_t Choice) {
    fleet_config Config{{++Revision}, makeIntents(ExtraLoad), {}, {}};
    if (Choice % 3 < 2)
      Config.ZonesOut.push_back({static_cast<std::uint16_t>(Choice % 3)});
    if (Choice % 2 == 1)
      Config.Leaving.push_back({Choice / 4 % EndpointCount});
    Out = Config;
    Driven.step(config_changed{Config});
    look();
  }

  void ready(std::uint32_t Choice) {
    IsReady = Choice % 4 != 0;
    Driven.step(readiness_changed{IsReady});
    look();
  }

  void callerGone(std::uint32_t Choice) {
    if (LastQuery == 0)
      return;
    const query_id Id{1 + Choice % LastQuery};
    if (!Queries[Id].IsCommand && Queries[Id].Answers == 0)
      Queries[Id].Gone = true;
    Driven.step(caller_disconnected{Id});
    look();
  }

  /// Lets all deadlines pass: nothing may be left without an answer.
  void finish() {
    for (int Step = 0; Step < 60; ++Step) {
      Driven.pass(millis{1});
      look();
    }
    RC_ASSERT(Driven.Router.active() == 0U);
    for (const auto &[Id, Query] : Queries)
      RC_ASSERT(Query.Answers == (Query.Gone ? 0U : 1U));
  }

private:
  static router_settings settings() {
    router_settings Settings;
    Settings.Hedge.OpenShare = 1;
    Settings.Retry.InitialTokens = 5;
    Settings.Hedge.InitialShare = 0.1;
    return Settings;
  }

  static held_snapshot held(std::uint32_t Endpoint, snapshot_id Snapshot) {
    const std::uint32_t Shard = Endpoint % Shards;
    if (totalOf(Snapshot) == Shards)
      return {Snapshot, Shards, {{Shard}}};
    return {Snapshot, 2 * Shards, {{2 * Shard}, {2 * Shard + 1}}};
  }

  void ran(query_id Id) {
    known_query &Query = Queries[Id];
    Query.Ran = true;
    // A refusal says "not run": nothing of it may run, also later.
    if (Query.Answers > 0)
      RC_ASSERT(Query.Outcome != outcome::not_run);
  }

  /// Checks all that the router has asked for.
  void look() {
    Cancelled.clear();
    for (const router_action &Action : Driven.Out) {
      if (const auto *Sent = std::get_if<send_batch>(&Action))
        for (const sub_request &Request : Sent->Batch.Items)
          checkRequest(Request);
      if (const auto *Cancel = std::get_if<send_cancel>(&Action))
        cancel(*Cancel);
    }
    for (const ledger_start &Start : Driven.take<ledger_start>())
      Starts.push_back(Start);
    for (const send_answer &Sent : Driven.take<send_answer>())
      checkAnswer(Queries[Sent.Query], Sent.Query, Sent.Answer);
    for (const count_retry &Retry : Driven.take<count_retry>())
      CountedExtra += Retry.Count;
    RC_ASSERT(CountedExtra == Extra);
    const double Tokens = settings().Retry.InitialTokens * IntentCount;
    RC_ASSERT(Extra <= ExtraLoad.share() * Primaries + Tokens);
    Driven.Out.clear();
  }

  void cancel(const send_cancel &Cancel) {
    for (const sub_id Sub : Cancel.Subs)
      if (Attempts.count(Sub) > 0)
        Cancelled.insert(Attempts.extract(Sub));
  }

  void checkRequest(const sub_request &Request) {
    known_query &Query = Queries[Request.Query];
    if (Request.Attempt == 0)
      Query.Arrived = std::min(Query.Arrived, Driven.Now);
    RC_ASSERT(IsReady);
    RC_ASSERT(Seen.insert(Request.Sub).second);
    RC_ASSERT(Request.IsCommand == Query.IsCommand);
    RC_ASSERT(Query.Answers == 0U);
    RC_ASSERT(!Query.Gone);
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
    for (const zone_id ZoneOut : Out.ZonesOut)
      RC_ASSERT(ZoneOut != Zone);
    for (const endpoint_id Leaving : Out.Leaving)
      RC_ASSERT(Leaving != Request.Endpoint);
    if (!Request.IsHedge)
      return;
    RC_ASSERT(!Request.IsCommand);
    const auto Known = Conditions.find(Endpoint);
    if (Known != Conditions.end())
      RC_ASSERT(Known->second == endpoint_condition::warm);
  }

  void checkAnswer(known_query &Query, query_id Id, const answer &Answer) {
    RC_ASSERT(++Query.Answers == 1U);
    RC_ASSERT(!Query.Gone);
    RC_ASSERT(Answer.RequestId == "r" + std::to_string(Id.Value));
    Query.Outcome = Answer.Outcome;
    if (Answer.Outcome == outcome::not_run)
      RC_ASSERT(!Query.Ran);
    if (Query.IsCommand)
      return;
    checkNothingRuns(Id);
    if (Answer.Outcome != outcome::answered) {
      RC_ASSERT(Answer.Reason != refusal::none);
      RC_ASSERT(Answer.Results.empty());
      return;
    }
    const std::uint32_t Total = totalOf(Answer.Snapshot);
    RC_ASSERT(Answer.Total == Total);
    RC_ASSERT(Answer.Covered > 0U);
    RC_ASSERT(Answer.Results.size() == Answer.Covered);
    RC_ASSERT(!Query.IsWhole || Answer.Covered == Total);
    std::set<std::uint32_t> Named;
    for (const shard_id Missing : Answer.Missing)
      RC_ASSERT(Named.insert(Missing.Value).second);
    for (const shared_body &Body : Answer.Results) {
      result_body Result{};
      std::istringstream(*Body) >> Result.Query >> Result.Snapshot >>
          Result.Shard;
      RC_ASSERT(Result.Query == Id.Value);
      RC_ASSERT(Result.Snapshot == Answer.Snapshot.Value);
      RC_ASSERT(Named.insert(Result.Shard).second);
    }
    RC_ASSERT(Named.size() == Total);
    if (Driven.Now < Query.Arrived + QueryTime)
      checkNotCutShort(Id, Answer);
  }

  void checkNothingRuns(query_id Id) const {
    for (const auto &[Sub, Request] : Attempts)
      RC_ASSERT(Request.Query != Id);
  }

  /// Before the deadline no shard is given up while an attempt at it runs,
  /// unless its owner is lost.
  void checkNotCutShort(query_id Id, const answer &Answer) const {
    for (const auto &[Sub, Request] : Cancelled)
      if (Request.Query == Id &&
          Suspected.count(Driven.ownerOf(Request.Endpoint.Value)) == 0)
        for (const shard_id Missing : Answer.Missing)
          RC_ASSERT(Missing != Request.Shard);
  }

  driven_router Driven;
  std::map<query_id, known_query> Queries;
  std::map<sub_id, sub_request> Attempts;  ///< neither ended nor cancelled
  std::map<sub_id, sub_request> Cancelled; ///< in the last step
  std::map<query_id, snapshot_id> Pinned;
  mutable std::set<query_id> Restarted;
  std::set<sub_id> Seen;
  std::vector<sub_request> Requests;
  std::vector<sub_reply> Replies;
  std::vector<ledger_start> Starts;
  std::map<std::uint32_t, endpoint_condition> Conditions;
  std::set<vm_id> Suspected;
  fleet_config Out;
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
  grant,
  serve,
  deliver,
  repeat,
  pass,
  report,
  suspect,
  configure,
  ready,
  caller_disconnected
};

class one_step final : public rc::state::Command<model, world> {
public:
  void run(const model &, world &World) const override {
    switch (Operation) {
    case operation::search:
      return World.search(First);
    case operation::command:
      return World.command();
    case operation::grant:
      return World.grant(First, Second % 8 < 5 ? 0 : Second);
    case operation::serve:
      return World.serve(First, Second % 16 < 8 ? 7 : Second);
    case operation::deliver:
      return World.deliver(First, false);
    case operation::repeat:
      return World.deliver(First, true);
    case operation::pass:
      return World.pass(First);
    case operation::report:
      return World.report(First, Second);
    case operation::suspect:
      return World.suspect(First);
    case operation::configure:
      return World.configure(First);
    case operation::ready:
      return World.ready(First);
    case operation::caller_disconnected:
      return World.callerGone(First);
    }
  }

  void show(std::ostream &Text) const override {
    Text << static_cast<int>(Operation) << "(" << First << "," << Second << ")";
  }

private:
  operation Operation = *rc::gen::weightedElement<operation>(
      {{4, operation::search},
       {2, operation::command},
       {2, operation::grant},
       {14, operation::serve},
       {12, operation::deliver},
       {2, operation::repeat},
       {4, operation::pass},
       {3, operation::report},
       {1, operation::suspect},
       {1, operation::configure},
       {1, operation::ready},
       {1, operation::caller_disconnected}});
  std::uint32_t First = *rc::gen::inRange(0, 1000);
  std::uint32_t Second = *rc::gen::inRange(0, 1000);
};

/// A fixed seed, unless RC_PARAMS asks for another run.
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

TEST_CASE("the router keeps its promises under delays, losses and repeats",
          "[router]") {
  const auto Property = [] {
    world World;
    rc::state::check(model{}, World,
                     rc::state::gen::execOneOfWithArgs<one_step>());
    World.finish();
  };
  const rc::detail::TestResult Result = rc::detail::checkTestable(
      Property, rc::detail::TestMetadata{"router", "router"}, params());
  std::ostringstream Message;
  rc::detail::printResultMessage(Result, Message);
  INFO(Message.str());
  CHECK(Result.is<rc::detail::SuccessResult>());
}
