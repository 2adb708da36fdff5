#include "fleet/frame_link.h"

#include "fleet/handler_guard.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>

using namespace bulrush;

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Guards against a link that stays open and reads nothing any more after an
// exception in its handler: the other side notices nothing.
TEST_CASE("a link whose handler throws reads on or closes", "[frame_link]") {
  asio::io_context Io;
  telemetry::metrics Metrics;
  fleet::handler_guard Guard(Metrics);
  tcp::acceptor Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0});
  tcp::socket Near(Io);
  Near.connect(Acceptor.local_endpoint());
  const auto Reader = std::make_shared<fleet::frame_link>(Acceptor.accept());
  const auto Writer = std::make_shared<fleet::frame_link>(std::move(Near));
  int Frames = 0;
  bool IsClosed = false;
  Reader->start(
      [&](const std::string &) {
        if (++Frames == 1)
          throw std::invalid_argument("a message that cannot be handled");
      },
      [&] { IsClosed = true; });
  Writer->start([](const std::string &) {}, [] {});
  Writer->send("first");
  Writer->send("second");
  asio::steady_timer End(Io, std::chrono::milliseconds(300));
  End.async_wait([&](boost::system::error_code) { Io.stop(); });
  Guard.run(Io);
  INFO("frames " << Frames << ", closed " << IsClosed);
  CHECK((Frames == 2 || IsClosed));
}
