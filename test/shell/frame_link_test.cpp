#include "fleet/frame_link.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <unistd.h>

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

/// Memory of this process that is in use.
std::size_t residentBytes() {
  std::ifstream File("/proc/self/statm");
  std::size_t Total = 0;
  std::size_t Resident = 0;
  File >> Total >> Resident;
  return Resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace

// Guards against a process that exceeds its memory since others announce large
// frames that never arrive.
TEST_CASE("a link holds no memory for bytes that have not arrived", "[link]") {
  constexpr std::size_t LinkCount = 8;
  constexpr std::size_t FrameBytes = 16 << 20;
  asio::io_context Io;
  tcp::acceptor Acceptor(Io, Address);
  std::vector<tcp::socket> Senders;
  std::vector<std::shared_ptr<fleet::frame_link>> Links;
  const std::size_t Before = residentBytes();
  for (std::size_t I = 0; I < LinkCount; ++I) {
    Senders.emplace_back(Io).connect(Address);
    Links.push_back(std::make_shared<fleet::frame_link>(Acceptor.accept()));
    Links.back()->start([](const std::string &) {}, [] {});
    asio::write(Senders.back(), asio::buffer(std::string("\1\0\0\0x", 5)));
  }
  Io.run_for(std::chrono::milliseconds(200));
  CHECK(residentBytes() < Before + FrameBytes);
  for (const auto &Each : Links)
    Each->close();
}

// Guards against a large frame that is put together wrongly.
TEST_CASE("a frame of many blocks arrives as it was sent", "[link]") {
  std::string Large;
  while (Large.size() < (3 << 20) + 17)
    Large += std::to_string(Large.size());
  std::vector<std::string> Handled;
  fixture Test([&](const std::string &Bytes) {
    Handled.push_back(Bytes);
    if (Handled.size() == 3)
      Test.Io.stop();
  });
  for (const std::string &Each : {Large, std::string(), std::string("end")})
    Test.Far->send(Each);
  Test.Io.run_for(TimeLimit);
  REQUIRE(Handled.size() == 3);
  CHECK((Handled[0] == Large));
  CHECK(Handled[1].empty());
  CHECK(Handled[2] == "end");
}

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
