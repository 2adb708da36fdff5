#include "control/bootstrap.h"

#include <algorithm>

namespace bulrush::control {

namespace {

/// A folder that has announced nothing for this long does not count.
constexpr millis PeerTimeout{1500};
/// No attempt starts for this long after a message of a group's member, which
/// will send its state or accept a request to join.
constexpr millis GroupSeenTimeout{2000};
/// Time from a quorum of acceptors to an attempt with fewer than `InitialSize`.
constexpr millis IncompleteDelay{1000};
/// Time from a majority of the stated fleet size in reach to an attempt for
/// which it suffices. Outlasts a short cut between machines that start.
constexpr millis SizeQuorumDelay{5000};
/// Time between the first attempts of two seeds.
constexpr millis RankDelay{250};
constexpr millis MaxAttemptTimeout{8000};
/// Less than `MaxAttemptTimeout`, so that a proposer without a quorum does not
/// keep others from their attempts.
constexpr millis MaxYieldTime{4000};

std::vector<vm_id> sorted(std::vector<vm_id> Vms) {
  std::sort(Vms.begin(), Vms.end());
  Vms.erase(std::unique(Vms.begin(), Vms.end()), Vms.end());
  return Vms;
}

bool contains(const std::vector<vm_id> &Vms, vm_id Vm) {
  return std::find(Vms.begin(), Vms.end(), Vm) != Vms.end();
}

} // namespace

bootstrap_agreement::bootstrap_agreement(
    bootstrap_settings Given, const std::optional<bootstrap_record> &Known,
    voter_id Self, vm_id Vm, bool IsUnused)
    : Settings(std::move(Given)), Self(Self), Vm(Vm) {
  Settings.Electorate.Seeds = sorted(std::move(Settings.Electorate.Seeds));
  addVms(Settings.Electorate.Seeds);
  if (Known) {
    Record = *Known;
    addVms(Record.Electorate.Seeds);
    return;
  }
  Record.Electorate = Settings.Electorate;
  Record.HasSeenGroup = !IsUnused;
  set(Record.IsAcceptor, IsUnused && Settings.IsFirstStart);
}

void bootstrap_agreement::addVms(const std::vector<vm_id> &Vms) {
  KnownVms.insert(Vms.begin(), Vms.end());
}

void bootstrap_agreement::onGroupSeen(vm_id On, instant Now) {
  GroupSeenAt = Now;
  GroupSeenOn = On;
  set(Record.HasSeenGroup, true);
}

void bootstrap_agreement::on(vm_id From, voter_id Id, const join_request &Body,
                             instant Now) {
  KnownVms.insert(From);
  Peers[From] = {Id, Body.Record, Body.Receiver == Self, Now};
}

/// Whether to take part in an attempt for `Given`. A proposer without the size
/// has found it to be wrong.
bool bootstrap_agreement::takesPart(const electorate &Given) {
  if (!Record.IsAcceptor || !Given.agreesWith(Record.Electorate))
    return false;
  if (Given.FleetSize != Record.Electorate.FleetSize)
    dropSize();
  return true;
}

void bootstrap_agreement::on(vm_id From, voter_id,
                             const bootstrap_prepare &Body, instant Now) {
  if (!takesPart(Body.Electorate) || Body.Ballot < Record.Promised)
    return;
  set(Record.Promised, Body.Ballot);
  yieldTo(Body.Ballot, Now);
  send(From,
       bootstrap_promise{Body.Ballot, Record.AcceptedAt, Record.Accepted});
}

void bootstrap_agreement::on(vm_id From, voter_id, const bootstrap_accept &Body,
                             instant Now) {
  if (!takesPart(Body.Electorate) || Body.Ballot < Record.Promised)
    return;
  set(Record.Promised, Body.Ballot);
  set(Record.AcceptedAt, Body.Ballot);
  set(Record.Accepted, Body.Group);
  yieldTo(Body.Ballot, Now);
  send(From, bootstrap_accepted{Body.Ballot});
}

void bootstrap_agreement::on(vm_id From, voter_id Id,
                             const bootstrap_promise &Body, instant) {
  const auto Known = Peers.find(From);
  const bool IsExpected = Attempt && !Attempt->IsAccepting &&
                          Body.Ballot == Attempt->Ballot &&
                          Known != Peers.end() && Known->second.Id == Id;
  if (!IsExpected)
    return;
  Attempt->Granted.insert(From);
  if (Body.AcceptedAt <= Attempt->BestAt)
    return;
  Attempt->BestAt = Body.AcceptedAt;
  Attempt->Group = Body.Accepted;
}

void bootstrap_agreement::on(vm_id From, voter_id Id,
                             const bootstrap_accepted &Body, instant) {
  const auto Known = Peers.find(From);
  const bool IsExpected = Attempt && Attempt->IsAccepting &&
                          Body.Ballot == Attempt->Ballot &&
                          Known != Peers.end() && Known->second.Id == Id;
  if (IsExpected)
    Attempt->Granted.insert(From);
}

void bootstrap_agreement::on(vm_id, voter_id, const bootstrap_chosen &Body,
                             instant) {
  if (Body.Group.find(Self))
    Chosen = Body.Group;
}

void bootstrap_agreement::tick(instant Now, bool IsDurable) {
  dropWrongSize();
  recordIfUnanimous(Now);
  continueAttempt(Now, IsDurable && !HasChanged);
  if (isReady(Now))
    startAttempt(Now);
  if (Now < NextAnnounceAt)
    return;
  NextAnnounceAt = Now + Settings.AnnounceInterval;
  announce(Now);
  if (Attempt)
    sendAttempt(Now);
}

void bootstrap_agreement::announce(instant Now) {
  for (const vm_id Other : KnownVms) {
    if (Other == Vm)
      continue;
    const auto Known = Peers.find(Other);
    const bool IsKnown = Known != Peers.end() && isFresh(Known->second, Now);
    Messages.push_back(
        {Other, NoVoter,
         join_request{NoVoter, Record, IsKnown ? Known->second.Id : NoVoter}});
  }
}

bool bootstrap_agreement::isFresh(const peer &Peer, instant Now) const {
  return Now - Peer.HeardAt < PeerTimeout;
}

bool bootstrap_agreement::isSeed(vm_id Other) const {
  return contains(Record.Electorate.Seeds, Other);
}

bool bootstrap_agreement::isGroupElsewhere(instant Now) const {
  return Now - GroupSeenAt < GroupSeenTimeout;
}

std::vector<vm_id> bootstrap_agreement::acceptors(instant Now) const {
  std::vector<vm_id> Found;
  if (Record.IsAcceptor)
    Found.push_back(Vm);
  for (const auto &[Other, Peer] : Peers)
    if (isFresh(Peer, Now) && Peer.Record && Peer.Record->IsAcceptor &&
        Peer.Record->Electorate.agreesWith(Record.Electorate))
      Found.push_back(Other);
  return sorted(std::move(Found));
}

/// The VMs of acceptors with another electorate, which might form a group of
/// their own.
std::vector<vm_id> bootstrap_agreement::differing(instant Now) const {
  std::vector<vm_id> Found;
  for (const auto &[Other, Peer] : Peers)
    if (isFresh(Peer, Now) && Peer.Record && Peer.Record->IsAcceptor &&
        !Peer.Record->Electorate.agreesWith(Record.Electorate))
      Found.push_back(Other);
  return Found;
}

/// Those that also hear this folder.
std::vector<vm_id>
bootstrap_agreement::reachable(std::vector<vm_id> Acceptors) const {
  std::erase_if(Acceptors, [&](vm_id Each) {
    const auto Known = Peers.find(Each);
    return Each != Vm &&
           (Known == Peers.end() || !Known->second.KnowsThisFolder);
  });
  return Acceptors;
}

const electorate *bootstrap_agreement::electorateOf(vm_id Acceptor) const {
  if (Acceptor == Vm)
    return &Record.Electorate;
  const auto Known = Peers.find(Acceptor);
  const bool IsKnown = Known != Peers.end() && Known->second.Record;
  return IsKnown ? &Known->second.Record->Electorate : nullptr;
}

bool bootstrap_agreement::hasSeedMajority(
    const std::vector<vm_id> &Acceptors) const {
  const electorate &Own = Record.Electorate;
  const auto Same = [&](vm_id Each) {
    const electorate *Theirs = electorateOf(Each);
    return Theirs && Theirs->Seeds == Own.Seeds;
  };
  const auto Count = std::count_if(Acceptors.begin(), Acceptors.end(), Same);
  const auto Seeds =
      std::count_if(Acceptors.begin(), Acceptors.end(),
                    [&](vm_id Each) { return isSeed(Each) && Same(Each); });
  return static_cast<std::size_t>(Count) >= Settings.MinAcceptors &&
         static_cast<std::size_t>(Seeds) > Own.Seeds.size() / 2;
}

bool bootstrap_agreement::hasSizeMajority(
    const std::vector<vm_id> &Acceptors) const {
  const std::uint32_t Size = Record.Electorate.FleetSize;
  const auto Count = static_cast<std::size_t>(
      std::count_if(Acceptors.begin(), Acceptors.end(), [&](vm_id Each) {
        const electorate *Theirs = electorateOf(Each);
        return Theirs && Theirs->FleetSize == Size;
      }));
  return Size > 0 && Count >= Settings.MinAcceptors && Count > Size / 2;
}

bool bootstrap_agreement::isQuorum(const std::vector<vm_id> &Acceptors,
                                   bool MayLackSeeds) const {
  return hasSeedMajority(Acceptors) ||
         (MayLackSeeds && hasSizeMajority(Acceptors));
}

std::size_t bootstrap_agreement::acceptorsEverHeard() const {
  const auto Heard =
      std::count_if(Peers.begin(), Peers.end(), [](const auto &Each) {
        return Each.second.Record && Each.second.Record->IsAcceptor;
      });
  return static_cast<std::size_t>(Heard) + (Record.IsAcceptor ? 1 : 0);
}

/// A size that is too small would let two groups form. Once dropped, it stays
/// dropped, also after a restart in which fewer folders are heard.
void bootstrap_agreement::dropWrongSize() {
  const std::uint32_t Size = Record.Electorate.FleetSize;
  if (!Record.IsAcceptor || Size == 0)
    return;
  const bool IsContradicted =
      std::any_of(Peers.begin(), Peers.end(), [&](const auto &Each) {
        const auto &Heard = Each.second.Record;
        return Heard && Heard->IsAcceptor &&
               Heard->Electorate.FleetSize != Size;
      });
  if (IsContradicted || acceptorsEverHeard() > Size)
    dropSize();
}

std::optional<dropped_size> bootstrap_agreement::droppedSize() const {
  const std::uint32_t Stated = Settings.Electorate.FleetSize;
  const bool IsDropped =
      Record.IsAcceptor && Stated > 0 && Record.Electorate.FleetSize == 0;
  if (!IsDropped)
    return std::nullopt;
  return dropped_size{Stated, acceptorsEverHeard()};
}

/// Returns the electorate on which all acceptors agree, if this is the folder
/// of a seed, and all folders of a fleet of stated size are known to be without
/// a group.
std::optional<electorate>
bootstrap_agreement::unanimousElectorate(instant Now) const {
  electorate Found = Settings.Electorate;
  bool HasRecord = false;
  bool HasAccepted = false;
  bool HasSeenGroup = Record.HasSeenGroup;
  std::vector<vm_id> Heard{Vm};
  for (const auto &[Other, Peer] : Peers) {
    if (!isFresh(Peer, Now))
      continue;
    if (!Peer.Record || !Peer.KnowsThisFolder)
      return std::nullopt;
    Heard.push_back(Other);
    HasSeenGroup = HasSeenGroup || Peer.Record->HasSeenGroup;
    HasAccepted = HasAccepted || Peer.Record->AcceptedAt != ballot{};
    if (!Peer.Record->IsAcceptor)
      continue;
    const electorate &Theirs = Peer.Record->Electorate;
    if (HasRecord &&
        (!Theirs.agreesWith(Found) || Theirs.FleetSize != Found.FleetSize))
      return std::nullopt;
    Found = Peer.Record->Electorate;
    HasRecord = true;
  }
  // The group that was seen is the one that was accepted, and is adopted.
  if (HasSeenGroup && !HasAccepted)
    return std::nullopt;
  bool IsUnanimous = contains(Found.Seeds, Vm) && Found.FleetSize > 0 &&
                     Heard.size() >= Found.FleetSize;
  for (const vm_id Seed : Found.Seeds)
    IsUnanimous = IsUnanimous && contains(Heard, Seed);
  if (!IsUnanimous)
    return std::nullopt;
  return Found;
}

/// Records that this folder takes part, with the promises and the group that
/// the others remember, since it may have lost its own record.
void bootstrap_agreement::recordIfUnanimous(instant Now) {
  const bool IsAllowed =
      Settings.AllowsUnrecorded && !Record.IsAcceptor && !isGroupElsewhere(Now);
  const auto Electorate = IsAllowed ? unanimousElectorate(Now) : std::nullopt;
  if (!Electorate) {
    UnanimousSince = Never;
    return;
  }
  UnanimousSince = std::min(UnanimousSince, Now);
  if (Now - UnanimousSince < Settings.UnrecordedDelay)
    return;
  for (const auto &[Other, Peer] : Peers) {
    if (!isFresh(Peer, Now))
      continue;
    Record.Promised = std::max(Record.Promised, Peer.Record->Promised);
    if (Peer.Record->AcceptedAt <= Record.AcceptedAt)
      continue;
    Record.AcceptedAt = Peer.Record->AcceptedAt;
    Record.Accepted = Peer.Record->Accepted;
  }
  Record.Electorate = *Electorate;
  addVms(Electorate->Seeds);
  set(Record.IsAcceptor, true);
}

/// Seeds that do not hear each other must not have the same rank.
std::size_t bootstrap_agreement::rank() const {
  const std::vector<vm_id> &Seeds = Record.Electorate.Seeds;
  return static_cast<std::size_t>(std::count_if(
      Seeds.begin(), Seeds.end(), [&](vm_id Each) { return Each < Vm; }));
}

/// Whether an attempt is due: only seeds start attempts, the lowest first.
bool bootstrap_agreement::isReady(instant Now) {
  const std::vector<vm_id> Vms = acceptors(Now);
  const bool HasSizeMajority = hasSizeMajority(reachable(Vms));
  SizeQuorumSince = HasSizeMajority ? std::min(SizeQuorumSince, Now) : Never;
  const bool MayPropose = Record.IsAcceptor && isSeed(Vm) && !Chosen &&
                          !isGroupElsewhere(Now) &&
                          isQuorum(Vms, mayLackSeeds(Now)) &&
                          differing(Now).size() < Settings.MinAcceptors;
  if (!MayPropose) {
    QuorumSince = NextAttemptAt = Never;
    return false;
  }
  QuorumSince = std::min(QuorumSince, Now);
  const bool IsComplete = Vms.size() >= Settings.InitialSize;
  if (!IsComplete && !mayLackSeeds(Now) && Now - QuorumSince < IncompleteDelay)
    return false;
  if (NextAttemptAt == Never)
    NextAttemptAt = Now + RankDelay * static_cast<double>(rank());
  return Now >= NextAttemptAt;
}

bool bootstrap_agreement::mayLackSeeds(instant Now) const {
  return Now - SizeQuorumSince >= SizeQuorumDelay;
}

void bootstrap_agreement::startAttempt(instant Now) {
  std::uint64_t Round = Record.Promised.Round;
  for (const auto &[Other, Peer] : Peers)
    if (Peer.Record)
      Round = std::max(Round, Peer.Record->Promised.Round);
  set(Record.Promised, ballot{Round + 1, Self});
  attempt Started;
  Started.Ballot = Record.Promised;
  Started.Granted = {Vm};
  Started.BestAt = Record.AcceptedAt;
  Started.Group = Record.Accepted;
  Attempt = std::move(Started);
  NextAttemptAt =
      Now + AttemptTimeout + RankDelay * static_cast<double>(rank());
  AttemptTimeout = std::min(AttemptTimeout * 2, MaxAttemptTimeout);
  sendAttempt(Now);
}

/// Sends the current step of the attempt to all acceptors that have not
/// answered it.
void bootstrap_agreement::sendAttempt(instant Now) {
  for (const vm_id Each : acceptors(Now)) {
    if (Attempt->Granted.count(Each))
      continue;
    if (Attempt->IsAccepting)
      send(Each, bootstrap_accept{Attempt->Ballot, Record.Electorate,
                                  Attempt->Group});
    else
      send(Each, bootstrap_prepare{Attempt->Ballot, Record.Electorate});
  }
}

void bootstrap_agreement::continueAttempt(instant Now, bool IsDurable) {
  if (isGroupElsewhere(Now))
    Attempt.reset();
  if (Attempt)
    Attempt->MayLackSeeds = Attempt->MayLackSeeds || mayLackSeeds(Now);
  const bool HasQuorum =
      Attempt && IsDurable &&
      isQuorum({Attempt->Granted.begin(), Attempt->Granted.end()},
               Attempt->MayLackSeeds);
  if (!HasQuorum)
    return;
  if (!Attempt->IsAccepting) {
    const bool IsNew = Attempt->BestAt == ballot{};
    if (IsNew && !isQuorum(acceptors(Now), Attempt->MayLackSeeds)) {
      Attempt.reset();
      return;
    }
    Attempt->IsAccepting = true;
    Attempt->Granted = {Vm};
    if (IsNew)
      Attempt->Group = newGroup(Now);
    set(Record.AcceptedAt, Attempt->Ballot);
    set(Record.Accepted, Attempt->Group);
    sendAttempt(Now);
    return;
  }
  if (Attempt->Group.find(Self)) {
    IsProposer = true;
    Chosen = Attempt->Group;
  } else {
    for (const group_member &Each : Attempt->Group.Members)
      Messages.push_back({Each.Vm, Each.Id, bootstrap_chosen{Attempt->Group}});
  }
  Attempt.reset();
}

/// The acceptors, at most `InitialSize` of them, seeds first.
voter_group bootstrap_agreement::newGroup(instant Now) const {
  std::vector<vm_id> Vms = acceptors(Now);
  std::stable_partition(Vms.begin(), Vms.end(),
                        [&](vm_id Each) { return isSeed(Each); });
  if (Vms.size() > Settings.InitialSize)
    Vms.resize(std::max(Settings.InitialSize, Settings.MinAcceptors));
  voter_group Group;
  for (const vm_id Each : Vms)
    Group = Group.with(
        {Each == Vm ? Self : Peers.at(Each).Id, Each, member_role::voter});
  return Group;
}

/// Another attempt goes on: this member waits before it starts the next one.
void bootstrap_agreement::yieldTo(const ballot &Ballot, instant Now) {
  if (Ballot <= YieldedTo || Ballot.Proposer == Self)
    return;
  YieldedTo = Ballot;
  Attempt.reset();
  NextAttemptAt = Now + std::min(AttemptTimeout, MaxYieldTime) +
                  RankDelay * static_cast<double>(rank());
}

bootstrap_status bootstrap_agreement::status(instant Now) const {
  if (isGroupElsewhere(Now))
    return {bootstrap_wait::group_elsewhere, {GroupSeenOn}, 0, 0};
  const std::vector<vm_id> Vms = acceptors(Now);
  std::vector<vm_id> Former;
  std::size_t Heard = 1;
  for (const auto &[Other, Peer] : Peers) {
    if (!isFresh(Peer, Now))
      continue;
    ++Heard;
    if (!Peer.Record)
      Former.push_back(Other);
  }
  std::vector<vm_id> Missing;
  for (const vm_id Each : Record.Electorate.Seeds)
    if (!contains(Vms, Each))
      Missing.push_back(Each);
  bootstrap_status Status{bootstrap_wait::in_progress,
                          {},
                          Vms.size(),
                          Settings.MinAcceptors,
                          isQuorum(Vms, true)};
  const auto Set = [&](bootstrap_wait Wait, const std::vector<vm_id> &For) {
    Status.Wait = Wait;
    Status.Vms = For;
  };
  const bool HasQuorum = isQuorum(Vms, mayLackSeeds(Now));
  if (!HasQuorum && !Former.empty()) {
    Set(bootstrap_wait::older_build, Former);
  } else if (!Record.IsAcceptor) {
    Set(bootstrap_wait::no_record, Missing);
    Status.Known = Heard;
    Status.Needed = Record.Electorate.FleetSize;
  } else if (!differing(Now).empty()) {
    Set(bootstrap_wait::settings_differ, differing(Now));
  } else if (Vms.size() < Settings.MinAcceptors) {
    Set(bootstrap_wait::too_few, Missing);
  } else if (!HasQuorum) {
    Set(bootstrap_wait::missing_seeds, Missing);
  } else if (Vms.size() < Settings.InitialSize) {
    Set(bootstrap_wait::incomplete, Missing);
    Status.Needed = Settings.InitialSize;
  }
  return Status;
}

} // namespace bulrush::control
