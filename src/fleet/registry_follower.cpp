#include "fleet/registry_follower.h"

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
/// The leader sends a heartbeat every 400 ms.
constexpr millis HeartbeatTimeout{1300};
/// Time after which an open link without an answer is closed and `subscribe` is
/// sent again. A machine that knows no leader answers only once it does.
constexpr millis ReplyTimeout{700};
/// Short, because a machine without power accepts no connection and the kernel
/// retries a SYN only after a second.
constexpr millis ConnectTimeout{250};
/// Between `subscribe` messages to two machines; several may be pending at
/// once.
constexpr millis SubscribeInterval{50};
/// Between two `applied` messages to the leader, which serve as heartbeats.
constexpr millis HeartbeatInterval{400};

} // namespace

registry_follower::registry_follower(boost::asio::io_context &Io,
                                     follower_settings Given,
                                     const clock_source &Clock,
                                     follower_host &Host)
    : Io(Io), Settings(std::move(Given)), Clock(Clock), Host(Host), Ticker(Io) {
  addMachines(Settings.Seeds);
}

void registry_follower::start() {
  subscribeToNext();
  scheduleTick();
}

void registry_follower::stop() {
  Ticker.cancel();
  for (auto &[Machine, Each] : Subscriptions)
    Each.Link->close();
  Subscriptions.clear();
}

void registry_follower::addMachines(const std::vector<vm_id> &Added) {
  Machines.insert(Added.begin(), Added.end());
}

void registry_follower::scheduleTick() {
  Ticker.expires_after(
      toChrono(isFollowing() ? TickInterval : SubscribeInterval));
  Ticker.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    onTick();
    scheduleTick();
  });
}

void registry_follower::onTick() {
  const instant Now = Clock.now();
  std::vector<vm_id> Silent;
  for (const auto &[Machine, Each] : Subscriptions)
    if (Now - Each.ReceivedAt > timeoutOf(Machine, Each))
      Silent.push_back(Machine);
  for (const vm_id Machine : Silent)
    drop(Machine, "silent");
  if (!isFollowing())
    subscribeToNext();
  else if (Now - AppliedSentAt >= HeartbeatInterval)
    sendApplied();
}

millis registry_follower::timeoutOf(vm_id Machine,
                                    const subscription &Subscription) const {
  if (Machine == Leader)
    return HeartbeatTimeout;
  return Subscription.Link->isOpen() ? ReplyTimeout : ConnectTimeout;
}

/// Returns the next machine, in ascending order with wraparound, without a
/// pending subscription; 0 if every machine has one.
vm_id registry_follower::nextCandidate() {
  for (std::size_t I = 0; I < Machines.size(); ++I) {
    auto Next = Machines.upper_bound(LastTried);
    if (Next == Machines.end())
      Next = Machines.begin();
    LastTried = *Next;
    if (!Subscriptions.count(LastTried))
      return LastTried;
  }
  return {};
}

void registry_follower::subscribeToNext() {
  if (!HasFollowedLeader && Machines.empty())
    addMachines(Host.seeds());
  const vm_id Machine = nextCandidate();
  if (Machine.Value != 0)
    subscribeTo(Machine);
}

/// The link queues the message until it is connected.
void registry_follower::subscribeTo(vm_id Machine) {
  auto Link = std::make_shared<frame_link>(boost::asio::ip::tcp::socket(Io));
  Subscriptions[Machine] = {Link, Clock.now()};
  Link->connect(
      tcpEndpoint(Machine, Settings.Port),
      [this, Machine](const std::string &Bytes) { onFrame(Machine, Bytes); },
      [this, Machine, Closed = Link.get()] {
        const auto Known = Subscriptions.find(Machine);
        if (Known != Subscriptions.end() && Known->second.Link.get() == Closed)
          drop(Machine, "closed");
      });
  subscribe Request;
  Request.Node = Settings.Node;
  Request.Zone = Settings.Zone;
  Request.Incarnation = Settings.Incarnation;
  Request.Revision = Revision;
  Request.CatalogVersion = CatalogVersion;
  Request.Machine = Settings.Self;
  Link->send(wire::encode(Request));
}

