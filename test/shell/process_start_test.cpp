#include "fleet/process_start.h"

#include "telemetry/process_guard.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace bulrush;
using fleet::process_settings;

namespace {

process_settings usableSettings() {
  process_settings Out;
  Out.Ip = "10.0.0.1";
  Out.Operators = {"10.0.0.1", 8106};
  return Out;
}

/// Settings that are `First`, or cannot be read, until they were read
/// `UnusableReadings` times.
class late_settings final : public fleet::settings_source {
public:
  late_settings(int UnusableReadings, std::optional<process_settings> First)
      : UnusableReadings(UnusableReadings), First(std::move(First)) {}

  expected<process_settings> read() override {
    if (++Readings > UnusableReadings)
      return usableSettings();
    if (First)
      return *First;
    return fail("boot.json: cannot be opened");
  }
  std::uint64_t stamp() override { return 1; }

  int Readings = 0;

private:
  int UnusableReadings;
  std::optional<process_settings> First;
};

const fleet::listen_addresses Listens{&process_settings::Operators};

} // namespace

// Guards against a start that ends the process since its settings come more
// than a second late.
TEST_CASE("settings are awaited for as long as it takes", "[process]") {
  constexpr int MoreThanASecond = 25;
  late_settings Source(MoreThanASecond, std::nullopt);
  const auto Settings = fleet::awaitSettings(Source, Listens);
  REQUIRE(Settings);
  CHECK(*Settings == usableSettings());
  CHECK(Source.Readings == MoreThanASecond + 1);
}

// Guards against a start that ends the process, or reads an address that is
// none, since the settings were rendered before the address was known.
TEST_CASE("settings without usable addresses are awaited", "[process]") {
  process_settings Unusable = usableSettings();
  SECTION("its own address") { Unusable.Ip = "pending"; }
  SECTION("no address of its own") { Unusable.Ip = ""; }
  SECTION("an address to listen on") { Unusable.Operators.Host = "pending"; }
  SECTION("no address to listen on") { Unusable.Operators = {}; }
  late_settings Source(3, Unusable);
  const auto Settings = fleet::awaitSettings(Source, Listens);
  REQUIRE(Settings);
  CHECK(*Settings == usableSettings());
  CHECK(Source.Readings == 4);
}

// Guards against a process that cannot be stopped while it waits.
TEST_CASE("a stop signal ends the wait for settings", "[process]") {
  telemetry::recordSignals();
  ::raise(SIGTERM);
  late_settings Source(1'000'000, std::nullopt);
  CHECK(!fleet::awaitSettings(Source, Listens));
  CHECK(Source.Readings == 1);
  for (const int Number : {SIGHUP, SIGTERM, SIGINT})
    std::signal(Number, SIG_DFL);
}
