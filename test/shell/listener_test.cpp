#include "fleet/handler_guard.h"
#include "http/listener.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <stdexcept>
#include <unistd.h>

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

// Guards against a start that gives up on an address that it may not use yet,
// as before a security policy or a limit on ports is in place.
TEST_CASE("a listener waits for an address that is not permitted",
          "[listener]") {
  constexpr std::uint16_t PrivilegedPort = 21;
  constexpr uid_t Nobody = 65'534;
  const uid_t Former = ::geteuid();
  const tcp::endpoint Refused(Address.address(), PrivilegedPort);
  fixture Test;
  if (Former == 0)
    REQUIRE(::seteuid(Nobody) == 0);
  // Some containers permit all ports to everyone.
  boost::system::error_code Error;
  {
    tcp::acceptor Probe(Test.Io, tcp::v4());
    Probe.bind(Refused, Error);
  }
  const bool IsPermitted = !Error;
  const bool IsOpened = Test.open(Refused).has_value();
  const bool HasWaited = !Test.Listener.isOpen();
  if (Former == 0)
    REQUIRE(::seteuid(Former) == 0);
  CHECK(IsOpened);
  CHECK(HasWaited == !IsPermitted);
  Test.runFor(std::chrono::milliseconds(250));
  const bool IsOpenNow = IsPermitted || Former == 0;
  CHECK(Test.Listener.isOpen() == IsOpenNow);
  CHECK(Test.Opened == (IsOpenNow ? 1 : 0));
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

// Guards against an exception in one handler that ends the process, or that
// keeps the handlers behind it from running.
TEST_CASE("an event loop goes on after an exception in a handler",
          "[handler_guard]") {
  asio::io_context Io;
  telemetry::metrics Metrics;
  fleet::handler_guard Guard(Metrics);
  int Calls = 0;
  asio::post(Io, [&] { ++Calls; });
  asio::post(Io, [] { throw std::invalid_argument("invalid request body"); });
  asio::post(Io, [] { throw 5; });
  asio::post(Io, [&] { ++Calls; });
  Guard.run(Io);
  CHECK(Calls == 2);
  CHECK(Metrics.text().find("handlers_failed_total 2") != std::string::npos);
}
