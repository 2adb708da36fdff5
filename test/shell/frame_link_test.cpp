#include "fleet/frame_link.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <stdexcept>

using namespace bulrush;

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

const tcp::endpoint Address(asio::ip::make_address("127.0.0.1"), 19'350);
constexpr std::chrono::seconds TimeLimit{5};

struct fixture {
  asio::io_context Io;
  tcp::acceptor Acceptor{Io, Address};
  std::shared_ptr<fleet::frame_link> Near;
  std::shared_ptr<fleet::frame_link> Far;

  explicit fixture(fleet::frame_link::frame_handler OnFrame) {
    tcp::socket Socket(Io);
    Socket.connect(Address);
    Far = std::make_shared<fleet::frame_link>(std::move(Socket));
    Near = std::make_shared<fleet::frame_link>(Acceptor.accept());
    Near->start(std::move(OnFrame), [] {});
    Far->start([](const std::string &) {}, [] {});
  }
  ~fixture() {
    Near->close();
    Far->close();
  }
  fixture(const fixture &) = delete;
  fixture &operator=(const fixture &) = delete;
};

} // namespace

// Guards against a link that stays open and reads nothing more after one frame
// whose handler failed.
TEST_CASE("a link reads on after a frame whose handler throws", "[link]") {
  std::vector<std::string> Handled;
  fixture Test([&](const std::string &Bytes) {
    if (Bytes == "bad")
      throw std::runtime_error("frame");
    Handled.push_back(Bytes);
    Test.Io.stop();
  });
  Test.Far->send("bad");
  Test.Far->send("good");
  CHECK_THROWS_AS(Test.Io.run_for(TimeLimit), std::runtime_error);
  Test.Io.run_for(TimeLimit);
  CHECK(Handled == std::vector<std::string>{"good"});
}