void registry_follower::drop(vm_id Machine, const char *Reason) {
  const auto Found = Subscriptions.find(Machine);
  if (Found == Subscriptions.end())
    return;
  Found->second.Link->close();
  Subscriptions.erase(Found);
  if (Machine != Leader)
    return;
  Leader = {};
  telemetry::logEvent(severity::warning, "registry_lost",
                      {{"machine", toText(Machine)},
                       {"reason", Reason},
                       {"revision", Revision.Value}});
  subscribeToNext();
}

void registry_follower::onFrame(vm_id Machine, const std::string &Bytes) {
  auto Message = wire::decodeFleet(Bytes);
  if (!Message) {
    telemetry::logEvent(severity::warning, "fleet_message_refused",
                        {{"error", Message.error().Message}});
    return;
  }
  const auto Known = Subscriptions.find(Machine);
  if (Known == Subscriptions.end())
    return;
  Known->second.ReceivedAt = Clock.now();
  if (const auto *State = std::get_if<fleet_state>(&*Message))
    on(Machine, *State);
  else if (const auto *Redirect = std::get_if<redirect>(&*Message))
    on(Machine, *Redirect);
  // The roster is handled even before a leader is followed: a leader sends it
  // before the catalog, which makes waiting requests start.
  const auto *Roster = std::get_if<roster>(&*Message);
  if (Roster && (Roster->IsFull || Machine == Leader)) {
    applyRoster(*Roster, Relays);
    Host.onRoster(Relays);
  }
  if (Machine != Leader)
    return;
  ReceivedAt = Known->second.ReceivedAt;
  if (auto *Directory = std::get_if<endpoint_directory>(&*Message))
    on(Machine, std::move(*Directory));
  else if (const auto *Heartbeat = std::get_if<leader_heartbeat>(&*Message))
    Host.onFleetSize(Heartbeat->Peers);
}

void registry_follower::on(vm_id Machine, const fleet_state &State) {
  if (State.Revision < Revision) {
    drop(Machine, "older_state");
    return;
  }
  if (Machine != Leader)
    follow(Machine, State);
  addMachines(State.Voters);
  if (!Host.onState(State)) {
    CatalogVersion = 0; // requests the full catalog
    drop(Machine, "catalog_gap");
    return;
  }
  Revision = State.Revision;
  CatalogVersion = std::max(CatalogVersion, State.CatalogVersion);
  sendApplied();
}

void registry_follower::on(vm_id Machine, endpoint_directory Message) {
  const relay::directory_change &Change = Message.Change;
  if (!Change.isFull() && Change.Base != Directory) {
    drop(Machine, "directory_gap");
    return;
  }
  Directory = Change.Version;
  Host.onDirectory(std::move(Message));
}

/// Makes the first machine that answers as leader the followed one and closes
/// the links to all others.
void registry_follower::follow(vm_id Machine, const fleet_state &State) {
  telemetry::logEvent(severity::info, "registry_found",
                      {{"machine", toText(Machine)},
                       {"revision", State.Revision.Value},
                       {"catalog_version", State.CatalogVersion}});
  Leader = Machine;
  HasFollowedLeader = true;
  for (auto Each = Subscriptions.begin(); Each != Subscriptions.end();) {
    if (Each->first == Machine) {
      ++Each;
      continue;
    }
    Each->second.Link->close();
    Each = Subscriptions.erase(Each);
  }
}

void registry_follower::on(vm_id Machine, const redirect &Redirect) {
  addMachines(Redirect.Voters);
  const vm_id NewLeader = Redirect.Leader;
  drop(Machine, "not_leading");
  if (isFollowing() || NewLeader.Value == 0)
    return;
  // A pending subscription whose link is not connected is replaced: the machine
  // may have had no power when the connection attempt began.
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

void registry_follower::sendApplied() {
  AppliedSentAt = Clock.now();
  const auto Known = Subscriptions.find(Leader);
  if (Known != Subscriptions.end())
    Known->second.Link->send(wire::encode(applied{Revision, IsLeaving}));
}

} // namespace bulrush::fleet
