#include "fleet/subscribers.h"

#include "control/build_level.h"
#include "relay/fingerprint.h"
#include "telemetry/log.h"
#include "wire/fleet_codec.h"

#include <algorithm>
#include <utility>

namespace bulrush::fleet {

namespace {

using telemetry::severity;

/// Time without a message after which a subscriber is dropped. Subscribers send
/// a heartbeat every 400 ms.
constexpr millis HeartbeatTimeout{1500};
/// Time for which the encoded full directory is reused for new subscribers.
constexpr millis ReuseTime{50};
/// Level from which on subscribers know version policies.
constexpr std::uint32_t PolicyLevel = 1;

} // namespace

void subscribers::add(std::shared_ptr<frame_link> Link,
                      const subscribe &Request,
                      const control::registry_state &State,
                      const std::vector<vm_id> &Voters, std::uint32_t FleetSize,
                      instant Now) {
  const frame_link *Key = Link.get();
  subscriber &New = All[Key];
  New.Id = {++LastId.Value};
  New.Link = std::move(Link);
  New.Node = Request.Node;
  New.Peer = {Request.Vm, Request.Zone};
  New.Level = Request.Level;
  New.CatalogVersion = Request.CatalogVersion;
  New.ReceivedAt = Now;
  telemetry::logEvent(severity::info, "subscriber_joined",
                      {{"node", Request.Node},
                       {"revision", Request.Revision.Value},
                       {"level", Request.Level}});
  OnEvent(subscriber_joined{New.Id});
  Quotas.onJoined(Request.Vm, Request.Incarnation, Now);
  // The roster, the fleet size and the verdicts are sent first: requests may be
  // waiting at the relay for the catalog and the directory, and it must know by
  // then how many relays share the endpoints and which requests no endpoint may
  // get.
  New.Link->send(wire::encode(fullChange(SentRelays)));
  New.Link->send(wire::encode(leader_heartbeat{State.Revision, FleetSize}));
  const auto Notices = Crashes.notices(Now);
  if (!Notices.empty())
    New.Link->send(wire::encode(request_verdicts{Notices}));
  sendState(New, State, Voters);
  sendDirectory(New, Now);
  const auto Current = Limits.current(Now);
  if (!Current.empty())
    New.Link->send(wire::encode(limit_grants{Current}));
}

void subscribers::sendToAll(const fleet_message &Message) {
  const std::string Bytes = wire::encode(Message);
  for (auto &[Key, Each] : All)
    Each.Link->send(Bytes);
}

std::vector<relay::verdict_notice>
subscribers::onCrashReports(const crash_reports &Message, instant Now) {
  request_verdicts Changed{Crashes.apply(Message.Reports, Now)};
  if (Changed.Notices.empty())
    return {};
  logVerdicts(Changed.Notices);
  sendToAll(Changed);
  return std::move(Changed.Notices);
}

void subscribers::loadQuarantines(
    const std::vector<relay::verdict_notice> &Notices, instant Now) {
  for (const relay::verdict_notice &Each : Notices)
    Crashes.apply(Each, Now);
}

void subscribers::logVerdicts(
    const std::vector<relay::verdict_notice> &Notices) {
  for (const relay::verdict_notice &Each : Notices)
    telemetry::logEvent(severity::warning, "request_verdict",
                        {{"fingerprint", toHex(Each.Request)},
                         {"verdict", toString(Each.Verdict)},
                         {"quarantine_left_ms", Each.QuarantineLeft.Count}});
}

void subscribers::onLimitReports(const frame_link *Link,
                                 const limit_reports &Message, instant Now) {
  const auto Found = All.find(Link);
  if (Found == All.end())
    return;
  auto Outcome = Limits.on(Found->second.Peer.Vm, Message.Reports, Now);
  if (!Outcome.News.empty()) {
    logLimits(Outcome.News, Found->second.Node);
    sendToAll(limit_grants{std::move(Outcome.News)});
  }
  Found->second.Link->send(
      wire::encode(limit_grants{std::move(Outcome.Grants)}));
}

void subscribers::logLimits(const std::vector<relay::limit_grant> &News,
                            const std::string &Node) {
  for (const relay::limit_grant &Each : News)
    telemetry::logEvent(
        severity::info, "endpoint_limit",
        {{"endpoint", Each.Statement.Endpoint.Instance},
         {"limit_per_s",
          Each.Statement.Limit.value_or(request_rate{}).PerSecond},
         {"lifted", !Each.Statement.Limit},
         {"node", Node}});
}

void subscribers::startQuotas(std::uint32_t FleetSize, instant Now) {
  Quotas.start(FleetSize, Now);
  updateQuotas(Now);
}

void subscribers::updateQuotas(instant Now) {
  sendQuotas(Quotas.setAccounts(CatalogUpdates.current().Accounts, Now));
}

void subscribers::onQuotaReports(const frame_link *Link,
                                 const quota_reports &Message, instant Now) {
  const auto Found = All.find(Link);
  if (Found != All.end())
    sendQuotas(Quotas.on(Found->second.Peer.Vm, Message.IsFirst,
                         Message.Reports, Now));
}

void subscribers::sendQuotas(const relay::quota_ledger::outcome &Grants) {
  if (Grants.empty())
    return;
  for (auto &[Key, Each] : All) {
    const auto Found = Grants.find(Each.Peer.Vm);
    if (Found != Grants.end())
      Each.Link->send(wire::encode(quota_grants{Found->second}));
  }
}

void subscribers::onApplied(const frame_link *Link, const applied &Applied,
                            instant Now) {
  const auto Found = All.find(Link);
  if (Found == All.end())
    return;
  Found->second.ReceivedAt = Now;
  Quotas.onHeard(Found->second.Peer.Vm, Now);
  Found->second.IsLeaving = Applied.IsLeaving;
  if (std::exchange(Found->second.Peer.HasReach, Applied.HasReach) !=
      Applied.HasReach)
    telemetry::logEvent(Applied.HasReach ? severity::info : severity::warning,
                        "subscriber_reach",
                        {{"node", Found->second.Node},
                         {"change", Applied.HasReach ? "restored" : "lost"}});
  OnEvent(subscriber_applied{Found->second.Id, Applied.Revision});
}

std::uint32_t subscribers::lowestLevel() const {
  std::uint32_t Lowest = control::BuildLevel;
  for (const auto &[Key, Each] : All)
    Lowest = std::min(Lowest, Each.Level);
  return Lowest;
}

std::vector<vm_id> subscribers::relays() const {
  std::vector<vm_id> Out;
  for (const auto &[Key, Each] : All)
    Out.push_back(Each.Peer.Vm);
  return Out;
}

std::optional<vm_id> subscribers::vmOf(const frame_link *Link) const {
  const auto Found = All.find(Link);
  return Found == All.end() ? std::nullopt
                            : std::optional(Found->second.Peer.Vm);
}

relay_list subscribers::currentRelays() const {
  relay_list Out;
  for (const auto &[Key, Each] : All)
    if (!Each.IsLeaving)
      Out[Each.Peer.Vm] = Each.Peer;
  return Out;
}

void subscribers::sendRosterChange() {
  relay_list Current = currentRelays();
  if (Current == SentRelays)
    return;
  const std::string Bytes = wire::encode(changeBetween(SentRelays, Current));
  for (auto &[Key, Each] : All)
    Each.Link->send(Bytes);
  SentRelays = std::move(Current);
}

void subscribers::onClosed(const frame_link *Link, instant Now) {
  const auto Found = All.find(Link);
  if (Found != All.end())
    Quotas.onLeft(Found->second.Peer.Vm, Found->second.IsLeaving, Now);
  drop(Link, "closed");
}

void subscribers::drop(const frame_link *Link, const char *Reason) {
  const auto Found = All.find(Link);
  if (Found == All.end())
    return;
  const subscriber Removed = std::move(Found->second);
  All.erase(Found);
  Removed.Link->close();
  telemetry::logEvent(severity::info, "subscriber_left",
                      {{"node", Removed.Node}, {"reason", Reason}});
  OnEvent(subscriber_left{Removed.Id});
}

void subscribers::sendState(const control::registry_state &State,
                            const std::vector<vm_id> &Voters) {
  for (auto &[Key, Each] : All)
    sendState(Each, State, Voters);
}

void subscribers::sendState(subscriber &Subscriber,
                            const control::registry_state &State,
                            const std::vector<vm_id> &Voters) {
  if (Encoded.Revision != State.Revision || Encoded.Voters != Voters)
    Encoded = {State.Revision, Voters, {}};
  const std::uint64_t Version =
      std::max(State.CatalogVersion, CatalogUpdates.current().Version.Value);
  std::string &Bytes = Encoded.Bytes[Subscriber.CatalogVersion];
  if (Bytes.empty()) {
    fleet_state Message;
    Message.Revision = State.Revision;
    Message.CatalogVersion = Version;
    Message.Catalog = CatalogUpdates.changeSince(Subscriber.CatalogVersion);
    Message.ZonesOut = {State.ZonesOut.begin(), State.ZonesOut.end()};
    Message.Voters = Voters;
    Message.Level = control::BuildLevel;
    Message.Policies = Policies;
    Bytes = wire::encode(Message);
  }
  Subscriber.CatalogVersion = std::max(Subscriber.CatalogVersion, Version);
  Subscriber.Link->send(Bytes);
}

void subscribers::setPolicies(const std::vector<relay::version_policy> &New) {
  if (New == Policies)
    return;
  Policies = New;
  Encoded = {};
}

void subscribers::sendPolicies(const version_policies &Changed) {
  const std::string Bytes = wire::encode(Changed);
  for (auto &[Key, Each] : All)
    if (Each.Level >= PolicyLevel)
      Each.Link->send(Bytes);
}

void subscribers::setDirectory(relay::directory New,
                               relay::directory_change Change, instant Now) {
  Directory = std::move(New);
  EncodedDirectoryAt = instant{-1e300};
  const std::string Bytes = wire::encode(
      endpoint_directory{std::move(Change), Now - Directory.ReadAt});
  for (auto &[Key, Each] : All)
    Each.Link->send(Bytes);
}

/// The age in a reused message is too low by at most `ReuseTime`, so relays
/// treat cold endpoints as cold for that much longer.
void subscribers::sendDirectory(subscriber &Subscriber, instant Now) {
  if (Directory.Version.Term == 0)
    return;
  if (Now - EncodedDirectoryAt > ReuseTime) {
    EncodedDirectory = wire::encode(
        endpoint_directory{fullChange(Directory), Now - Directory.ReadAt});
    EncodedDirectoryAt = Now;
  }
  Subscriber.Link->send(EncodedDirectory);
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
    if (Now - Each.ReceivedAt > HeartbeatTimeout)
      Silent.push_back(Key);
  for (const frame_link *Link : Silent)
    drop(Link, "silent");
}

void subscribers::clear() {
  while (!All.empty())
    drop(All.begin()->first, "not_leading");
  SentRelays = {};
  Policies.clear();
  Encoded = {};
  Directory = {};
  Limits.clear();
  Crashes = {};
}

} // namespace bulrush::fleet
