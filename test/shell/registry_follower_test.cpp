#include "fleet/registry_follower.h"

#include "bulrushtray/error.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>

using namespace bulrush;

namespace {

constexpr std::chrono::seconds TimeLimit{5};

class fixed_clock final : public clock_source {
public:
  instant now() const override { return {}; }
};

/// Knows no seed and fails once when it is asked for them.
class failing_host final : public fleet::follower_host {
public:
  explicit failing_host(boost::asio::io_context &Io) : Io(Io) {}

  bool onState(const fleet::fleet_state &) override { return true; }
  void onDirectory(fleet::endpoint_directory) override {}
  void onFleetSize(std::uint32_t) override {}
  void onRoster(const fleet::relay_list &) override {}
  void onLimitGrants(const fleet::limit_grants &) override {}
  void onVerdicts(const fleet::request_verdicts &) override {}
  void onQuotaGrants(const fleet::quota_grants &) override {}
  void onVersionPolicies(const fleet::version_policies &) override {}
  void onRefused(const std::string &, const error &) override {}
  void onLeaderFound() override {}
  std::vector<vm_id> seeds() override {
    if (++Calls == 2)
      throw std::runtime_error("seeds");
    if (Calls == 3)
      Io.stop();
    return {};
  }

  int Calls = 0;

private:
  boost::asio::io_context &Io;
};

} // namespace

// Guards against a relay that never looks for a leader again after one tick
// that failed.
TEST_CASE("a follower goes on after a tick that throws", "[follower]") {
  boost::asio::io_context Io;
  const fixed_clock Clock;
  failing_host Host(Io);
  fleet::registry_follower Follower(Io, {}, Clock, Host);
  Follower.start();
  CHECK_THROWS_AS(Io.run_for(TimeLimit), std::runtime_error);
  Io.run_for(TimeLimit);
  CHECK(Host.Calls == 3);
}
