#include "relay_fixture.h"

#include <set>

using namespace bulrush;
using namespace bulrush::test;

namespace {

constexpr std::size_t ShardCount = 64;

/// One of several relays of the same zone, with a query over 64 shards. Tests
/// pass requests and replies between relays by hand.
struct slices_fixture : relay_fixture {
  static relay_settings settingsOf(std::uint32_t Self) {
    relay_settings Out = relay_fixture::settings();
    Out.Self = {Self};
    return Out;
  }

  explicit slices_fixture(std::uint32_t Self = 1, std::uint32_t Peers = 12,
                          std::uint64_t Seed = 7)
      : relay_fixture(settingsOf(Self), Seed) {
    std::vector<std::string> Names;
    for (std::size_t I = 0; I < ShardCount; ++I) {
      Names.push_back("s" + std::to_string(100 + I));
      addService(Names.back(), 2);
    }
    addRoute("/all/", Names).Gather.MinCoverage = 0.95;
    std::vector<relay_peer> All;
    for (std::uint32_t I = 1; I <= Peers; ++I)
      All.push_back({{I}, "near"});
    step(peers_changed{All});
    install(Peers);
  }

  std::vector<send_shard_request> sentShardRequests() const {
    std::vector<send_shard_request> Out;
    for (const relay_action &Each : Actions)
      if (const auto *ShardRequest = std::get_if<send_shard_request>(&Each))
        Out.push_back(*ShardRequest);
    return Out;
  }

  shard_reply fullReply(const send_shard_request &ShardRequest) const {
    shard_reply Reply;
    Reply.ShardRequest = ShardRequest.Request.Id;
    Reply.IsFinal = true;
    for (std::uint32_t I = 0; I < ShardRequest.Request.Shards.size(); ++I) {
      Reply.Covered.push_back(I);
      Reply.Signatures.push_back(ShardRequest.Request.Shards[I].Value);
    }
    Reply.Records = std::string(16, 'r');
    return Reply;
  }

  template <class Action> std::vector<Action> all() const {
    std::vector<Action> Out;
    for (const relay_action &Each : Actions)
      if (const auto *Found = std::get_if<Action>(&Each))
        Out.push_back(*Found);
    return Out;
  }
};

} // namespace

TEST_CASE("slices of a query cover each shard exactly once", "[slices]") {
  slices_fixture Relay;
  Relay.sendRequest("/all/x");
  std::multiset<std::string> Requested;
  std::set<std::uint32_t> Peers;
  for (const send_shard_request &Each : Relay.sentShardRequests()) {
    Peers.insert(Each.To.Value);
    for (const service_name &Shard : Each.Request.Shards)
      Requested.insert(Shard.Value);
  }
  CHECK(Peers.size() == Relay.sentShardRequests().size());
  CHECK(Relay.sentShardRequests().size() >= 7);
  CHECK(Requested.size() + Relay.Sent.size() == ShardCount);
  CHECK(std::set<std::string>(Requested.begin(), Requested.end()).size() ==
        Requested.size());
}

namespace {

/// Reports the same zones for every shard.
class fixed_zones final : public zone_lookup {
public:
  explicit fixed_zones(std::vector<std::string> Zones)
      : Zones(std::move(Zones)) {}
  std::vector<std::string> zonesOf(const service_name &) const override {
    return Zones;
  }

private:
  std::vector<std::string> Zones;
};

/// Nine relays in each of the zones a, b and c.
std::vector<relay_peer> relaysInThreeZones() {
  std::vector<relay_peer> Out;
  for (std::uint32_t I = 1; I <= 27; ++I)
    Out.push_back({{I}, std::string(1, static_cast<char>('a' + I % 3))});
  return Out;
}

gather_rule manyShards() {
  gather_rule Rule;
  for (std::size_t I = 0; I < ShardCount; ++I)
    Rule.Shards.push_back({"s" + std::to_string(I)});
  return Rule;
}

/// Slices that a relay in `Zone` computes.
std::vector<slice> slicesInZone(const std::string &Zone,
                                const zone_lookup &Lookup) {
  std::uint32_t Self = 0;
  for (const relay_peer &Each : relaysInThreeZones())
    if (Each.Zone == Zone)
      Self = Each.Vm.Value;
  slice_planner Planner({}, {Self}, Zone);
  Planner.setPeers(relaysInThreeZones());
  return Planner.slicesOf(manyShards(), Lookup);
}

std::string zoneOf(vm_id Vm) {
  for (const relay_peer &Each : relaysInThreeZones())
    if (Each.Vm == Vm)
      return Each.Zone;
  return {};
}

} // namespace

TEST_CASE("all relays of a zone compute the same slices", "[slices]") {
  slice_planner A({}, {3}, "a");
  slice_planner B({}, {6}, "a");
  A.setPeers(relaysInThreeZones());
  B.setPeers(relaysInThreeZones());
  const fixed_zones AllZones({"a", "b", "c"});
  const gather_rule Rule = manyShards();
  REQUIRE(A.slicesOf(Rule, AllZones).size() ==
          B.slicesOf(Rule, AllZones).size());
  for (std::size_t I = 0; I < A.slicesOf(Rule, AllZones).size(); ++I) {
    const slice &Each = A.slicesOf(Rule, AllZones)[I];
    CHECK(Each.Primary == B.slicesOf(Rule, AllZones)[I].Primary);
    CHECK(Each.Primary != Each.Backup);
    CHECK(zoneOf(Each.Primary) == "a");
    CHECK(!Each.IsCrossZone);
  }
}

