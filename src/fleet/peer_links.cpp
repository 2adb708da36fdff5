#include "fleet/peer_links.h"

#include "fleet/voter_links.h"
#include "telemetry/log.h"
#include "wire/fleet_codec.h"

namespace bulrush::fleet {

namespace asio = boost::asio;
using error_code = boost::system::error_code;
using telemetry::severity;

namespace {

/// The requester of an idle link may be gone without a word. Both times leave
/// room for some lost probes.
constexpr frame_bounds IncomingBounds{.UnackedTimeout = {9000},
                                      .KeepAliveIdle = {5000}};

} // namespace

peer_links::peer_links(asio::io_context &Io, vm_id Self, std::uint16_t Port,
                       event_handler OnEvent, refusal_handler OnRefused)
    : Io(Io), Self(Self), Port(Port), OnEvent(std::move(OnEvent)),
      OnRefused(std::move(OnRefused)),
      Listener(Io, [this](asio::ip::tcp::socket Socket) {
        accept(std::move(Socket));
      }) {}

expected<void> peer_links::listen(http::listener::open_handler OnOpen) {
  return Listener.open(tcpEndpoint(Self, Port), std::move(OnOpen));
}

/// A link is its own identity. Its source address is not: relays on one host or
/// behind an address translation share one, and an address may be reused.
void peer_links::accept(asio::ip::tcp::socket Socket) {
  error_code Error;
  const auto Remote = Socket.remote_endpoint(Error);
  if (Error)
    return;
  const vm_id Address{
      static_cast<std::uint32_t>(Remote.address().to_v4().to_uint())};
  auto Link = std::make_shared<frame_link>(std::move(Socket), IncomingBounds);
  const relay::requester_link Requester{++LastIncoming, Address};
  Incoming[Requester] = Link;
  Link->start(
      [this, Requester](const std::string &Bytes) {
        onRequestFrame(Requester, Bytes);
      },
      [this, Requester] {
        Incoming.erase(Requester);
        OnEvent(relay::requester_lost{Requester});
      });
}

void peer_links::onRequestFrame(relay::requester_link From,
                                const std::string &Bytes) {
  auto Message = wire::decodeFleet(Bytes);
  if (!Message) {
    OnRefused(Bytes, Message.error());
    return;
  }
  if (auto *ShardRequest = std::get_if<relay::shard_request>(&*Message);
      ShardRequest && ShardRequest->Shards.empty())
    OnRefused(Bytes, {"fleet message: a shard request without shards"});
  else if (ShardRequest)
    OnEvent(relay::shard_request_arrived{From, std::move(*ShardRequest)});
  else if (const auto *Cancel = std::get_if<shard_request_cancel>(&*Message))
    OnEvent(relay::shard_request_cancelled{From, Cancel->ShardRequest,
                                           Cancel->HasClientDisconnected});
  else if (const auto *Grant = std::get_if<retry_grant>(&*Message))
    OnEvent(relay::retry_granted{From, Grant->ShardRequest});
}

void peer_links::onReplyFrame(vm_id From, const std::string &Bytes) {
  auto Message = wire::decodeFleet(Bytes);
  if (!Message) {
    OnRefused(Bytes, Message.error());
    return;
  }
  if (auto *Reply = std::get_if<relay::shard_reply>(&*Message))
    OnEvent(relay::shard_reply_arrived{From, std::move(*Reply)});
}

std::shared_ptr<frame_link> peer_links::linkTo(vm_id Peer) {
  std::shared_ptr<frame_link> &Link = Outgoing[Peer];
  if (Link)
    return Link;
  Link = std::make_shared<frame_link>(asio::ip::tcp::socket(Io));
  Link->connect(
      tcpEndpoint(Peer, Port),
      [this, Peer](const std::string &Bytes) { onReplyFrame(Peer, Bytes); },
      [this, Peer, Lost = Link.get()] { onLost(Peer, Lost); });
  return Link;
}

void peer_links::onLost(vm_id Peer, const frame_link *Link) {
  const auto Known = Outgoing.find(Peer);
  if (Known == Outgoing.end() || Known->second.get() != Link)
    return;
  Outgoing.erase(Known);
  telemetry::logEvent(severity::warning, "peer_lost", {{"peer", toText(Peer)}});
  OnEvent(relay::peer_lost{Peer});
}

void peer_links::send(const relay::send_shard_request &Action) {
  linkTo(Action.To)->send(wire::encode(Action.Request));
}

void peer_links::sendIfOpen(vm_id Peer, const fleet_message &Message) {
  const auto Known = Outgoing.find(Peer);
  if (Known != Outgoing.end())
    Known->second->send(wire::encode(Message));
}

void peer_links::send(const relay::cancel_shard_request &Action) {
  sendIfOpen(Action.To, shard_request_cancel{Action.ShardRequest,
                                             Action.HasClientDisconnected});
}

void peer_links::send(const relay::grant_retry &Action) {
  sendIfOpen(Action.To, retry_grant{Action.ShardRequest});
}

void peer_links::send(const relay::send_shard_reply &Action) {
  const auto Known = Incoming.find(Action.To);
  if (Known != Incoming.end())
    Known->second->send(wire::encode(Action.Reply));
}

} // namespace bulrush::fleet
