#include "control/control_agent.h"
#include "control/control_core.h"
#include "small_deployment.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::control;

namespace {

constexpr vm_id Self{0};
const daemon_id Daemon{vm_id{1}, incarnation_id{1}};

/// A single voter whose proposals are committed immediately unless
/// `CommitsPaused` is set.
struct single_voter {
  control_core Core{Self, test::smallDeployment(), FirstTicket};
  static constexpr std::uint64_t FirstTicket = 100;
  std::uint64_t LastIndex = 0;
  bool CommitsPaused = false;
  std::vector<control_action> Actions;

  void step(const control_event &Event, instant Now) {
    std::vector<control_action> Out;
    Core.step(Event, Now, Out);
    for (const control_action &Action : Out) {
      Actions.push_back(Action);
      const auto *Proposal = std::get_if<propose_command>(&Action);
      if (Proposal && !CommitsPaused)
        step(entry_committed{{++LastIndex}, Proposal->Command}, Now);
    }
  }
  void becomeLeader(instant Now) {
    step(leadership_gained{{1}, {1}}, Now);
    step(entry_committed{{++LastIndex}, std::nullopt}, Now);
  }
  template <class T> std::vector<T> takeActions() {
    std::vector<T> Out;
    for (const control_action &Action : Actions)
      if (const auto *Found = std::get_if<T>(&Action))
        Out.push_back(*Found);
    Actions.clear();
    return Out;
  }
};

plan_request planZoneOut(std::string Operator) {
  return {{std::move(Operator)}, {"1"}, zone_out{zone_id{2}}};
}

plan planChange(single_voter &Voter, const plan_request &Request, instant Now) {
  Voter.takeActions<operator_answer>();
  Voter.step(operator_request_received{{Self, 1}, Request}, Now);
  const auto Answers = Voter.takeActions<operator_answer>();
  return std::get<plan_result>(Answers.at(0).Result).Plan;
}

confirm_result takeConfirmResult(single_voter &Voter) {
  return std::get<confirm_result>(
      Voter.takeActions<operator_answer>().at(0).Result);
}

} // namespace

TEST_CASE("a change takes effect on confirm and only once") {
  single_voter Voter;
  Voter.becomeLeader({0});
  const plan Plan = planChange(Voter, planZoneOut("anna"), {1});
  CHECK(Voter.Core.machine().config().ZonesOut.empty());
  Voter.step(operator_request_received{{Self, 2}, confirm_request{Plan, true}},
             {2});
  CHECK(takeConfirmResult(Voter).Status == confirm_status::accepted);
  Voter.step(operator_request_received{{Self, 3}, confirm_request{Plan, false}},
             {3});
  CHECK(takeConfirmResult(Voter).Status == confirm_status::accepted);
  CHECK(Voter.Core.machine().config().Revision == revision{1});
}

TEST_CASE("the second of two plans on the same revision gets a conflict") {
  single_voter Voter;
  Voter.becomeLeader({0});
  const plan FirstPlan = planChange(Voter, planZoneOut("anna"), {1});
  const plan SecondPlan = planChange(Voter, planZoneOut("ben"), {1});
  Voter.step(
      operator_request_received{{Self, 2}, confirm_request{SecondPlan, true}},
      {2});
  CHECK(takeConfirmResult(Voter).Status == confirm_status::accepted);
  Voter.step(
      operator_request_received{{Self, 3}, confirm_request{FirstPlan, true}},
      {2});
  const confirm_result Loser = takeConfirmResult(Voter);
  CHECK(Loser.Status == confirm_status::conflict);
  CHECK(Loser.Revision == revision{1});
}

TEST_CASE("without a leader a first send is not_run and a resend unknown") {
  single_voter Voter;
  const plan Plan{{"anna"}, {"1"}, {0}, zone_out{zone_id{2}}};
  const instant Late = instant{0} + pending_operator_requests::RequestTimeout;
  Voter.step(operator_request_received{{Self, 1}, confirm_request{Plan, true}},
             {0});
  Voter.step(control_tick{}, Late);
  CHECK(takeConfirmResult(Voter).Status == confirm_status::not_run);
  Voter.step(operator_request_received{{Self, 2}, confirm_request{Plan, false}},
             {0});
  Voter.step(control_tick{}, Late);
  CHECK(takeConfirmResult(Voter).Status == confirm_status::unknown);
}

TEST_CASE("a confirm whose entry is not committed in time is unknown") {
  single_voter Voter;
  Voter.becomeLeader({0});
  const plan Plan = planChange(Voter, planZoneOut("anna"), {1});
  Voter.CommitsPaused = true;
  Voter.step(operator_request_received{{Self, 2}, confirm_request{Plan, true}},
             {2});
  Voter.step(leadership_lost{}, {3});
  Voter.step(control_tick{}, {5000});
  CHECK(takeConfirmResult(Voter).Status == confirm_status::unknown);
}

TEST_CASE("a follower forwards a confirm and answers it from its own log") {
  single_voter Voter;
  Voter.step(leader_changed{vm_id{2}}, {0});
  const plan Plan{{"anna"}, {"1"}, {0}, zone_out{zone_id{2}}};
  Voter.step(operator_request_received{{Self, 1}, confirm_request{Plan, true}},
             {0});
  const auto Forwards = Voter.takeActions<forward_request>();
  REQUIRE(Forwards.size() == 1);
  CHECK(Forwards[0].Leader == vm_id{2});
  Voter.step(
      entry_committed{{1},
                      operator_command{{"anna"}, {"1"}, {0}, Plan.Change, {}}},
      {10});
  CHECK(takeConfirmResult(Voter).Status == confirm_status::accepted);
}