TEST_CASE("shards without a local endpoint are spread evenly over the zones "
          "that have one",
          "[slices][load]") {
  const fixed_zones TwoZones({"a", "b"});
  const std::vector<slice> CrossZone = slicesInZone("c", TwoZones);
  REQUIRE(CrossZone.size() == 8);
  std::map<std::string, std::size_t> SliceCounts;
  for (const slice &Each : CrossZone) {
    CHECK(Each.IsCrossZone);
    CHECK(zoneOf(Each.Backup) == zoneOf(Each.Primary));
    ++SliceCounts[zoneOf(Each.Primary)];
  }
  CHECK(SliceCounts == std::map<std::string, std::size_t>{{"a", 4}, {"b", 4}});
  // Endpoints have connections from the same relays whichever zone received the
  // query.
  for (std::size_t I = 0; I < CrossZone.size(); ++I) {
    const slice Own = slicesInZone(zoneOf(CrossZone[I].Primary), TwoZones)[I];
    CHECK(Own.Primary == CrossZone[I].Primary);
    CHECK(Own.Backup == CrossZone[I].Backup);
    CHECK(Own.Shards == CrossZone[I].Shards);
  }
}

TEST_CASE("shards without a local endpoint are queried in other zones, in few "
          "slices",
          "[slices][load]") {
  /// Each shard has endpoints in two of the three zones.
  class two_zones_per_shard final : public zone_lookup {
  public:
    std::vector<std::string>
    zonesOf(const service_name &Service) const override {
      const int Excluded = std::stoi(Service.Value.substr(1)) % 3;
      std::vector<std::string> Out;
      for (int I = 0; I < 3; ++I)
        if (I != Excluded)
          Out.push_back(std::string(1, static_cast<char>('a' + I)));
      return Out;
    }
  };
  const two_zones_per_shard Lookup;
  const gather_rule Rule = manyShards();
  for (const char *Zone : {"a", "b", "c"}) {
    const std::vector<slice> Slices = slicesInZone(Zone, Lookup);
    std::set<std::size_t> Covered;
    std::size_t CrossZone = 0;
    for (const slice &Each : Slices) {
      CrossZone += Each.IsCrossZone ? 1 : 0;
      for (const std::size_t Shard : Each.Shards) {
        CHECK(Covered.insert(Shard).second);
        const auto Zones = Lookup.zonesOf(Rule.Shards[Shard]);
        CHECK(std::count(Zones.begin(), Zones.end(), zoneOf(Each.Primary)) ==
              1);
      }
    }
    CHECK(Covered.size() == ShardCount);
    // 21 or 22 shards have no local endpoint; a slice has 8 shards.
    CHECK(CrossZone >= 3);
    CHECK(CrossZone <= 6);
  }
}

TEST_CASE("endpoints in a zone that is out do not count as local", "[slices]") {
  slices_fixture Relay(1, 12);
  std::vector<relay_peer> Peers;
  for (std::uint32_t I = 1; I <= 12; ++I)
    Peers.push_back({{I}, I <= 6 ? "near" : "far"});
  Relay.step(peers_changed{Peers});
  const auto CrossZoneRequests = [&] {
    std::size_t CrossZone = 0;
    for (const send_shard_request &Each : Relay.sentShardRequests())
      CrossZone += Each.To.Value > 6 ? 1 : 0;
    return CrossZone;
  };
  Relay.sendRequest("/all/x");
  CHECK(CrossZoneRequests() == 0);
  Relay.step(zones_out_changed{{"near"}});
  Relay.Actions.clear();
  Relay.sendRequest("/all/x");
  CHECK(CrossZoneRequests() == Relay.sentShardRequests().size());
  CHECK(CrossZoneRequests() > 0);
}

TEST_CASE("a query over few shards is not sliced", "[slices]") {
  relay_fixture Relay(slices_fixture::settingsOf(1));
  Relay.addService("a", 2);
  Relay.addRoute("/all/", {"a"});
  Relay.step(peers_changed{{{{1}, "near"}, {{2}, "near"}}});
  Relay.install();
  Relay.sendRequest("/all/x");
  CHECK(Relay.count<send_shard_request>() == 0);
  CHECK(Relay.Sent.size() == 1);
}

TEST_CASE("the answer merges the replies of all slices", "[slices]") {
  slices_fixture Relay;
  const query_id Request = Relay.sendRequest("/all/x");
  for (const send_shard_request &Each : Relay.sentShardRequests())
    Relay.step(shard_reply_arrived{Each.To, Relay.fullReply(Each)});
  Relay.replyAll();
  const send_answer *Answer = Relay.answerTo(Request);
  REQUIRE(Answer);
  CHECK(Answer->Missing == 0);
  CHECK(Answer->Signatures.size() == ShardCount);
  CHECK(Answer->Body.size() == 10 * 16);
}

TEST_CASE("shards of a lost relay get one attempt each at another relay",
          "[slices]") {
  slices_fixture Relay;
  Relay.sendRequest("/all/x");
  const send_shard_request Lost = Relay.sentShardRequests().front();
  const std::size_t Before = Relay.sentShardRequests().size();
  Relay.step(peer_lost{Lost.To});
  REQUIRE(Relay.sentShardRequests().size() == Before + 1);
  const send_shard_request Again = Relay.sentShardRequests().back();
  CHECK(Again.To != Lost.To);
  CHECK(Again.Request.Shards == Lost.Request.Shards);
  CHECK(Again.Request.IsRetry);
  CHECK(Again.Request.MaxAttempts == 1);
}

