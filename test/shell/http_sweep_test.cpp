#include "fleet/handler_guard.h"
#include "http/server.h"
#include "telemetry/metrics.h"

#include <array>
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>

using namespace bulrush;

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::uint16_t Port = 19'088;
constexpr std::size_t MoreThanSocketBuffers = 64 << 20;

/// Responds to the first request with more than a client takes without reading
/// and not to others; throws when the client is disconnected.
class throwing_handler final : public http::handler {
public:
  void handle(http::request, http::responder Respond) override {
    if (Requests++ > 0)
      return;
    http::response Response;
    Response.Body.resize(MoreThanSocketBuffers);
    Respond(std::move(Response));
  }
  void onClientDisconnected(http::request_token) override {
    ++Disconnects;
    throw std::runtime_error("no memory");
  }
  int Requests = 0;
  int Disconnects = 0;
};

http::server_settings settings() {
  http::server_settings Out;
  Out.Listen = {"127.0.0.1", Port};
  Out.IdleTimeout = Out.WriteTimeout = {100};
  Out.CancelOnDisconnect = true;
  // A connection that holds a large part of it is read no further.
  Out.Budget =
      std::make_shared<http::memory_budget>(100 * MoreThanSocketBuffers);
  return Out;
}

} // namespace

// Guards against timeouts that end for good, so that connections pile up, after
// an exception while one of them was handled.
TEST_CASE("connections time out after an exception in a timeout", "[http]") {
  asio::io_context Io;
  telemetry::metrics Metrics;
  fleet::handler_guard Guard(Metrics);
  throwing_handler Handler;
  http::server Server(Io, settings(), Handler, Metrics);
  REQUIRE(Server.start());
  const tcp::endpoint Address(asio::ip::make_address("127.0.0.1"), Port);
  tcp::socket Stalled(Io);
  Stalled.connect(Address);
  asio::write(Stalled,
              asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n"
                                       "GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
  tcp::socket Idle(Io);
  bool IsClosed = false;
  std::array<char, 1> Byte{};
  asio::steady_timer Later(Io, std::chrono::seconds(1));
  Later.async_wait([&](auto) {
    CHECK(Handler.Disconnects == 1);
    Idle.connect(Address);
    Idle.async_read_some(asio::buffer(Byte), [&](auto Error, std::size_t) {
      IsClosed = Error == asio::error::eof;
      Io.stop();
    });
  });
  asio::steady_timer Limit(Io, std::chrono::seconds(5));
  Limit.async_wait([&](auto) { Io.stop(); });
  Guard.run(Io);
  CHECK(IsClosed);
}

// Guards against connections that count against the limit after they were
// closed, since an exception of the handler kept them from being removed.
TEST_CASE("a connection is removed before its handler is told", "[http]") {
  asio::io_context Io;
  telemetry::metrics Metrics;
  throwing_handler Handler;
  http::server Server(Io, settings(), Handler, Metrics);
  REQUIRE(Server.start());
  Handler.Requests = 1;
  {
    tcp::socket Client(Io);
    Client.connect({asio::ip::make_address("127.0.0.1"), Port});
    asio::write(Client,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
    Io.run_for(std::chrono::milliseconds(100));
    REQUIRE(Handler.Requests == 2);
    REQUIRE(Server.connectionCount() == 1);
  }
  Io.restart();
  CHECK_THROWS(Io.run_for(std::chrono::milliseconds(300)));
  CHECK(Server.connectionCount() == 0);
}
