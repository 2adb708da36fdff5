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

/// Links `Left` and `Right` of two processes, run on one thread.
struct link_pair {
  boost::asio::io_context Io;
  telemetry::metrics Metrics;
  std::vector<std::uint64_t> ReceivedSequences;
  link_set Left;
  link_set Right;

  explicit link_pair(std::optional<link_keys> LeftKeys = {},
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
                ReceivedSequences.push_back(Message.heartbeat().sequence());
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

  /// Retries the send until the link is up, at most 200 times at intervals of
  /// 10 ms.
  bool sendUntilConnected(std::uint64_t Sequence) {
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

TEST_CASE("a message arrives with the id of its sender") {
  link_pair Links;
  REQUIRE(Links.sendUntilConnected(7));
  Links.runFor(200);
  CHECK(Links.ReceivedSequences == std::vector<std::uint64_t>{7});
}

TEST_CASE("a message to an unreachable process is dropped and counted") {
  boost::asio::io_context Io;
  telemetry::metrics Metrics;
  link_set Link(
      Io,
      link_pair::settingsOf(First, FirstAddress, {{Second, SecondAddress}}, {}),
      Metrics, [](process_id, const Envelope &) {});
  REQUIRE(Link.start());
  Envelope Message;
  CHECK_FALSE(Link.send(Second, Message));
  CHECK(Metrics.count("link_dropped", "control") == 1);
}

TEST_CASE("a cut link drops messages silently") {
  link_pair Links;
  REQUIRE(Links.sendUntilConnected(1));
  Links.runFor(200);
  Links.Left.cut({Second});
  CHECK(Links.sendOnce(2));
  Links.runFor(200);
  CHECK(Links.ReceivedSequences == std::vector<std::uint64_t>{1});
}

TEST_CASE("messages from a process with the wrong key are rejected") {
  const auto Good = newLinkKeys();
  const auto Bad = newLinkKeys();
  link_pair Links(Bad, Good);
  Links.sendOnce(1);
  Links.runFor(500);
  Links.sendOnce(1);
  Links.runFor(200);
  CHECK(Links.ReceivedSequences.empty());
}

TEST_CASE("processes with the same keys can exchange messages") {
  const auto Keys = newLinkKeys();
  link_pair Links(Keys, Keys);
  REQUIRE(Links.sendUntilConnected(3));
  Links.runFor(200);
  CHECK(Links.ReceivedSequences == std::vector<std::uint64_t>{3});
}
