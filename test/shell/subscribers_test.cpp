#include "control/build_level.h"
#include "fleet/subscribers.h"
#include "wire/fleet_codec.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <list>

using namespace bulrush;
using namespace bulrush::fleet;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

struct no_catalogs final : catalog_codec {
  expected<relay::catalog> decode(const std::string &) const override {
    return fail("none");
  }
  expected<relay::catalog> restore(const std::string &) const override {
    return fail("none");
  }
};

/// The leader's side of links to relays on loopback.
struct subscribers_fixture {
  struct subscriber {
    std::shared_ptr<frame_link> Near; ///< the leader's end
    std::shared_ptr<frame_link> Far;  ///< the relay's end
    std::vector<fleet_message> Received;

    /// Returns the latest message of a type.
    template <class Message> std::optional<Message> latest() const {
      std::optional<Message> Out;
      for (const fleet_message &Each : Received)
        if (const auto *Found = std::get_if<Message>(&Each))
          Out = *Found;
      return Out;
    }
  };

  asio::io_context Io{1};
  catalog_updates Catalogs{std::make_shared<no_catalogs>()};
  subscribers Subscribers{Catalogs, [](const node_event &) {}};
  control::registry_state State;
  std::list<subscriber> All;

  subscriber &join(vm_id Vm, std::uint32_t Level) {
    tcp::acceptor Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0});
    tcp::socket FarSocket(Io);
    FarSocket.connect(Acceptor.local_endpoint());
    subscriber &New = All.emplace_back();
    New.Near = std::make_shared<frame_link>(Acceptor.accept());
    New.Near->start([](const std::string &) {}, [] {});
    New.Far = std::make_shared<frame_link>(std::move(FarSocket));
    New.Far->start(
        [&New](const std::string &Bytes) {
          if (auto Message = wire::decodeFleet(Bytes))
            New.Received.push_back(std::move(*Message));
        },
        [] {});
    subscribe Request;
    Request.Vm = Vm;
    Request.Level = Level;
    Subscribers.add(New.Near, Request, State, {}, 1, instant{1000});
    return New;
  }

  /// Runs until `IsDone` or for at most 5 s.
  void runUntil(const std::function<bool()> &IsDone) {
    for (int I = 0; I < 500 && !IsDone(); ++I)
      Io.run_for(std::chrono::milliseconds(10));
    REQUIRE(IsDone());
  }
};

relay::version_policy makePolicy(double Share) {
  return {{"a"}, {7},   relay::rollout_state::in_progress, {"v2"}, Share,
          {},    {"v1"}};
}

} // namespace

TEST_CASE("a relay that joins during a rollout gets the policies",
          "[subscribers][rollout]") {
  // Guards against a relay that sends all or no requests to the new version
  // because it was not there when the share changed, and against a state that
  // was encoded for an earlier subscriber.
  subscribers_fixture Fixture;
  Fixture.State.Revision = {7};
  Fixture.Subscribers.setPolicies({makePolicy(0)});
  auto &First = Fixture.join({1}, 1);
  Fixture.runUntil([&] { return First.latest<fleet_state>().has_value(); });
  CHECK(First.latest<fleet_state>()->Policies ==
        std::vector<relay::version_policy>{makePolicy(0)});
  Fixture.Subscribers.setPolicies({makePolicy(0.08)});
  Fixture.Subscribers.sendPolicies({{makePolicy(0.08)}});
  auto &Second = Fixture.join({2}, 1);
  Fixture.runUntil([&] {
    return Second.latest<fleet_state>() && First.latest<version_policies>();
  });
  CHECK(Second.latest<fleet_state>()->Policies ==
        std::vector<relay::version_policy>{makePolicy(0.08)});
  CHECK(First.latest<version_policies>()->Policies ==
        std::vector<relay::version_policy>{makePolicy(0.08)});
}

TEST_CASE("relays of level 0 are known and are sent no policies",
          "[subscribers][rollout]") {
  // Guards against a rollout that starts while a relay cannot split requests,
  // and against messages that such a relay refuses and logs.
  subscribers_fixture Fixture;
  auto &Old = Fixture.join({1}, 0);
  CHECK(Fixture.Subscribers.lowestLevel() == 0);
  Fixture.Subscribers.sendPolicies({{makePolicy(0.08)}});
  Fixture.Subscribers.sendHeartbeat({9}, 77);
  Fixture.runUntil([&] {
    const auto Beat = Old.latest<leader_heartbeat>();
    return Beat && Beat->Peers == 77;
  });
  CHECK(!Old.latest<version_policies>());
  CHECK(Fixture.Subscribers.vmOf(Old.Near.get()) == vm_id{1});
  CHECK(Fixture.Subscribers.relays() == std::vector<vm_id>{{1}});
  Fixture.Subscribers.onClosed(Old.Near.get(), instant{1000});
  CHECK(Fixture.Subscribers.lowestLevel() == 1);
  CHECK(!Fixture.Subscribers.vmOf(Old.Near.get()));
}

TEST_CASE("the lowest level is that of the oldest relay in touch", "[builds]") {
  // Guards against a leader that relies on relays which would ignore what it
  // sends, and against waiting for a relay that has left.
  boost::asio::io_context Io;
  catalog_updates Updates(nullptr);
  subscribers Subscribers(Updates, [](const node_event &) {});
  const auto Add = [&](std::uint32_t Vm, std::uint32_t Level) {
    // Not connected: the link only queues what it is given.
    auto Link = std::make_shared<frame_link>(boost::asio::ip::tcp::socket(Io));
    subscribe Request;
    Request.Vm = {Vm};
    Request.Level = Level;
    Subscribers.add(Link, Request, {}, {}, 1, instant{0});
    return Link;
  };
  CHECK(Subscribers.lowestLevel() == control::BuildLevel);
  Add(1, control::BuildLevel);
  CHECK(Subscribers.lowestLevel() == control::BuildLevel);
  const auto Old = Add(2, 0);
  CHECK(Subscribers.lowestLevel() == 0);
  Subscribers.onClosed(Old.get(), instant{0});
  CHECK(Subscribers.lowestLevel() == control::BuildLevel);
}