TEST_CASE("a relay that was granted a retry is not replaced", "[slices]") {
  slices_fixture Relay;
  Relay.sendRequest("/all/x");
  const send_shard_request ShardRequest = Relay.sentShardRequests().front();
  shard_reply Reply;
  Reply.ShardRequest = ShardRequest.Request.Id;
  Reply.WantsRetry = true;
  Relay.step(shard_reply_arrived{ShardRequest.To, Reply});
  REQUIRE(Relay.count<grant_retry>() == 1);
  const std::size_t Before = Relay.sentShardRequests().size();
  Relay.step(peer_lost{ShardRequest.To});
  CHECK(Relay.sentShardRequests().size() == Before);
}

TEST_CASE("an unresponsive relay is replaced and then skipped for a while",
          "[slices]") {
  slices_fixture Relay;
  Relay.sendRequest("/all/x");
  const std::vector<send_shard_request> First = Relay.sentShardRequests();
  for (std::size_t I = 1; I < First.size(); ++I)
    Relay.step(shard_reply_arrived{First[I].To, Relay.fullReply(First[I])});
  Relay.advance(51);
  REQUIRE(Relay.sentShardRequests().size() == First.size() + 1);
  CHECK(Relay.sentShardRequests().back().To != First[0].To);
  Relay.sendRequest("/all/x");
  for (std::size_t I = First.size() + 1; I < Relay.sentShardRequests().size();
       ++I)
    CHECK(Relay.sentShardRequests()[I].To != First[0].To);
}

namespace {

/// A query whose first slice got no reply in time and was retried at another
/// relay.
struct unresponsive_fixture : slices_fixture {
  unresponsive_fixture() {
    Request = sendRequest("/all/x");
    const std::vector<send_shard_request> All = sentShardRequests();
    Unresponsive = All.front();
    for (std::size_t I = 1; I < All.size(); ++I)
      step(shard_reply_arrived{All[I].To, fullReply(All[I])});
    replyAll();
    advance(51);
    REQUIRE(sentShardRequests().size() == All.size() + 1);
    Retry = sentShardRequests().back();
  }

  shard_reply emptyReply(const send_shard_request &ShardRequest) const {
    shard_reply Reply;
    Reply.ShardRequest = ShardRequest.Request.Id;
    Reply.IsFinal = true;
    return Reply;
  }

  query_id Request;
  send_shard_request Unresponsive;
  send_shard_request Retry;
};

} // namespace

TEST_CASE("a late reply is used if the retry at another relay returned nothing",
          "[slices][load]") {
  unresponsive_fixture Relay;
  Relay.step(
      shard_reply_arrived{Relay.Retry.To, Relay.emptyReply(Relay.Retry)});
  REQUIRE(Relay.answerTo(Relay.Request) == nullptr);
  Relay.advance(100);
  Relay.step(shard_reply_arrived{Relay.Unresponsive.To,
                                 Relay.fullReply(Relay.Unresponsive)});
  const send_answer *Answer = Relay.answerTo(Relay.Request);
  REQUIRE(Answer);
  CHECK(Answer->Status == 200);
  CHECK(Answer->Signatures.size() == ShardCount);
}

TEST_CASE("a shard in the replies of two relays is counted once", "[slices]") {
  unresponsive_fixture Relay;
  shard_reply Partial = Relay.fullReply(Relay.Retry);
  Partial.IsFinal = false;
  Partial.Covered.resize(1);
  Partial.Signatures.resize(1);
  Relay.step(shard_reply_arrived{Relay.Retry.To, Partial});
  Relay.step(shard_reply_arrived{Relay.Unresponsive.To,
                                 Relay.fullReply(Relay.Unresponsive)});
  shard_reply LaterReply = Relay.fullReply(Relay.Retry);
  LaterReply.Covered.erase(LaterReply.Covered.begin());
  LaterReply.Signatures.erase(LaterReply.Signatures.begin());
  Relay.step(shard_reply_arrived{Relay.Retry.To, LaterReply});
  const send_answer *Answer = Relay.answerTo(Relay.Request);
  REQUIRE(Answer);
  CHECK(Answer->Missing == 0);
  const std::set<std::string> Names(Answer->Signatures.begin(),
                                    Answer->Signatures.end());
  CHECK(Names.size() == Answer->Signatures.size());
  CHECK(Answer->Signatures.size() + Answer->Missing == ShardCount);
}

TEST_CASE("a shard is never requested from a third relay", "[slices]") {
  unresponsive_fixture Relay;
  const std::size_t ShardRequests = Relay.sentShardRequests().size();
  const std::size_t Sent = Relay.count<send_attempt>();
  Relay.step(peer_lost{Relay.Retry.To});
  Relay.step(peer_lost{Relay.Unresponsive.To});
  CHECK(Relay.sentShardRequests().size() == ShardRequests);
  CHECK(Relay.count<send_attempt>() == Sent);
  // 56 of 64 shards replied; 61 are required.
  REQUIRE(Relay.answerTo(Relay.Request));
  CHECK(Relay.answerTo(Relay.Request)->Status == 502);
}

TEST_CASE("the backoff for an unresponsive relay doubles each time",
          "[slices][load]") {
  slices_fixture Relay;
  std::map<std::uint32_t, std::size_t> RequestCounts;
  std::uint32_t SlowRelay = 0;
  // One relay does not reply for 6 s; one query is sent every 200 ms.
  for (int I = 0; I < 30; ++I) {
    const std::size_t Before = Relay.sentShardRequests().size();
    Relay.sendRequest("/all/x");
    const std::vector<send_shard_request> All = Relay.sentShardRequests();
    if (SlowRelay == 0)
      SlowRelay = All.front().To.Value;
    for (std::size_t J = Before; J < All.size(); ++J) {
      ++RequestCounts[All[J].To.Value];
      if (All[J].To.Value != SlowRelay)
        Relay.step(shard_reply_arrived{All[J].To, Relay.fullReply(All[J])});
    }
    Relay.replyAll();
    Relay.advance(60);
    for (std::size_t J = All.size(); J < Relay.sentShardRequests().size(); ++J)
      Relay.step(
          shard_reply_arrived{Relay.sentShardRequests()[J].To,
                              Relay.fullReply(Relay.sentShardRequests()[J])});
    Relay.advance(140);
  }
  // At 0 s, 1 s and 3 s; the next request is at 7 s.
  CHECK(RequestCounts[SlowRelay] <= 3);
}

