#include "fleet/registry_follower.h"

#include "control/build_level.h"
#include "fleet/process_start.h"
#include "fleet/voter_links.h"
#include "telemetry/log.h"
#include "wire/fleet_codec.h"

#include <algorithm>
#include <utility>

namespace bulrush::fleet {

namespace {

using telemetry::severity;

constexpr millis TickInterval{100};
/// Time without a message after which the leader is dropped. It sends a
/// heartbeat every 400 ms.
constexpr millis HeartbeatTimeout{1300};
/// Time without a reply after which an open link is closed, so that `subscribe`
/// is sent again. A vm that knows no leader replies only once it knows one.
constexpr millis ReplyTimeout{700};
/// Short, because a vm without power accepts no connection and the kernel
/// retries a SYN only after a second.
constexpr millis ConnectTimeout{250};
/// Time between `subscribe` messages to two vms; several may be pending at
/// once.
constexpr millis SubscribeInterval{50};
/// Time between two `applied` messages to the leader, which serve as
/// heartbeats.
constexpr millis HeartbeatInterval{400};

} // namespace

registry_follower::registry_follower(boost::asio::io_context &Io,
                                     follower_settings Given,
                                     const clock_source &Clock,
                                     follower_host &Host)
    : Io(Io), Settings(std::move(Given)), Clock(Clock), Host(Host), Ticker(Io) {
  addVms(Settings.Seeds);
}

void registry_follower::start() {
  subscribeToNext();
  scheduleTick();
}

void registry_follower::stop() {
  Ticker.cancel();
  for (auto &[Vm, Each] : Subscriptions)
    Each.Link->close();
  Subscriptions.clear();
}

void registry_follower::addVms(const std::vector<vm_id> &Added) {
  Vms.insert(Added.begin(), Added.end());
}

void registry_follower::scheduleTick() {
  Ticker.expires_after(
      toChrono(isFollowing() ? TickInterval : SubscribeInterval));
  Ticker.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    scheduleTick();
    onTick();
  });
}

void registry_follower::onTick() {
  const instant Now = Clock.now();
  std::vector<vm_id> Silent;
  for (const auto &[Vm, Each] : Subscriptions)
    if (Now - Each.ReceivedAt > timeoutOf(Vm, Each))
      Silent.push_back(Vm);
  for (const vm_id Vm : Silent)
    drop(Vm, "silent");
  if (!isFollowing())
    subscribeToNext();
  else if (Now - AppliedSentAt >= HeartbeatInterval)
    sendApplied();
}

millis registry_follower::timeoutOf(vm_id Vm,
                                    const subscription &Subscription) const {
  if (Vm == Leader)
    return HeartbeatTimeout;
  return Subscription.Link->isOpen() ? ReplyTimeout : ConnectTimeout;
}

/// Returns the next vm, in ascending order with wraparound, without a pending
/// subscription; 0 if every vm has one.
vm_id registry_follower::nextCandidate() {
  for (std::size_t I = 0; I < Vms.size(); ++I) {
    auto Next = Vms.upper_bound(LastTried);
    if (Next == Vms.end())
      Next = Vms.begin();
    LastTried = *Next;
    if (!Subscriptions.count(LastTried))
      return LastTried;
  }
  return {};
}

void registry_follower::subscribeToNext() {
  if (!HasFollowedLeader && Vms.empty())
    addVms(Host.seeds());
  const vm_id Vm = nextCandidate();
  if (Vm.Value != 0)
    subscribeTo(Vm);
}

/// The link queues the message until it is connected.
void registry_follower::subscribeTo(vm_id Vm) {
  auto Link = std::make_shared<frame_link>(boost::asio::ip::tcp::socket(Io));
  Subscriptions[Vm] = {Link, Clock.now()};
  Link->connect(
      tcpEndpoint(Vm, Settings.Port),
      [this, Vm](const std::string &Bytes) { onFrame(Vm, Bytes); },
      [this, Vm, Closed = Link.get()] {
        const auto Known = Subscriptions.find(Vm);
        if (Known != Subscriptions.end() && Known->second.Link.get() == Closed)
          drop(Vm, "closed");
      });
  subscribe Request;
  Request.Node = Settings.Node;
  Request.Zone = Settings.Zone;
  Request.Incarnation = Settings.Incarnation;
  Request.Revision = Revision;
  Request.CatalogVersion =
      CatalogLevel < control::BuildLevel ? 0 : CatalogVersion;
  Request.Vm = Settings.Self;
  Request.Level = control::BuildLevel;
  Link->send(wire::encode(Request));
}

void registry_follower::drop(vm_id Vm, const char *Reason) {
  const auto Found = Subscriptions.find(Vm);
  if (Found == Subscriptions.end())
    return;
  Found->second.Link->close();
  Subscriptions.erase(Found);
  if (Vm != Leader)
    return;
  Leader = {};
  LeaderLevel = 0;
  telemetry::logEvent(severity::warning, "registry_lost",
                      {{"machine", toText(Vm)},
                       {"reason", Reason},
                       {"revision", Revision.Value}});
  subscribeToNext();
}

