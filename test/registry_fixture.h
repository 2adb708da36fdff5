/// A registry's voters in one process, with a model of their disks and network.
#pragma once

#include "fleet/registry_node.h"
#include "wire/fleet_codec.h"

#include <deque>
#include <optional>

namespace bulrush::test {

using namespace bulrush::fleet;

/// A group of voters with immediate disk writes and a network that delivers
/// each message after `Delay`.
struct registry_fixture {
  struct voter {
    vm_id Vm;
    std::optional<registry_node> Node;
    bool IsUp = true;
    bool IsDiskStuck = false;
    millis DiskDelay; ///< of each write; writes overlap
    std::deque<std::pair<instant, control::write_id>> Writes;
    std::vector<call_ended> EndedCalls;
    std::uint32_t Level = 0; ///< that it announces; 0: none, as old builds
    std::vector<join_refused> RefusedJoins;
    std::vector<record_refused> RefusedRecords; ///< nothing follows the first
    bool HasLostIdentity = false;
  };

  struct in_flight_message {
    instant DeliverAt;
    control::send Send;
  };

  std::vector<voter> Voters;
  std::deque<in_flight_message> InFlight;
  instant Now{1000};
  millis Delay; ///< of each message, including the disk write before it

  explicit registry_fixture(std::uint32_t Seeds = 3, std::uint32_t Others = 2,
                            std::uint32_t Level = 0) {
    for (std::uint32_t I = 1; I <= Seeds + Others; ++I) {
      voter &Each = Voters.emplace_back();
      Each.Vm = {I};
      Each.Level = Level;
    }
    for (std::uint32_t I = 0; I < Voters.size(); ++I)
      start(I, Seeds, true, 100 + I);
  }

  void start(std::uint32_t Index, std::uint32_t Seeds, bool IsFirst,
             std::uint64_t FolderId) {
    voter &Voter = Voters[Index];
    node_settings Settings;
    for (std::uint32_t Seed = 1; Seed <= Seeds; ++Seed)
      Settings.Log.Vms.push_back({Seed});
    Settings.Log.IsFirstStart = IsFirst;
    Settings.Log.InitialSize = 5;
    Settings.Log.MinCommitCopies = 3;
    Settings.Log.HasLeases = false;
    Settings.Log.FirstElectionMax = millis{100};
    Settings.Log.CheckInTimeout = {300};
    Settings.VoterManager.TargetVoters = 5;
    Settings.Log.Level = Voter.Level;
    control::recovered_state State;
    State.Self = {FolderId};
    State.Vm = Voter.Vm;
    State.Boot = {static_cast<std::uint64_t>(Now.Ms)};
    Voter.Node.emplace(Settings, State, FolderId);
    Voter.IsUp = true;
  }

  /// Restarts a voter on its data folder with a build of another level. A build
  /// of level 0 keeps no level in its state.
  void restart(std::uint32_t Index, std::uint32_t Level) {
    voter &Voter = Voters[Index];
    const control::replica_status Old = Voter.Node->status();
    control::registry_state Kept = Voter.Node->state();
    if (Level == 0)
      Kept.Level = 0;
    node_settings Settings;
    Settings.Log.MinCommitCopies = 3;
    Settings.Log.HasLeases = false;
    Settings.Log.CheckInTimeout = {300};
    Settings.Log.Level = Voter.Level = Level;
    Settings.VoterManager.TargetVoters = 5;
    control::recovered_state State;
    State.Self = Old.Self;
    State.Vm = Voter.Vm;
    State.Boot = {static_cast<std::uint64_t>(Now.Ms)};
    State.Hard.Term = Old.Term;
    State.Snapshot =
        control::log_snapshot{Old.LastIndex, Old.Term, Old.Group,
                              control::shareBytes(wire::encode(Kept))};
    Voter.Node.emplace(Settings, State, Now.Ms + Index);
    Voter.IsUp = true;
  }

  std::uint32_t leaderIndex() {
    return static_cast<std::uint32_t>(leader() - Voters.data());
  }

  void step(voter &Voter, const node_event &Event) {
    if (!Voter.IsUp)
      return;
    std::vector<node_action> Actions;
    Voter.Node->step(Event, Now, Actions);
    for (node_action &Action : Actions) {
      if (auto *Write = std::get_if<control::persist>(&Action)) {
        if (Voter.DiskDelay > millis{0})
          Voter.Writes.push_back({Now + Voter.DiskDelay, Write->Write});
        else if (!Voter.IsDiskStuck)
          step(Voter, control::event(control::persisted{Write->Write}));
      } else if (auto *Send = std::get_if<control::send>(&Action)) {
        InFlight.push_back({Now + Delay, std::move(*Send)});
      } else if (const auto *EndedCalls = std::get_if<call_ended>(&Action)) {
        Voter.EndedCalls.push_back(*EndedCalls);
      } else if (const auto *Refused = std::get_if<join_refused>(&Action)) {
        Voter.RefusedJoins.push_back(*Refused);
      } else if (auto *Record = std::get_if<record_refused>(&Action)) {
        Voter.RefusedRecords.push_back(std::move(*Record));
        Voter.IsUp = false;
      } else if (std::holds_alternative<control::identity_lost>(Action)) {
        Voter.HasLostIdentity = true;
      }
    }
  }

  void run(double Ms, double Tick = 10) {
    for (double Done = 0; Done < Ms; Done += Tick) {
      Now = Now + millis{Tick};
      for (voter &Each : Voters)
        endWrites(Each);
      for (voter &Each : Voters)
        step(Each, control::event(control::tick{}));
      deliver();
    }
  }

  void endWrites(voter &Voter) {
    while (!Voter.Writes.empty() && Voter.Writes.front().first <= Now) {
      const control::write_id Write = Voter.Writes.front().second;
      Voter.Writes.pop_front();
      step(Voter, control::event(control::persisted{Write}));
    }
  }

  void deliver() {
    const auto IsDue = [&] {
      return !InFlight.empty() && InFlight.front().DeliverAt <= Now;
    };
    for (int Bound = 0; IsDue() && Bound < 10000; ++Bound) {
      const control::send Next = std::move(InFlight.front().Send);
      InFlight.pop_front();
      for (voter &Each : Voters)
        if (Each.Vm == Next.Vm)
          step(Each, control::event(control::message_received{Next.Message}));
    }
  }

  voter *leader() {
    for (voter &Each : Voters)
      if (Each.IsUp && Each.Node->isLeader())
        return &Each;
    return nullptr;
  }

  std::optional<call_end>
  submitCommand(std::uint64_t Call, const control::registry_command &Command) {
    voter &To = *leader();
    step(To, command_received{{Call}, Command});
    deliver();
    for (const call_ended &Each : To.EndedCalls)
      if (Each.Call == call_id{Call})
        return Each.End;
    return std::nullopt;
  }
};

inline control::put_catalog makeCatalog(std::uint64_t Version,
                                        const std::string &Text) {
  return {Version, control::shareBytes(Text)};
}

} // namespace bulrush::test