TEST_CASE("a client disconnect cancels the requests to other relays",
          "[slices]") {
  slices_fixture Relay;
  const query_id Request = Relay.sendRequest("/all/x");
  Relay.step(client_disconnected{Request});
  CHECK(Relay.count<cancel_shard_request>() ==
        Relay.count<send_shard_request>());
}

TEST_CASE("shards requested by another relay are merged into one reply",
          "[slices]") {
  slices_fixture Requester(1);
  Requester.sendRequest("/all/x");
  const send_shard_request ShardRequest = Requester.sentShardRequests().front();
  slices_fixture Responder(ShardRequest.To.Value);
  Responder.step(shard_request_arrived{{1}, ShardRequest.Request});
  REQUIRE(Responder.Sent.size() == ShardRequest.Request.Shards.size());
  Responder.replyAll();
  REQUIRE(Responder.count<send_shard_reply>() == 1);
  const shard_reply Reply = Responder.all<send_shard_reply>().front().Reply;
  CHECK(Reply.IsFinal);
  CHECK(Reply.Signatures.size() == ShardRequest.Request.Shards.size());
  CHECK(Reply.Covered.size() == ShardRequest.Request.Shards.size());
}

TEST_CASE("a shard is not retried before the requester grants it", "[slices]") {
  slices_fixture Requester(1);
  Requester.sendRequest("/all/x");
  const send_shard_request ShardRequest = Requester.sentShardRequests().front();
  slices_fixture Responder(ShardRequest.To.Value);
  Responder.step(shard_request_arrived{{1}, ShardRequest.Request});
  const std::size_t Parts = Responder.Sent.size();
  Responder.breakConnection(Responder.Sent.begin()->first);
  Responder.advance(46);
  CHECK(Responder.count<send_attempt>() == Parts);
  REQUIRE(Responder.count<send_shard_reply>() == 1);
  CHECK(Responder.all<send_shard_reply>().front().Reply.WantsRetry);
  Responder.step(retry_granted{{1}, ShardRequest.Request.Id});
  CHECK(Responder.count<send_attempt>() > Parts);
}

TEST_CASE("a retried slice counts against the retry budgets", "[slices]") {
  slices_fixture Requester(1);
  Requester.sendRequest("/all/x");
  shard_request ShardRequest = Requester.sentShardRequests().front().Request;
  ShardRequest.IsRetry = true;
  ShardRequest.MaxAttempts = 1;
  relay_settings Settings = slices_fixture::settingsOf(2);
  Settings.Budget = {0, 0};
  relay_fixture Responder(Settings);
  for (const service_name &Each : ShardRequest.Shards)
    Responder.addService(Each.Value, 2);
  Responder.install();
  Responder.step(shard_request_arrived{{1}, ShardRequest});
  CHECK(Responder.Sent.empty());
  Responder.advance(100);
  CHECK(Responder.Sent.empty());
}

TEST_CASE("a query that other relays may have run is not answered with 503",
          "[slices]") {
  slices_fixture Relay;
  const query_id Request = Relay.sendRequest("/all/x");
  for (const send_shard_request &Each : Relay.sentShardRequests()) {
    shard_reply Empty;
    Empty.ShardRequest = Each.Request.Id;
    Empty.IsFinal = true;
    Relay.step(shard_reply_arrived{Each.To, Empty});
  }
  while (!Relay.Sent.empty())
    Relay.replyNotRun(Relay.Sent.begin()->first);
  Relay.advance(800);
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Status != 503);
}

// Guards against clients that wait for a query which cannot succeed any more.
TEST_CASE("a query that can no longer get enough shards is refused at once",
          "[relay]") {
  relay_fixture Relay;
  for (const char *Name : {"a", "b", "c", "d"})
    Relay.addService(Name, 1);
  Relay.addRoute("/all/", {"a", "b", "c", "d"}); // 3 of 4 are needed
  Relay.install();
  const query_id Request = Relay.sendRequest("/all/");
  REQUIRE(Relay.Sent.size() == 4);
  Relay.breakConnection(Relay.attemptAt("a-0"));
  CHECK(!Relay.answerTo(Request));
  Relay.breakConnection(Relay.attemptAt("b-0"));
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Status == 502);
}

TEST_CASE("a query that no relay has run is answered with 503", "[slices]") {
  slices_fixture Relay;
  // One shard is enough, so that the query waits for all slices.
  Relay.Catalog.Routes.front().Gather.MinCoverage = 0.01;
  Relay.install(12);
  const query_id Request = Relay.sendRequest("/all/x");
  for (const send_shard_request &Each : Relay.sentShardRequests()) {
    // The other relay finds each endpoint too busy until it gives up.
    slices_fixture Responder(Each.To.Value);
    Responder.step(shard_request_arrived{{1}, Each.Request});
    for (int Ms = 0; Ms < 800; Ms += 20) {
      while (!Responder.Sent.empty())
        Responder.replyNotRun(Responder.Sent.begin()->first);
      Responder.advance(20);
    }
    const shard_reply Final = Responder.all<send_shard_reply>().back().Reply;
    REQUIRE(Final.IsFinal);
    CHECK(Final.IsNotRun);
    Relay.step(shard_reply_arrived{Each.To, Final});
  }
  for (int Ms = 0; Ms < 800; Ms += 20) {
    while (!Relay.Sent.empty())
      Relay.replyNotRun(Relay.Sent.begin()->first);
    Relay.advance(20);
  }
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Status == 503);
  CHECK(Relay.answerTo(Request)->RetryAfter > millis{0});
}

