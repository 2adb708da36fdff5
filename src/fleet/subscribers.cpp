#include "fleet/subscribers.h"

#include "telemetry/log.h"
#include "wire/fleet_codec.h"

namespace bulrush::fleet {

namespace {

using telemetry::severity;

/// A subscriber says something at least every `HeartbeatInterval` of its own.
constexpr millis SilenceLimit{1500};
/// The encoded directory serves all that ask within this time.
constexpr millis ReuseTime{50};

} // namespace

void subscribers::add(std::shared_ptr<frame_link> Link, const subscribe &Asked,
                      const control::registry_state &State,
                      const std::vector<vm_id> &Voters, std::uint32_t FleetSize,
                      instant Now) {
  const frame_link *Key = Link.get();
  subscriber &New = All[Key];
  New.Id = {++Last.Value};
  New.Link = std::move(Link);
  New.Node = Asked.Node;
  New.Peer = {Asked.Machine, Asked.Zone};
  New.CatalogVersion = Asked.CatalogVersion;
  New.HeardAt = Now;
  telemetry::logEvent(
      severity::info, "subscriber_joined",
      {{"node", Asked.Node}, {"revision", Asked.Revision.Value}});
  OnEvent(subscriber_came{New.Id});
  // Requests may wait there for the catalog and the directory: by then it knows
  // with how many it shares the endpoints.
  New.Link->send(wire::encode(wholeOf(ToldRelays)));
  New.Link->send(wire::encode(leader_heartbeat{State.Revision, FleetSize}));
  tellState(New, State, Voters);
  tellDirectory(New, Now);
}

void subscribers::onApplied(const frame_link *Link, const applied &Applied,
                            instant Now) {
  const auto Found = All.find(Link);
  if (Found == All.end())
    return;
  Found->second.HeardAt = Now;
  Found->second.IsLeaving = Applied.IsLeaving;
  OnEvent(subscriber_applied{Found->second.Id, Applied.Revision});
}

relay_zones subscribers::currentRelays() const {
  relay_zones Out;
  for (const auto &[Key, Each] : All)
    if (!Each.IsLeaving)
      Out[Each.Peer.Vm] = Each.Peer.Zone;
  return Out;
}

void subscribers::tellRoster() {
  relay_zones Current = currentRelays();
  if (Current == ToldRelays)
    return;
  const std::string Bytes = wire::encode(changeBetween(ToldRelays, Current));
  for (auto &[Key, Each] : All)
    Each.Link->send(Bytes);
  ToldRelays = std::move(Current);
}

void subscribers::onClosed(const frame_link *Link) { drop(Link, "closed"); }

void subscribers::drop(const frame_link *Link, const char *Why) {
  const auto Found = All.find(Link);
  if (Found == All.end())
    return;
  const subscriber Gone = std::move(Found->second);
  All.erase(Found);
  Gone.Link->close();
  telemetry::logEvent(severity::info, "subscriber_left",
                      {{"node", Gone.Node}, {"reason", Why}});
  OnEvent(subscriber_left{Gone.Id});
}

void subscribers::tellState(const control::registry_state &State,
                            const std::vector<vm_id> &Voters) {
  for (auto &[Key, Each] : All)
    tellState(Each, State, Voters);
}

void subscribers::tellState(subscriber &Subscriber,
                            const control::registry_state &State,
                            const std::vector<vm_id> &Voters) {
  if (Encoded.Revision != State.Revision || Encoded.Voters != Voters)
    Encoded = {State.Revision, Voters, {}};
  std::string &Bytes = Encoded.Bytes[Subscriber.CatalogVersion];
  if (Bytes.empty()) {
    fleet_state Message;
    Message.Revision = State.Revision;
    Message.CatalogVersion = State.CatalogVersion;
    Message.Catalog = Feed.changeSince(Subscriber.CatalogVersion);
    Message.ZonesOut = {State.ZonesOut.begin(), State.ZonesOut.end()};
    Message.Voters = Voters;
    Bytes = wire::encode(Message);
  }
  Subscriber.CatalogVersion =
      std::max(Subscriber.CatalogVersion, State.CatalogVersion);
  Subscriber.Link->send(Bytes);
}

void subscribers::setDirectory(relay::directory New,
                               relay::directory_change Change, instant ReadAt,
                               instant Now) {
  Directory = std::move(New);
  DirectoryReadAt = ReadAt;
  WholeDirectoryAt = instant{-1e300};
  const std::string Bytes =
      wire::encode(endpoint_directory{std::move(Change), Now - ReadAt});
  for (auto &[Key, Each] : All)
    Each.Link->send(Bytes);
}

/// The age that it tells is too low by `ReuseTime` at most, so that cold
/// endpoints are left alone for a little longer.
void subscribers::tellDirectory(subscriber &Subscriber, instant Now) {
  if (Directory.Order.Term == 0)
    return;
  if (Now - WholeDirectoryAt > ReuseTime) {
    WholeDirectory = wire::encode(
        endpoint_directory{wholeOf(Directory), Now - DirectoryReadAt});
    WholeDirectoryAt = Now;
  }
  Subscriber.Link->send(WholeDirectory);
}

void subscribers::sendHeartbeat(revision Revision, std::uint32_t FleetSize) {
  const std::string Heartbeat =
      wire::encode(leader_heartbeat{Revision, FleetSize});
  for (auto &[Key, Each] : All)
    Each.Link->send(Heartbeat);
}

void subscribers::dropSilent(instant Now) {
  std::vector<const frame_link *> Silent;
  for (const auto &[Key, Each] : All)
    if (Now - Each.HeardAt > SilenceLimit)
      Silent.push_back(Key);
  for (const frame_link *Link : Silent)
    drop(Link, "silent");
}

void subscribers::clear() {
  while (!All.empty())
    drop(All.begin()->first, "not_leading");
  ToldRelays = {};
  Directory = {};
}

} // namespace bulrush::fleet