TEST_CASE("a heartbeat is answered only after a quorum confirmed the leader") {
  single_voter Voter;
  Voter.becomeLeader({0});
  control_agent Agent;
  std::vector<agent_action> Out;
  Agent.step(agent_tick{}, {10}, Out);
  const heartbeat Heartbeat = std::get<send_heartbeat>(Out.at(0)).Heartbeat;
  Voter.step(quorum_confirmed{{9}}, {9});
  Voter.step(heartbeat_received{Daemon, Heartbeat}, {10});
  CHECK(Voter.takeActions<addressed_reply>().empty());
  Voter.step(quorum_confirmed{{10}}, {15});
  const auto Replies = Voter.takeActions<addressed_reply>();
  REQUIRE(Replies.size() == 1);
  Agent.step(agent_reply{Replies[0].Reply}, {20}, Out);
  CHECK(Agent.leases().isFresh({21}));
}

TEST_CASE("status lists the daemons that keep a revision from being in force") {
  single_voter Voter;
  Voter.becomeLeader({0});
  control_agent Agent;
  std::vector<agent_action> Out;
  const auto Exchange = [&](instant Now) {
    Out.clear();
    Agent.step(agent_tick{}, Now, Out);
    for (const agent_action &Action : Out)
      if (const auto *Send = std::get_if<send_heartbeat>(&Action))
        Voter.step(heartbeat_received{Daemon, Send->Heartbeat}, Now);
    Voter.step(quorum_confirmed{Now}, Now);
    for (const addressed_reply &Reply : Voter.takeActions<addressed_reply>())
      Agent.step(agent_reply{Reply.Reply}, Now, Out);
  };
  for (double At = 0; At <= 3000; At += 500)
    Exchange({At});
  const plan Plan = planChange(Voter, planZoneOut("anna"), {3000});
  Voter.step(operator_request_received{{Self, 2}, confirm_request{Plan, true}},
             {3001});
  const auto Status = [&](instant Now) {
    Voter.takeActions<operator_answer>();
    Voter.step(operator_request_received{{Self, 3}, status_request{}}, Now);
    const auto Answer = Voter.takeActions<operator_answer>().at(0);
    return std::get<status_result>(Answer.Result).Rollout;
  };
  CHECK(Status({3002}).Behind == std::vector<vm_id>{Daemon.Vm});
  CHECK_FALSE(Status({3002}).IsInForce);
  Exchange({3500});
  Exchange({4000});
  CHECK(Agent.config().ZonesOut == std::vector<zone_id>{{2}});
  CHECK(Status({4001}).IsInForce);
}

TEST_CASE("a single daemon becomes the owner of every endpoint") {
  single_voter Voter;
  Voter.becomeLeader({0});
  control_agent Agent;
  std::vector<agent_action> Out;
  for (double At = 0; At <= 3000; At += 100) {
    Out.clear();
    Agent.step(agent_tick{}, {At}, Out);
    for (const agent_action &Action : Out)
      if (const auto *Send = std::get_if<send_heartbeat>(&Action))
        Voter.step(heartbeat_received{Daemon, Send->Heartbeat}, {At});
    Voter.step(control_tick{}, {At});
    Voter.step(quorum_confirmed{{At}}, {At});
    for (const addressed_reply &Reply : Voter.takeActions<addressed_reply>())
      Agent.step(agent_reply{Reply.Reply}, {At}, Out);
  }
  CHECK(Agent.leases().granted().size() ==
        test::smallDeployment().Endpoints.size());
  CHECK(Agent.leases().owns(endpoint_id{0}, {3001}));
}

TEST_CASE("a move rejected by the log is proposed again at the next tick") {
  single_voter Voter;
  Voter.becomeLeader({0});
  Voter.CommitsPaused = true;
  Voter.step(heartbeat_received{Daemon, {1, {}, 0, {}, false}}, {10});
  Voter.step(control_tick{}, {1000});
  const auto Proposals = Voter.takeActions<propose_command>();
  REQUIRE(Proposals.size() == 1);
  Voter.step(proposal_rejected{Proposals[0]}, {1001});
  CHECK(Voter.takeActions<propose_command>().empty());
  Voter.step(control_tick{}, {1050});
  CHECK(Voter.takeActions<propose_command>().size() == 1);
}

TEST_CASE("an answer to a request of an earlier process is ignored") {
  single_voter Voter;
  Voter.step(leader_changed{vm_id{2}}, {0});
  Voter.step(operator_request_received{{Self, 1}, planZoneOut("anna")}, {0});
  const auto Forwards = Voter.takeActions<forward_request>();
  REQUIRE(Forwards.size() == 1);
  Voter.step(forwarded_result_received{1, status_result{}}, {1});
  CHECK(Voter.takeActions<operator_answer>().empty());
  Voter.step(forwarded_result_received{Forwards[0].Ticket, status_result{}},
             {2});
  CHECK(Voter.takeActions<operator_answer>().size() == 1);
}
