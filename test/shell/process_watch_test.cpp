#include "fleet/process_watch.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <stdexcept>

using namespace bulrush;

namespace {

constexpr std::chrono::seconds TimeLimit{10};

/// Settings that have changed since the start and cannot be read at first.
class changed_settings final : public fleet::settings_source {
public:
  expected<fleet::process_settings> read() override {
    if (++Readings == 1)
      return fail("boot.json: cannot be opened");
    fleet::process_settings Out;
    Out.Seeds = {"10.0.0.9"};
    return Out;
  }
  std::uint64_t stamp() override { return 2; }

  int Readings = 0;
};

/// Settings that change before each poll.
class growing_settings final : public fleet::settings_source {
public:
  expected<fleet::process_settings> read() override {
    return fleet::process_settings{};
  }
  std::uint64_t stamp() override { return ++Stamp; }

private:
  std::uint64_t Stamp = 0;
};

} // namespace

// Guards against a change of settings that is never applied, since the process
// had no descriptor left at the moment at which it read them.
TEST_CASE("settings that could not be read are read again", "[process]") {
  boost::asio::io_context Io;
  const auto Settings = std::make_shared<changed_settings>();
  std::vector<std::string> Seeds;
  fleet::process_watch Watch(
      Io, Settings, 1,
      [&](const fleet::process_settings &Read) {
        Seeds = Read.Seeds;
        Io.stop();
      },
      [] {});
  Watch.start();
  Io.run_for(TimeLimit);
  CHECK(Seeds == std::vector<std::string>{"10.0.0.9"});
  CHECK(Settings->Readings == 2);
}

// Guards against changes of settings that are not noticed any more after one
// whose handler failed.
TEST_CASE("settings are polled after a change whose handler throws",
          "[process]") {
  boost::asio::io_context Io;
  const auto Settings = std::make_shared<growing_settings>();
  int Changes = 0;
  fleet::process_watch Watch(
      Io, Settings, 0,
      [&](const fleet::process_settings &) {
        if (++Changes == 1)
          throw std::runtime_error("settings");
        Io.stop();
      },
      [] {});
  CHECK_THROWS_AS(Watch.start(), std::runtime_error);
  Io.run_for(TimeLimit);
  CHECK(Changes == 2);
}
