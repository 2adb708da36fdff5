#include "fleet/endpoint_links.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <deque>

using namespace bulrush;

namespace {

using tcp = boost::asio::ip::tcp;

constexpr std::uint16_t Port = 19'083;

/// Forwards requests and replies without headers.
class plain_codec final : public fleet::request_codec {
public:
  fleet::client_request decode(http::request) const override { return {}; }
  http::response encode(const relay::send_answer &) const override {
    return {};
  }
  http::request encode(const relay::opaque_request &Request,
                       const std::string &, millis) const override {
    return {Request.Method, Request.Target, {}, {}};
  }
  relay::endpoint_reply decode(http::response Response) const override {
    relay::endpoint_reply Out;
    Out.Status = Response.Status;
    return Out;
  }
  fleet::endpoint_health
  decodeHealth(const http::response &Response) const override {
    fleet::endpoint_health Out;
    Out.IsHealthy = Response.Status == 200;
    return Out;
  }
  std::string echoHeader() const override { return {}; }
};

/// An endpoint that replies on each connection, and can stop accepting new
/// ones while it serves those that are open.
class refusing_endpoint {
public:
  explicit refusing_endpoint(boost::asio::io_context &Io)
      : Acceptor(Io, {boost::asio::ip::make_address("127.0.0.1"), Port}) {
    acceptNext();
  }
  void refuseNewConnections() { Acceptor.close(); }
  /// Holds the replies until the next call with false.
  void holdReplies(bool ShouldHold) {
    IsHolding = ShouldHold;
    while (!IsHolding && !Held.empty()) {
      reply(Held.front());
      Held.pop_front();
    }
  }

private:
  using socket_ptr = std::shared_ptr<tcp::socket>;

  void acceptNext() {
    Acceptor.async_accept([this](auto Error, tcp::socket Socket) {
      if (Error)
        return;
      read(std::make_shared<tcp::socket>(std::move(Socket)));
      acceptNext();
    });
  }
  void read(const socket_ptr &Socket) {
    auto Buffer = std::make_shared<std::string>(4096, ' ');
    Socket->async_read_some(
        boost::asio::buffer(*Buffer), [this, Socket, Buffer](auto Error, auto) {
          if (Error)
            return;
          IsHolding ? Held.push_back(Socket) : reply(Socket);
          read(Socket);
        });
  }
  static void reply(const socket_ptr &Socket) {
    const std::string Bytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    boost::asio::write(*Socket, boost::asio::buffer(Bytes));
  }

  tcp::acceptor Acceptor;
  bool IsHolding = false;
  std::deque<socket_ptr> Held;
};

struct links_fixture {
  links_fixture() {
    relay::open_endpoint Open;
    Open.Endpoint = {1};
    Open.Listed.Address = {"127.0.0.1", Port};
    Open.HealthPath = "/health";
    Open.Connections = 4;
    Links.open(Open);
  }

  void send(std::uint64_t Attempt) {
    relay::send_attempt Action;
    Action.Attempt = {Attempt};
    Action.Endpoint = {1};
    auto Content = std::make_shared<relay::opaque_request>();
    Content->Method = "GET";
    Content->Target = "/";
    Action.Content = Content;
    Links.send(Action);
  }
  void run(int Milliseconds) {
    Io.restart();
    Io.run_for(std::chrono::milliseconds(Milliseconds));
  }
  template <class Event> std::vector<Event> all() const {
    std::vector<Event> Out;
    for (const relay::relay_event &Each : Events)
      if (const auto *Found = std::get_if<Event>(&Each))
        Out.push_back(*Found);
    return Out;
  }

  boost::asio::io_context Io;
  telemetry::metrics Metrics;
  refusing_endpoint Endpoint{Io};
  std::vector<relay::relay_event> Events;
  fleet::endpoint_links Links{
      Io, std::make_shared<plain_codec>(), Metrics,
      [this](const relay::relay_event &Event) { Events.push_back(Event); }};
};

} // namespace

// Guards against a refused probe that closes the only path to the endpoint.
TEST_CASE("an endpoint that refuses new connections is probed on an open one",
          "[links]") {
  links_fixture F;
  F.send(1);
  F.run(100);
  REQUIRE(F.all<relay::attempt_ended>().size() == 1);
  F.Endpoint.refuseNewConnections();
  F.Links.probe({{1}});
  F.run(100);
  REQUIRE(F.all<relay::probe_ended>().size() == 1);
  CHECK(F.all<relay::probe_ended>().front().IsHealthy);
  F.send(2);
  F.run(100);
  REQUIRE(F.all<relay::attempt_ended>().size() == 2);
  CHECK(F.all<relay::attempt_ended>().back().End ==
        relay::attempt_end::replied);
}

TEST_CASE("a request waits for an open connection while new ones are refused",
          "[links]") {
  links_fixture F;
  F.send(1);
  F.run(100);
  F.Endpoint.refuseNewConnections();
  F.Endpoint.holdReplies(true);
  F.send(2);
  F.send(3);
  F.run(100);
  CHECK(F.all<relay::attempt_ended>().size() == 1);
  F.Endpoint.holdReplies(false);
  F.run(100);
  REQUIRE(F.all<relay::attempt_ended>().size() == 3);
  for (const relay::attempt_ended &Each : F.all<relay::attempt_ended>())
    CHECK(Each.End == relay::attempt_end::replied);
}

TEST_CASE("a probe fails if no connection of the endpoint replies", "[links]") {
  links_fixture F;
  F.send(1);
  F.run(100);
  F.Endpoint.refuseNewConnections();
  F.Endpoint.holdReplies(true);
  F.Links.probe({{1}});
  F.run(100);
  CHECK(F.all<relay::probe_ended>().empty());
  F.run(800);
  REQUIRE(F.all<relay::probe_ended>().size() == 1);
  CHECK(!F.all<relay::probe_ended>().front().IsHealthy);
}
