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
/// A machine that does not answer the first question by then is passed over.
constexpr millis AskLimit{450};
constexpr millis RetryDelay{50};
/// The subscriber's own sign of life.
constexpr millis TellInterval{400};

} // namespace

registry_follower::registry_follower(boost::asio::io_context &Io,
                                     follower_settings Given,
                                     const clock_source &Clock,
                                     follower_host &Host)
    : Io(Io), Settings(std::move(Given)), Clock(Clock), Host(Host),
      Ticker(Io) {
  addMachines(Settings.Seeds);
}

void registry_follower::start() {
  connect();
  tickLater();
}

void registry_follower::stop() {
  Ticker.cancel();
  if (Link)
    Link->close();
  Link.reset();
}

void registry_follower::addMachines(const std::vector<vm_id> &Added) {
  Machines.insert(Added.begin(), Added.end());
}

void registry_follower::tickLater() {
  Ticker.expires_after(toChrono(TickInterval));
  Ticker.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    onTick();
    tickLater();
  });
}

void registry_follower::onTick() {
  const instant Now = Clock.now();
  if (!Link) {
    if (Now >= ConnectAt)
      connect();
    return;
  }
  const millis Limit = IsFollowing ? SilenceLimit : AskLimit;
  if (Now - HeardAt > Limit) {
    onLost("silent");
    return;
  }
  if (IsFollowing && Now - ToldAt >= TellInterval)
    tellApplied();
}

vm_id registry_follower::nextMachine() {
  if (Hinted.Value != 0)
    return std::exchange(Hinted, vm_id{});
  if (Machines.empty())
    return {};
  auto Next = Machines.upper_bound(LastTried);
  if (Next == Machines.end())
    Next = Machines.begin();
  LastTried = *Next;
  return *Next;
}

void registry_follower::connect() {
  if (!WasFollowing)
    addMachines(Host.seeds());
  const vm_id Machine = nextMachine();
  if (Machine.Value != 0)
    connectTo(Machine);
}

void registry_follower::connectTo(vm_id Machine) {
  Asked = Machine;
  IsFollowing = false;
  HeardAt = Clock.now();
  Link = std::make_shared<frame_link>(boost::asio::ip::tcp::socket(Io));
  Link->connect(
      endpointOf(Machine, Settings.Port),
      [this](const std::string &Bytes) { onFrame(Bytes); },
      [this, Closed = Link.get()] {
        if (Link.get() == Closed)
          onLost("closed");
      });
  ask();
}

/// The question waits in the link until that is open.
void registry_follower::ask() {
  subscribe Question;
  Question.Node = Settings.Node;
  Question.Zone = Settings.Zone;
  Question.Incarnation = Settings.Incarnation;
  Question.Revision = Revision;
  Question.CatalogVersion = CatalogVersion;
  Link->send(wire::encode(Question));
}

void registry_follower::onLost(const char *Why) {
  if (IsFollowing)
    telemetry::logEvent(severity::warning, "registry_lost",
                        {{"machine", toText(Asked)},
                         {"reason", Why},
                         {"revision", Revision.Value}});
  if (Link)
    Link->close();
  Link.reset();
  IsFollowing = false;
  ConnectAt = Clock.now() + RetryDelay;
}

void registry_follower::onFrame(const std::string &Bytes) {
  auto Message = wire::decodeFleet(Bytes);
  if (!Message) {
    telemetry::logEvent(severity::warning, "fleet_message_refused",
                        {{"error", Message.error().Message}});
    return;
  }
  HeardAt = Clock.now();
  if (const auto *State = std::get_if<fleet_state>(&*Message))
    on(*State);
  else if (auto *Directory = std::get_if<endpoint_directory>(&*Message))
    on(*Directory);
  else if (const auto *Beat = std::get_if<leader_beat>(&*Message))
    on(*Beat);
  else if (const auto *Elsewhere = std::get_if<redirect>(&*Message))
    on(*Elsewhere);
}

void registry_follower::on(const fleet_state &State) {
  if (!IsFollowing)
    telemetry::logEvent(severity::info, "registry_found",
                        {{"machine", toText(Asked)},
                         {"revision", State.Revision.Value},
                         {"catalog_version", State.CatalogVersion}});
  IsFollowing = WasFollowing = true;
  addMachines(State.Voters);
  if (State.Revision < Revision || !Host.take(State))
    return;
  Revision = State.Revision;
  CatalogVersion = std::max(CatalogVersion, State.CatalogVersion);
  tellApplied();
}

void registry_follower::on(endpoint_directory &Directory) {
  Host.take(std::move(Directory));
}

void registry_follower::on(const leader_beat &Beat) {
  Host.takePeers(Beat.Peers);
}

void registry_follower::on(const redirect &Redirect) {
  addMachines(Redirect.Voters);
  if (Redirect.Leader != Asked)
    Hinted = Redirect.Leader;
  onLost("not_leading");
  if (Hinted.Value != 0)
    ConnectAt = Clock.now();
}

void registry_follower::tellApplied() {
  ToldAt = Clock.now();
  Link->send(wire::encode(applied{Revision}));
}

} // namespace bulrush::fleet