void registry_follower::onFrame(vm_id Vm, const std::string &Bytes) {
  auto Message = wire::decodeFleet(Bytes);
  if (!Message) {
    Host.onRefused(Bytes, Message.error());
    return;
  }
  const auto Known = Subscriptions.find(Vm);
  if (Known == Subscriptions.end())
    return;
  Known->second.ReceivedAt = Clock.now();
  if (const auto *State = std::get_if<fleet_state>(&*Message))
    on(Vm, *State);
  else if (const auto *Redirect = std::get_if<redirect>(&*Message))
    on(Vm, *Redirect);
  // A full roster and verdicts are applied even if their sender is not followed
  // yet: a leader sends them before the state, whose catalog lets waiting
  // requests start.
  const auto *Roster = std::get_if<roster>(&*Message);
  if (Roster && (Roster->IsFull || Vm == Leader)) {
    applyRoster(*Roster, Relays);
    Host.onRoster(Relays);
  }
  if (const auto *Verdicts = std::get_if<request_verdicts>(&*Message))
    Host.onVerdicts(*Verdicts);
  if (Vm != Leader)
    return;
  ReceivedAt = Known->second.ReceivedAt;
  if (auto *Directory = std::get_if<endpoint_directory>(&*Message))
    on(Vm, std::move(*Directory));
  else if (const auto *Heartbeat = std::get_if<leader_heartbeat>(&*Message))
    Host.onFleetSize(Heartbeat->Peers);
  else if (const auto *Limits = std::get_if<limit_grants>(&*Message))
    Host.onLimitGrants(*Limits);
  else if (const auto *Quotas = std::get_if<quota_grants>(&*Message))
    Host.onQuotaGrants(*Quotas);
  else if (const auto *Policies = std::get_if<version_policies>(&*Message))
    Host.onVersionPolicies(*Policies);
}

void registry_follower::on(vm_id Vm, const fleet_state &State) {
  if (State.Revision < Revision) {
    drop(Vm, "older_state");
    return;
  }
  if (Vm != Leader)
    follow(Vm, State);
  LeaderLevel = State.Level;
  addVms(State.Voters);
  if (!Host.onState(State)) {
    CatalogVersion = 0; // requests the full catalog
    drop(Vm, "catalog_gap");
    return;
  }
  Revision = State.Revision;
  CatalogVersion = std::max(CatalogVersion, State.CatalogVersion);
  if (State.Catalog)
    CatalogLevel = State.Level;
  sendApplied();
}

void registry_follower::on(vm_id Vm, endpoint_directory Message) {
  const relay::directory_change &Change = Message.Change;
  if (!Change.isFull() && Change.Base != Directory) {
    drop(Vm, "directory_gap");
    return;
  }
  Directory = Change.Version;
  Host.onDirectory(std::move(Message));
}

/// Follows the first vm that sends a state, which only the leader does, and
/// closes the links to all others.
void registry_follower::follow(vm_id Vm, const fleet_state &State) {
  telemetry::logEvent(severity::info, "registry_found",
                      {{"machine", toText(Vm)},
                       {"revision", State.Revision.Value},
                       {"catalog_version", State.CatalogVersion}});
  Leader = Vm;
  HasFollowedLeader = true;
  for (auto Each = Subscriptions.begin(); Each != Subscriptions.end();) {
    if (Each->first == Vm) {
      ++Each;
      continue;
    }
    Each->second.Link->close();
    Each = Subscriptions.erase(Each);
  }
  Host.onLeaderFound();
}

void registry_follower::on(vm_id Vm, const redirect &Redirect) {
  addVms(Redirect.Voters);
  const vm_id NewLeader = Redirect.Leader;
  drop(Vm, "not_leading");
  if (isFollowing() || NewLeader.Value == 0)
    return;
  // A pending subscription whose link is not connected is replaced: the vm may
  // have had no power when the connection attempt began.
  const auto Known = Subscriptions.find(NewLeader);
  if (Known != Subscriptions.end() && Known->second.Link->isOpen())
    return;
  drop(NewLeader, "asked_anew");
  subscribeTo(NewLeader);
}

void registry_follower::announceLeaving() {
  IsLeaving = true;
  sendApplied();
}

void registry_follower::setReach(bool New) {
  HasReach = New;
  sendApplied();
}

void registry_follower::send(const fleet_message &Message) {
  const auto Known = Subscriptions.find(Leader);
  if (Known != Subscriptions.end())
    Known->second.Link->send(wire::encode(Message));
}

void registry_follower::sendApplied() {
  AppliedSentAt = Clock.now();
  const auto Known = Subscriptions.find(Leader);
  if (Known != Subscriptions.end())
    Known->second.Link->send(
        wire::encode(applied{Revision, IsLeaving, HasReach}));
}

} // namespace bulrush::fleet
