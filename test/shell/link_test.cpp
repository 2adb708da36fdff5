#include "telemetry/metrics.h"
#include "wire/generated/bulrush.pb.h"
#include "wire/link.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

using namespace bulrush;
using namespace bulrush::wire;

namespace {

const process_id First{{1}, role::entry};
const process_id Second{{2}, role::control};
const address FirstAddress{"127.0.0.1", 19'181};
const address SecondAddress{"127.0.0.1", 19'182};

/// Two processes on one thread.
struct pair_of_links {
  boost::asio::io_context Io;
  telemetry::metrics Metrics;
  std::vector<std::uint64_t> Got;
  link_set Left;
  link_set Right;

  explicit pair_of_links(std::optional<link_keys> LeftKeys = {},
                         std::optional<link_keys> RightKeys = {})
      : Left(Io,
             settingsOf(First, FirstAddress, {{Second, SecondAddress}},
                        LeftKeys),
             Metrics, [](process_id, const Envelope &) {}),
        Right(Io,
              settingsOf(Second, SecondAddress, {{First, FirstAddress}},
                         RightKeys),
              Metrics, [this](process_id From, const Envelope &Message) {
                CHECK(From == First);
                Got.push_back(Message.heartbeat().sequence());
              }) {
    REQUIRE(Left.start());
    REQUIRE(Right.start());
  }

  static link_settings settingsOf(process_id Self, address Bind,
                                  std::vector<peer> Peers,
                                  std::optional<link_keys> Keys) {
    link_settings Settings;
    Settings.Self = Self;
    Settings.Bind = std::move(Bind);
    Settings.Peers = std::move(Peers);
    Settings.Keys = std::move(Keys);
    return Settings;
  }

  bool sendOnce(std::uint64_t Sequence) {
    Envelope Message;
    Message.mutable_heartbeat()->set_sequence(Sequence);
    return Left.send(Second, Message);
  }

  /// Sends until the link is up or a bound is reached.
  bool sendSoon(std::uint64_t Sequence) {
    for (int Try = 0; Try < 200; ++Try) {
      if (sendOnce(Sequence))
        return true;
      Io.restart();
      Io.run_for(std::chrono::milliseconds(10));
    }
    return false;
  }

  void runFor(int Ms) {
    Io.restart();
    Io.run_for(std::chrono::milliseconds(Ms));
  }
};

} // namespace

TEST_CASE("a message arrives with its sender") {
  pair_of_links Links;
  REQUIRE(Links.sendSoon(7));
  Links.runFor(200);
  CHECK(Links.Got == std::vector<std::uint64_t>{7});
}

TEST_CASE("a message to a process that is not there is dropped and counted") {
  boost::asio::io_context Io;
  telemetry::metrics Metrics;
  link_set Link(Io,
                pair_of_links::settingsOf(First, FirstAddress,
                                          {{Second, SecondAddress}}, {}),
                Metrics, [](process_id, const Envelope &) {});
  REQUIRE(Link.start());
  Envelope Message;
  CHECK_FALSE(Link.send(Second, Message));
  CHECK(Metrics.count("link_dropped", "control") == 1);
}

TEST_CASE("a cut link loses messages in silence") {
  pair_of_links Links;
  REQUIRE(Links.sendSoon(1));
  Links.runFor(200);
  Links.Left.cut({Second});
  CHECK(Links.sendOnce(2));
  Links.runFor(200);
  CHECK(Links.Got == std::vector<std::uint64_t>{1});
}

TEST_CASE("a process with the wrong key is not heard") {
  const auto Good = newLinkKeys();
  const auto Bad = newLinkKeys();
  pair_of_links Wrong(Bad, Good);
  Wrong.sendOnce(1);
  Wrong.runFor(500);
  Wrong.sendOnce(1);
  Wrong.runFor(200);
  CHECK(Wrong.Got.empty());
}

TEST_CASE("processes with the same keys hear each other") {
  const auto Keys = newLinkKeys();
  pair_of_links Links(Keys, Keys);
  REQUIRE(Links.sendSoon(3));
  Links.runFor(200);
  CHECK(Links.Got == std::vector<std::uint64_t>{3});
}