TEST_CASE("a relay opens connections to the endpoints of its own slices",
          "[slices][load]") {
  slices_fixture Relay(1, 12);
  std::set<std::string> Preconnected;
  for (const preconnect_endpoint &Each : Relay.all<preconnect_endpoint>())
    CHECK(Preconnected.insert(Relay.Names.at(Each.Endpoint.Value)).second);
  // Each of the eight slices has a local endpoint per shard; with 12 relays and
  // eight slices this relay may have no slice.
  slice_planner Planner({}, {1}, "near");
  std::set<std::string> Expected;
  std::vector<relay_peer> Peers;
  for (std::uint32_t I = 1; I <= 12; ++I)
    Peers.push_back({{I}, "near"});
  Planner.setPeers(Peers);
  const gather_rule &Rule = Relay.Catalog.Routes[0].Gather;
  for (const slice &Each : Planner.slicesOf(Rule, fixed_zones({"near", "far"})))
    if (Each.Primary == vm_id{1})
      for (const std::size_t ShardIndex : Each.Shards)
        Expected.insert(Rule.Shards[ShardIndex].Value + "-0");
  CHECK(Preconnected == Expected);
  Relay.publishDirectory();
  CHECK(Relay.all<preconnect_endpoint>().size() == Expected.size());
}

TEST_CASE("shard requests wait until a starting relay has its directory",
          "[slices][load]") {
  slices_fixture Requester(1);
  Requester.sendRequest("/all/x");
  const send_shard_request ShardRequest = Requester.sentShardRequests().front();
  relay_fixture Responder(slices_fixture::settingsOf(ShardRequest.To.Value));
  Responder.Catalog = Requester.Catalog;
  Responder.Directory = Requester.Directory;
  Responder.step(shard_request_arrived{{1}, ShardRequest.Request});
  CHECK(Responder.count<send_shard_reply>() == 0);
  Responder.Now = Responder.Now + millis{20};
  Responder.install();
  REQUIRE(Responder.Sent.size() == ShardRequest.Request.Shards.size());
  CHECK(Responder.Sent.begin()->second.Remaining <=
        ShardRequest.Request.Remaining - millis{20});
  Responder.replyAll();
  CHECK(Responder.count<send_shard_reply>() == 1);
}

TEST_CASE("a cancelled shard request is removed from the start queue",
          "[slices]") {
  slices_fixture Requester(1);
  Requester.sendRequest("/all/x");
  const send_shard_request ShardRequest = Requester.sentShardRequests().front();
  relay_fixture Responder(slices_fixture::settingsOf(ShardRequest.To.Value));
  Responder.Catalog = Requester.Catalog;
  Responder.Directory = Requester.Directory;
  Responder.step(shard_request_arrived{{1}, ShardRequest.Request});
  Responder.step(shard_request_cancelled{{1}, ShardRequest.Request.Id, true});
  Responder.install();
  CHECK(Responder.Sent.empty());
}

// Guards against mixing up the requests of two runs of a relay: both may use
// the same ids.
TEST_CASE("shard requests with one id on two links are answered separately",
          "[slices]") {
  slices_fixture Requester(1);
  Requester.sendRequest("/all/x");
  const send_shard_request ShardRequest = Requester.sentShardRequests().front();
  const std::size_t Shards = ShardRequest.Request.Shards.size();
  const requester_link Former{1, {1}};
  const requester_link Latter{2, {1}};
  slices_fixture Responder(ShardRequest.To.Value);
  Responder.step(shard_request_arrived{Former, ShardRequest.Request});
  Responder.step(shard_request_arrived{Latter, ShardRequest.Request});
  REQUIRE(Responder.Sent.size() == 2 * Shards);
  Responder.step(
      shard_request_cancelled{Former, ShardRequest.Request.Id, true});
  CHECK(Responder.Sent.size() == Shards);
  Responder.replyAll();
  REQUIRE(Responder.count<send_shard_reply>() == 1);
  CHECK(Responder.all<send_shard_reply>().front().To == Latter);
}

// Guards against work for a relay that has ended, and against replies that the
// next run of that relay would get.
TEST_CASE("shard requests of a lost link are cancelled", "[slices]") {
  slices_fixture Requester(1);
  Requester.sendRequest("/all/x");
  const send_shard_request ShardRequest = Requester.sentShardRequests().front();
  const requester_link Lost{1, {1}};
  const requester_link Other{2, {9}};
  slices_fixture Responder(ShardRequest.To.Value);
  Responder.step(shard_request_arrived{Lost, ShardRequest.Request});
  Responder.step(shard_request_arrived{Other, ShardRequest.Request});
  const std::size_t Shards = ShardRequest.Request.Shards.size();
  Responder.step(requester_lost{Lost});
  REQUIRE(Responder.count<requester_log_event>() == 1);
  CHECK(Responder.all<requester_log_event>().front().Abandoned == 1);
  CHECK(Responder.count<cancel_attempt>() == Shards);
  CHECK(Responder.Sent.size() == Shards);
  Responder.replyAll();
  for (const send_shard_reply &Each : Responder.all<send_shard_reply>())
    CHECK(Each.To == Other);
  // Nothing is in progress on the link any more.
  Responder.step(requester_lost{Lost});
  CHECK(Responder.count<requester_log_event>() == 1);
}

