/// Agreement on the first group of voters of a new fleet: single-decree Paxos
/// among the data folders that have recorded their first start.
///
/// A group is chosen once a quorum of folders has it on disk: at least
/// `MinAcceptors`, among them a majority of the seeds. Any two quorums share a
/// seed, so at most one group is ever chosen, however many folders there are,
/// whichever of them fail, restart or are cut off, and whoever proposes.
///
/// If the size of the fleet is stated, a majority of its folders is a quorum
/// too, once it has been in reach for `SizeQuorumDelay` without a group: then
/// any `MinAcceptors - 1` machines may be away, or their disks hang. Quorums of
/// both kinds share a folder if the fleet is not larger than stated. Folders
/// that hear of a larger fleet, or of another stated size, drop the size for
/// good.
///
/// A folder without a record may have lost its disk after it had accepted a
/// group. If the size of the fleet is stated, a seed's folder takes part once
/// it has heard, since its start, from all folders, and none belongs to a
/// group. As at most `MinAcceptors - 1` disks are lost at a time, one of them
/// would remember any group that was chosen; the folder adopts what they
/// remember.
#pragma once

#include "bulrushtray/clock.h"
#include "control/voter_group.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

namespace bulrush::control {

/// Who chooses the first group.
struct electorate {
  std::vector<vm_id> Seeds; ///< ascending
  /// Data folders that start for the first time, as stated; 0: unknown.
  std::uint32_t FleetSize = 0;

  bool operator==(const electorate &) const = default;
  /// Whether folders with these electorates have quorums in common. Otherwise
  /// they take no part in each other's attempts.
  bool agreesWith(const electorate &Other) const {
    return Seeds == Other.Seeds ||
           (FleetSize > 0 && FleetSize == Other.FleetSize);
  }
};

/// Identifies an attempt to choose the first group; ordered by round.
struct ballot {
  std::uint64_t Round = 0; ///< 0: no attempt
  voter_id Proposer;

  auto operator<=>(const ballot &) const = default;
};

/// What a data folder without a group knows and has promised. On disk before
/// any message that depends on it is sent.
struct bootstrap_record {
  bool IsAcceptor = false; ///< takes part in the agreement
  /// Has held, or heard from, a member of a group.
  bool HasSeenGroup = false;
  /// Of an acceptor it changes only if the fleet size is dropped.
  electorate Electorate = {};
  ballot Promised = {}; ///< takes part in no attempt before this one
  ballot AcceptedAt = {};
  voter_group Accepted = {}; ///< valid if `AcceptedAt` is an attempt

  bool operator==(const bootstrap_record &) const = default;
};

/// Sent for a data folder that belongs to no group, to find a group to join or
/// to form the first one.
struct join_request {
  /// Former builds formed a group once all seeds had sent the id of its folder
  /// here; now always `NoVoter`.
  voter_id Seen = NoVoter;
  std::optional<bootstrap_record> Record = {}; ///< none from former builds
  /// The receiver's folder, if the sender has heard from it.
  voter_id Receiver = NoVoter;
};

/// Asks an acceptor to take part in no earlier attempt.
struct bootstrap_prepare {
  ballot Ballot;
  electorate Electorate;
};

struct bootstrap_promise {
  ballot Ballot;
  ballot AcceptedAt;    ///< of the latest group that the acceptor accepted
  voter_group Accepted; ///< valid if `AcceptedAt` is an attempt
};

/// Asks an acceptor to accept a group.
struct bootstrap_accept {
  ballot Ballot;
  electorate Electorate;
  voter_group Group;
};

struct bootstrap_accepted {
  ballot Ballot;
};

/// Tells a member of the chosen group that does not contain the proposer.
struct bootstrap_chosen {
  voter_group Group;
};

using bootstrap_body =
    std::variant<join_request, bootstrap_prepare, bootstrap_promise,
                 bootstrap_accept, bootstrap_accepted, bootstrap_chosen>;

struct bootstrap_message {
  vm_id Vm;
  voter_id To = NoVoter;
  bootstrap_body Body;
};

struct bootstrap_settings {
  electorate Electorate;
  /// Whether the fleet starts for the first time, with empty disks.
  bool IsFirstStart = false;
  /// Folders that must accept a group: one more than the disks that may be lost
  /// at a time.
  std::size_t MinAcceptors = 1;
  /// Voters of a complete first group.
  std::size_t InitialSize = 1;
  /// Whether seeds without a record may take part once all folders of a fleet
  /// of known size are known to be without a group.
  bool AllowsUnrecorded = true;
  /// Time for which a folder without a record must have known them.
  millis UnrecordedDelay{0};
  millis AnnounceInterval{100};
};

/// Why a member belongs to no group.
enum class bootstrap_wait : std::uint8_t {
  none,            ///< has a group
  older_build,     ///< a seed's build does not take part in the agreement
  group_elsewhere, ///< another VM belongs to a group; waits to join it
  settings_differ, ///< other VMs have other seeds
  missing_seeds,   ///< too few seeds take part
  too_few,         ///< too few data folders take part
  no_record,       ///< the folder has not recorded a first start
  incomplete,      ///< waits a short time for more folders
  in_progress      ///< an attempt of this or another VM goes on
};

struct bootstrap_status {
  bootstrap_wait Wait = bootstrap_wait::none;
  std::vector<vm_id> Vms; ///< that are missing or differ
  /// Data folders that take part, this one included; without a record, those
  /// that are known to have no group.
  std::size_t Known = 0;
  std::size_t Needed = 0;
  /// Whether a quorum of folders is heard, of the seeds or of the stated size.
  bool HearsQuorum = false;
};

/// A stated fleet size that this or another data folder has found to be wrong.
struct dropped_size {
  std::uint32_t Stated = 0;
  std::size_t Known = 0; ///< data folders that take part
};

/// One folder's part in the agreement. Deterministic, without I/O or clock.
class bootstrap_agreement {
public:
  /// `Record` is that of the folder. A folder is unused if neither a member of
  /// a group nor an earlier voter id was ever on it.
  bootstrap_agreement(bootstrap_settings Settings,
                      const std::optional<bootstrap_record> &Record,
                      voter_id Self, vm_id Vm, bool IsUnused);

