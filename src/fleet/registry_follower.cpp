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
/// The leader says something at least every 400 ms.
constexpr millis SilenceLimit{1300};
/// A machine that does not answer is asked anew after so long; one that knows
/// no leader answers once it does.
constexpr millis AskLimit{700};
/// A machine without power takes no connection; the kernel would try again only
/// after a second.
constexpr millis ConnectLimit{250};
/// Between two machines that are asked; they are asked side by side.
constexpr millis AskInterval{50};
/// The subscriber's own sign of life.
constexpr millis TellInterval{400};

} // namespace

registry_follower::registry_follower(boost::asio::io_context &Io,
                                     follower_settings Given,
                                     const clock_source &Clock,
                                     follower_host &Host)
    : Io(Io), Settings(std::move(Given)), Clock(Clock), Host(Host), Ticker(Io) {
  addMachines(Settings.Seeds);
}

void registry_follower::start() {
  askNext();
  tickLater();
}

void registry_follower::stop() {
  Ticker.cancel();
  for (auto &[Machine, Each] : Asked)
    Each.Link->close();
  Asked.clear();
}

void registry_follower::addMachines(const std::vector<vm_id> &Added) {
  Machines.insert(Added.begin(), Added.end());
}

void registry_follower::tickLater() {
  Ticker.expires_after(toChrono(isFollowing() ? TickInterval : AskInterval));
  Ticker.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    onTick();
    tickLater();
  });
}

void registry_follower::onTick() {
  const instant Now = Clock.now();
  std::vector<vm_id> Silent;
  for (const auto &[Machine, Each] : Asked)
    if (Now - Each.HeardAt > limitOf(Machine, Each))
      Silent.push_back(Machine);
  for (const vm_id Machine : Silent)
    onLost(Machine, "silent");
  if (!isFollowing())
    askNext();
  else if (Now - ToldAt >= TellInterval)
    tellApplied();
}

millis registry_follower::limitOf(vm_id Machine,
                                  const asked_machine &Asked) const {
  if (Machine == Leader)
    return SilenceLimit;
  return Asked.Link->isOpen() ? AskLimit : ConnectLimit;
}

/// The next machine that is not being asked; 0 when all are.
vm_id registry_follower::nextMachine() {
  for (std::size_t I = 0; I < Machines.size(); ++I) {
    auto Next = Machines.upper_bound(LastTried);
    if (Next == Machines.end())
      Next = Machines.begin();
    LastTried = *Next;
    if (!Asked.count(LastTried))
      return LastTried;
  }
  return {};
}

void registry_follower::askNext() {
  if (!WasFollowing && Machines.empty())
    addMachines(Host.seeds());
  const vm_id Machine = nextMachine();
  if (Machine.Value != 0)
    ask(Machine);
}

/// The question waits in the link until that is open.
void registry_follower::ask(vm_id Machine) {
  auto Link = std::make_shared<frame_link>(boost::asio::ip::tcp::socket(Io));
  Asked[Machine] = {Link, Clock.now()};
  Link->connect(
      endpointOf(Machine, Settings.Port),
      [this, Machine](const std::string &Bytes) { onFrame(Machine, Bytes); },
      [this, Machine, Closed = Link.get()] {
        const auto Known = Asked.find(Machine);
        if (Known != Asked.end() && Known->second.Link.get() == Closed)
          onLost(Machine, "closed");
      });
  subscribe Question;
  Question.Node = Settings.Node;
  Question.Zone = Settings.Zone;
  Question.Incarnation = Settings.Incarnation;
  Question.Revision = Revision;
  Question.CatalogVersion = CatalogVersion;
  Question.Machine = Settings.Self;
  Link->send(wire::encode(Question));
}

