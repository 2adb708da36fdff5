/// Shard requests and replies between relay daemons.
#pragma once

#include "fleet/adapter.h"
#include "fleet/frame_link.h"
#include "fleet/messages.h"
#include "http/listener.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <unordered_map>

namespace bulrush::fleet {

/// Opens one link to each relay that is sent shard requests; its replies arrive
/// on the same link and are sent on no other. Runs on the thread of its
/// `io_context`.
class peer_links {
public:
  using event_handler = std::function<void(relay::relay_event)>;

  /// Called with a message that cannot be read, and the reason.
  using refusal_handler =
      std::function<void(const std::string &, const error &)>;

  peer_links(boost::asio::io_context &Io, vm_id Self, std::uint16_t Port,
             event_handler OnEvent, refusal_handler OnRefused);

  /// See `http::listener::open`.
  expected<void> listen(http::listener::open_handler OnOpen = {});
  bool isListening() const { return Listener.isOpen(); }
  void send(const relay::send_shard_request &Action);
  void send(const relay::cancel_shard_request &Action);
  void send(const relay::grant_retry &Action);
  void send(const relay::send_shard_reply &Action);

private:
  void accept(boost::asio::ip::tcp::socket Socket);
  void onRequestFrame(relay::requester_link From, const std::string &Bytes);
  void onReplyFrame(vm_id From, const std::string &Bytes);
  /// Sends on the outgoing link to `Peer`; drops the message if there is none.
  void sendIfOpen(vm_id Peer, const fleet_message &Message);
  std::shared_ptr<frame_link> linkTo(vm_id Peer);
  void onLost(vm_id Peer, const frame_link *Link);

  boost::asio::io_context &Io;
  vm_id Self;
  std::uint16_t Port;
  event_handler OnEvent;
  refusal_handler OnRefused;
  http::listener Listener;
  std::map<vm_id, std::shared_ptr<frame_link>> Outgoing;
  /// Links on which other relays send shard requests.
  std::map<relay::requester_link, std::shared_ptr<frame_link>> Incoming;
  std::uint64_t LastIncoming = 0;
};

} // namespace bulrush::fleet
