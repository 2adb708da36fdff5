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
    addRoute("/all/", Names).Gather.MinCoverage = 0.95;
    std::vector<relay_peer> All;
    for (std::uint32_t I = 1; I <= Peers; ++I)
      All.push_back({{I}, "near"});
    step(peers_arrived{All});
    install(Peers);
  }

  std::vector<send_ask> asks() const {
    std::vector<send_ask> Out;
    for (const relay_action &Each : Actions)
      if (const auto *Ask = std::get_if<send_ask>(&Each))
        Out.push_back(*Ask);
    return Out;
  }

  shard_reply wholeReply(const send_ask &Ask) const {
    shard_reply Reply;
    Reply.Ask = Ask.Ask.Ask;
    Reply.IsFinal = true;
    for (std::uint32_t I = 0; I < Ask.Ask.Shards.size(); ++I) {
      Reply.Covered.push_back(I);
      Reply.Signatures.push_back(Ask.Ask.Shards[I].Value);
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
  Relay.sendRequest("/all/x");
  std::multiset<std::string> Asked;
  std::set<std::uint32_t> Peers;
  for (const send_ask &Each : Relay.asks()) {
    Peers.insert(Each.To.Value);
    for (const service_name &Shard : Each.Ask.Shards)
      Asked.insert(Shard.Value);
  }
  CHECK(Peers.size() == Relay.asks().size());
  CHECK(Relay.asks().size() >= 7);
  CHECK(Asked.size() + Relay.Sent.size() == Shards);
  CHECK(std::set<std::string>(Asked.begin(), Asked.end()).size() ==
        Asked.size());
}

namespace {

/// Each shard has an endpoint in each of these zones.
class places final : public zone_lookup {
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
                              const zone_lookup &Places) {
  std::uint32_t Self = 0;
  for (const relay_peer &Each : threeZones())
    if (Each.Zone == Zone)
      Self = Each.Vm.Value;
  slice_planner Map({}, {Self}, Zone);
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
  slice_planner A({}, {3}, "a");
  slice_planner B({}, {6}, "a");
  A.setPeers(threeZones());
  B.setPeers(threeZones());
  const places Everywhere({"a", "b", "c"});
  const gather_rule Rule = manyShards();
  REQUIRE(A.slicesOf(Rule, Everywhere).size() ==
          B.slicesOf(Rule, Everywhere).size());
  for (std::size_t I = 0; I < A.slicesOf(Rule, Everywhere).size(); ++I) {
    const slice &Each = A.slicesOf(Rule, Everywhere)[I];
    CHECK(Each.Primary == B.slicesOf(Rule, Everywhere)[I].Primary);
    CHECK(Each.Primary != Each.Backup);
    CHECK(zoneOf(Each.Primary) == "a");
    CHECK(!Each.IsCrossZone);
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
    CHECK(Each.IsCrossZone);
    CHECK(zoneOf(Each.Backup) == zoneOf(Each.Primary));
    ++Asked[zoneOf(Each.Primary)];
  }
  CHECK(Asked == std::map<std::string, std::size_t>{{"a", 4}, {"b", 4}});
  // An endpoint has connections from the same relays, wherever a query came.
  for (std::size_t I = 0; I < Far.size(); ++I) {
    const slice Own = slicesFrom(zoneOf(Far[I].Primary), Two)[I];
    CHECK(Own.Primary == Far[I].Primary);
    CHECK(Own.Backup == Far[I].Backup);
    CHECK(Own.Shards == Far[I].Shards);
  }
}

TEST_CASE("shards without an endpoint in the own zone are asked in others, all "
          "of them in few slices",
          "[slices][load]") {
  /// Each shard has endpoints in two of three zones.
  class two_of_three final : public zone_lookup {
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
      Far += Each.IsCrossZone ? 1 : 0;
      for (const std::size_t Shard : Each.Shards) {
        CHECK(Covered.insert(Shard).second);
        const auto Zones = Places.zonesOf(Rule.Shards[Shard]);
        CHECK(std::count(Zones.begin(), Zones.end(), zoneOf(Each.Primary)) ==
              1);
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
  Relay.step(peers_arrived{Peers});
  const auto FarAsks = [&] {
    std::size_t Far = 0;
    for (const send_ask &Each : Relay.asks())
      Far += Each.To.Value > 6 ? 1 : 0;
    return Far;
  };
  Relay.sendRequest("/all/x");
  CHECK(FarAsks() == 0);
  Relay.step(zones_out_arrived{{"near"}});
  Relay.Actions.clear();
  Relay.sendRequest("/all/x");
  CHECK(FarAsks() == Relay.asks().size());
  CHECK(FarAsks() > 0);
}

TEST_CASE("a query over few shards is asked by the relay that took it",
          "[slices]") {
  relay_fixture Relay(slices_fixture::settingsOf(1));
  Relay.addService("a", 2);
  Relay.addRoute("/all/", {"a"});
  Relay.step(peers_arrived{{{{1}, "near"}, {{2}, "near"}}});
  Relay.install();
  Relay.sendRequest("/all/x");
  CHECK(Relay.count<send_ask>() == 0);
  CHECK(Relay.Sent.size() == 1);
}

TEST_CASE("the answer holds the parts of all slices", "[slices]") {
  slices_fixture Relay;
  const query_id Request = Relay.sendRequest("/all/x");
  for (const send_ask &Each : Relay.asks())
    Relay.step(ask_replied{Each.To, Relay.wholeReply(Each)});
  Relay.replyAll();
  const give_answer *Answer = Relay.answerTo(Request);
  REQUIRE(Answer);
  CHECK(Answer->Missing == 0);
  CHECK(Answer->Signatures.size() == Shards);
  CHECK(Answer->Body.size() == 10 * 16);
}

TEST_CASE("a relay that is lost is replaced, and sends each part once only",
          "[slices]") {
  slices_fixture Relay;
  Relay.sendRequest("/all/x");
  const send_ask Lost = Relay.asks().front();
  const std::size_t Before = Relay.asks().size();
  Relay.step(peer_lost{Lost.To});
  REQUIRE(Relay.asks().size() == Before + 1);
  const send_ask Again = Relay.asks().back();
  CHECK(Again.To != Lost.To);
  CHECK(Again.Ask.Shards == Lost.Ask.Shards);
  CHECK(Again.Ask.IsRepeat);
  CHECK(Again.Ask.MaxAttempts == 1);
}

TEST_CASE("a relay that may send parts twice is not replaced", "[slices]") {
  slices_fixture Relay;
  Relay.sendRequest("/all/x");
  const send_ask Ask = Relay.asks().front();
  shard_reply Reply;
  Reply.Ask = Ask.Ask.Ask;
  Reply.WantsRepeat = true;
  Relay.step(ask_replied{Ask.To, Reply});
  REQUIRE(Relay.count<grant_repeat>() == 1);
  const std::size_t Before = Relay.asks().size();
  Relay.step(peer_lost{Ask.To});
  CHECK(Relay.asks().size() == Before);
}

TEST_CASE("a relay that says nothing is replaced and passed over for a while",
          "[slices]") {
  slices_fixture Relay;
  Relay.sendRequest("/all/x");
  const std::vector<send_ask> First = Relay.asks();
  for (std::size_t I = 1; I < First.size(); ++I)
    Relay.step(ask_replied{First[I].To, Relay.wholeReply(First[I])});
  Relay.advance(51);
  REQUIRE(Relay.asks().size() == First.size() + 1);
  CHECK(Relay.asks().back().To != First[0].To);
  Relay.sendRequest("/all/x");
  for (std::size_t I = First.size() + 1; I < Relay.asks().size(); ++I)
    CHECK(Relay.asks()[I].To != First[0].To);
}

namespace {

/// A query whose first question is not answered in time, and was put to a
/// second relay.
struct silent_fixture : slices_fixture {
  silent_fixture() {
    Request = sendRequest("/all/x");
    const std::vector<send_ask> All = asks();
    Silent = All.front();
    for (std::size_t I = 1; I < All.size(); ++I)
      step(ask_replied{All[I].To, wholeReply(All[I])});
    replyAll();
    advance(51);
    REQUIRE(asks().size() == All.size() + 1);
    Second = asks().back();
  }

  shard_reply nothingFor(const send_ask &Ask) const {
    shard_reply Reply;
    Reply.Ask = Ask.Ask.Ask;
    Reply.IsFinal = true;
    return Reply;
  }

  query_id Request;
  send_ask Silent;
  send_ask Second;
};

} // namespace

TEST_CASE("a late reply of a relay counts where the second one had nothing",
          "[slices][load]") {
  silent_fixture Relay;
  Relay.step(ask_replied{Relay.Second.To, Relay.nothingFor(Relay.Second)});
  REQUIRE(Relay.answerTo(Relay.Request) == nullptr);
  Relay.advance(100);
  Relay.step(ask_replied{Relay.Silent.To, Relay.wholeReply(Relay.Silent)});
  const give_answer *Answer = Relay.answerTo(Relay.Request);
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
  Relay.step(ask_replied{Relay.Second.To, Half});
  Relay.step(ask_replied{Relay.Silent.To, Relay.wholeReply(Relay.Silent)});
  shard_reply Rest = Relay.wholeReply(Relay.Second);
  Rest.Covered.erase(Rest.Covered.begin());
  Rest.Signatures.erase(Rest.Signatures.begin());
  Relay.step(ask_replied{Relay.Second.To, Rest});
  const give_answer *Answer = Relay.answerTo(Relay.Request);
  REQUIRE(Answer);
  CHECK(Answer->Missing == 0);
  const std::set<std::string> Names(Answer->Signatures.begin(),
                                    Answer->Signatures.end());
  CHECK(Names.size() == Answer->Signatures.size());
  CHECK(Answer->Signatures.size() + Answer->Missing == Shards);
}

TEST_CASE("no third relay is asked for a part", "[slices]") {
  silent_fixture Relay;
  const std::size_t Asks = Relay.asks().size();
  const std::size_t Sent = Relay.count<send_attempt>();
  Relay.step(peer_lost{Relay.Second.To});
  Relay.step(peer_lost{Relay.Silent.To});
  CHECK(Relay.asks().size() == Asks);
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
    const std::size_t Before = Relay.asks().size();
    Relay.sendRequest("/all/x");
    const std::vector<send_ask> All = Relay.asks();
    if (Slow == 0)
      Slow = All.front().To.Value;
    for (std::size_t J = Before; J < All.size(); ++J) {
      ++Asked[All[J].To.Value];
      if (All[J].To.Value != Slow)
        Relay.step(ask_replied{All[J].To, Relay.wholeReply(All[J])});
    }
    Relay.replyAll();
    Relay.advance(60);
    for (std::size_t J = All.size(); J < Relay.asks().size(); ++J)
      Relay.step(
          ask_replied{Relay.asks()[J].To, Relay.wholeReply(Relay.asks()[J])});
    Relay.advance(140);
  }
  CHECK(Asked[Slow] <= 3); // at once, after 1 s, after 2 s more, then after 4 s
}

TEST_CASE("a client that leaves ends the questions to other relays",
          "[slices]") {
  slices_fixture Relay;
  const query_id Request = Relay.sendRequest("/all/x");
  Relay.step(client_left{Request});
  CHECK(Relay.count<cancel_ask>() == Relay.count<send_ask>());
}

TEST_CASE("shards that another relay asks for are merged into one reply",
          "[slices]") {
  slices_fixture Asker(1);
  Asker.sendRequest("/all/x");
  const send_ask Ask = Asker.asks().front();
  slices_fixture Asked(Ask.To.Value);
  Asked.step(ask_arrived{{1}, Ask.Ask});
  REQUIRE(Asked.Sent.size() == Ask.Ask.Shards.size());
  Asked.replyAll();
  REQUIRE(Asked.count<send_reply>() == 1);
  const shard_reply Reply = Asked.all<send_reply>().front().Reply;
  CHECK(Reply.IsFinal);
  CHECK(Reply.Signatures.size() == Ask.Ask.Shards.size());
  CHECK(Reply.Covered.size() == Ask.Ask.Shards.size());
}

TEST_CASE("no part is sent a second time before the asker grants it",
          "[slices]") {
  slices_fixture Asker(1);
  Asker.sendRequest("/all/x");
  const send_ask Ask = Asker.asks().front();
  slices_fixture Asked(Ask.To.Value);
  Asked.step(ask_arrived{{1}, Ask.Ask});
  const std::size_t Parts = Asked.Sent.size();
  Asked.breakConnection(Asked.Sent.begin()->first);
  Asked.advance(46);
  CHECK(Asked.count<send_attempt>() == Parts);
  REQUIRE(Asked.count<send_reply>() == 1);
  CHECK(Asked.all<send_reply>().front().Reply.WantsRepeat);
  Asked.step(repeat_granted{{1}, Ask.Ask.Ask});
  CHECK(Asked.count<send_attempt>() > Parts);
}

TEST_CASE("a second question sends within the budgets only", "[slices]") {
  slices_fixture Asker(1);
  Asker.sendRequest("/all/x");
  shard_ask Ask = Asker.asks().front().Ask;
  Ask.IsRepeat = true;
  Ask.MaxAttempts = 1;
  relay_settings Settings = slices_fixture::settingsOf(2);
  Settings.Budget = {0, 0};
  relay_fixture Asked(Settings);
  for (const service_name &Each : Ask.Shards)
    Asked.addService(Each.Value, 2);
  Asked.install();
  Asked.step(ask_arrived{{1}, Ask});
  CHECK(Asked.Sent.empty());
  Asked.advance(100);
  CHECK(Asked.Sent.empty());
}

TEST_CASE(
    "a query that other relays were asked for is not said not to have run",
    "[slices]") {
  slices_fixture Relay;
  const query_id Request = Relay.sendRequest("/all/x");
  for (const send_ask &Each : Relay.asks()) {
    shard_reply Nothing;
    Nothing.Ask = Each.Ask.Ask;
    Nothing.IsFinal = true;
    Relay.step(ask_replied{Each.To, Nothing});
  }
  while (!Relay.Sent.empty())
    Relay.replyNotRun(Relay.Sent.begin()->first);
  Relay.advance(800);
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Status != 503);
}

TEST_CASE("a relay opens connections to what it will be asked for",
          "[slices][load]") {
  slices_fixture Relay(1, 12);
  std::set<std::string> Warmed;
  for (const warm_endpoint &Each : Relay.all<warm_endpoint>())
    CHECK(Warmed.insert(Relay.Names.at(Each.Endpoint.Value)).second);
  // One slice of eight, an endpoint of each shard is in the own zone; with 12
  // relays and eight slices this one may have none.
  slice_planner Map({}, {1}, "near");
  std::set<std::string> Expected;
  std::vector<relay_peer> Peers;
  for (std::uint32_t I = 1; I <= 12; ++I)
    Peers.push_back({{I}, "near"});
  Map.setPeers(Peers);
  const gather_rule &Rule = Relay.Catalog.Routes[0].Gather;
  for (const slice &Each : Map.slicesOf(Rule, places({"near", "far"})))
    if (Each.Primary == vm_id{1})
      for (const std::size_t Place : Each.Shards)
        Expected.insert(Rule.Shards[Place].Value + "-0");
  CHECK(Warmed == Expected);
  Relay.publishDirectory();
  CHECK(Relay.all<warm_endpoint>().size() == Expected.size());
}

TEST_CASE("what another relay asks of one that is starting waits for its "
          "directory",
          "[slices][load]") {
  slices_fixture Asker(1);
  Asker.sendRequest("/all/x");
  const send_ask Ask = Asker.asks().front();
  relay_fixture Asked(slices_fixture::settingsOf(Ask.To.Value));
  Asked.Catalog = Asker.Catalog;
  Asked.Directory = Asker.Directory;
  Asked.step(ask_arrived{{1}, Ask.Ask});
  CHECK(Asked.count<send_reply>() == 0);
  Asked.Now = Asked.Now + millis{20};
  Asked.install();
  REQUIRE(Asked.Sent.size() == Ask.Ask.Shards.size());
  CHECK(Asked.Sent.begin()->second.Remaining <= Ask.Ask.Remaining - millis{20});
  Asked.replyAll();
  CHECK(Asked.count<send_reply>() == 1);
}

TEST_CASE("a question that is withdrawn does not wait for a directory",
          "[slices]") {
  slices_fixture Asker(1);
  Asker.sendRequest("/all/x");
  const send_ask Ask = Asker.asks().front();
  relay_fixture Asked(slices_fixture::settingsOf(Ask.To.Value));
  Asked.Catalog = Asker.Catalog;
  Asked.Directory = Asker.Directory;
  Asked.step(ask_arrived{{1}, Ask.Ask});
  Asked.step(ask_cancelled{{1}, Ask.Ask.Ask, true});
  Asked.install();
  CHECK(Asked.Sent.empty());
}

TEST_CASE("a slice in a zone that falls silent is asked by this relay itself",
          "[slices][load]") {
  slices_fixture Relay(1, 24);
  std::vector<relay_peer> Peers;
  for (std::uint32_t I = 1; I <= 24; ++I)
    Peers.push_back({{I}, I <= 12 ? "near" : "far"});
  Relay.step(peers_arrived{Peers});
  // One shard in four has its endpoints in the other zone only.
  for (listed_endpoint &Each : Relay.Directory.Endpoints)
    if (Each.Service.Value.back() % 4 == 0)
      Each.Zone = "far";
  Relay.publishDirectory();
  const query_id Request = Relay.sendRequest("/all/x");
  std::set<std::string> Lost;
  for (const send_ask &Each : Relay.asks()) {
    if (Each.To.Value > 12)
      for (const service_name &Shard : Each.Ask.Shards)
        Lost.insert(Shard.Value);
    else
      Relay.step(ask_replied{Each.To, Relay.wholeReply(Each)});
  }
  REQUIRE(Lost.size() > 10);
  Relay.replyAll();
  const std::size_t Asks = Relay.asks().size();
  Relay.advance(51);
  CHECK(Relay.asks().size() == Asks);
  CHECK(Relay.Sent.size() == Lost.size());
  Relay.replyAll();
  REQUIRE(Relay.answerTo(Request));
  CHECK(Relay.answerTo(Request)->Missing == 0);
}
