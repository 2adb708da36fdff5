/// A small deployment and a test harness for the router.
#pragma once

#include "query/router.h"

#include <string>

namespace bulrush::query::test {

/// Assigns endpoint e to the live daemon at index e modulo the number of live
/// daemons.
class modulo_owners final : public owner_directory {
public:
  vm_id ownerOf(const std::vector<vm_id> &Live,
                endpoint_id Endpoint) const override {
    return Live[Endpoint.Value % Live.size()];
  }
};

/// Returns a deployment with one pool of `Shards` shards in two zones: endpoint
/// e holds shard e modulo `Shards`, and the first `Shards` endpoints are in
/// zone 0.
inline deployment makeDeployment(std::uint32_t Shards) {
  deployment Deployment;
  pool Pool;
  Pool.Shards = Shards;
  Pool.Replicas = 2;
  for (std::uint32_t Number = 0; Number < 2 * Shards; ++Number) {
    endpoint Endpoint;
    Endpoint.Id = {Number};
    Endpoint.Zone = {static_cast<std::uint16_t>(Number / Shards)};
    Endpoint.Limits.Slots = 2;
    Deployment.Endpoints.push_back(Endpoint);
    Pool.Endpoints.push_back(Endpoint.Id);
  }
  Deployment.Pools.push_back(Pool);
  Deployment.Callers.push_back({{0}, "driver", {0}, "key"});
  Deployment.Callers.push_back({{1}, "billing", {0}, "key2"});
  return Deployment;
}

/// Time from the arrival of a query of `makeIntents` until it must be answered.
inline constexpr millis TimeToAnswer{50};

inline std::vector<intent> makeIntents(percent ExtraLoad = {50}) {
  intent Any;
  Any.Name = {"any"};
  Any.ExtraLoad = ExtraLoad;
  Any.Deadline = TimeToAnswer + router_settings{}.AnswerMargin;
  intent FullCoverage = Any;
  FullCoverage.Name = {"whole"};
  FullCoverage.Caller = "billing";
  FullCoverage.MinCoverage = {100};
  return {Any, FullCoverage};
}

/// A ready router with warm endpoints, and the actions it has returned.
struct router_harness {
  std::uint32_t Shards;
  router Router;
  instant Now{1000};
  std::vector<router_action> Out;

  explicit router_harness(std::uint32_t Shards, router_settings Settings = {})
      : Shards(Shards), Router(makeDeployment(Shards), vm_id{0},
                               std::make_unique<modulo_owners>(), Settings) {
    step(membership_changed{{1, {{0}, {1}, {2}}}});
    step(config_changed{{{1}, makeIntents(), {}, {}}});
    step(readiness_changed{true});
    for (std::uint32_t Number = 0; Number < 2 * Shards; ++Number)
      report(Number, endpoint_condition::warm, {7});
    Out.clear();
  }

  vm_id ownerOf(std::uint32_t Endpoint) const { return {Endpoint % 3}; }

  void step(const router_event &Event) { Router.step(Event, Now, Out); }

  /// Reports an endpoint that holds one shard of each of `Snapshots`.
  void report(std::uint32_t Endpoint, endpoint_condition Condition,
              const std::vector<std::uint64_t> &Snapshots) {
    endpoint_report Report{{Endpoint}, Condition, 2, 0, {}};
    for (const std::uint64_t Snapshot : Snapshots)
      Report.Held.push_back({{Snapshot}, Shards, {{Endpoint % Shards}}});
    step(reports_arrived{ownerOf(Endpoint), {Report}});
  }

  void search(std::uint64_t Query, std::uint16_t Caller = 0) {
    step(search_arrived{{Query},
                        {Caller},
                        "bays",
                        std::make_shared<std::string>("q"),
                        "r" + std::to_string(Query)});
  }

  void advance(millis Time) {
    Now = Now + Time;
    step(timer_fired{});
  }

  /// Removes and returns all actions of one type.
  template <class Action> std::vector<Action> takeActions() {
    std::vector<Action> Found;
    std::vector<router_action> Others;
    for (router_action &One : Out)
      if (Action *Wanted = std::get_if<Action>(&One))
        Found.push_back(std::move(*Wanted));
      else
        Others.push_back(std::move(One));
    Out = std::move(Others);
    return Found;
  }

  std::vector<sub_request> takeRequests() {
    std::vector<sub_request> Requests;
    for (const send_batch &Sent : takeActions<send_batch>())
      Requests.insert(Requests.end(), Sent.Batch.Items.begin(),
                      Sent.Batch.Items.end());
    return Requests;
  }

  std::vector<answer> takeAnswers() {
    std::vector<answer> Answers;
    for (const send_answer &Sent : takeActions<send_answer>())
      Answers.push_back(Sent.Answer);
    return Answers;
  }

  static sub_reply answerTo(const sub_request &Request) {
    sub_reply Reply = replyTo(Request);
    Reply.Outcome = outcome::answered;
    Reply.Body = std::make_shared<std::string>(
        std::to_string(Request.Query.Value) + "/" +
        std::to_string(Request.Shard.Value));
    return Reply;
  }

  static sub_reply refusalOf(const sub_request &Request, refusal Reason) {
    sub_reply Reply = answerTo(Request);
    Reply.Outcome = outcome::not_run;
    Reply.Reason = Reason;
    Reply.Body = nullptr;
    return Reply;
  }

  void reply(const sub_reply &Reply) {
    step(replies_arrived{ownerOf(Reply.Endpoint.Value), {Reply}});
  }
};

} // namespace bulrush::query::test
