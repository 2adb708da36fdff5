#include "fleet/voter_links.h"

#include "wire/fleet_codec.h"

namespace bulrush::fleet {

namespace {

constexpr millis RetryDelay{60};
/// A link that is still not connected this long after `RetryAt` is closed.
constexpr millis ConnectTimeout{400};
/// A younger link is kept when a message arrives from the vm that it connects
/// to. An older one may be an attempt from before the vm was back.
constexpr millis ConnectGrace{100};
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

void voter_links::open(vm_id To, vm_link &Entry, instant Now) {
  Entry.Link = std::make_shared<frame_link>(asio::ip::tcp::socket(Io));
  Entry.UsedAt = Now;
  Entry.RetryAt = Now + RetryDelay;
  Entry.Link->connect(
      tcpEndpoint(To, Port), OnFrame, [this, To, Failed = Entry.Link.get()] {
        const auto Known = Links.find(To);
        if (Known != Links.end() && Known->second.Link.get() == Failed)
          Known->second.Link.reset();
      });
}

void voter_links::send(vm_id To, const fleet_message &Message, instant Now) {
  vm_link &Entry = Links[To];
  if (Entry.Link && !Entry.Link->isOpen() &&
      Now - Entry.RetryAt > ConnectTimeout) {
    Entry.Link->close();
    Entry.Link.reset();
  }
  if (!Entry.Link) {
    if (Now < Entry.RetryAt)
      return;
    open(To, Entry, Now);
  }
  Entry.UsedAt = Now;
  Entry.Link->send(wire::encode(Message));
}

void voter_links::onMessageFrom(vm_id From, instant Now) {
  const auto Known = Links.find(From);
  if (Known == Links.end())
    return;
  vm_link &Entry = Known->second;
  const bool MayConnect = Now - Entry.RetryAt <= ConnectGrace;
  if (Entry.Link && (Entry.Link->isOpen() || MayConnect))
    return;
  if (Entry.Link)
    Entry.Link->close();
  Entry.Link.reset();
  Entry.RetryAt = {-1e300};
}

void voter_links::closeIdle(instant Now) {
  for (auto Each = Links.begin(); Each != Links.end();) {
    if (Now - Each->second.UsedAt < IdleTimeout) {
      ++Each;
      continue;
    }
    if (Each->second.Link)
      Each->second.Link->close();
    Each = Links.erase(Each);
  }
}

} // namespace bulrush::fleet
