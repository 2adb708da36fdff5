#include "wire/fleet_codec.h"

#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::fleet;

namespace {

template <class Message> Message roundTrip(const Message &Sent) {
  auto Got = wire::decodeFleet(wire::encode(Sent));
  REQUIRE(Got);
  const auto *Found = std::get_if<Message>(&*Got);
  REQUIRE(Found);
  return *Found;
}

} // namespace

TEST_CASE("a catalog change survives encoding and decoding", "[wire]") {
  relay::catalog_change Change;
  Change.Base = {6};
  Change.Version = {7};
  Change.Services = {{{"a"}, "/health", 26, 1.5, {3000}}};
  Change.RemovedServices = {{"b"}};
  relay::route Plain;
  Plain.Name = "r1";
  Plain.Host = "shop.example";
  Plain.PathPrefix = "/x/";
  Plain.IsIdempotent = true;
  Plain.Timeout = {800};
  Plain.Objective = {120};
  Plain.Priority = 2;
  Plain.MaxAttempts = 2;
  Plain.Targets = {{{"a"}, 3}, {{"c"}, 1}};
  relay::route Gathered = Plain;
  Gathered.PathPrefix = "/y/";
  Gathered.Targets.clear();
  Gathered.Gather = {{{"a"}, {"c"}}, 20, 0.89};
  Change.Routes = {Plain, Gathered};
  Change.RemovedRoutes = {{"shop.example", "/z/"}};
  Change.Routes[1].IsPublic = true;
  Change.Accounts = {{{"left"}, {"key-1", "key-2"}, 0, {19}, 7},
                     {{"right"}, {}, std::nullopt, {}, 0}};
  Change.RemovedAccounts = {{"gone"}};
  Change.HasAccounts = true;
  Change.Limits = {1, 2, {3}, {4}};
  fleet_state State;
  State.Revision = {9};
  State.CatalogVersion = 7;
  State.Catalog = Change;
  State.ZonesOut = {"linz"};
  State.Voters = {{1}, {2}};
  const fleet_state Got = roundTrip(State);
  CHECK(Got.Revision == State.Revision);
  CHECK(Got.ZonesOut == State.ZonesOut);
  CHECK(Got.Voters == State.Voters);
  REQUIRE(Got.Catalog);
  CHECK(*Got.Catalog == Change);
  State.Catalog.reset();
  CHECK(!roundTrip(State).Catalog);
}

TEST_CASE("a directory change survives encoding and decoding", "[wire]") {
  endpoint_directory Sent;
  Sent.Age = {120};
  Sent.Change.Base = {3, 4};
  Sent.Change.Version = {3, 5};
  relay::listed_endpoint Each;
  Each.Identity = {"i-1", 77};
  Each.Service = {"a"};
  Each.Address = {"10.0.0.1", 8080};
  Each.Zone = "linz";
  Each.Slots = 2;
  Each.IsLeaving = true;
  Each.ColdFor = {1500};
  Sent.Change.Endpoints = {Each};
  Sent.Change.Removed = {{"i-2", 78}};
  const endpoint_directory Got = roundTrip(Sent);
  CHECK(Got.Age == Sent.Age);
  CHECK(Got.Change == Sent.Change);
}

TEST_CASE("full rosters and roster changes survive encoding and decoding",
          "[wire]") {
  const relay_list Old{{{1}, {{1}, "a"}}, {{2}, {{2}, "a"}}, {{3}, {{3}, "b"}}};
  // Relay 2 loses its reach, 3 moves, 4 joins, 1 leaves.
  const relay_list New{
      {{2}, {{2}, "a", false}}, {{3}, {{3}, "c"}}, {{4}, {{4}, "b"}}};
  relay_list Held;
  applyRoster(roundTrip(fullChange(Old)), Held);
  CHECK(Held == Old);
  const roster Change = roundTrip(changeBetween(Old, New));
  CHECK(Change.Left == std::vector<vm_id>{{1}});
  CHECK(Change.Joined.size() == 3);
  applyRoster(Change, Held);
  CHECK(Held == New);
  applyRoster(fullChange({}), Held);
  CHECK(Held.empty());
}