// Guards against work that a starting relay would begin for a relay that has
// ended.
TEST_CASE("shard requests of a lost link are removed from the start queue",
          "[slices]") {
  slices_fixture Requester(1);
  Requester.sendRequest("/all/x");
  const send_shard_request ShardRequest = Requester.sentShardRequests().front();
  relay_fixture Responder(slices_fixture::settingsOf(ShardRequest.To.Value));
  Responder.Catalog = Requester.Catalog;
  Responder.Directory = Requester.Directory;
  Responder.step(shard_request_arrived{{{1}, 1}, ShardRequest.Request});
  Responder.step(requester_lost{{{1}, 1}});
  CHECK(Responder.count<requester_log_event>() == 1);
  Responder.install();
  CHECK(Responder.Sent.empty());
}

// Guards against a late reply of an older build, which sends it on any link to
// the VM of the requester: a run of a relay uses no id of an earlier run.
TEST_CASE("a reply to an earlier run of the relay is ignored", "[slices]") {
  slices_fixture Before(1);
  slices_fixture After(1, 12, 8);
  const auto SentBefore = [&] {
    Before.sendRequest("/all/x");
    return Before.sentShardRequests();
  }();
  const query_id Request = After.sendRequest("/all/x");
  for (const send_shard_request &Each : SentBefore)
    After.step(shard_reply_arrived{Each.To, After.fullReply(Each)});
  CHECK(After.count<ignored_reply_event>() == SentBefore.size());
  After.replyAll();
  CHECK(!After.answerTo(Request));
  for (const send_shard_request &Each : After.sentShardRequests())
    After.step(shard_reply_arrived{Each.To, After.fullReply(Each)});
  REQUIRE(After.answerTo(Request));
  CHECK(After.answerTo(Request)->Status == 200);
}

// Guards against parts from a relay that was not asked, such as a new one at
// the address of another.
TEST_CASE("a shard reply counts only from the relay that was asked",
          "[slices]") {
  slices_fixture Relay;
  const query_id Request = Relay.sendRequest("/all/x");
  const auto ShardRequests = Relay.sentShardRequests();
  for (const send_shard_request &Each : ShardRequests)
    Relay.step(
        shard_reply_arrived{{Each.To.Value + 100}, Relay.fullReply(Each)});
  const auto Ignored = Relay.all<ignored_reply_event>();
  REQUIRE(Ignored.size() == ShardRequests.size());
  CHECK(Ignored.front().Reason == ignored_reply::other_relay);
  Relay.replyAll();
  CHECK(!Relay.answerTo(Request));
  for (const send_shard_request &Each : ShardRequests)
    Relay.step(shard_reply_arrived{Each.To, Relay.fullReply(Each)});
  CHECK(Relay.answerTo(Request));
}

namespace {

/// A relay of the zone "near", one of 24 in two zones. Shards whose name ends
/// in 0, 4 or 8 have endpoints in the other zone only.
struct two_zones_fixture : slices_fixture {
  explicit two_zones_fixture(std::uint32_t Self) : slices_fixture(Self, 24) {
    std::vector<relay_peer> Peers;
    for (std::uint32_t I = 1; I <= 24; ++I)
      Peers.push_back({{I}, I <= 12 ? "near" : "far"});
    step(peers_changed{Peers});
    for (listed_endpoint &Each : Directory.Endpoints)
      if (Each.Service.Value.back() % 4 == 0)
        Each.Zone = "far";
    publishDirectory();
  }
};

} // namespace

// Guards against shards that are lost with the relays of their zone, and
// against repeats by relays that have no share of the retry budget.
TEST_CASE("slices of an unresponsive zone are queried by relays of the own "
          "zone that are planned for it",
          "[slices][load]") {
  two_zones_fixture Relay(1);
  const query_id Request = Relay.sendRequest("/all/x");
  std::set<std::string> Lost;
  for (const send_shard_request &Each : Relay.sentShardRequests()) {
    if (Each.To.Value > 12)
      for (const service_name &Shard : Each.Request.Shards)
        Lost.insert(Shard.Value);
    else
      Relay.step(shard_reply_arrived{Each.To, Relay.fullReply(Each)});
  }
  REQUIRE(Lost.size() > 10);
  Relay.replyAll();
  const std::size_t Before = Relay.sentShardRequests().size();
  Relay.advance(51);
  const auto ShardRequests = Relay.sentShardRequests();
  std::size_t Repeated = 0;
  for (std::size_t I = Before; I < ShardRequests.size(); ++I) {
    const send_shard_request &Each = ShardRequests[I];
    REQUIRE(Each.To.Value <= 12);
    CHECK(Each.Request.IsRetry);
    two_zones_fixture Other(Each.To.Value);
    Other.step(shard_request_arrived{{1}, Each.Request});
    CHECK(Other.Sent.size() == Each.Request.Shards.size());
    Repeated += Other.Sent.size();
    Relay.step(shard_reply_arrived{Each.To, Relay.fullReply(Each)});
  }
  CHECK(Repeated + Relay.Sent.size() == Lost.size());
  Relay.replyAll();
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Missing == 0);
}

