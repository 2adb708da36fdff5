#include "fleet/voter_links.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

using namespace bulrush;
using namespace bulrush::fleet;

namespace {

namespace asio = boost::asio;

constexpr std::uint16_t Port = 19'086;
constexpr vm_id Peer{0x7f000001};

fleet_message sampleMessage() {
  return control::message{{1}, {2}, {3}, {4}, {5}, {6}, {7}, {}};
}

} // namespace

// Guards against voters that start at one moment and never hear each other:
// each message of a peer closed the link to it that was about to connect.
TEST_CASE("a message from a voter does not close the link that connects to it",
          "[fleet]") {
  asio::io_context Io;
  asio::ip::tcp::acceptor Acceptor(Io, tcpEndpoint(Peer, Port));
  std::vector<std::shared_ptr<frame_link>> Accepted;
  std::size_t Received = 0;
  const std::function<void()> Accept = [&] {
    Acceptor.async_accept([&](auto Error, asio::ip::tcp::socket Socket) {
      if (Error)
        return;
      Accepted.push_back(std::make_shared<frame_link>(std::move(Socket)));
      Accepted.back()->start([&](const std::string &) { ++Received; }, [] {});
      Accept();
    });
  };
  Accept();
  voter_links Links(Io, Port, [](const std::string &) {});
  for (double At = 1000; At < 3000 && Received == 0; At += 100) {
    Links.send(Peer, sampleMessage(), instant{At});
    Links.onMessageFrom(Peer, instant{At + 1});
    Io.restart();
    Io.run_for(std::chrono::milliseconds(20));
  }
  CHECK(Received > 0);
}