void registry_follower::onLost(vm_id Machine, const char *Why) {
  const auto Found = Asked.find(Machine);
  if (Found == Asked.end())
    return;
  Found->second.Link->close();
  Asked.erase(Found);
  if (Machine != Leader)
    return;
  Leader = {};
  telemetry::logEvent(severity::warning, "registry_lost",
                      {{"machine", toText(Machine)},
                       {"reason", Why},
                       {"revision", Revision.Value}});
  askNext();
}

void registry_follower::onFrame(vm_id Machine, const std::string &Bytes) {
  auto Message = wire::decodeFleet(Bytes);
  if (!Message) {
    telemetry::logEvent(severity::warning, "fleet_message_refused",
                        {{"error", Message.error().Message}});
    return;
  }
  const auto Known = Asked.find(Machine);
  if (Known == Asked.end())
    return;
  Known->second.HeardAt = Clock.now();
  if (const auto *State = std::get_if<fleet_state>(&*Message))
    on(Machine, *State);
  else if (const auto *Elsewhere = std::get_if<redirect>(&*Message))
    on(Machine, *Elsewhere);
  // The roster comes first, so that the catalog finds it.
  const auto *Roster = std::get_if<roster>(&*Message);
  if (Roster && (Roster->IsFull || Machine == Leader)) {
    applyRoster(*Roster, Relays);
    Host.take(Relays);
  }
  if (Machine != Leader)
    return;
  HeardAt = Known->second.HeardAt;
  if (auto *Directory = std::get_if<endpoint_directory>(&*Message))
    on(Machine, std::move(*Directory));
  else if (const auto *Heartbeat = std::get_if<leader_heartbeat>(&*Message))
    Host.takeFleetSize(Heartbeat->Peers);
}

void registry_follower::on(vm_id Machine, const fleet_state &State) {
  if (State.Revision < Revision) {
    onLost(Machine, "older_state");
    return;
  }
  if (Machine != Leader)
    follow(Machine, State);
  addMachines(State.Voters);
  if (!Host.take(State)) {
    CatalogVersion = 0; // the whole is wanted
    onLost(Machine, "catalog_gap");
    return;
  }
  Revision = State.Revision;
  CatalogVersion = std::max(CatalogVersion, State.CatalogVersion);
  tellApplied();
}

void registry_follower::on(vm_id Machine, endpoint_directory Message) {
  const relay::directory_change &Change = Message.Change;
  if (!Change.isFull() && Change.Base != Directory) {
    onLost(Machine, "directory_gap");
    return;
  }
  Directory = Change.Version;
  Host.take(std::move(Message));
}

/// The first that leads is followed; all others are let go.
void registry_follower::follow(vm_id Machine, const fleet_state &State) {
  telemetry::logEvent(severity::info, "registry_found",
                      {{"machine", toText(Machine)},
                       {"revision", State.Revision.Value},
                       {"catalog_version", State.CatalogVersion}});
  Leader = Machine;
  WasFollowing = true;
  for (auto Each = Asked.begin(); Each != Asked.end();) {
    if (Each->first == Machine) {
      ++Each;
      continue;
    }
    Each->second.Link->close();
    Each = Asked.erase(Each);
  }
}

void registry_follower::on(vm_id Machine, const redirect &Redirect) {
  addMachines(Redirect.Voters);
  const vm_id Leading = Redirect.Leader;
  onLost(Machine, "not_leading");
  if (isFollowing() || Leading.Value == 0)
    return;
  // An older question may be on its way to a machine that had no power.
  const auto Known = Asked.find(Leading);
  if (Known != Asked.end() && Known->second.Link->isOpen())
    return;
  onLost(Leading, "asked_anew");
  ask(Leading);
}

void registry_follower::announceLeaving() {
  IsLeaving = true;
  tellApplied();
}

void registry_follower::tellApplied() {
  ToldAt = Clock.now();
  const auto Known = Asked.find(Leader);
  if (Known != Asked.end())
    Known->second.Link->send(wire::encode(applied{Revision, IsLeaving}));
}

} // namespace bulrush::fleet
