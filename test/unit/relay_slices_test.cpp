#include "relay_fixture.h"

#include <set>

using namespace bulrush;
using namespace bulrush::test;

namespace {

constexpr std::size_t Shards = 64;

/// Two relays or more of one zone with the same catalog; questions between them
/// are carried by hand.
struct slices_fixture : relay_fixture {
  static relay_settings settingsOf(std::uint32_t Self) {
    relay_settings Out = relay_fixture::settings();
    Out.Self = {Self};
    return Out;
  }

  explicit slices_fixture(std::uint32_t Self = 1, std::uint32_t Peers = 12)
      : relay_fixture(settingsOf(Self)) {
    std::vector<std::string> Names;
    for (std::size_t I = 0; I < Shards; ++I) {
      Names.push_back("s" + std::to_string(100 + I));
      addService(Names.back(), 2);
    }
    addRoute("/all/", Names).Gather.LeastShare = 0.95;
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

  shard_reply wholeReply(const send_shard_request &ShardRequest) const {
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

TEST_CASE("a query over many shards is cut into slices that cover it once",
          "[slices]") {
  slices_fixture Relay;
  Relay.ask("/all/x");
  std::multiset<std::string> Asked;
  std::set<std::uint32_t> Peers;
  for (const send_shard_request &Each : Relay.sentShardRequests()) {
    Peers.insert(Each.To.Value);
    for (const service_name &Shard : Each.Request.Shards)
      Asked.insert(Shard.Value);
  }
  CHECK(Peers.size() == Relay.sentShardRequests().size());
  CHECK(Relay.sentShardRequests().size() >= 7);
  CHECK(Asked.size() + Relay.Sent.size() == Shards);
  CHECK(std::set<std::string>(Asked.begin(), Asked.end()).size() ==
        Asked.size());
}

namespace {

/// Each shard has an endpoint in each of these zones.
class places final : public endpoint_places {
public:
  explicit places(std::vector<std::string> Zones) : Zones(std::move(Zones)) {}
  std::vector<std::string> zonesOf(const service_name &) const override {
    return Zones;
  }

private:
  std::vector<std::string> Zones;
};

/// Nine relays in each of three zones.
std::vector<relay_peer> threeZones() {
  std::vector<relay_peer> Out;
  for (std::uint32_t I = 1; I <= 27; ++I)
    Out.push_back({{I}, std::string(1, static_cast<char>('a' + I % 3))});
  return Out;
}

gather_rule manyShards() {
  gather_rule Rule;
  for (std::size_t I = 0; I < Shards; ++I)
    Rule.Shards.push_back({"s" + std::to_string(I)});
  return Rule;
}

/// The slices as a relay of this zone cuts them.
std::vector<slice> slicesFrom(const std::string &Zone,
                              const endpoint_places &Places) {
  std::uint32_t Self = 0;
  for (const relay_peer &Each : threeZones())
    if (Each.Zone == Zone)
      Self = Each.Vm.Value;
  slice_map Map({}, {Self}, Zone);
  Map.setPeers(threeZones());
  return Map.slicesOf(manyShards(), Places);
}

std::string zoneOf(vm_id Vm) {
  for (const relay_peer &Each : threeZones())
    if (Each.Vm == Vm)
      return Each.Zone;
  return {};
}

} // namespace

TEST_CASE("all relays of a zone cut alike", "[slices]") {
  slice_map A({}, {3}, "a");
  slice_map B({}, {6}, "a");
  A.setPeers(threeZones());
  B.setPeers(threeZones());
  const places Everywhere({"a", "b", "c"});
  const gather_rule Rule = manyShards();
  REQUIRE(A.slicesOf(Rule, Everywhere).size() ==
          B.slicesOf(Rule, Everywhere).size());
  for (std::size_t I = 0; I < A.slicesOf(Rule, Everywhere).size(); ++I) {
    const slice &Each = A.slicesOf(Rule, Everywhere)[I];
    CHECK(Each.First == B.slicesOf(Rule, Everywhere)[I].First);
    CHECK(Each.First != Each.Second);
    CHECK(zoneOf(Each.First) == "a");
    CHECK(!Each.IsFar);
  }
}

TEST_CASE("a zone without a copy of the index asks relays of those that hold "
          "one, in turn",
          "[slices][load]") {
  const places Two({"a", "b"});
  const std::vector<slice> Far = slicesFrom("c", Two);
  REQUIRE(Far.size() == 8);
  std::map<std::string, std::size_t> Asked;
  for (const slice &Each : Far) {
    CHECK(Each.IsFar);
    CHECK(zoneOf(Each.Second) == zoneOf(Each.First));
    ++Asked[zoneOf(Each.First)];
  }
  CHECK(Asked == std::map<std::string, std::size_t>{{"a", 4}, {"b", 4}});
  // An endpoint has connections from the same relays, wherever a query came.
  for (std::size_t I = 0; I < Far.size(); ++I) {
    const slice Own = slicesFrom(zoneOf(Far[I].First), Two)[I];
    CHECK(Own.First == Far[I].First);
    CHECK(Own.Second == Far[I].Second);
    CHECK(Own.Shards == Far[I].Shards);
  }
}

TEST_CASE("shards without an endpoint in the own zone are asked in others, all "
          "of them in few slices",
          "[slices][load]") {
  /// Each shard has endpoints in two of three zones.
  class two_of_three final : public endpoint_places {
  public:
    std::vector<std::string>
    zonesOf(const service_name &Service) const override {
      const int Without = std::stoi(Service.Value.substr(1)) % 3;
      std::vector<std::string> Out;
      for (int I = 0; I < 3; ++I)
        if (I != Without)
          Out.push_back(std::string(1, static_cast<char>('a' + I)));
      return Out;
    }
  };
  const two_of_three Places;
  const gather_rule Rule = manyShards();
  for (const char *Zone : {"a", "b", "c"}) {
    const std::vector<slice> Slices = slicesFrom(Zone, Places);
    std::set<std::size_t> Covered;
    std::size_t Far = 0;
    for (const slice &Each : Slices) {
      Far += Each.IsFar ? 1 : 0;
      for (const std::size_t Shard : Each.Shards) {
        CHECK(Covered.insert(Shard).second);
        const auto Zones = Places.zonesOf(Rule.Shards[Shard]);
        CHECK(std::count(Zones.begin(), Zones.end(), zoneOf(Each.First)) == 1);
      }
    }
    CHECK(Covered.size() == Shards);
    // 21 or 22 shards are missing; a slice holds 8.
    CHECK(Far >= 3);
    CHECK(Far <= 6);
  }
}

TEST_CASE("a zone that is out holds no copy", "[slices]") {
  slices_fixture Relay(1, 12);
  std::vector<relay_peer> Peers;
  for (std::uint32_t I = 1; I <= 12; ++I)
    Peers.push_back({{I}, I <= 6 ? "near" : "far"});
  Relay.step(peers_changed{Peers});
  const auto CrossZoneRequests = [&] {
    std::size_t Far = 0;
    for (const send_shard_request &Each : Relay.sentShardRequests())
      Far += Each.To.Value > 6 ? 1 : 0;
    return Far;
  };
  Relay.ask("/all/x");
  CHECK(CrossZoneRequests() == 0);
  Relay.step(zones_out_changed{{"near"}});
  Relay.Actions.clear();
  Relay.ask("/all/x");
  CHECK(CrossZoneRequests() == Relay.sentShardRequests().size());
  CHECK(CrossZoneRequests() > 0);
}

TEST_CASE("a query over few shards is asked by the relay that took it",
          "[slices]") {
  relay_fixture Relay(slices_fixture::settingsOf(1));
  Relay.addService("a", 2);
  Relay.addRoute("/all/", {"a"});
  Relay.step(peers_changed{{{{1}, "near"}, {{2}, "near"}}});
  Relay.install();
  Relay.ask("/all/x");
  CHECK(Relay.count<send_shard_request>() == 0);
  CHECK(Relay.Sent.size() == 1);
}

TEST_CASE("the answer holds the parts of all slices", "[slices]") {
  slices_fixture Relay;
  const query_id Request = Relay.ask("/all/x");
  for (const send_shard_request &Each : Relay.sentShardRequests())
    Relay.step(shard_reply_arrived{Each.To, Relay.wholeReply(Each)});
  Relay.replyAll();
  const send_answer *Answer = Relay.answerTo(Request);
  REQUIRE(Answer);
  CHECK(Answer->Missing == 0);
  CHECK(Answer->Signatures.size() == Shards);
  CHECK(Answer->Body.size() == 10 * 16);
}

TEST_CASE("a relay that is lost is replaced, and sends each part once only",
          "[slices]") {
  slices_fixture Relay;
  Relay.ask("/all/x");
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

TEST_CASE("a relay that may send parts twice is not replaced", "[slices]") {
  slices_fixture Relay;
  Relay.ask("/all/x");
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

TEST_CASE("a relay that says nothing is replaced and passed over for a while",
          "[slices]") {
  slices_fixture Relay;
  Relay.ask("/all/x");
  const std::vector<send_shard_request> First = Relay.sentShardRequests();
  for (std::size_t I = 1; I < First.size(); ++I)
    Relay.step(shard_reply_arrived{First[I].To, Relay.wholeReply(First[I])});
  Relay.wait(51);
  REQUIRE(Relay.sentShardRequests().size() == First.size() + 1);
  CHECK(Relay.sentShardRequests().back().To != First[0].To);
  Relay.ask("/all/x");
  for (std::size_t I = First.size() + 1; I < Relay.sentShardRequests().size();
       ++I)
    CHECK(Relay.sentShardRequests()[I].To != First[0].To);
}

namespace {

/// A query whose first question is not answered in time, and was put to a
/// second relay.
struct silent_fixture : slices_fixture {
  silent_fixture() {
    Request = ask("/all/x");
    const std::vector<send_shard_request> All = sentShardRequests();
    Silent = All.front();
    for (std::size_t I = 1; I < All.size(); ++I)
      step(shard_reply_arrived{All[I].To, wholeReply(All[I])});
    replyAll();
    wait(51);
    REQUIRE(sentShardRequests().size() == All.size() + 1);
    Second = sentShardRequests().back();
  }

  shard_reply nothingFor(const send_shard_request &ShardRequest) const {
    shard_reply Reply;
    Reply.ShardRequest = ShardRequest.Request.Id;
    Reply.IsFinal = true;
    return Reply;
  }

  query_id Request;
  send_shard_request Silent;
  send_shard_request Second;
};

} // namespace

TEST_CASE("a late reply of a relay counts where the second one had nothing",
          "[slices][load]") {
  silent_fixture Relay;
  Relay.step(
      shard_reply_arrived{Relay.Second.To, Relay.nothingFor(Relay.Second)});
  REQUIRE(Relay.answerTo(Relay.Request) == nullptr);
  Relay.wait(100);
  Relay.step(
      shard_reply_arrived{Relay.Silent.To, Relay.wholeReply(Relay.Silent)});
  const send_answer *Answer = Relay.answerTo(Relay.Request);
  REQUIRE(Answer);
  CHECK(Answer->Status == 200);
  CHECK(Answer->Signatures.size() == Shards);
}

TEST_CASE("parts that two relays bring are counted once", "[slices]") {
  silent_fixture Relay;
  shard_reply Half = Relay.wholeReply(Relay.Second);
  Half.IsFinal = false;
  Half.Covered.resize(1);
  Half.Signatures.resize(1);
  Relay.step(shard_reply_arrived{Relay.Second.To, Half});
  Relay.step(
      shard_reply_arrived{Relay.Silent.To, Relay.wholeReply(Relay.Silent)});
  shard_reply Rest = Relay.wholeReply(Relay.Second);
  Rest.Covered.erase(Rest.Covered.begin());
  Rest.Signatures.erase(Rest.Signatures.begin());
  Relay.step(shard_reply_arrived{Relay.Second.To, Rest});
  const send_answer *Answer = Relay.answerTo(Relay.Request);
  REQUIRE(Answer);
  CHECK(Answer->Missing == 0);
  const std::set<std::string> Names(Answer->Signatures.begin(),
                                    Answer->Signatures.end());
  CHECK(Names.size() == Answer->Signatures.size());
  CHECK(Answer->Signatures.size() + Answer->Missing == Shards);
}

TEST_CASE("no third relay is asked for a part", "[slices]") {
  silent_fixture Relay;
  const std::size_t ShardRequests = Relay.sentShardRequests().size();
  const std::size_t Sent = Relay.count<send_attempt>();
  Relay.step(peer_lost{Relay.Second.To});
  Relay.step(peer_lost{Relay.Silent.To});
  CHECK(Relay.sentShardRequests().size() == ShardRequests);
  CHECK(Relay.count<send_attempt>() == Sent);
  // 56 of 64 are there, 61 are wanted.
  REQUIRE(Relay.answerTo(Relay.Request));
  CHECK(Relay.answerTo(Relay.Request)->Status == 502);
}

TEST_CASE("a relay that stays silent is passed over for longer each time",
          "[slices][load]") {
  slices_fixture Relay;
  std::map<std::uint32_t, std::size_t> Asked;
  std::uint32_t Slow = 0;
  // One relay answers too late for 6 s; a query each 200 ms.
  for (int I = 0; I < 30; ++I) {
    const std::size_t Before = Relay.sentShardRequests().size();
    Relay.ask("/all/x");
    const std::vector<send_shard_request> All = Relay.sentShardRequests();
    if (Slow == 0)
      Slow = All.front().To.Value;
    for (std::size_t J = Before; J < All.size(); ++J) {
      ++Asked[All[J].To.Value];
      if (All[J].To.Value != Slow)
        Relay.step(shard_reply_arrived{All[J].To, Relay.wholeReply(All[J])});
    }
    Relay.replyAll();
    Relay.wait(60);
    for (std::size_t J = All.size(); J < Relay.sentShardRequests().size(); ++J)
      Relay.step(
          shard_reply_arrived{Relay.sentShardRequests()[J].To,
                              Relay.wholeReply(Relay.sentShardRequests()[J])});
    Relay.wait(140);
  }
  CHECK(Asked[Slow] <= 3); // at once, after 1 s, after 2 s more, then after 4 s
}

TEST_CASE("a client that leaves ends the questions to other relays",
          "[slices]") {
  slices_fixture Relay;
  const query_id Request = Relay.ask("/all/x");
  Relay.step(client_disconnected{Request});
  CHECK(Relay.count<cancel_shard_request>() ==
        Relay.count<send_shard_request>());
}

TEST_CASE("shards that another relay asks for are merged into one reply",
          "[slices]") {
  slices_fixture Requester(1);
  Requester.ask("/all/x");
  const send_shard_request ShardRequest = Requester.sentShardRequests().front();
  slices_fixture Asked(ShardRequest.To.Value);
  Asked.step(shard_request_arrived{{1}, ShardRequest.Request});
  REQUIRE(Asked.Sent.size() == ShardRequest.Request.Shards.size());
  Asked.replyAll();
  REQUIRE(Asked.count<send_shard_reply>() == 1);
  const shard_reply Reply = Asked.all<send_shard_reply>().front().Reply;
  CHECK(Reply.IsFinal);
  CHECK(Reply.Signatures.size() == ShardRequest.Request.Shards.size());
  CHECK(Reply.Covered.size() == ShardRequest.Request.Shards.size());
}

TEST_CASE("no part is sent a second time before the asker grants it",
          "[slices]") {
  slices_fixture Requester(1);
  Requester.ask("/all/x");
  const send_shard_request ShardRequest = Requester.sentShardRequests().front();
  slices_fixture Asked(ShardRequest.To.Value);
  Asked.step(shard_request_arrived{{1}, ShardRequest.Request});
  const std::size_t Parts = Asked.Sent.size();
  Asked.lose(Asked.Sent.begin()->first);
  Asked.wait(46);
  CHECK(Asked.count<send_attempt>() == Parts);
  REQUIRE(Asked.count<send_shard_reply>() == 1);
  CHECK(Asked.all<send_shard_reply>().front().Reply.WantsRetry);
  Asked.step(retry_granted{{1}, ShardRequest.Request.Id});
  CHECK(Asked.count<send_attempt>() > Parts);
}

TEST_CASE("a second question sends within the budgets only", "[slices]") {
  slices_fixture Requester(1);
  Requester.ask("/all/x");
  shard_request ShardRequest = Requester.sentShardRequests().front().Request;
  ShardRequest.IsRetry = true;
  ShardRequest.MaxAttempts = 1;
  relay_settings Settings = slices_fixture::settingsOf(2);
  Settings.Budget = {0, 0};
  relay_fixture Asked(Settings);
  for (const service_name &Each : ShardRequest.Shards)
    Asked.addService(Each.Value, 2);
  Asked.install();
  Asked.step(shard_request_arrived{{1}, ShardRequest});
  CHECK(Asked.Sent.empty());
  Asked.wait(100);
  CHECK(Asked.Sent.empty());
}

TEST_CASE(
    "a query that other relays were asked for is not said not to have run",
    "[slices]") {
  slices_fixture Relay;
  const query_id Request = Relay.ask("/all/x");
  for (const send_shard_request &Each : Relay.sentShardRequests()) {
    shard_reply Nothing;
    Nothing.ShardRequest = Each.Request.Id;
    Nothing.IsFinal = true;
    Relay.step(shard_reply_arrived{Each.To, Nothing});
  }
  while (!Relay.Sent.empty())
    Relay.refuse(Relay.Sent.begin()->first);
  Relay.wait(800);
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Status != 503);
}

TEST_CASE("a relay opens connections to what it will be asked for",
          "[slices][load]") {
  slices_fixture Relay(1, 12);
  std::set<std::string> Warmed;
  for (const preconnect_endpoint &Each : Relay.all<preconnect_endpoint>())
    CHECK(Warmed.insert(Relay.Names.at(Each.Endpoint.Value)).second);
  // One slice of eight, an endpoint of each shard is in the own zone; with 12
  // relays and eight slices this one may have none.
  slice_map Map({}, {1}, "near");
  std::set<std::string> Expected;
  std::vector<relay_peer> Peers;
  for (std::uint32_t I = 1; I <= 12; ++I)
    Peers.push_back({{I}, "near"});
  Map.setPeers(Peers);
  const gather_rule &Rule = Relay.Catalog.Routes[0].Gather;
  for (const slice &Each : Map.slicesOf(Rule, places({"near", "far"})))
    if (Each.First == vm_id{1})
      for (const std::size_t Place : Each.Shards)
        Expected.insert(Rule.Shards[Place].Value + "-0");
  CHECK(Warmed == Expected);
  Relay.list();
  CHECK(Relay.all<preconnect_endpoint>().size() == Expected.size());
}

TEST_CASE("what another relay asks of one that is starting waits for its "
          "directory",
          "[slices][load]") {
  slices_fixture Requester(1);
  Requester.ask("/all/x");
  const send_shard_request ShardRequest = Requester.sentShardRequests().front();
  relay_fixture Asked(slices_fixture::settingsOf(ShardRequest.To.Value));
  Asked.Catalog = Requester.Catalog;
  Asked.Directory = Requester.Directory;
  Asked.step(shard_request_arrived{{1}, ShardRequest.Request});
  CHECK(Asked.count<send_shard_reply>() == 0);
  Asked.Now = Asked.Now + millis{20};
  Asked.install();
  REQUIRE(Asked.Sent.size() == ShardRequest.Request.Shards.size());
  CHECK(Asked.Sent.begin()->second.Remaining <=
        ShardRequest.Request.Remaining - millis{20});
  Asked.replyAll();
  CHECK(Asked.count<send_shard_reply>() == 1);
}

TEST_CASE("a question that is withdrawn does not wait for a directory",
          "[slices]") {
  slices_fixture Requester(1);
  Requester.ask("/all/x");
  const send_shard_request ShardRequest = Requester.sentShardRequests().front();
  relay_fixture Asked(slices_fixture::settingsOf(ShardRequest.To.Value));
  Asked.Catalog = Requester.Catalog;
  Asked.Directory = Requester.Directory;
  Asked.step(shard_request_arrived{{1}, ShardRequest.Request});
  Asked.step(shard_request_cancelled{{1}, ShardRequest.Request.Id, true});
  Asked.install();
  CHECK(Asked.Sent.empty());
}

TEST_CASE("a slice in a zone that falls silent is asked by this relay itself",
          "[slices][load]") {
  slices_fixture Relay(1, 24);
  std::vector<relay_peer> Peers;
  for (std::uint32_t I = 1; I <= 24; ++I)
    Peers.push_back({{I}, I <= 12 ? "near" : "far"});
  Relay.step(peers_changed{Peers});
  // One shard in four has its endpoints in the other zone only.
  for (listed_endpoint &Each : Relay.Directory.Endpoints)
    if (Each.Service.Value.back() % 4 == 0)
      Each.Zone = "far";
  Relay.list();
  const query_id Request = Relay.ask("/all/x");
  std::set<std::string> Lost;
  for (const send_shard_request &Each : Relay.sentShardRequests()) {
    if (Each.To.Value > 12)
      for (const service_name &Shard : Each.Request.Shards)
        Lost.insert(Shard.Value);
    else
      Relay.step(shard_reply_arrived{Each.To, Relay.wholeReply(Each)});
  }
  REQUIRE(Lost.size() > 10);
  Relay.replyAll();
  const std::size_t ShardRequests = Relay.sentShardRequests().size();
  Relay.wait(51);
  CHECK(Relay.sentShardRequests().size() == ShardRequests);
  CHECK(Relay.Sent.size() == Lost.size());
  Relay.replyAll();
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Missing == 0);
}
