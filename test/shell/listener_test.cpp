#include "http/listener.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <optional>

using namespace bulrush;

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

const tcp::endpoint Address(asio::ip::make_address("127.0.0.1"), 19'341);

struct fixture {
  asio::io_context Io;
  int Accepted = 0;
  int Opened = 0;
  http::listener Listener{Io, [this](const tcp::socket &) { ++Accepted; }};

  expected<void> open(const tcp::endpoint &To) {
    return Listener.open(To, [this] { ++Opened; });
  }
  void runFor(std::chrono::milliseconds Time) {
    Io.restart();
    Io.run_for(Time);
  }
};

} // namespace

// Guards against a start that gives up on an address that is in use for a
// while, as when the former process has not ended yet.
TEST_CASE("a listener waits for an address that is in use", "[listener]") {
  fixture Test;
  std::optional<tcp::acceptor> Other(std::in_place, Test.Io, Address);
  REQUIRE(Test.open(Address));
  Test.runFor(std::chrono::milliseconds(250));
  CHECK_FALSE(Test.Listener.isOpen());
  CHECK(Test.Opened == 0);
  Other.reset();
  Test.runFor(std::chrono::milliseconds(250));
  CHECK(Test.Listener.isOpen());
  CHECK(Test.Opened == 1);
  tcp::socket Client(Test.Io);
  Client.connect(Address);
  Test.runFor(std::chrono::milliseconds(50));
  CHECK(Test.Accepted == 1);
}

// Guards against a stop that is undone by an attempt to listen.
TEST_CASE("a listener that is stopped while it waits stays closed",
          "[listener]") {
  fixture Test;
  std::optional<tcp::acceptor> Other(std::in_place, Test.Io, Address);
  REQUIRE(Test.open(Address));
  Test.Listener.stop();
  Other.reset();
  Test.runFor(std::chrono::milliseconds(250));
  CHECK_FALSE(Test.Listener.isOpen());
  CHECK(Test.Opened == 0);
}

// Guards against connections that are reset because they were accepted just
// before the listener stopped.
TEST_CASE("a connection accepted before the stop is handled", "[listener]") {
  fixture Test;
  REQUIRE(Test.open(Address));
  tcp::socket Client(Test.Io);
  Client.connect(Address);
  Test.Listener.stop();
  Test.runFor(std::chrono::milliseconds(50));
  CHECK(Test.Accepted == 1);
}
