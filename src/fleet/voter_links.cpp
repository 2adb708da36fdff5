#include "fleet/voter_links.h"

#include "wire/fleet_codec.h"

namespace bulrush::fleet {

namespace {

constexpr millis RetryDelay{60};
/// A link that is still not connected this long after `RetryAt` is closed.
constexpr millis ConnectTimeout{400};
constexpr millis IdleTimeout{10'000};

} // namespace

namespace asio = boost::asio;

asio::ip::tcp::endpoint tcpEndpoint(vm_id Vm, std::uint16_t Port) {
  return {asio::ip::address_v4(Vm.Value), Port};
}

std::string toText(vm_id Vm) {
  return asio::ip::address_v4(Vm.Value).to_string();
}

std::optional<vm_id> vmFromIp(const std::string &Ip) {
  boost::system::error_code Error;
  const auto Address = asio::ip::make_address_v4(Ip, Error);
  if (Error)
    return std::nullopt;
  return vm_id{static_cast<std::uint32_t>(Address.to_uint())};
}

void voter_links::open(vm_id To, machine_link &Machine, instant Now) {
  Machine.Link = std::make_shared<frame_link>(asio::ip::tcp::socket(Io));
  Machine.UsedAt = Now;
  Machine.RetryAt = Now + RetryDelay;
  Machine.Link->connect(
      tcpEndpoint(To, Port), OnFrame, [this, To, Failed = Machine.Link.get()] {
        const auto Known = Machines.find(To);
        if (Known != Machines.end() && Known->second.Link.get() == Failed)
          Known->second.Link.reset();
      });
}

void voter_links::send(vm_id To, const fleet_message &Message, instant Now) {
  machine_link &Machine = Machines[To];
  if (Machine.Link && !Machine.Link->isOpen() &&
      Now - Machine.RetryAt > ConnectTimeout) {
    Machine.Link->close();
    Machine.Link.reset();
  }
  if (!Machine.Link) {
    if (Now < Machine.RetryAt)
      return;
    open(To, Machine, Now);
  }
  Machine.UsedAt = Now;
  Machine.Link->send(wire::encode(Message));
}

void voter_links::onMessageFrom(vm_id From) {
  const auto Known = Machines.find(From);
  if (Known == Machines.end())
    return;
  machine_link &Machine = Known->second;
  if (Machine.Link && Machine.Link->isOpen())
    return;
  if (Machine.Link)
    Machine.Link->close();
  Machine.Link.reset();
  Machine.RetryAt = {-1e300};
}

void voter_links::closeIdle(instant Now) {
  for (auto Each = Machines.begin(); Each != Machines.end();) {
    if (Now - Each->second.UsedAt < IdleTimeout) {
      ++Each;
      continue;
    }
    if (Each->second.Link)
      Each->second.Link->close();
    Each = Machines.erase(Each);
  }
}

} // namespace bulrush::fleet
