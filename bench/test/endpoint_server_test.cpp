#include "endpoint/endpoint_server.h"
#include "http/client.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>

using namespace bulrush;
using namespace bulrush::bench;

namespace {

constexpr std::uint16_t Port = 19'281;

endpoint testEndpoint() {
  endpoint Endpoint;
  Endpoint.Id = endpoint_id{12};
  Endpoint.Address = {"127.0.0.1", Port};
  return Endpoint;
}

endpoint_behaviour fastBehaviour() {
  endpoint_behaviour Behaviour;
  Behaviour.MeanService = millis{2};
  Behaviour.Sigma = 0;
  Behaviour.ConnectCost = millis{1};
  Behaviour.DownTime = millis{20};
  return Behaviour;
}

http::request search(const std::string &Name, const std::string &Path) {
  http::request Request{"POST", Path, {}, R"({"query":"q","token":"t1"})"};
  Request.Headers = {{"Bulrush-Request", Name},
                     {"Bulrush-Attempt", "0"},
                     {"Bulrush-Snapshot", "7"},
                     {"Bulrush-Shard", "3"},
                     {"Bulrush-Deadline-Ms", "500.5"}};
  return Request;
}

struct fixture {
  boost::asio::io_context Io;
  endpoint_server Server;
  std::optional<http::client> Client;

  explicit fixture(const endpoint_behaviour &Behaviour = fastBehaviour())
      : Server(Io, testEndpoint(), Behaviour, 1) {
    REQUIRE(Server.start());
    Server.apply(set_snapshots{{{snapshot_id{7}, 20, {shard_id{3}}}}});
    http::client_settings Settings;
    Settings.Server = {"127.0.0.1", Port};
    Settings.ExchangeTimeout = millis{300};
    Client.emplace(Io, Settings);
  }
  http::exchange_result exchange(const http::request &Request) {
    std::optional<http::exchange_result> Got;
    Client->send(Request, [&](http::exchange_result Result) {
      Got = std::move(Result);
    });
    while (!Got)
      Io.run_one();
    return *Got;
  }
  std::string headerOf(const http::exchange_result &Result, const char *Name) {
    const std::string *Found = http::findHeader(Result.Response.Headers, Name);
    return Found ? *Found : "";
  }
};

} // namespace

TEST_CASE("a search is answered with the token of its query") {
  fixture F;
  const auto Result = F.exchange(search("1-1-1", "/v1/search"));
  REQUIRE(Result.Status == http::exchange_status::done);
  CHECK(Result.Response.Status == 200);
  CHECK(F.headerOf(Result, "Bulrush-Outcome") == "answered");
  CHECK(F.headerOf(Result, "Bulrush-Generation") == "1");
  CHECK(F.headerOf(Result, "Bulrush-Cold") == "1");
  CHECK(nlohmann::json::parse(Result.Response.Body) ==
        nlohmann::json::parse(
            R"({"shard":3,"snapshot":7,"endpoint":12,"token":"t1"})"));
}

TEST_CASE("a malformed search is refused and does not run") {
  fixture F;
  auto Request = search("1-1-1", "/v1/search");
  Request.Headers.pop_back();
  CHECK(F.exchange(Request).Response.Status == 400);
  CHECK(F.exchange(search("1-1-2", "/v1/command")).Response.Status == 400);
  CHECK(F.Server.model().record().Requests.Arrived == 0);
}

TEST_CASE("health reports the snapshots that the endpoint holds") {
  fixture F;
  const auto Result = F.exchange({"GET", "/v1/health", {}, {}});
  const auto Body = nlohmann::json::parse(Result.Response.Body);
  CHECK(Body["state"] == "cold");
  CHECK(Body["snapshots"][0]["totalShards"] == 20);
  CHECK(Body["snapshots"][0]["shards"][0] == 3);
}

TEST_CASE("a cancel frees the slot and ends the search") {
  auto Behaviour = fastBehaviour();
  Behaviour.MeanService = millis{5000};
  fixture F(Behaviour);
  std::optional<http::exchange_result> Searched;
  F.Client->send(search("1-1-9", "/v1/search"),
                 [&](http::exchange_result R) { Searched = std::move(R); });
  while (F.Server.model().inFlight() == 0)
    F.Io.run_one();
  F.exchange({"POST", "/v1/cancel", {{"Bulrush-Request", "1-1-9"}}, {}});
  while (!Searched)
    F.Io.run_one();
  CHECK(Searched->Response.Status == 504);
  CHECK(F.headerOf(*Searched, "Bulrush-Reason") == "cancelled");
  CHECK(F.headerOf(*Searched, "Bulrush-Outcome") == "unknown");
  CHECK(F.Server.model().inFlight() == 0);
}

TEST_CASE("going down resets the exchange and a lost reply is never sent") {
  auto Behaviour = fastBehaviour();
  Behaviour.MeanService = millis{100};
  fixture F(Behaviour);
  std::optional<http::exchange_result> Cut;
  F.Client->send(search("1-1-1", "/v1/search"),
                 [&](http::exchange_result R) { Cut = std::move(R); });
  while (F.Server.model().inFlight() == 0)
    F.Io.run_one();
  F.Server.apply(take_down{millis{20}});
  while (!Cut)
    F.Io.run_one();
  CHECK(Cut->Status == http::exchange_status::lost);
  CHECK(F.Server.model().state() == run_state::down);

  auto Losing = fastBehaviour();
  Losing.LostReplyShare = 1;
  F.Server.apply(set_behaviour{Losing});
  F.Io.run_for(std::chrono::milliseconds(40));
  const auto Lost = F.exchange(search("1-1-2", "/v1/search"));
  CHECK(Lost.Status == http::exchange_status::lost);
  CHECK(F.Server.model().record().Requests.LostReplies == 1);
  F.Io.run_for(std::chrono::milliseconds(20));
  F.Client.reset();
}