  void on(vm_id Vm, voter_id From, const join_request &Body, instant Now);
  void on(vm_id Vm, voter_id From, const bootstrap_prepare &Body, instant Now);
  void on(vm_id Vm, voter_id From, const bootstrap_promise &Body, instant Now);
  void on(vm_id Vm, voter_id From, const bootstrap_accept &Body, instant Now);
  void on(vm_id Vm, voter_id From, const bootstrap_accepted &Body, instant Now);
  void on(vm_id Vm, voter_id From, const bootstrap_chosen &Body, instant Now);
  /// A message shows that a group exists.
  void onGroupSeen(vm_id Vm, instant Now);
  /// Adds receivers of `join_request`.
  void addVms(const std::vector<vm_id> &Vms);
  /// `IsDurable` tells whether all earlier changes of the record are on disk.
  void tick(instant Now, bool IsDurable);

  const bootstrap_record &record() const { return Record; }
  /// Returns whether the record has changed since the last call.
  bool takeChange() { return std::exchange(HasChanged, false); }
  std::vector<bootstrap_message> takeMessages() {
    return std::exchange(Messages, {});
  }
  /// The chosen group, once this member knows of it and belongs to it.
  const std::optional<voter_group> &chosen() const { return Chosen; }
  /// Whether this member's own attempt has chosen the group.
  bool isProposer() const { return IsProposer; }
  bootstrap_status status(instant Now) const;
  /// Set if this folder takes part without the size that it was told.
  std::optional<dropped_size> droppedSize() const;

private:
  struct peer {
    voter_id Id;
    std::optional<bootstrap_record> Record;
    bool KnowsThisFolder = false; ///< sent since this folder was created
    instant HeardAt;
  };
  struct attempt {
    ballot Ballot;
    bool IsAccepting = false; ///< whether all promises are there
    /// Whether a majority of the stated size suffices.
    bool MayLackSeeds = false;
    std::set<vm_id> Granted;
    ballot BestAt; ///< of the latest group that an acceptor has accepted
    voter_group Group;
  };

  bool isFresh(const peer &Peer, instant Now) const;
  bool isSeed(vm_id Other) const;
  /// The VMs that have announced an acceptor with this electorate, this one
  /// included.
  std::vector<vm_id> acceptors(instant Now) const;
  std::vector<vm_id> differing(instant Now) const;
  std::vector<vm_id> reachable(std::vector<vm_id> Acceptors) const;
  bool takesPart(const electorate &Given);
  void dropWrongSize();
  void dropSize() { set(Record.Electorate.FleetSize, std::uint32_t{0}); }
  std::size_t acceptorsEverHeard() const;
  const electorate *electorateOf(vm_id Acceptor) const;
  bool hasSeedMajority(const std::vector<vm_id> &Vms) const;
  bool hasSizeMajority(const std::vector<vm_id> &Vms) const;
  bool isQuorum(const std::vector<vm_id> &Vms, bool MayLackSeeds) const;
  bool isGroupElsewhere(instant Now) const;
  std::optional<electorate> unanimousElectorate(instant Now) const;
  void recordIfUnanimous(instant Now);
  void announce(instant Now);
  bool isReady(instant Now);
  bool mayLackSeeds(instant Now) const;
  void startAttempt(instant Now);
  void continueAttempt(instant Now, bool IsDurable);
  void sendAttempt(instant Now);
  voter_group newGroup(instant Now) const;
  void yieldTo(const ballot &Ballot, instant Now);
  std::size_t rank() const;
  template <class body> void send(vm_id To, body Body) {
    const auto Known = Peers.find(To);
    Messages.push_back({To, Known == Peers.end() ? NoVoter : Known->second.Id,
                        bootstrap_body(std::move(Body))});
  }
  template <class value> void set(value &Field, value To) {
    HasChanged = HasChanged || !(Field == To);
    Field = std::move(To);
  }

  bootstrap_settings Settings;
  bootstrap_record Record;
  voter_id Self;
  vm_id Vm;
  std::set<vm_id> KnownVms;
  std::map<vm_id, peer> Peers;
  std::optional<attempt> Attempt;
  ballot YieldedTo;
  std::optional<voter_group> Chosen;
  bool IsProposer = false;
  bool HasChanged = false;
  std::vector<bootstrap_message> Messages;
  instant NextAnnounceAt;
  instant GroupSeenAt{-1e300};
  vm_id GroupSeenOn;
  instant UnanimousSince = Never;
  instant QuorumSince = Never;
  instant SizeQuorumSince = Never; ///< in reach, in both directions
  instant NextAttemptAt = Never;
  millis AttemptTimeout{1000};
};

} // namespace bulrush::control
