#include "wire/link.h"

#include "telemetry/metrics.h"
#include "wire/generated/bulrush.pb.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <map>
#include <set>
#include <zmq.hpp>

namespace bulrush::wire {

namespace {

namespace asio = boost::asio;
using error_code = boost::system::error_code;

constexpr int ReconnectMs = 20;
constexpr int ReconnectMaxMs = 200;
constexpr int HeartbeatIntervalMs = 500;
constexpr int HeartbeatTimeoutMs = 1'500;
/// Messages received before control returns to the event loop.
constexpr int MaxMessagesPerTurn = 64;

std::string toUrl(const address &Address) {
  return "tcp://" + Address.Host + ':' + std::to_string(Address.Port);
}

std::string_view toString(role Role) {
  return Role == role::entry ? "entry" : "control";
}

/// Returns the field name of the message's body, such as `heartbeat`.
std::string_view bodyName(const Envelope &Message) {
  const auto *Field =
      Envelope::descriptor()->FindFieldByNumber(Message.body_case());
  return Field ? std::string_view(Field->name()) : "empty";
}

void setCommonOptions(zmq::socket_t &Socket, const link_settings &Settings) {
  Socket.set(zmq::sockopt::linger, 0);
  Socket.set(zmq::sockopt::sndhwm, Settings.MaxQueuedMessages);
  Socket.set(zmq::sockopt::rcvhwm, Settings.MaxQueuedMessages);
  Socket.set(zmq::sockopt::maxmsgsize, Settings.MaxMessageBytes);
  Socket.set(zmq::sockopt::heartbeat_ivl, HeartbeatIntervalMs);
  Socket.set(zmq::sockopt::heartbeat_timeout, HeartbeatTimeoutMs);
}

} // namespace

link_keys newLinkKeys() {
  constexpr std::size_t Z85Size = 41; // with the terminating zero
  char Public[Z85Size] = {};
  char Secret[Z85Size] = {};
  zmq_curve_keypair(Public, Secret);
  return {Public, Secret};
}

struct link_set::state : std::enable_shared_from_this<link_set::state> {
  asio::io_context &Io;
  link_settings Settings;
  telemetry::metrics &Metrics;
  message_handler OnMessage;
  zmq::context_t Context{1};
  zmq::socket_t Incoming{Context, zmq::socket_type::pull};
  std::map<process_id, zmq::socket_t> Outgoing;
  std::set<process_id> CutPeers;
  asio::posix::stream_descriptor Readable;
  bool IsStopped = false;

  state(asio::io_context &Io, link_settings Settings,
        telemetry::metrics &Metrics, message_handler OnMessage)
      : Io(Io), Settings(std::move(Settings)), Metrics(Metrics),
        OnMessage(std::move(OnMessage)), Readable(Io) {}

  void connect(const peer &Peer) {
    zmq::socket_t Socket(Context, zmq::socket_type::push);
    setCommonOptions(Socket, Settings);
    Socket.set(zmq::sockopt::immediate, 1);
    Socket.set(zmq::sockopt::reconnect_ivl, ReconnectMs);
    Socket.set(zmq::sockopt::reconnect_ivl_max, ReconnectMaxMs);
    if (Settings.Keys) {
      Socket.set(zmq::sockopt::curve_serverkey, Settings.Keys->Public);
      Socket.set(zmq::sockopt::curve_publickey, Settings.Keys->Public);
      Socket.set(zmq::sockopt::curve_secretkey, Settings.Keys->Secret);
    }
    Socket.connect(toUrl(Peer.Address));
    Outgoing.emplace(Peer.Id, std::move(Socket));
  }

  void bind() {
    setCommonOptions(Incoming, Settings);
    if (Settings.Keys) {
      Incoming.set(zmq::sockopt::curve_server, true);
      Incoming.set(zmq::sockopt::curve_secretkey, Settings.Keys->Secret);
    }
    Incoming.bind(toUrl(Settings.Bind));
    Readable.assign(Incoming.get(zmq::sockopt::fd));
  }

  /// ZeroMQ's file descriptor is edge-triggered: after each signal all pending
  /// messages must be received before the next wait.
  void waitReadable() {
    Readable.async_wait(asio::posix::stream_descriptor::wait_read,
                        [Self = shared_from_this()](error_code Error) {
                          if (Error || Self->IsStopped)
                            return;
                          Self->receiveMessages();
                        });
  }

  void receiveMessages() {
    for (int Count = 0; Count < MaxMessagesPerTurn; ++Count) {
      zmq::message_t Message;
      if (!Incoming.recv(Message, zmq::recv_flags::dontwait)) {
        waitReadable();
        return;
      }
      deliver(Message);
      if (IsStopped)
        return;
    }
    asio::post(Io, [Self = shared_from_this()] {
      if (!Self->IsStopped)
        Self->receiveMessages();
    });
  }

  void deliver(const zmq::message_t &Message) {
    Envelope Parsed;
    if (!Parsed.ParseFromArray(Message.data(),
                               static_cast<int>(Message.size()))) {
      Metrics.add("link_refused", "malformed");
      return;
    }
    const process_id From{{Parsed.from_vm()},
                          static_cast<role>(Parsed.from_role())};
    if (!Outgoing.contains(From)) {
      Metrics.add("link_refused", "unknown_peer");
      return;
    }
    if (CutPeers.contains(From))
      return;
    Metrics.add("link_received_bytes", bodyName(Parsed), Message.size());
    OnMessage(From, Parsed);
  }
};

link_set::link_set(asio::io_context &Io, link_settings Settings,
                   telemetry::metrics &Metrics, message_handler OnMessage)
    : State(std::make_shared<state>(Io, std::move(Settings), Metrics,
                                    std::move(OnMessage))) {}

link_set::~link_set() {
  State->IsStopped = true;
  error_code Ignored;
  State->Readable.cancel(Ignored);
  State->Readable.release();
}

expected<void> link_set::start() {
  try {
    State->bind();
    for (const peer &Peer : State->Settings.Peers)
      State->connect(Peer);
  } catch (const zmq::error_t &Error) {
    return fail("cannot open links at " + toUrl(State->Settings.Bind) + ": " +
                Error.what());
  }
  State->receiveMessages();
  return {};
}

bool link_set::send(process_id To, Envelope &Message) {
  const auto Found = State->Outgoing.find(To);
  if (Found == State->Outgoing.end())
    return false;
  if (State->CutPeers.contains(To))
    return true;
  Message.set_from_vm(State->Settings.Self.Vm.Value);
  Message.set_from_role(static_cast<std::uint32_t>(State->Settings.Self.Role));
  Message.set_incarnation(State->Settings.Incarnation.Value);
  zmq::message_t Bytes(Message.ByteSizeLong());
  Message.SerializeToArray(Bytes.data(), static_cast<int>(Bytes.size()));
  const std::size_t Size = Bytes.size();
  if (!Found->second.send(Bytes, zmq::send_flags::dontwait)) {
    State->Metrics.add("link_dropped", toString(To.Role));
    return false;
  }
  const std::string_view Kind = bodyName(Message);
  State->Metrics.add("link_sent_bytes", Kind, Size);
  State->Metrics.add("link_sent_messages", Kind);
  return true;
}

void link_set::cut(std::vector<process_id> Peers) {
  State->CutPeers = {Peers.begin(), Peers.end()};
}

} // namespace bulrush::wire
