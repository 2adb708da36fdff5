#include "fleet/registry_node.h"

#include "wire/fleet_codec.h"

#include <algorithm>

namespace bulrush::fleet {

namespace {

/// Minimum time between two proposals of the fleet size.
constexpr millis FleetSizeInterval{500};
/// Minimum time between two `join_refused` actions for one vm.
constexpr millis JoinRefusalInterval{60'000};
/// Level from which on builds understand the commands of control/rollout.h.
constexpr std::uint32_t RolloutLevel = 1;

record_refused refusedEntry(log_index Index, const std::string &Bytes,
                            const error &Error) {
  const wire::record_header Header = wire::commandHeader(Bytes);
  return {"log_entry", Index, Header.Kind, Header.Level, Error.Message};
}

std::optional<record_refused>
findUnreadable(const control::recovered_state &State) {
  for (const control::log_entry &Each : State.Entries) {
    if (Each.Kind != control::entry_kind::command)
      continue;
    const auto Command = wire::decodeRegistryCommand(*Each.Payload);
    if (!Command)
      return refusedEntry(Each.Index, *Each.Payload, Command.error());
  }
  return std::nullopt;
}

/// The voter manager decides which learners become voters.
control::replica_options withManagedLearners(control::replica_options Options) {
  Options.PromotesAllLearners = false;
  return Options;
}

} // namespace

/// A log that holds an entry which this build cannot read is refused before the
/// node votes or campaigns, even if the entry is not known to be committed.
registry_node::registry_node(node_settings Given,
                             control::recovered_state State, std::uint64_t Seed)
    : Settings(std::move(Given)), RefusedAtStart(findUnreadable(State)),
      Log(withManagedLearners(Settings.Log), std::move(State), Seed),
      VoterManager(Settings.VoterManager) {}

void registry_node::step(const node_event &Event, instant At,
                         std::vector<node_action> &Actions) {
  Now = At;
  if (HasRefused)
    return;
  Out = &Actions;
  if (RefusedAtStart) {
    refuse(*RefusedAtStart);
    return;
  }
  std::visit([this](const auto &Each) { on(Each); }, Event);
  if (HasRefused)
    return;
  completeCommands();
  completeReads();
  Out = nullptr;
}

void registry_node::on(const control::event &Event) {
  const auto *Received = std::get_if<control::message_received>(&Event);
  if (Received && !admitsJoin(Received->Message))
    return;
  recordJoinRequest(Event);
  if (const auto *Written = std::get_if<control::persisted>(&Event))
    std::erase_if(PendingWrites, [&](const auto &Each) {
      return Each.first <= Written->Write;
    });
  stepLog(Event);
  if (!std::holds_alternative<control::tick>(Event))
    return;
  updateMissingVoters();
  stepDownOnSlowDisk();
  proposeMembershipChange();
  updateFleetSize();
  proposeLevel();
}

/// Returns false for a request to join from a build that would misread log
/// entries of the replicated level.
bool registry_node::admitsJoin(const control::message &Request) {
  if (!std::holds_alternative<control::join_request>(Request.Body))
    return true;
  JoinLevels[Request.Vm] = Request.Level;
  const std::uint32_t MinLevel = levelForJoin();
  if (Request.Level >= MinLevel)
    return true;
  if (Request.Level >= level())
    return false; // may be admitted later
  const auto [Last, IsFirst] = JoinRefusedAt.try_emplace(Request.Vm, Now);
  if (IsFirst || Now - Last->second >= JoinRefusalInterval) {
    Last->second = Now;
    Out->push_back(join_refused{Request.Vm, Request.Level, MinLevel});
  }
  return false;
}

/// Level that a new member needs. Until a leader has applied all entries of
/// earlier terms, or while it raises the level, a command of its own level may
/// be in the log.
std::uint32_t registry_node::levelForJoin() const {
  const bool IsElected = Log.status().Role == control::replica_role::leader;
  if (!IsElected)
    return 0;
  if (!IsLeader || LevelProposal)
    return Settings.Log.Level;
  return level();
}

bool registry_node::accepts(std::uint32_t Level) const {
  if (level() < Level)
    return false;
  const auto Followers = Log.status().Followers;
  return std::none_of(Followers.begin(), Followers.end(),
                      [&](const control::follower_status &Each) {
                        return Each.Level && *Each.Level < Level;
                      });
}

/// Proposes to raise the replicated level to the lowest level of the members
/// once each member has announced its own to this leader. Not before the group
/// has all its voters: builds of a lower level can join no more afterwards.
void registry_node::proposeLevel() {
  if (!IsLeader || LevelProposal)
    return;
  const control::replica_status Status = Log.status();
  std::uint32_t Lowest = Settings.Log.Level;
  for (const control::follower_status &Each : Status.Followers)
    Lowest = std::min(Lowest, Each.Level.value_or(0));
  const bool IsComplete =
      Status.Group.voterCount() >= Settings.VoterManager.TargetVoters &&
      Status.Followers.size() + 1 == Status.Group.Members.size();
  if (!IsComplete || Lowest <= level())
    return;
  LevelProposal = control::proposal_id{LastProposal.Value + 1};
  propose(control::raise_level{Lowest});
}

void registry_node::recordJoinRequest(const control::event &Event) {
  const auto *Received = std::get_if<control::message_received>(&Event);
  if (!Received)
    return;
  const control::message &Message = Received->Message;
  if (std::holds_alternative<control::join_request>(Message.Body))
    VoterManager.recordJoinRequest(Message.Vm, Now);
}

void registry_node::proposeMembershipChange() {
  auto Change = VoterManager.nextChange(Log.status(), Now);
  if (!Change)
    return;
  // The request may be from before the level was raised.
  if (const auto *Added = std::get_if<control::add_member>(&*Change))
    if (JoinLevels[Added->Vm] < levelForJoin())
      return;
  ++LastProposal.Value;
  std::visit(
      [this](auto &Each) {
        Each.Proposal = LastProposal;
        stepLog(Each);
      },
      *Change);
}

/// Transfers leadership if a disk write takes too long: a node applies no entry
/// before the entry is on its own disk, so a leader with a slow disk delays all
/// commands.
void registry_node::stepDownOnSlowDisk() {
  const bool IsSlow =
      !PendingWrites.empty() &&
      Now - PendingWrites.begin()->second >= Settings.SlowWriteThreshold;
  if (!IsLeader || !IsSlow) {
    HasSteppedDown = false;
    return;
  }
  if (HasSteppedDown)
    return;
  HasSteppedDown = true;
  stepLog(control::transfer_leadership{});
}

void registry_node::on(const command_received &Event) {
  if (!IsLeader) {
    complete(Event.Call, call_end::not_leading);
    return;
  }
  if (!hasEnoughVoters()) {
    complete(Event.Call, call_end::unclear);
    return;
  }
  control::registry_command Command = Event.Command;
  if (auto *Order = std::get_if<control::start_rollout>(&Command)) {
    if (!canStoreRollouts()) {
      complete(Event.Call, call_end::unsupported);
      return;
    }
    const auto &Known = StateMachine.state().Rollouts;
    const auto Latest = Known.find(Order->Service);
    if (Latest != Known.end())
      Order->Known = Latest->second.Id;
    Order->KnownElapsed = rolloutElapsed(Order->Service, Now);
  }
  Commands.push_back(
      {Event.Call, {LastProposal.Value + 1}, Now, Never, {}, false});
  propose(Command);
}

bool registry_node::canStoreRollouts() const { return accepts(RolloutLevel); }

millis registry_node::rolloutElapsed(const relay::service_name &Service,
                                     instant At) const {
  const auto Found = RolloutClocks.find(Service);
  if (Found == RolloutClocks.end())
    return {};
  return Found->second.Elapsed + (At - Found->second.At);
}

/// Called after each change of the state; `At` is when this node got the entry.
/// A record that is behind this node's count is late and is ignored.
void registry_node::updateRolloutClocks(instant At) {
  const auto &Rollouts = StateMachine.state().Rollouts;
  std::erase_if(RolloutClocks,
                [&](const auto &Each) { return !Rollouts.count(Each.first); });
  for (const auto &[Service, Rollout] : Rollouts) {
    rollout_clock &Clock = RolloutClocks[Service];
    if (Clock.Rollout != Rollout.Id ||
        Clock.Elapsed + (At - Clock.At) < Rollout.Elapsed)
      Clock = {Rollout.Id, Rollout.Elapsed, At};
  }
}

void registry_node::propose(const control::registry_command &Command) {
  ++LastProposal.Value;
  stepLog(control::propose{LastProposal,
                           control::shareBytes(wire::encode(Command))});
}

std::uint32_t registry_node::fleetSize() const {
  return std::max(StateMachine.state().FleetSize,
                  static_cast<std::uint32_t>(Subscribers.size()));
}

/// Proposes a larger fleet size at once, but a smaller one only after
/// `FleetShrinkDelay`, since daemons that restart subscribe again.
void registry_node::updateFleetSize() {
  const auto Count = static_cast<std::uint32_t>(Subscribers.size());
  const std::uint32_t Known = StateMachine.state().FleetSize;
  if (!IsLeader || Count >= Known)
    SmallerSince = Never;
  else if (SmallerSince == Never)
    SmallerSince = Now;
  const bool IsSmaller =
      Count > 0 && Now - SmallerSince >= Settings.FleetShrinkDelay;
  const bool ShouldPropose = IsLeader && (Count > Known || IsSmaller);
  if (!ShouldPropose || Now - SizeProposedAt < FleetSizeInterval)
    return;
  SizeProposedAt = Now;
  propose(control::set_fleet_size{Count});
}

/// With fewer than `TargetVoters` voters, the loss of as many disks as the
/// registry must tolerate could lose an acknowledged command; this is accepted
/// only after `VoterWaitTimeout`.
millis registry_node::voterWait() const {
  if (Log.status().Group.voterCount() >= Settings.VoterManager.TargetVoters)
    return {};
  const instant Since = std::min(VotersMissingSince, ElectedAt);
  return std::max(Settings.VoterWaitTimeout - (Now - Since), millis{0});
}

void registry_node::updateMissingVoters() {
  const control::replica_status Status = Log.status();
  const bool IsComplete =
      Status.Group.voterCount() >= Settings.VoterManager.TargetVoters;
  const bool IsAlone =
      Status.Group.Members.empty() && !Status.Bootstrap.HearsQuorum;
  if (IsComplete || IsAlone)
    VotersMissingSince = Never;
  else
    VotersMissingSince = std::min(VotersMissingSince, Now);
}

void registry_node::on(const read_received &Event) {
  if (!IsLeader) {
    complete(Event.Call, call_end::not_leading);
    return;
  }
  Reads.push_back({Event.Call, Now});
}

void registry_node::on(const subscriber_joined &Event) {
  Subscribers[Event.Subscriber] = {};
}

void registry_node::on(const subscriber_left &Event) {
  Subscribers.erase(Event.Subscriber);
}

void registry_node::on(const subscriber_applied &Event) {
  const auto Found = Subscribers.find(Event.Subscriber);
  if (Found != Subscribers.end())
    Found->second = std::max(Found->second, Event.Revision);
}

/// Not repeated if it is lost with the leader: the daemons tell the next one
/// what they know.
void registry_node::on(const quarantine_decided &Event) {
  if (IsLeader)
    propose(Event.Command);
}

/// Not repeated if it is lost with the leader: the next one decides anew.
void registry_node::on(const rollout_decided &Event) {
  if (IsLeader)
    propose(Event.Command);
}

void registry_node::stepLog(const control::event &Event) {
  std::vector<control::action> Actions;
  Log.step(Event, Now, Actions);
  for (control::action &Action : Actions)
    if (!HasRefused)
      std::visit([this](auto &Each) { on(Each); }, Action);
}

void registry_node::refuse(record_refused Refusal) {
  HasRefused = true;
  Out->push_back(std::move(Refusal));
}

void registry_node::on(control::persist &Action) {
  PendingWrites[Action.Write] = Now;
  for (const control::log_entry &Each : Action.Entries)
    EntriesReceivedAt.insert_or_assign(Each.Index, Now);
  Out->push_back(std::move(Action));
}

void registry_node::on(control::apply &Action) {
  const auto Command = wire::decodeRegistryCommand(*Action.Payload);
  if (!Command) {
    refuse(refusedEntry(Action.Index, *Action.Payload, Command.error()));
    return;
  }
  const std::uint32_t FormerLevel = level();
  if (StateMachine.apply(Action.Index, *Command))
    Out->push_back(state_changed{});
  const auto Received = EntriesReceivedAt.find(Action.Index);
  updateRolloutClocks(Received == EntriesReceivedAt.end() ? Now
                                                          : Received->second);
  EntriesReceivedAt.erase(EntriesReceivedAt.begin(),
                          EntriesReceivedAt.upper_bound(Action.Index));
  if (level() != FormerLevel)
    Out->push_back(level_raised{level()});
}

void registry_node::on(control::install_snapshot &Action) {
  auto State = wire::decodeRegistryState(*Action.Bytes);
  if (!State) {
    refuse({"snapshot", Action.Index, 0,
            wire::snapshotHeader(*Action.Bytes).Level, State.error().Message});
    return;
  }
  StateMachine.load(Action.Index, std::move(*State));
  updateRolloutClocks(Now);
  EntriesReceivedAt.erase(EntriesReceivedAt.begin(),
                          EntriesReceivedAt.upper_bound(Action.Index));
  Out->push_back(state_changed{});
}

void registry_node::on(control::snapshot_requested &) {
  stepLog(control::snapshot_taken{
      Log.status().Applied,
      control::shareBytes(wire::encode(StateMachine.state()))});
}

void registry_node::on(control::became_leader &) { ElectedAt = Now; }

void registry_node::on(control::leader_ready &) { setIsLeader(true); }

void registry_node::on(control::lost_leadership &) {
  for (const pending_command &Command : Commands)
    complete(Command.Call, call_end::unclear);
  for (const pending_read &Read : Reads)
    complete(Read.Call, call_end::unclear);
  Commands.clear();
  Reads.clear();
  LevelProposal.reset();
  setIsLeader(false);
}

void registry_node::setIsLeader(bool Value) {
  if (IsLeader == Value)
    return;
  IsLeader = Value;
  Out->push_back(leadership_changed{Value});
}

void registry_node::on(control::proposal_result &Action) {
  if (LevelProposal == Action.Proposal)
    LevelProposal.reset();
  const auto Found = std::find_if(Commands.begin(), Commands.end(),
                                  [&](const pending_command &Command) {
                                    return Command.Proposal == Action.Proposal;
                                  });
  if (Found == Commands.end())
    return;
  const control::command_result &Result = StateMachine.lastResult();
  if (Action.Outcome == outcome::answered && Result.IsRefused) {
    Out->push_back(
        call_ended{Found->Call, call_end::conflict, Result.Conflict, false});
    Commands.erase(Found);
    return;
  }
  if (Action.Outcome == outcome::answered) {
    Found->CommittedAt = Now;
    Found->Revision = StateMachine.state().Revision;
    Found->HasNewRevision = Result.HasNewRevision;
    return;
  }
  complete(Found->Call, Action.Outcome == outcome::not_run
                            ? call_end::not_leading
                            : call_end::unclear);
  Commands.erase(Found);
}

bool registry_node::isPropagated(revision Revision) const {
  return std::all_of(Subscribers.begin(), Subscribers.end(),
                     [&](const auto &Each) { return Each.second >= Revision; });
}

void registry_node::completeCommands() {
  std::erase_if(Commands, [&](const pending_command &Command) {
    if (Command.CommittedAt == Never) {
      if (Now - Command.ArrivedAt < Settings.CallTimeout)
        return false;
      complete(Command.Call, call_end::unclear);
      return true;
    }
    const bool IsTimedOut =
        Now - Command.ArrivedAt >= Settings.PropagationTimeout;
    if (!IsTimedOut && !isPropagated(Command.Revision))
      return false;
    Out->push_back(
        call_ended{Command.Call, call_end::done, {}, Command.HasNewRevision});
    return true;
  });
}

/// Completes a read once a majority has acknowledged this leader after the read
/// arrived. This proves that no other leader had acknowledged a newer command
/// by then.
void registry_node::completeReads() {
  if (Reads.empty())
    return;
  const instant ConfirmedAt = Log.status().ConfirmedAt;
  std::erase_if(Reads, [&](const pending_read &Read) {
    if (ConfirmedAt >= Read.ArrivedAt) {
      complete(Read.Call, call_end::done);
      return true;
    }
    if (Now - Read.ArrivedAt < Settings.CallTimeout)
      return false;
    complete(Read.Call, call_end::unclear);
    return true;
  });
}

} // namespace bulrush::fleet
