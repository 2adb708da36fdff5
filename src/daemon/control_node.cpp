#include "daemon/control_node.h"

#include "control/invariant.h"
#include "wire/control_codec.h"

#include <algorithm>
#include <exception>

namespace bulrush::daemon {

namespace {

/// Delay before a membership change is proposed again.
constexpr millis VoterRetryInterval{500};

} // namespace

control_node::control_node(vm_id Self, deployment Deployment,
                           control::replica_options Options,
                           control::recovered_state State, std::uint64_t Seed)
    : Replica(std::move(Options), std::move(State), Seed),
      Core(Self, std::move(Deployment), Seed) {}

void control_node::step(const std::vector<node_event> &Events, instant Time,
                        std::vector<node_action> &Actions) {
  Now = Time;
  Out = &Actions;
  for (const node_event &Event : Events) {
    if (const auto *ForLog = std::get_if<control::event>(&Event))
      stepLog(*ForLog);
    else
      stepCore(std::get<control::control_event>(Event));
  }
  reportLogStatus();
  proposeVoters();
  for (const vm_id Vm : CompletedVoterChanges)
    PendingVoterChanges.erase(Vm);
  CompletedVoterChanges.clear();
  Out = nullptr;
}

void control_node::stepLog(const control::event &Event) {
  std::vector<control::action> Actions;
  try {
    Replica.step(Event, Now, Actions);
  } catch (const control::invariant_violation &) {
    // This daemon's actors would go on without the replica.
    std::terminate();
  }
  for (control::action &Action : Actions)
    std::visit([this](auto &Each) { on(Each); }, Action);
}

void control_node::stepCore(const control::control_event &Event) {
  std::vector<control::control_action> Actions;
  Core.step(Event, Now, Actions);
  for (control::control_action &Action : Actions) {
    if (auto *Proposal = std::get_if<control::propose_command>(&Action)) {
      propose(std::move(*Proposal));
      continue;
    }
    if (const auto *Voter = std::get_if<control::change_voter>(&Action)) {
      PendingVoterChanges[Voter->Vm] = {Voter->Add, {}, Now};
      continue;
    }
    std::visit(
        [this](auto &Each) {
          using type = std::decay_t<decltype(Each)>;
          if constexpr (!std::is_same_v<type, control::propose_command> &&
                        !std::is_same_v<type, control::change_voter>)
            Out->push_back(std::move(Each));
        },
        Action);
  }
}

void control_node::propose(control::propose_command Proposal) {
  const control::proposal_id Id = nextProposal();
  std::string Payload = wire::encode(Proposal.Command);
  Proposals.emplace(Id, std::move(Proposal));
  stepLog(control::propose{Id, control::shareBytes(std::move(Payload))});
}

control::proposal_id control_node::nextProposal() {
  LastProposal.Value += 1;
  return LastProposal;
}

void control_node::proposeVoters() {
  std::vector<vm_id> Due;
  for (const auto &[Vm, Change] : PendingVoterChanges)
    if (Change.Proposal.Value == 0 && Now >= Change.NextAttempt)
      Due.push_back(Vm);
  for (const vm_id Vm : Due) {
    // A proposal may end the leadership, which clears the changes.
    const auto Found = PendingVoterChanges.find(Vm);
    if (Found == PendingVoterChanges.end())
      return;
    const control::proposal_id Proposal = nextProposal();
    Found->second.Proposal = Proposal;
    if (Found->second.Add)
      stepLog(control::add_member{Proposal, Vm});
    else
      stepLog(control::remove_member{Proposal, Vm});
  }
}

void control_node::on(control::apply &Action) {
  auto Command = wire::decodeCommand(*Action.Payload);
  control::entry_committed Event{Action.Index, {}};
  if (Command)
    Event.Command = std::move(*Command);
  else if (!Action.Payload->empty())
    Out->push_back(control::state_machine_failed{Command.error()});
  stepCore(Event);
}

void control_node::on(control::install_snapshot &Action) {
  if (Action.Bytes->empty())
    return;
  auto State = wire::decodeState(*Action.Bytes);
  if (State)
    stepCore(control::snapshot_loaded{std::move(*State)});
  else
    Out->push_back(control::state_machine_failed{State.error()});
}

void control_node::on(control::snapshot_requested &) {
  const control::control_state State = Core.machine().snapshot();
  stepLog(control::snapshot_taken{State.Applied,
                                  control::shareBytes(wire::encode(State))});
}

void control_node::on(control::became_leader &Action) {
  Out->push_back(Action);
}

/// The replica reports `leader_ready` once all entries of earlier terms are
/// applied.
void control_node::on(control::leader_ready &Action) {
  stepCore(control::leadership_gained{Action.Term, Core.machine().applied()});
}

void control_node::on(control::lost_leadership &Action) {
  PendingVoterChanges.clear();
  Out->push_back(Action);
  stepCore(control::leadership_lost{});
}

void control_node::on(control::proposal_result &Action) {
  const auto Change = std::find_if(
      PendingVoterChanges.begin(), PendingVoterChanges.end(),
      [&](const auto &E) { return E.second.Proposal == Action.Proposal; });
  if (Change != PendingVoterChanges.end()) {
    Change->second.Proposal = {};
    Change->second.NextAttempt = Now + VoterRetryInterval;
    if (Action.Outcome == outcome::answered)
      CompletedVoterChanges.push_back(Change->first);
    return;
  }
  const auto Found = Proposals.find(Action.Proposal);
  if (Found == Proposals.end())
    return;
  control::propose_command Proposal = std::move(Found->second);
  Proposals.erase(Found);
  if (Action.Outcome == outcome::not_run)
    stepCore(control::proposal_rejected{std::move(Proposal)});
}

/// Notifies the core when the known leader changes and, on the leader, when a
/// majority has confirmed the leadership.
void control_node::reportLogStatus() {
  const control::replica_status Status = Replica.status();
  std::optional<vm_id> Leader;
  if (Status.Leader != control::NoVoter)
    Leader = Status.LeaderVm;
  if (Leader != KnownLeader) {
    KnownLeader = Leader;
    stepCore(control::leader_changed{Leader});
  }
  if (Status.Role != control::replica_role::leader ||
      Status.ConfirmedAt == ConfirmedAt)
    return;
  ConfirmedAt = Status.ConfirmedAt;
  stepCore(control::quorum_confirmed{ConfirmedAt});
}

} // namespace bulrush::daemon
