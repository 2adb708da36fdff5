/// Links between the voters of the registry, at most one outgoing link per
/// machine.
#pragma once

#include "fleet/frame_link.h"
#include "fleet/messages.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <optional>

namespace bulrush::fleet {

/// Returns the TCP address of a machine; a machine's id is its IPv4 address.
boost::asio::ip::tcp::endpoint tcpEndpoint(vm_id Vm, std::uint16_t Port);
std::string toText(vm_id Vm);
/// Returns nothing if `Ip` is not an IPv4 address.
std::optional<vm_id> vmFromIp(const std::string &Ip);

/// Opens links on demand and drops messages to machines without a link while a
/// connection attempt is not due yet. The replicated log resends what was lost.
class voter_links {
public:
  /// `OnFrame` receives the frames that peers send back on these links.
  voter_links(boost::asio::io_context &Io, std::uint16_t Port,
              frame_link::frame_handler OnFrame)
      : Io(Io), Port(Port), OnFrame(std::move(OnFrame)) {}

  void send(vm_id To, const fleet_message &Message, instant Now);
  /// Handles the receipt of a message from a machine: a link to it that is not
  /// connected yet is closed, so that the next `send` connects at once.
  void onMessageFrom(vm_id From);
  /// Closes the links on which nothing was sent for `IdleTimeout`.
  void closeIdle(instant Now);

private:
  struct machine_link {
    std::shared_ptr<frame_link> Link;
    instant UsedAt;
    instant RetryAt{-1e300}; ///< earliest time of the next connection attempt
  };

  void open(vm_id To, machine_link &Machine, instant Now);

  boost::asio::io_context &Io;
  std::uint16_t Port;
  frame_link::frame_handler OnFrame;
  std::map<vm_id, machine_link> Machines;
};

} // namespace bulrush::fleet