namespace {

/// `Counts[I]` relays in zone "z0", "z1" and so on.
std::vector<relay_peer> relaysPerZone(const std::vector<std::size_t> &Counts) {
  std::vector<relay_peer> Out;
  std::uint32_t Vm = 0;
  for (std::size_t Zone = 0; Zone < Counts.size(); ++Zone)
    for (std::size_t I = 0; I < Counts[Zone]; ++I)
      Out.push_back({{++Vm}, "z" + std::to_string(Zone)});
  return Out;
}

/// Each shard has endpoints in three of five zones.
class three_of_five_zones final : public zone_lookup {
public:
  std::vector<std::string> zonesOf(const service_name &Service) const override {
    const int Number = std::stoi(Service.Value.substr(1));
    std::vector<std::string> Out;
    for (int I = 0; I < 3; ++I)
      Out.push_back("z" + std::to_string((Number + I) % 5));
    return Out;
  }
};

gather_rule shards(std::size_t Count) {
  gather_rule Rule;
  for (std::size_t I = 0; I < Count; ++I)
    Rule.Shards.push_back({"s" + std::to_string(I)});
  return Rule;
}

/// Shards that each relay queries for one query that arrives in `Zone`.
std::map<std::uint32_t, std::size_t>
shardsPerRelay(const std::vector<relay_peer> &Peers, const std::string &Zone,
               std::size_t ShardCount) {
  std::uint32_t Self = 0;
  for (const relay_peer &Each : Peers)
    if (Each.Zone == Zone)
      Self = Each.Vm.Value;
  slice_planner Planner({}, {Self}, Zone);
  Planner.setPeers(Peers);
  std::map<std::uint32_t, std::size_t> Out;
  std::set<std::size_t> Covered;
  const three_of_five_zones Lookup;
  for (const slice &Each : Planner.slicesOf(shards(ShardCount), Lookup)) {
    Out[Each.Primary.Value] += Each.Shards.size();
    for (const std::size_t Shard : Each.Shards)
      CHECK(Covered.insert(Shard).second);
  }
  CHECK(Covered.size() == ShardCount);
  return Out;
}

std::size_t mostShards(const std::map<std::uint32_t, std::size_t> &PerRelay) {
  std::size_t Most = 0;
  for (const auto &[Relay, Count] : PerRelay)
    Most = std::max(Most, Count);
  return Most;
}

} // namespace

TEST_CASE("a zone that loses its relays leaves the slices of other zones small",
          "[slices][load]") {
  // A query over 180 shards has 13 slices of 14 shards.
  for (const std::size_t Left : {59U, 12U, 3U, 1U}) {
    const auto Peers = relaysPerZone({59, Left, 59, 59, 59});
    CHECK(mostShards(shardsPerRelay(Peers, "z0", 180)) <= 28);
  }
  // A zone without any relay.
  const auto Peers = relaysPerZone({59, 0, 59, 59, 59});
  CHECK(mostShards(shardsPerRelay(Peers, "z0", 180)) <= 28);
}

// Guards against slices for relays that cannot run them.
TEST_CASE("relays that reach no endpoint get no slices", "[slices]") {
  for (const bool IsWholeZone : {false, true}) {
    auto Peers = relaysPerZone({10, 10, 10, 10, 10});
    std::set<std::uint32_t> WithoutReach;
    for (relay_peer &Each : Peers)
      if (IsWholeZone ? Each.Zone == "z0" : Each.Vm.Value % 10 != 1) {
        Each.HasReach = false;
        WithoutReach.insert(Each.Vm.Value);
      }
    // The relay that received the query is one of those without reach.
    slice_planner Planner({}, {3}, "z0");
    Planner.setPeers(Peers);
    Planner.setReach(false);
    std::set<std::size_t> Covered;
    const three_of_five_zones Lookup;
    for (const slice &Each : Planner.slicesOf(shards(180), Lookup)) {
      CHECK(WithoutReach.count(Each.Primary.Value) == 0);
      CHECK(WithoutReach.count(Each.Backup.Value) == 0);
      for (const std::size_t Shard : Each.Shards)
        CHECK(Covered.insert(Shard).second);
    }
    CHECK(Covered.size() == 180);
    // Its reach returns before the others have been told.
    Planner.setReach(true);
    CHECK(Planner.slicesOf(shards(180), Lookup).size() > 1);
  }
}

// Guards against a request that leaves the region that its route is at home in.
TEST_CASE("relays of another region get no slices", "[slices]") {
  slice_settings Settings;
  Settings.ForeignZones = {"b"};
  slice_planner Planner(Settings, {3}, "a");
  Planner.setPeers(relaysInThreeZones());
  const fixed_zones OneZone({"b"});
  for (const slice &Each : Planner.slicesOf(manyShards(), OneZone))
    CHECK(zoneOf(Each.Primary) != "b");
  CHECK(Planner.others().size() == 17);
  for (const relay_peer &Each : Planner.others())
    CHECK(Each.Zone != "b");
}

// Guards against a shard that no relay queries since the relays of its only
// zone reach no endpoint.
TEST_CASE("shards whose zones have no relay with reach are queried from other "
          "zones",
          "[slices]") {
  auto Peers = relaysInThreeZones();
  for (relay_peer &Each : Peers)
    Each.HasReach = Each.Zone != "a";
  const fixed_zones OneZone({"a"});
  for (const std::uint32_t Self : {1U, 3U}) { // in zones b and a
    slice_planner Planner({}, {Self}, Self == 3 ? "a" : "b");
    Planner.setPeers(Peers);
    Planner.setReach(Self != 3);
    std::size_t Count = 0;
    for (const slice &Each : Planner.slicesOf(manyShards(), OneZone)) {
      CHECK(zoneOf(Each.Primary) != "a");
      Count += Each.Shards.size();
    }
    CHECK(Count == ShardCount);
  }
}

TEST_CASE("a zone with few relays leaves most slices to relays of other zones",
          "[slices][load]") {
  for (const std::size_t Left : {3U, 1U}) {
    const auto Peers = relaysPerZone({59, Left, 59, 59, 59});
    CHECK(mostShards(shardsPerRelay(Peers, "z1", 180)) <= 28);
  }
}

