/// Links between the voters of the registry, at most one outgoing link per vm.
#pragma once

#include "fleet/frame_link.h"
#include "fleet/messages.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <optional>

namespace bulrush::fleet {

/// Returns the TCP address of a vm; a vm's id is its IPv4 address.
boost::asio::ip::tcp::endpoint tcpEndpoint(vm_id Vm, std::uint16_t Port);
std::string toText(vm_id Vm);
/// Returns nothing if `Ip` is not an IPv4 address.
std::optional<vm_id> vmFromIp(const std::string &Ip);

/// Opens links on demand. A message to a vm without a link is dropped until the
/// next connection attempt is due; the replicated log resends lost messages.
class voter_links {
public:
  /// `OnFrame` receives the frames that peers send back on these links.
  voter_links(boost::asio::io_context &Io, std::uint16_t Port,
              frame_link::frame_handler OnFrame)
      : Io(Io), Port(Port), OnFrame(std::move(OnFrame)) {}

  void send(vm_id To, const fleet_message &Message, instant Now);
  /// To be called when a message from a vm has arrived: a link to it that has
  /// not connected in time is closed, so that the next `send` connects at once.
  /// A younger one is kept: vms that start at one moment hear from each other
  /// before any of their links is connected.
  void onMessageFrom(vm_id From, instant Now);
  /// Closes the links on which nothing was sent for `IdleTimeout`.
  void closeIdle(instant Now);

private:
  struct vm_link {
    std::shared_ptr<frame_link> Link;
    instant UsedAt;          ///< time of the last `send`
    instant RetryAt{-1e300}; ///< earliest time of the next connection attempt
  };

  void open(vm_id To, vm_link &Entry, instant Now);

  boost::asio::io_context &Io;
  std::uint16_t Port;
  frame_link::frame_handler OnFrame;
  std::map<vm_id, vm_link> Links;
};

} // namespace bulrush::fleet