TEST_CASE("reports and grants of rate limits survive encoding and decoding",
          "[wire]") {
  const relay::limit_statement Stated{{"i-1", 7}, request_rate{22.5}, {12.5}};
  const relay::limit_statement Lifted{{"i-2", 8}, std::nullopt, {3}};
  fleet::limit_reports Reports;
  Reports.Reports = {{Stated, {41.5}, millis{80}}, {Lifted, {}, std::nullopt}};
  CHECK(roundTrip(Reports).Reports == Reports.Reports);
  fleet::limit_grants Grants;
  Grants.Grants = {{Stated, request_rate{2.5}, std::nullopt, {}},
                   {Stated, request_rate{0}, millis{3}, {}},
                   {Stated, request_rate{0}, std::nullopt, {40}},
                   {Lifted, std::nullopt, std::nullopt, {}}};
  CHECK(roundTrip(Grants).Grants == Grants.Grants);
}

TEST_CASE("crash reports and verdicts survive encoding and decoding",
          "[wire]") {
  fleet::crash_reports Reports;
  Reports.Reports = {
      {{0xf00dULL << 48}, {{{"i-1", 7}, {40}, {12.5}}}, false, {250}},
      {{2}, {}, true, {}}};
  CHECK(roundTrip(Reports).Reports == Reports.Reports);
  fleet::request_verdicts Verdicts;
  Verdicts.Notices = {{{1}, relay::request_verdict::watched, {}},
                      {{2}, relay::request_verdict::quarantined, {600'000}},
                      {{3}, relay::request_verdict::cleared, {}}};
  CHECK(roundTrip(Verdicts).Notices == Verdicts.Notices);
}

TEST_CASE("a relay's reach and what it does not reach survive encoding and "
          "decoding",
          "[wire]") {
  CHECK(!roundTrip(applied{{3}, false, false}).HasReach);
  CHECK(roundTrip(applied{{3}, true}).HasReach);
  relay::shard_reply Reply;
  Reply.ShardRequest = {7};
  Reply.IsFinal = true;
  Reply.Unreachable = {0, 2};
  Reply.Interrupted = {1};
  Reply.IsReachLost = true;
  const relay::shard_reply Got = roundTrip(Reply);
  CHECK(Got.Unreachable == Reply.Unreachable);
  CHECK(Got.Interrupted == Reply.Interrupted);
  CHECK(Got.IsReachLost);
}

// A key that a relay forgot to remove must not reach another relay.
TEST_CASE("a shard request carries the account but no credentials", "[wire]") {
  relay::opaque_request Content;
  Content.Headers = {{"Client-Account", "left"}};
  Content.Credentials = {{{"Authorization", "Bearer secret"}, 0}};
  Content.Account = {"left"};
  relay::shard_request Asked;
  Asked.Content = std::make_shared<relay::opaque_request>(Content);
  Asked.Priority = 3;
  const relay::shard_request Got = roundTrip(Asked);
  CHECK(Got.Content->Account.Value == "left");
  CHECK(Got.Priority == 3);
  REQUIRE(Got.Content->Headers.size() == 1);
  CHECK(Got.Content->Headers[0].Value == "left");
  const auto Bytes = wire::encode(Asked);
  CHECK(std::string(Bytes.begin(), Bytes.end()).find("secret") ==
        std::string::npos);
}

TEST_CASE("a request that is not a query survives a detour", "[wire]") {
  relay::shard_request Asked;
  Asked.Content = std::make_shared<relay::opaque_request>(relay::opaque_request{
      "id", "POST", "shop.example", "/x", {{"A", "b"}}, "body"});
  Asked.Shards = {{"plain"}};
  Asked.IsQuery = false;
  Asked.IsIdempotent = false;
  const relay::shard_request Got = roundTrip(Asked);
  CHECK(!Got.IsQuery);
  CHECK(!Got.IsIdempotent);
  CHECK(Got.Content->Body == "body");
  relay::endpoint_reply Endpoint;
  Endpoint.Status = 404;
  Endpoint.Headers = {{"X-Any", "value"}};
  Endpoint.Body = std::string("\0bytes", 6);
  Endpoint.Signature = "s1";
  relay::shard_reply Reply;
  Reply.Reply = std::make_shared<relay::endpoint_reply>(Endpoint);
  Reply.RetryAfter = {60};
  const relay::shard_reply Back = roundTrip(Reply);
  REQUIRE(Back.Reply);
  CHECK(Back.Reply->Status == 404);
  REQUIRE(Back.Reply->Headers.size() == 1);
  CHECK(Back.Reply->Headers[0].Name == "X-Any");
  CHECK(Back.Reply->Headers[0].Value == "value");
  CHECK(Back.Reply->Body == Endpoint.Body);
  CHECK(Back.Reply->Signature == "s1");
  CHECK(Back.RetryAfter == millis{60});
}

namespace {

template <class Command> Command roundTripCommand(const Command &Sent) {
  const auto Got = wire::decodeRegistryCommand(
      wire::encode(control::registry_command{Sent}));
  REQUIRE(Got);
  const auto *Found = std::get_if<Command>(&*Got);
  REQUIRE(Found);
  return *Found;
}

} // namespace

// Guards against a rollout that a voter applies differently from the leader.
TEST_CASE("commands of rollouts survive encoding and decoding", "[wire]") {
  const auto Start = roundTripCommand(
      control::start_rollout{{"a"}, {"v2"}, {12'000}, {7}, {2500}});
  CHECK(Start.Service.Value == "a");
  CHECK(Start.Target.Value == "v2");
  CHECK(Start.Duration == millis{12'000});
  CHECK(Start.Known.Value == 7);
  CHECK(Start.KnownElapsed == millis{2500});
  const auto Advance =
      roundTripCommand(control::advance_rollout{{"a"}, {8}, {4000}});
  CHECK(Advance.Service.Value == "a");
  CHECK(Advance.Id.Value == 8);
  CHECK(Advance.Elapsed == millis{4000});
  for (const relay::rollout_state State :
       {relay::rollout_state::complete, relay::rollout_state::rolled_back}) {
    const auto End =
        roundTripCommand(control::end_rollout{{"a"}, {8}, State, {5000}});
    CHECK(End.Service.Value == "a");
    CHECK(End.Id.Value == 8);
    CHECK(End.State == State);
    CHECK(End.Elapsed == millis{5000});
  }
  const auto Established =
      roundTripCommand(control::establish_version{{"a"}, {"v1"}});
  CHECK(Established.Service.Value == "a");
  CHECK(Established.Version.Value == "v1");
}

// Guards against rollouts that are lost or change when a voter restarts from a
// snapshot.
TEST_CASE("rollouts survive the encoding of a snapshot", "[wire]") {
  control::registry_state State;
  control::rollout Rollout;
  Rollout.Id = {17};
  Rollout.Target = {"v3"};
  Rollout.Duration = {12'000};
  Rollout.State = relay::rollout_state::rolled_back;
  Rollout.Elapsed = {7250.5};
  Rollout.Barred = {{"v2"}, {"v3"}};
  Rollout.Replaced = {{{"v2"}, {9000}, {3000}}};
  State.Rollouts[{"a"}] = Rollout;
  Rollout.Id = {18};
  Rollout.State = relay::rollout_state::in_progress;
  State.Rollouts[{"b"}] = Rollout;
  State.Established[{"c"}] = {"v1"};
  const auto Got = wire::decodeRegistryState(wire::encode(State));
  REQUIRE(Got);
  CHECK(Got->Rollouts == State.Rollouts);
  CHECK(Got->Established == State.Established);
}

// Guards against a field of a quota that is lost or exchanged on the way.
TEST_CASE("quota reports and grants survive encoding", "[wire]") {
  fleet::quota_reports Reports;
  Reports.IsFirst = true;
  Reports.Reports = {{{"acme"}, 1ULL << 40U, 2, 3, 4, 5, {6, 0, 7}},
                     {{"other"}, 0, 0, 0, 0, 0, {}}};
  const fleet::quota_reports Got = roundTrip(Reports);
  CHECK(Got.IsFirst);
  CHECK(Got.Reports == Reports.Reports);
  fleet::quota_grants Grants;
  Grants.Grants = {{{"acme"}, 1, 2, true, {250}, {50}},
                   {{"other"}, 0, 0, false, {}, {}}};
  CHECK(roundTrip(Grants).Grants == Grants.Grants);
}

// Guards against a relay of another build whose reply makes this one answer a
// client with a status that is none.
TEST_CASE("a shard reply with a status that is none carries no reply",
          "[wire]") {
  relay::shard_reply Reply;
  Reply.ShardRequest = {7};
  Reply.IsFinal = true;
  relay::endpoint_reply Content;
  Content.Signature = "s";
  for (const unsigned Status : {0U, 99U, 100U, 199U, 600U, 999U, 1200U}) {
    Content.Status = Status;
    Reply.Reply = std::make_shared<const relay::endpoint_reply>(Content);
    const relay::shard_reply Got = roundTrip(Reply);
    INFO(Status);
    CHECK(!Got.Reply);
    CHECK(Got.IsFinal);
    CHECK(!Got.IsNotRun);
  }
  for (const unsigned Status : {200U, 404U, 599U}) {
    Content.Status = Status;
    Reply.Reply = std::make_shared<const relay::endpoint_reply>(Content);
    const relay::shard_reply Got = roundTrip(Reply);
    REQUIRE(Got.Reply);
    CHECK(Got.Reply->Status == Status);
  }
}