TEST_CASE("many shards over few relays are spread over all of them",
          "[slices][load]") {
  const auto Peers = relaysPerZone({4, 4, 3, 3, 3});
  for (const char *Zone : {"z0", "z2", "z4"}) {
    const auto PerRelay = shardsPerRelay(Peers, Zone, 180);
    CHECK(PerRelay.size() >= 11);
    CHECK(mostShards(PerRelay) <= 30);
  }
}

TEST_CASE("a single zone with few relays queries all shards in even slices",
          "[slices][load]") {
  const auto Peers = relaysPerZone({3});
  const auto PerRelay = shardsPerRelay(Peers, "z0", 180);
  CHECK(PerRelay.size() == 3);
  CHECK(mostShards(PerRelay) <= 75);
}

namespace {

/// Relay 1 of zone "z0" plans a query over 20 shards, each with endpoints in
/// three of five zones with three relays each.
std::vector<slice> slicesOfTwentyShards(const std::vector<relay_peer> &Peers) {
  slice_planner Planner({}, {1}, "z0");
  Planner.setPeers(Peers);
  CHECK(!Planner.isSliced(shards(20)));
  return Planner.slicesOf(shards(20), three_of_five_zones());
}

} // namespace

TEST_CASE("of a query over some shards only those of other zones are requested "
          "from relays",
          "[slices][load]") {
  const three_of_five_zones Lookup;
  std::set<std::size_t> Covered;
  for (const slice &Each : slicesOfTwentyShards(relaysPerZone({3, 3, 3, 3, 3})))
    for (const std::size_t Shard : Each.Shards) {
      CHECK(Covered.insert(Shard).second);
      const auto Zones = Lookup.zonesOf(shards(20).Shards[Shard]);
      const bool IsLocal = std::count(Zones.begin(), Zones.end(), "z0") > 0;
      CHECK(IsLocal == (Each.Primary == vm_id{1}));
      CHECK(IsLocal != Each.IsCrossZone);
    }
  CHECK(Covered.size() == 20);
}

TEST_CASE("a query over some shards is not sliced within a single zone",
          "[slices]") {
  CHECK(slicesOfTwentyShards(relaysPerZone({7})).empty());
}

TEST_CASE("shards of a zone whose relays do not reply are queried directly",
          "[slices][load]") {
  relay_settings Settings = relay_fixture::settings();
  Settings.Self = {1};
  relay_fixture Relay(Settings);
  std::vector<std::string> Names;
  for (int I = 0; I < 20; ++I) {
    Names.push_back("s" + std::to_string(100 + I));
    Relay.addService(Names.back(), 2);
  }
  // The shards s100 to s105 have endpoints in the far zone only.
  for (listed_endpoint &Each : Relay.Directory.Endpoints)
    if (Each.Service.Value < "s106")
      Each.Zone = "far";
  Relay.addRoute("/all/", Names).Gather.MinCoverage = 0.9;
  Relay.step(peers_changed{{{{1}, "near"}, {{2}, "far"}, {{3}, "far"}}});
  Relay.install(3);
  const query_id Request = Relay.sendRequest("/all/x");
  CHECK(Relay.Sent.size() == 14);
  CHECK(Relay.count<send_shard_request>() > 0);
  Relay.replyAll();
  CHECK(Relay.answerTo(Request) == nullptr);
  Relay.advance(51); // half of the objective
  CHECK(Relay.Sent.size() == 6);
  Relay.replyAll();
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Missing == 0);
}

TEST_CASE("a part that would be late is sent once its requester has not "
          "cancelled it, as after a restart of all relays",
          "[slices][load]") {
  // Another relay asks for one shard; both of its endpoints are as busy as when
  // all clients return together.
  relay_settings Settings = relay_fixture::settings();
  Settings.Self = {2};
  relay_fixture Relay(Settings);
  Relay.addService("a", 2, 1000);
  Relay.addRoute("/all/", {"a"}).Gather.MinCoverage = 1;
  Relay.install();
  const auto Ask = [&](std::uint64_t Id) {
    shard_request ShardRequest;
    ShardRequest.Id = {Id};
    ShardRequest.Content = std::make_shared<opaque_request>();
    ShardRequest.Shards = {{"a"}};
    ShardRequest.RouteKey = "k";
    ShardRequest.TopRecords = 10;
    ShardRequest.MaxAttempts = 2;
    ShardRequest.Objective = {100};
    ShardRequest.SoftTimeout = {40};
    ShardRequest.Remaining = {800};
    Relay.step(shard_request_arrived{{1}, ShardRequest});
  };
  const auto FinalReplyTo = [&](std::uint64_t Id) {
    const send_shard_reply *Out = nullptr;
    for (const relay_action &Each : Relay.Actions)
      if (const auto *Sent = std::get_if<send_shard_reply>(&Each))
        if (Sent->Reply.ShardRequest == shard_request_id{Id} &&
            Sent->Reply.IsFinal)
          Out = Sent;
    return Out;
  };
  // Each endpoint takes two of the first four at once; the fifth waits for one.
  for (std::uint64_t Id = 1; Id <= 5; ++Id)
    Ask(Id);
  REQUIRE(Relay.Sent.size() == 4);
  Relay.advance(30);
  // One reply frees an endpoint; at the latency seen, the next one would be
  // late.
  Relay.reply(Relay.Sent.begin()->first);
  CHECK(FinalReplyTo(5) == nullptr); // failed at once before
  const std::size_t Before = Relay.Sent.size();
  Relay.advance(21); // 51 ms: a cancellation would have arrived
  CHECK(Relay.Sent.size() >= Before);
  Relay.replyAll();
  REQUIRE(FinalReplyTo(5));
  CHECK(FinalReplyTo(5)->Reply.Covered == std::vector<std::uint32_t>{0});
}
