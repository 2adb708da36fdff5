/// Messages between the voters of the registry, over one link to each machine.
#pragma once

#include "fleet/frame_link.h"
#include "fleet/messages.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <optional>

namespace bulrush::fleet {

/// The address of a machine, which is its id.
boost::asio::ip::tcp::endpoint tcpEndpoint(vm_id Vm, std::uint16_t Port);
std::string toText(vm_id Vm);
/// Nothing when the text is no IPv4 address.
std::optional<vm_id> vmFromIp(const std::string &Ip);

/// Opens links on demand and drops messages while one cannot be opened: the
/// log sends again what matters.
class voter_links {
public:
  /// `OnFrame` takes what comes back on these links.
  voter_links(boost::asio::io_context &Io, std::uint16_t Port,
              frame_link::frame_handler OnFrame)
      : Io(Io), Port(Port), OnFrame(std::move(OnFrame)) {}

  void send(vm_id To, const fleet_message &Message, instant Now);
  /// A message came from a machine: a link to it that is not open yet is tried
  /// anew.
  void onMessageFrom(vm_id From);
  /// Closes the links that carried nothing of late.
  void closeIdle(instant Now);

private:
  struct machine_link {
    std::shared_ptr<frame_link> Link;
    instant UsedAt;
    instant RetryAt{-1e300};
  };

  void open(vm_id To, machine_link &Machine, instant Now);

  boost::asio::io_context &Io;
  std::uint16_t Port;
  frame_link::frame_handler OnFrame;
  std::map<vm_id, machine_link> Machines;
};

} // namespace bulrush::fleet
